package elmfollower_test

import (
	"encoding/base64"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/elmcove/elmcove/internal/forward/elmfollower"
	"github.com/elmcove/elmcove/internal/observe/elmlog"
	"github.com/elmcove/elmcove/platform"
)

// Guards against a process that runs out of memory because the store, or what answers at its
// address, sends pages without end. Half of the 184 MB of the smallest router are for them.
func TestEndlessPages(t *testing.T) {
	const limit = 184 / 2
	value := base64.StdEncoding.EncodeToString(make([]byte, 1<<20))
	for name, key := range map[string]func(page int) string{
		"new keys":   func(page int) string { return fmt.Sprintf("key-%09d", page) },
		"same key":   func(int) string { return "key" },
		"lower keys": func(page int) string { return fmt.Sprintf("key-%09d", 1000-page) },
	} {
		t.Run(name, func(t *testing.T) {
			var mutex sync.Mutex // A call that has timed out may overlap the next one.
			pages := 0
			ended := make(chan int, 1)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				mutex.Lock()
				defer mutex.Unlock()
				if pages > 0 && (r.URL.Query().Get("after") == "" || pages > limit) {
					select {
					case ended <- pages:
					default:
					}
					return
				}
				pages++
				_, _ = fmt.Fprintf(w, `{"items":[{"key":%q,"value":%q,"revision":1}],"truncated":true,"asOf":1}`, key(pages), value)
			}))
			defer server.Close()
			store := platform.NewStore(strings.TrimPrefix(server.URL, "http://"))
			go elmfollower.New(store, elmlog.NewJSON("test", io.Discard)).Run(t.Context())
			if n := <-ended; n > limit {
				t.Errorf("read %d pages of 1 MB", n)
			}
		})
	}
}
