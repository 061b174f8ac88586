package elmrouter_test

import (
	"net/http"
	"testing"
)

// Guards against a request without an answer whose caller uses a connection that is being closed
// as idle, since the response before does not say for how long it can.
func TestResponsesAnnounceKeepAlive(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 1, nil)
	check := func(want map[string]string) {
		for target, keepAlive := range want {
			got := f.call(t.Context(), "POST", target, "", nil)
			if got.err != nil || got.header.Get("Keep-Alive") != keepAlive {
				t.Errorf("%s: %+v, want Keep-Alive %q", target, got, keepAlive)
			}
		}
	}
	check(map[string]string{"/again/a": "timeout=5", "/stream/a?stream=1": "timeout=5", "/none/a": "timeout=5"})
	f.stop()
	f.eventually("draining", func() bool {
		return f.status("http://"+f.settings.Readiness+"/elmcove/ready") == http.StatusServiceUnavailable
	})
	check(map[string]string{"/again/a": "", "/none/a": ""})
}
