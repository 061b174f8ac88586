package elmexchange_test

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/elmcove/elmcove/internal/forward/elmexchange"
)

// silence is how long a sound endpoint may be silent, with a margin.
const silence = 2500 * time.Millisecond

// Guards against a request that is cut, and can't be sent elsewhere, because a sound endpoint
// reads nothing for a while.
func TestSilentEndpoint(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		size    int
		movable bool
		whole   bool
	}{
		"body fits the socket buffers":           {size: 100, whole: true},
		"body fills the socket buffers":          {size: 16 << 20, whole: true},
		"body fits the socket buffers, movable":  {size: 100, movable: true, whole: true},
		"body fills the socket buffers, movable": {size: 16 << 20, movable: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			opened := 0
			e := newEndpointAfter(t, silence, []string{framed["length"]})
			r := request("1")
			r.Watch, r.Body = &elmexchange.Watch{}, bytes.Repeat([]byte("x"), c.size)
			decide := time.AfterFunc(silence/5, func() { r.Watch.SetMovable(c.movable) })
			defer decide.Stop()
			ctx, cancel := context.WithTimeout(t.Context(), 3*silence)
			defer cancel()
			began := time.Now()
			response, err := newClient(&opened).Do(ctx, e.address(), r)
			if c.whole != (err == nil) || !c.whole && time.Since(began) > silence {
				t.Errorf("got %v after %v", err, time.Since(began))
			}
			if err == nil {
				response.Close()
			}
		})
	}
}
