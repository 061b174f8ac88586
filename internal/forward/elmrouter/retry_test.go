package elmrouter_test

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/elmcove/elmcove/platform"
	"github.com/elmcove/elmcove/platform/stand"
)

// settleTime is how long an entry is listed before it uses its shares.
const settleTime = 2 * time.Second

// Guards against retries that are taken from the budget by requests without attempts
// left, and are missing where they could have been used.
func TestRetriesAreTakenOnlyWithAttemptsLeft(t *testing.T) {
	t.Parallel()
	const burst, usable, attempts = 8, 6, 2 // A share of the burst is usable.
	f := newFixture(t, attempts*usable, func(s *platform.Settings) {
		s.Bounds.RetryRatio, s.Bounds.RetryBurst, s.Bounds.RetryWindow = 0, burst, settleTime
	})
	<-time.After(settleTime + time.Second) // The entry uses its share when all others know of it.
	for _, h := range f.hosts {
		h.Crash()
	}
	for range usable {
		if got := f.call(t.Context(), "POST", "/once/a", "", nil); got.status != http.StatusServiceUnavailable {
			t.Errorf("got %+v", got)
		}
	}
	sent := 0
	for line := range strings.Lines(f.log.String()) {
		var l struct {
			Event int
			Tried []string
		}
		if json.Unmarshal([]byte(line), &l) == nil && l.Event == 1401 {
			sent += len(l.Tried)
		}
	}
	if sent != attempts*usable {
		t.Errorf("%d attempts of %d requests, want %d", sent, usable, attempts*usable)
	}
}

// Guards against a service that counts as broken because one of its groups is, although
// another one answers, with responses that are no streams.
func TestPlainResponsesAreProgress(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 2, nil)
	document := strings.Replace(string(configuration(2, credential)), `"maxConnections":10`, `"maxConnections":10,"engine":{"slots":4}`, 1)
	f.store.Put("op/config", []byte(document))
	f.eventually("configured", func() bool { return strings.Contains(f.log.String(), `"version":2`) })
	for range 4 {
		if got := f.call(t.Context(), "POST", "/once/a", "", nil); got.status != http.StatusOK {
			t.Fatalf("got %+v", got)
		}
	}
	f.endpoints[0].QueueBehaviours(stand.RejectForFailedRank)
	f.eventually("rejected", func() bool {
		f.call(t.Context(), "POST", "/once/a", "", nil)
		return strings.Contains(f.log.String(), `"event":1532`) || strings.Contains(f.log.String(), `"event":1517`)
	})
	if strings.Contains(f.log.String(), `"event":1517`) {
		t.Error("the service counts as broken")
	}
}

// Guards against leases of an entry that stay in the store because the write of its key
// failed.
func TestFailedRegistrationEndsItsLease(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 1, nil)
	var granted, ended atomic.Int32
	f.store.RefuseWhen(func(r *http.Request) bool {
		switch {
		case strings.HasSuffix(r.URL.Path, "/kv-lease"):
			granted.Add(1)
		case strings.Contains(r.URL.Path, "/kv-lease-end/"):
			ended.Add(1)
		}
		return strings.HasSuffix(r.URL.Path, "/kv-txn")
	})
	f.addEntry("entry-2")
	f.eventually("registered twice in vain", func() bool { return granted.Load() >= 2 })
	f.eventually("ended", func() bool { return ended.Load() >= 1 })
}

