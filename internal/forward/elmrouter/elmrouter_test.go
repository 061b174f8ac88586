package elmrouter_test

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/elmcove/elmcove/platform"
	"github.com/elmcove/elmcove/platform/stand"
)

const wholeStream = "id: 1\ndata: event 1\n\nid: 2\ndata: event 2\n\nid: 3\ndata: event 3\n\n" +
	"id: 4\ndata: event 4\n\nid: 5\ndata: event 5\n\nid: 6\ndata: event 6\n\n"

func TestRequestIsPassedOn(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 1, nil)
	got := w.ask(t.Context(), "POST", "/once/a%2Fb?q=1", "body", map[string]string{
		"Tenant": "forged", "X-Own": "kept", "Connection": "X-Hop", "X-Hop": "dropped", "Token-Count": "40,20",
	})
	if got.err != nil || got.status != http.StatusOK || got.body != "answer of e0" || got.header.Get("Response-Seal") != "seal-e0" {
		t.Fatalf("got %+v", got)
	}
	run := w.runs()[0]
	if run.Target != "/once/a%2Fb?q=1" || run.Body != "body" || run.Attempt != "attempt-1" {
		t.Errorf("the endpoint got %+v", run)
	}
	for name, want := range map[string]string{
		"Tenant": "crew", "Credential": "", "X-Own": "kept", "X-Hop": "", "Token-Count": "40,20", "Expect-Instance": "e0",
	} {
		if got := run.Header.Get(name); got != want {
			t.Errorf("%s is %q, want %q", name, got, want)
		}
	}
	if left, err := strconv.Atoi(run.Header.Get("Deadline-Ms")); err != nil || left > 1500 || left < 1000 {
		t.Errorf("the endpoint has %d ms", left)
	}
}

// outcomeCases give what a caller gets when endpoints behave badly, and how often
// the request runs.
var outcomeCases = map[string]struct {
	target    string
	headers   map[string]string
	body      string
	behaviour []stand.Behaviour
	status    int
	runs      int
	sent      int
	// back means that the caller is told when to come back.
	back bool
}{
	"rejected goes elsewhere":               {target: "/once/a", behaviour: []stand.Behaviour{stand.Reject}, status: 503, runs: 0, sent: 2, back: true},
	"lost answer of work that runs once":    {target: "/once/a", behaviour: []stand.Behaviour{stand.Lose}, status: 502, runs: 1, sent: 1},
	"lost answer of work that may repeat":   {target: "/again/a", behaviour: []stand.Behaviour{stand.Lose}, status: 502, runs: 2, sent: 2},
	"failure of work that runs once":        {target: "/once/a", behaviour: []stand.Behaviour{stand.FailOnce}, status: 500, runs: 1, sent: 1},
	"failure of work that may repeat":       {target: "/again/a", behaviour: []stand.Behaviour{stand.FailOnce}, status: 500, runs: 2, sent: 2},
	"no answer in the route's time":         {target: "/once/a", behaviour: []stand.Behaviour{stand.Hang}, status: 504, runs: 1, sent: 1},
	"unknown route":                         {target: "/nowhere", status: 404},
	"unknown credential":                    {target: "/once/a", headers: map[string]string{"Credential": "wrong"}, status: 401},
	"public route without credential":       {target: "/open/a", headers: map[string]string{"Credential": ""}, status: 200, runs: 1, sent: 1},
	"body too large":                        {target: "/once/a", body: strings.Repeat("x", 1001), status: 413},
	"headers too large":                     {target: "/once/a", headers: map[string]string{"X": strings.Repeat("x", 5000)}, status: 431},
	"stream that can't be resumed and lost": {target: "/single/a?stream=1", behaviour: []stand.Behaviour{stand.Lose}, status: 502, runs: 1, sent: 1},
}

