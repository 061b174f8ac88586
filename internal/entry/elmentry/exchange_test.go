package elmentry

import (
	"context"
	"testing"
	"time"

	"github.com/elmcove/elmcove/internal/entry/elmrequest"
	"github.com/elmcove/elmcove/internal/observe/elmlog"
)

// Guards against a response that is thrown away because the deadline has passed before a busy
// process read it.
func TestWait(t *testing.T) {
	for name, c := range map[string]struct {
		arrived bool
		late    int
		until   time.Duration
		want    elmrequest.Message
	}{
		"response before the deadline":      {arrived: true, until: time.Minute, want: elmrequest.Ended{}},
		"deadline has passed":               {want: elmrequest.Expired{}},
		"response, and deadline has passed": {arrived: true, want: elmrequest.Ended{}},
		"response without end":              {arrived: true, late: 16, want: elmrequest.Expired{}},
	} {
		t.Run(name, func(t *testing.T) {
			for range 50 { // The choice between several events that are ready is random.
				entry := &Entry{logger: elmlog.Discard()}
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
