package elmrouter_test

import (
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
