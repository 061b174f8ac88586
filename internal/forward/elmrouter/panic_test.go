package elmrouter

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/elmcove/elmcove/internal/observe/elmlog"
	"github.com/elmcove/elmcove/platform"
)

// Guards against an unexpected error in one request that ends the process, holds a lock, or
// leaves its caller without an answer.
func TestPanicEndsOneRequest(t *testing.T) {
	var log bytes.Buffer
	r := New(platform.Settings{Instance: "entry-1", Ports: []int{1}}, elmlog.NewJSON("entry-1", &log))
	r.placer = nil
	w := httptest.NewRecorder()
	request := httptest.NewRequest(http.MethodPost, "/once/a", nil)
	a := admitted{requestInfo: platform.RequestInfo{Attempt: "a1"}}
	a.signatures = signaturesOf(request, a)
	r.deliver(t.Context(), w, request, a)
	if w.Code != http.StatusBadGateway || !strings.Contains(w.Body.String(), "unknown") {
		t.Errorf("status %d, body %q; want 502 with an unknown outcome", w.Code, w.Body)
	}
	if !strings.Contains(log.String(), `"event":1009`) || !strings.Contains(log.String(), "request a1") {
		t.Errorf("the panic is not logged with its request: %s", &log)
	}
	if !r.mutex.TryLock() {
		t.Error("the router's lock is held")
	}
}