func TestOutcomes(t *testing.T) {
	for name, c := range outcomeCases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, 2, nil)
			w.next(c.behaviour...)
			got := w.ask(t.Context(), "POST", c.target, c.body, c.headers)
			if got.err != nil || got.status != c.status {
				t.Fatalf("status %d, error %v, want %d; log:\n%s", got.status, got.err, c.status, w.log)
			}
			if seen := w.runs(); ran(seen) != c.runs || len(seen) != c.sent {
				t.Errorf("ran %d times, sent %d times; want %d and %d", ran(seen), len(seen), c.runs, c.sent)
			}
			if back := got.header.Get("Retry-After") != ""; back != c.back {
				t.Errorf("told to come back: %v, want %v", back, c.back)
			}
			promise := c.status == 503 || c.status == 408 || c.status == 429
			if promise && ran(w.runs()) > 0 {
				t.Error("promised not to have run, though it has")
			}
		})
	}
}

func TestStreams(t *testing.T) {
	for name, c := range map[string]struct {
		target    string
		behaviour []stand.Behaviour
		headers   map[string]string
		want      string
		whole     bool
		runs      int
	}{
		"whole":                     {target: "/stream/a?stream=1", want: wholeStream, whole: true, runs: 1},
		"resumed in one answer":     {target: "/stream/a?stream=1", behaviour: []stand.Behaviour{stand.CutStream}, want: wholeStream, whole: true, runs: 2},
		"cut and not to be resumed": {target: "/single/a?stream=1", behaviour: []stand.Behaviour{stand.CutStream}, want: wholeStream[:42], runs: 1},
		"resumed by the caller": {
			target: "/stream/a?stream=1", headers: map[string]string{"Last-Event-Id": "4"}, want: wholeStream[84:], whole: true, runs: 1,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, 2, nil)
			for _, e := range w.endpoints[:1] {
				e.Next(c.behaviour...)
			}
			if len(c.behaviour) > 0 { // Only the first endpoint cuts, so it must be the only one.
				w.store.Delete("servers/e1")
				w.eventually("one endpoint", func() bool { return strings.Contains(w.log.String(), "entry removed") })
				go func() {
					w.eventually("sent", func() bool { return len(w.runs()) > 0 })
					w.add("e2")
				}()
				c.target += "&pause=300"
			}
			headers := map[string]string{"Deadline-Ms": "5000"}
			maps.Copy(headers, c.headers)
			got := w.ask(t.Context(), "POST", c.target, "", headers)
			if (got.err == nil) != c.whole || got.body != c.want {
				t.Errorf("error %v, body %q, want %q; log:\n%s", got.err, got.body, c.want, w.log)
			}
			if n := ran(w.runs()); n != c.runs {
				t.Errorf("ran %d times, want %d", n, c.runs)
			}
		})
	}
}

// TestCallerLeaves: the endpoint's work is stopped.
func TestCallerLeaves(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 1, nil)
	w.next(stand.Hang)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		w.eventually("sent", func() bool { return len(w.runs()) > 0 })
		cancel()
	}()
	if got := w.ask(ctx, "POST", "/once/a", "", nil); got.err == nil {
		t.Errorf("got %+v", got)
	}
	select {
	case <-w.endpoints[0].Left():
	case <-time.After(500 * time.Millisecond):
		t.Error("the endpoint still works half a second after the caller has left")
	}
}

// TestLeavingEndpoint: an endpoint that begins to leave gets no work that another
// can take.
func TestLeavingEndpoint(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 2, nil)
	w.list("e0", "draining")
	w.eventually("leaving", func() bool { return strings.Contains(w.log.String(), "endpoint is leaving") })
	for range 5 {
		if got := w.ask(t.Context(), "POST", "/once/a", "", nil); got.body != "answer of e1" {
			t.Fatalf("got %+v", got)
		}
	}
}

// TestUnreadableEntries: entries of other writers name no endpoint and spoil
// nothing else.
func TestUnreadableEntries(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 1, nil)
	for i, bad := range []string{
		"", "\xff\xfe", `{"service":1}`, `{"service":"desk"}`, `[]`,
		`{"service":"desk","address":"127.0.0.1:1","zone":"home","slots":4,"state":"asleep","coldLeftMs":0}`,
		`{"service":"desk","address":"127.0.0.1:1","zone":"home","slots":"4","state":"ready","coldLeftMs":0}`,
	} {
		w.store.Put(fmt.Sprintf("servers/bad%d", i), []byte(bad))
	}
	w.eventually("logged", func() bool { return strings.Count(w.log.String(), "can't be read") >= 7 })
	for range 8 {
		if got := w.ask(t.Context(), "POST", "/once/a", "", nil); got.body != "answer of e0" {
			t.Fatalf("got %+v", got)
		}
	}
}

