package elmfollower_test

import (
	"fmt"
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/elmcove/elmcove/internal/forward/elmfollower"
	"github.com/elmcove/elmcove/internal/observe/elmlog"
	"github.com/elmcove/elmcove/platform"
	"github.com/elmcove/elmcove/platform/stand"
)

// Guards against an urgent change that is known late because heartbeats have ended the watch
// before it.
func TestUrgentChange(t *testing.T) {
	t.Parallel()
	const heartbeat, known = 10 * time.Millisecond, 250 * time.Millisecond
	store := stand.NewStore()
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	store.Put("op/config", []byte(`{"version":1}`))
	f := elmfollower.New(platform.NewStore(strings.TrimPrefix(server.URL, "http://")), elmlog.NewJSON("entry", io.Discard),
		elmfollower.WithUrgency(func() bool { return true }))
	go f.Run(t.Context())
	go func() {
		for n := 0; t.Context().Err() == nil; n++ {
			store.Put("servers/heartbeat", fmt.Appendf(nil, "%d", n))
			<-time.After(heartbeat)
		}
	}()
	await(t, func() bool { return f.Snapshot().HasConfig() })
	for version := int64(2); version < 8; version++ {
		began := time.Now()
		store.Put("op/config", fmt.Appendf(nil, `{"version":%d}`, version))
		await(t, func() bool { return f.Snapshot().Catalog().Version() == version })
		if elapsed := time.Since(began); elapsed > known {
			t.Errorf("version %d is known after %v, bound %v", version, elapsed, known)
		}
	}
}