// Guards against a group that stays broken because nobody polls it: the entry polls a
// rank until it reports that its group is open, also the second time, and not after its
// own end.
func TestBrokenGroupIsPolledUntilOpen(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 0, nil)
	e := stand.NewEndpoint("e0")
	var open atomic.Bool
	var polls atomic.Int32
	host, err := stand.NewHost(t.Context(), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != platform.ReportPath {
			e.ServeHTTP(w, r)
			return
		}
		polls.Add(1)
		state := "broken"
		if open.Load() {
			state = "open"
		}
		_, _ = w.Write([]byte(`{"group":{"name":"g0","epoch":1,"state":"` + state + `"},"size":1}`))
	}))
	if err != nil {
		t.Fatal(err)
	}
	f.endpoints, f.addresses["e0"] = append(f.endpoints, e), host.Address()
	f.listEndpoint("e0", "ready")
	document := strings.Replace(string(configuration(2, credential)), `"maxConnections":10`, `"maxConnections":10,"engine":{"slots":4}`, 1)
	f.store.Put("op/config", []byte(document))
	served := func() bool { return f.call(t.Context(), "POST", "/once/a", "", nil).status == http.StatusOK }
	f.eventually("configured", func() bool { return strings.Contains(f.log.String(), `"version":2`) && served() })
	<-time.After(1500 * time.Millisecond) // The response no longer counts as progress.
	// After a loss of power, ranks reject requests without naming another one.
	for _, rejection := range []stand.Behaviour{stand.RejectForFailedRank, stand.RejectForFailedRank, stand.Reject} {
		open.Store(false)
		e.QueueBehaviours(rejection)
		before := polls.Load()
		f.call(t.Context(), "POST", "/once/a", "", map[string]string{"Deadline-Ms": "300"})
		f.eventually("polled", func() bool { return polls.Load() > before+2 })
		open.Store(true)
		f.eventually("served again", served)
		<-time.After(1500 * time.Millisecond)
	}
	f.stop()
	if err := <-f.done; err != nil {
		t.Error(err)
	}
	f.done <- nil // The fixture reads it as well.
	ended := polls.Load()
	<-time.After(400 * time.Millisecond)
	if polls.Load() != ended {
		t.Error("ranks are polled after the router's end")
	}
}

// Guards against an endpoint that counts as slow because the time of a whole stream that
// it resumed is taken for its time to the first byte.
func TestResumedStreamIsNoLatency(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 2, nil)
	f.endpoints[1].ShareBehaviours(f.endpoints[0])
	f.endpoints[0].QueueBehaviours(stand.TruncateStream)
	f.eventually("listed", func() bool { return strings.Count(f.log.String(), `"endpoint listed"`) >= 2 })
	got := f.call(t.Context(), "POST", "/stream/a?stream=1&pause=300", "", map[string]string{"Deadline-Ms": "5000"})
	if got.err != nil || got.body != wholeStream {
		t.Fatalf("got %+v; log:\n%s", got, f.log)
	}
	isResumed := func(r stand.ReceivedRequest) bool { return r.Header.Get("Last-Event-Id") != "" }
	i := slices.IndexFunc(f.endpoints, func(e *stand.Endpoint) bool { return slices.ContainsFunc(e.Requests(), isResumed) })
	if i < 0 {
		t.Fatalf("not resumed; log:\n%s", f.log)
	}
	<-time.After(3 * time.Second) // The failure of the other endpoint is forgotten.
	before := len(f.endpoints[i].Requests())
	for range 20 {
		f.call(t.Context(), "POST", "/once/a", "", nil)
	}
	if n := len(f.endpoints[i].Requests()) - before; n < 5 {
		t.Errorf("the endpoint that resumed the stream got %d of 20 requests", n)
	}
}

// Guards against an endpoint's own answer that is given up for a retry, with nowhere to send
// the request to.
func TestFailureIsPassedOnWithNowhereToGo(t *testing.T) {
	for name, c := range map[string]struct {
		endpoints int
		budget    float64
	}{
		"one endpoint":          {1, 90},
		"retry budget is spent": {2, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, c.endpoints, func(s *platform.Settings) { s.Bounds.RetryRatio, s.Bounds.RetryBurst = 0, c.budget })
			<-time.After(settleTime + time.Second) // The entry uses its share of the budget.
			f.next(stand.ServerError)
			if got := f.call(t.Context(), "POST", "/again/a", "", nil); got.err != nil || got.status != http.StatusInternalServerError {
				t.Errorf("got %+v; log:\n%s", got, f.log)
			}
		})
	}
}