// TestRevokedCredential: a credential that was taken away is refused, and with a
// store that is down all credentials are, before their time is over.
func TestRevokedCredential(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 1, func(s *platform.Settings) { s.Bounds.Revoke = 3500 * time.Millisecond })
	w.store.Put("op/config", configuration(2, "other"))
	w.eventually("refused", func() bool { return w.ask(t.Context(), "POST", "/once/a", "", nil).status == http.StatusUnauthorized })
	w.store.Put("op/config", configuration(3, credential))
	w.eventually("served", func() bool { return w.ask(t.Context(), "POST", "/once/a", "", nil).status == http.StatusOK })
	w.store.Refuse(func(*http.Request) bool { return true })
	down := time.Now()
	w.eventually("refused", func() bool {
		got := w.ask(t.Context(), "POST", "/once/a", "", nil)
		return got.status == http.StatusServiceUnavailable && got.header.Get("Retry-After") != ""
	})
	if elapsed := time.Since(down); elapsed > 3500*time.Millisecond {
		t.Errorf("credentials were taken for %v without the store", elapsed)
	}
	if got := w.ask(t.Context(), "GET", "/open/a", "", nil); got.status != http.StatusOK {
		t.Errorf("a public route is refused: %+v", got)
	}
	if w.status("http://"+w.settings.Readiness+platform.ReadinessPath) == http.StatusOK {
		t.Error("the entry still asks for new connections")
	}
}

// TestNeighbourReachesTheStore: an entry that the store turns away goes on with
// what a neighbour has read, and learns changes from it.
func TestNeighbourReachesTheStore(t *testing.T) {
	t.Parallel()
	first := newWorld(t, 1, nil)
	var turnedAway atomic.Bool
	path := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if turnedAway.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		first.store.ServeHTTP(w, r)
	}))
	t.Cleanup(path.Close)
	t.Cleanup(path.CloseClientConnections)
	second := newWorld(t, 0, func(s *platform.Settings) {
		s.Instance, s.Store = "entry-2", strings.TrimPrefix(path.URL, "http://")
	})
	second.eventually("registered", func() bool { return first.store.Value("elmcove/entries/entry-1") != "" })
	if got := second.ask(t.Context(), "POST", "/once/a", "", nil); got.status != http.StatusOK {
		t.Fatalf("got %+v", got)
	}
	turnedAway.Store(true)
	first.store.Put("op/config", configuration(2, "other"))
	second.eventually("told of the change", func() bool {
		return second.ask(t.Context(), "POST", "/once/a", "", nil).status == http.StatusUnauthorized
	})
}

// TestHistoryDropped: an endpoint that left while the history was dropped is
// found out by a new read.
func TestHistoryDropped(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 2, nil)
	w.store.Forget()
	w.store.Delete("servers/e0")
	w.store.Forget()
	w.eventually("gone", func() bool { return strings.Contains(w.log.String(), "entry removed") })
	if got := w.ask(t.Context(), "POST", "/once/a", "", nil); got.body != "answer of e1" {
		t.Errorf("got %+v", got)
	}
}

// TestShutdown: requests that were taken are finished, also streams, and the
// entry is not ready meanwhile.
func TestShutdown(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 1, func(s *platform.Settings) { s.Bounds.Grace = 6 * time.Second })
	answered := make(chan result, 1)
	go func() {
		answered <- w.ask(t.Context(), "POST", "/stream/a?stream=1&pause=200", "", map[string]string{"Deadline-Ms": "5000"})
	}()
	w.eventually("sent", func() bool { return len(w.runs()) > 0 })
	w.stop()
	w.eventually("not ready", func() bool {
		return w.status("http://"+w.settings.Readiness+platform.ReadinessPath) != http.StatusOK
	})
	if got := w.ask(t.Context(), "POST", "/once/a", "", nil); got.status != http.StatusOK {
		t.Errorf("a request on the way was refused: %+v", got)
	}
	if got := <-answered; got.err != nil || got.body != wholeStream {
		t.Errorf("the stream was cut: %+v", got)
	}
	if err := <-w.done; err != nil {
		t.Errorf("ended with %v", err)
	}
	w.done <- nil
}

