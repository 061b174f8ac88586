package elmreturn_test

import (
	"testing"
	"time"

	"github.com/elmcove/elmcove/internal/forward/elmreturn"
)

// TestAfter: callers are told to come back spread around the time that was asked
// for, and within the third of their time that they honour.
func TestAfter(t *testing.T) {
	for name, c := range map[string]struct {
		left, wait  time.Duration
		first, last time.Duration
	}{
		"load":            {8 * time.Second, elmreturn.Full, 800 * time.Millisecond, 1200 * time.Millisecond},
		"broken group":    {8 * time.Second, elmreturn.Broken, 2455200 * time.Microsecond, 2640 * time.Millisecond},
		"little time":     {time.Second, elmreturn.Full, 306900 * time.Microsecond, 330 * time.Millisecond},
		"no time is left": {-time.Second, elmreturn.Full, time.Millisecond, time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			first := elmreturn.After(c.left, c.wait, func() float64 { return 0 })
			last := elmreturn.After(c.left, c.wait, func() float64 { return 1 })
			if (first-c.first).Abs() > time.Microsecond || (last-c.last).Abs() > time.Microsecond {
				t.Errorf("from %v to %v, want %v to %v", first, last, c.first, c.last)
			}
		})
	}
}
