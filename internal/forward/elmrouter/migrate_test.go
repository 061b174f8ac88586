package elmrouter_test

import (
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/elmcove/elmcove/platform/stand"
)

// Guards against callers who wait at a rank that has become slow until they leave: a
// stream without any event moves as well, and other requests stay where they are.
func TestWaitingStreamLeavesSlowRank(t *testing.T) {
	for name, c := range map[string]struct {
		target string
		status int
	}{
		"resumable stream":             {"/stream/a?stream=1", 200},
		"stream that is not resumable": {"/single/a?stream=1", 504},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, 2, nil)
			f.endpoints[1].ShareBehaviours(f.endpoints[0])
			f.endpoints[0].QueueBehaviours(stand.Hang)
			go func() {
				f.eventually("received", func() bool { return len(f.runs()) > 0 })
				f.store.Put("elmcove/slow/desk", []byte(f.addresses[f.runs()[0].Endpoint]+"=6"))
			}()
			began := time.Now()
			got := f.call(t.Context(), "POST", c.target, "", map[string]string{"Deadline-Ms": "3000"})
			if got.status != c.status || c.status == 200 && got.body != wholeStream {
				t.Errorf("status %d after %v, want %d; body %q; log:\n%s", got.status, time.Since(began), c.status, got.body, f.log)
			}
		})
	}
}

// Guards against a stream that is aborted, after its endpoint has broken it off, because the
// other endpoint is full for a moment.
func TestBrokenStreamWaitsForAPlaceElsewhere(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 1, nil)
	f.slots = 1
	f.addEndpoint("e1")
	f.listEndpoint("e0", "draining")
	f.eventually("e0 leaves", func() bool { return strings.Contains(f.log.String(), `"event":1512`) })
	<-time.After(settleTime + time.Second) // The entry uses its share of the budget.
	var wait sync.WaitGroup
	for range 3 { // As many as one slot of a plain service takes.
		wait.Go(func() { f.call(t.Context(), "POST", "/single/a?stream=1&pause=200", "", nil) })
	}
	f.eventually("e1 is full", func() bool { return len(f.endpoints[1].Requests()) == 3 })
	f.listIncarnation("e0", "ready", 2)
	f.endpoints[0].QueueBehaviours(stand.TruncateStream)
	var got result
	f.eventually("broken off", func() bool {
		got = f.call(t.Context(), "POST", "/stream/a?stream=1", "", nil)
		return len(f.endpoints[0].Requests()) > 0
	})
	if got.err != nil || got.body != wholeStream {
		t.Errorf("got %+v; log:\n%s", got, f.log)
	}
	wait.Wait()
}