// TestReturningCallerWaits: a caller that comes back to a service without a
// place waits a little for one, where others are refused at once.
func TestReturningCallerWaits(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 1, nil)
	w.store.Delete("servers/e0")
	w.eventually("gone", func() bool { return strings.Contains(w.log.String(), "entry removed") })
	began := time.Now()
	if got := w.ask(t.Context(), "POST", "/once/a", "", nil); got.status != http.StatusServiceUnavailable || time.Since(began) > 300*time.Millisecond {
		t.Errorf("got %+v after %v", got, time.Since(began))
	}
	answered := make(chan result, 1)
	go func() {
		answered <- w.ask(t.Context(), "POST", "/once/a", "", map[string]string{"Deadline-Ms": "1200"})
	}()
	w.add("e1")
	if got := <-answered; got.body != "answer of e1" {
		t.Errorf("the returning caller got %+v", got)
	}
}

// TestOrderAtTheEndpoint: requests wait at an endpoint by the urgency of their
// workspace, or else of their route, and those of returning callers, whose objective
// has passed, behind others of the same urgency.
func TestOrderAtTheEndpoint(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 1, nil)
	for _, c := range []struct{ target, deadline, want string }{
		{"/once/a", "1500", "2"}, {"/once/a", "900", "3"}, {"/open/a", "1500", "4"}, {"/open/a", "900", "5"},
	} {
		w.ask(t.Context(), "POST", c.target, "", map[string]string{"Deadline-Ms": c.deadline, "Request-Priority": "0"})
		runs := w.runs()
		if got := runs[len(runs)-1].Header.Get("Request-Priority"); got != c.want {
			t.Errorf("%s with %s ms left has place %s in the endpoint's queue, want %s", c.target, c.deadline, got, c.want)
		}
	}
}

// TestStreamLeavesSlowRank: a stream goes on elsewhere when its rank turns slow,
// if it may be resumed.
func TestStreamLeavesSlowRank(t *testing.T) {
	for name, c := range map[string]struct {
		target string
		runs   int
	}{
		"may be resumed":  {"/stream/a?stream=1&pause=300", 2},
		"not to be rerun": {"/single/a?stream=1&pause=300", 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, 2, nil)
			go func() {
				w.eventually("sent", func() bool { return len(w.runs()) > 0 })
				w.store.Put("elmcove/slow/desk", []byte(w.addresses[w.runs()[0].Endpoint]+"=6"))
			}()
			got := w.ask(t.Context(), "POST", c.target, "", map[string]string{"Deadline-Ms": "5000"})
			if got.err != nil || got.body != wholeStream {
				t.Errorf("error %v, body %q; log:\n%s", got.err, got.body, w.log)
			}
			runs := w.runs()
			if len(runs) != c.runs {
				t.Fatalf("%d runs, want %d; log:\n%s", len(runs), c.runs, w.log)
			}
			if c.runs == 1 {
				return
			}
			first, second := runs[0].Header.Get("Last-Event-Id"), runs[1].Header.Get("Last-Event-Id")
			if runs[0].Endpoint == runs[1].Endpoint || (first == "") == (second == "") {
				t.Errorf("one run must go on with the other's events: %+v", runs)
			}
		})
	}
}

// TestReturningCallerIsAnsweredInTime: a returning caller whose request was
// rejected late is answered before it gives up, two seconds after it asked.
func TestReturningCallerIsAnsweredInTime(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 1, nil)
	w.ask(t.Context(), "POST", "/stream/a?stream=1", "", map[string]string{"Deadline-Ms": "5000"})
	w.next(stand.RejectLate)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	got := w.ask(ctx, "POST", "/stream/a?stream=1", "", map[string]string{"Deadline-Ms": "4000"})
	if got.err != nil || got.status != http.StatusServiceUnavailable {
		t.Errorf("got %+v within two seconds; log:\n%s", got, w.log)
	}
}
