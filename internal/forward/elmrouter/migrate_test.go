package elmrouter_test

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
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

// Guards against callers who wait at an endpoint that accepts their streams and says nothing
// more, until they leave, although others of its service make progress.
func TestStreamsLeaveSilentEndpoint(t *testing.T) {
	const callers = 8
	for name, c := range map[string]struct {
		route string
		// both means that no endpoint makes progress.
		both bool
		// whole are the fewest and the most whole streams.
		fewest, most int
	}{
		"resumable streams":                        {route: "/stream/", fewest: callers, most: callers},
		"streams that are not resumable":           {route: "/single/", fewest: 1, most: callers - 1},
		"resumable, but nobody makes any progress": {route: "/stream/", both: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, 2, nil)
			<-time.After(settleTime + time.Second) // The entry uses its share of the budget.
			f.endpoints[0].QueueBehaviours(slices.Repeat([]stand.Behaviour{stand.Hang}, 2*callers)...)
			if c.both {
				f.endpoints[1].ShareBehaviours(f.endpoints[0])
			}
			var whole atomic.Int32
			var wait sync.WaitGroup
			for i := range callers {
				wait.Go(func() {
					<-time.After(time.Duration(i) * 200 * time.Millisecond) // New requests are no sign of life.
					got := f.call(t.Context(), "POST", c.route+"a?stream=1&pause=300", "", map[string]string{"Deadline-Ms": "4500"})
					if got.err == nil && got.body == wholeStream {
						whole.Add(1)
					}
				})
			}
			wait.Wait()
			if n := int(whole.Load()); n < c.fewest || n > c.most {
				t.Errorf("%d of %d streams are whole, want %d to %d; log:\n%s", n, callers, c.fewest, c.most, f.log)
			}
			if got := len(f.runs()); c.most < callers && got != callers {
				t.Errorf("%d requests reached endpoints, want %d", got, callers)
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
		// The streams that fill e1 last over a second on a busy machine.
		got = f.call(t.Context(), "POST", "/stream/a?stream=1", "", map[string]string{"Deadline-Ms": "4500"})
		return len(f.endpoints[0].Requests()) > 0
	})
	if got.err != nil || got.body != wholeStream {
		t.Errorf("got %+v; log:\n%s", got, f.log)
	}
	wait.Wait()
}
