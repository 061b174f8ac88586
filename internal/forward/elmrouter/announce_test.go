package elmrouter_test

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/elmcove/elmcove/platform/stand"
)

// callMany sends n requests, all of which must be served.
func (f *fixture) callMany(n int) {
	f.t.Helper()
	for range n {
		if got := f.call(f.t.Context(), "POST", "/once/a", "", nil); got.status != http.StatusOK {
			f.t.Errorf("status %d, error %v", got.status, got.err)
		}
	}
}

// Guards against requests to an endpoint that announced in a response that it is
// leaving, while its entry in the store still says that it is ready.
func TestEndpointAnnouncesThatItIsLeaving(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 2, nil)
	f.listIncarnation("e0", "ready", 1)
	f.endpoints[0].SetLeaving(true)
	f.eventually("announced", func() bool {
		f.call(t.Context(), "POST", "/once/a", "", nil)
		return strings.Contains(f.log.String(), `"event":1541`)
	})
	before := len(f.endpoints[0].Requests())
	f.callMany(10)
	f.listIncarnation("e0", "ready", 1)
	f.callMany(10)
	if n := len(f.endpoints[0].Requests()) - before; n > 0 {
		t.Errorf("the leaving endpoint received %d requests", n)
	}
	f.endpoints[0].SetLeaving(false)
	f.listIncarnation("e0", "ready", 2)
	f.eventually("back with its next incarnation", func() bool {
		f.call(t.Context(), "POST", "/once/a", "", nil)
		return len(f.endpoints[0].Requests()) > before
	})
}

// Guards against requests to an endpoint that asked for a pause.
func TestEndpointAsksForPause(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 2, nil)
	f.endpoints[0].Pause(1500 * time.Millisecond)
	f.eventually("announced", func() bool {
		f.call(t.Context(), "POST", "/once/a", "", nil)
		return strings.Contains(f.log.String(), `"event":1542`)
	})
	f.callMany(20)
	f.eventually("ended", func() bool {
		f.call(t.Context(), "POST", "/once/a", "", nil)
		return strings.Contains(f.log.String(), `"event":1543`)
	})
	paused := 0
	for _, r := range f.endpoints[0].Requests() {
		if !r.PausedUntil.IsZero() {
			paused++
		}
	}
	if paused != 1 {
		t.Errorf("the endpoint received %d requests in its pause, want the first only", paused)
	}
}

// Guards against callers who wait, or return too early, while all endpoints pause.
func TestAllEndpointsPause(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 2, nil)
	for _, e := range f.endpoints {
		e.Pause(5 * time.Second)
	}
	f.call(t.Context(), "POST", "/once/a", "", nil)
	start := time.Now()
	got := f.call(t.Context(), "POST", "/once/a", "", map[string]string{"Deadline-Ms": "9000"})
	after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	if got.status != http.StatusServiceUnavailable || err != nil || after < 4 || after > 6.1 {
		t.Errorf("status %d, Retry-After %q", got.status, got.header.Get("Retry-After"))
	}
	if held := time.Since(start); held > 500*time.Millisecond {
		t.Errorf("refused after %v, want at once", held)
	}
	if n := len(f.runs()); n != 2 {
		t.Errorf("the endpoints received %d requests, want 2", n)
	}
}

// Guards against callers who wait while all endpoints leave.
func TestAllEndpointsLeave(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 1, nil)
	f.endpoints[0].SetLeaving(true)
	f.call(t.Context(), "POST", "/once/a", "", map[string]string{"Deadline-Ms": "9000"})
	start := time.Now()
	got := f.call(t.Context(), "POST", "/once/a", "", map[string]string{"Deadline-Ms": "4000"}) // A retry by its deadline.
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" || len(f.runs()) != 1 {
		t.Errorf("status %d, Retry-After %q, %d requests sent", got.status, got.header.Get("Retry-After"), len(f.runs()))
	}
	if held := time.Since(start); held > 500*time.Millisecond {
		t.Errorf("refused after %v, want at once", held)
	}
}

// Guards against a pause that is taken from a header that can't be parsed.
func TestInvalidPause(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 1, nil)
	f.endpoints[0].SetRetryAfter("Fri, 04 Dec 2026 09:00:00 GMT")
	f.next(stand.Reject)
	f.call(t.Context(), "POST", "/once/a", "", nil)
	if !strings.Contains(f.log.String(), `"event":1544`) {
		t.Errorf("no event; log:\n%s", f.log)
	}
	f.callMany(3)
}

// Guards against an entry that does not know what an endpoint announced to another one,
// also after a restart of either.
func TestAnnouncementsAreShared(t *testing.T) {
	for name, c := range map[string]struct {
		announce func(e *stand.Endpoint)
		event    string
	}{
		"leaving":    {func(e *stand.Endpoint) { e.SetLeaving(true) }, `"event":1541`},
		"pause":      {func(e *stand.Endpoint) { e.Pause(time.Minute) }, `"event":1542`},
		"rate limit": {func(e *stand.Endpoint) { e.SetRateLimit("0") }, `"event":1545`},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, 2, nil)
			second := f.addEntry("entry-2")
			c.announce(f.endpoints[0])
			f.eventually("announced", func() bool {
				f.call(t.Context(), "POST", "/once/a", "", nil)
				return strings.Contains(f.log.String(), c.event)
			})
			<-time.After(2 * time.Second)
			f.stop()
			before := len(f.endpoints[0].Requests())
			second.callMany(20)
			second.addEntry("entry-3").callMany(20)
			if n := len(f.endpoints[0].Requests()) - before; n > 0 {
				t.Errorf("the endpoint received %d requests from entries that it had not told", n)
			}
		})
	}
}
