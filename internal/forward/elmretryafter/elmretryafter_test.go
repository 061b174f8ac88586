package elmretryafter_test

import (
	"testing"
	"time"

	"github.com/elmcove/elmcove/internal/forward/elmretryafter"
)

// TestAfter checks that retry delays are spread around the requested delay and stay
// within the third of the remaining time that callers honour.
func TestAfter(t *testing.T) {
	for name, c := range map[string]struct {
		remaining, wait   time.Duration
		shortest, longest time.Duration
	}{
		"load":            {8 * time.Second, elmretryafter.OverloadDelay, 800 * time.Millisecond, 1200 * time.Millisecond},
		"broken group":    {8 * time.Second, elmretryafter.BrokenGroupDelay, 2455200 * time.Microsecond, 2640 * time.Millisecond},
		"little time":     {time.Second, elmretryafter.OverloadDelay, 306900 * time.Microsecond, 330 * time.Millisecond},
		"no time remains": {-time.Second, elmretryafter.OverloadDelay, time.Millisecond, time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			shortest := elmretryafter.After(c.remaining, c.wait, func() float64 { return 0 })
			longest := elmretryafter.After(c.remaining, c.wait, func() float64 { return 1 })
			if (shortest-c.shortest).Abs() > time.Microsecond || (longest-c.longest).Abs() > time.Microsecond {
				t.Errorf("from %v to %v, want %v to %v", shortest, longest, c.shortest, c.longest)
			}
		})
	}
}
