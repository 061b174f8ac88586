package elmentry

import (
	"context"
	"testing"
	"time"

	"github.com/elmcove/elmcove/internal/entry/elmrequest"
	"github.com/elmcove/elmcove/internal/observe/elmlog"
)

// Guards against a response that is thrown away because the deadline has passed before a busy
// process read it, and against requests that are open when the entry ends and get no answer.
func TestWait(t *testing.T) {
	for name, c := range map[string]struct {
		arrived, ending bool
		late            int
		until           time.Duration
		want            elmrequest.Message
	}{
		"response before the deadline":      {arrived: true, until: time.Minute, want: elmrequest.Ended{}},
		"deadline has passed":               {want: elmrequest.Expired{}},
		"response, and deadline has passed": {arrived: true, want: elmrequest.Ended{}},
		"entry ends":                        {ending: true, until: time.Minute, want: elmrequest.Expired{}},
		"response, and entry ends":          {arrived: true, ending: true, until: time.Minute, want: elmrequest.Ended{}},
		"entry ends after the deadline":     {ending: true, want: elmrequest.Expired{}},
		"response without end":              {arrived: true, late: 16, want: elmrequest.Expired{}},
	} {
		t.Run(name, func(t *testing.T) {
			for range 50 { // The choice between several events that are ready is random.
				entry := &Entry{logger: elmlog.Discard(), ending: make(chan struct{})}
				if c.ending {
					close(entry.ending)
				}
				x := &exchange{entry: entry, ctx: context.Background(), deadline: time.Now().Add(c.until), late: c.late, messages: make(chan elmrequest.Message, 1)}
				if c.arrived {
					x.messages <- elmrequest.Ended{}
				}
				if got := x.wait(); got != c.want {
					t.Fatalf("got %T, want %T", got, c.want)
				}
			}
		})
	}
}
