package elmfollower_test

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/elmcove/elmcove/internal/forward/elmfollower"
	"github.com/elmcove/elmcove/internal/observe/elmlog"
	"github.com/elmcove/elmcove/platform"
)

// Guards against changes that no longer fit the response of a watch, and are not followed
// until the next regular read of all keys (review/2).
func TestChangesBeyondOneResponse(t *testing.T) {
	t.Parallel()
	const inForce = 2 * time.Second
	var reads atomic.Int64
	tooLong := bytes.Repeat([]byte(" "), 8<<20+1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "kv-watch") {
			_, _ = w.Write(tooLong)
			return
		}
		version := reads.Add(1)
		config := base64.StdEncoding.EncodeToString(fmt.Appendf(nil, `{"version":%d}`, version))
		_, _ = fmt.Fprintf(w, `{"asOf":%d,"items":[{"key":"op/config","value":%q,"revision":%d}]}`, version, config, version)
	}))
	t.Cleanup(server.Close)
	f := elmfollower.New(platform.NewStore(strings.TrimPrefix(server.URL, "http://")), elmlog.NewJSON("entry", io.Discard))
	go f.Run(t.Context())
	await(t, func() bool { return f.Snapshot().Catalog().Version() == 1 })
	began := time.Now()
	await(t, func() bool { return f.Snapshot().Catalog().Version() > 1 })
	if elapsed := time.Since(began); elapsed > inForce {
		t.Errorf("in force after %v, bound %v", elapsed, inForce)
	}
}
