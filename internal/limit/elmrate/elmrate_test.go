package elmrate_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/elmcove/elmcove/internal/limit/elmrate"
	"github.com/elmcove/elmcove/internal/limit/elmshare"
)

const (
	limitWindow = 4 * time.Second
	step        = 20 * time.Millisecond
	length      = 40 * time.Second
)

// Guards against LIMIT: entries that together send more than an endpoint's rate allows,
// in any window, and against a rate of which little can be used.
func TestShares(t *testing.T) {
	for name, c := range map[string]struct {
		entries int
		rate    float64
		// idle is how long the entries have no requests before they all have many.
		idle time.Duration
		// missing is the number of entries that are not listed.
		missing int
		// leastUsed is the least part of the rate that must be used.
		leastUsed float64
	}{
		"one entry":                     {entries: 1, rate: 2.2, leastUsed: 0.9},
		"few entries":                   {entries: 7, rate: 2.2, leastUsed: 0.9},
		"few entries, high rate":        {entries: 7, rate: 40, leastUsed: 0.9},
		"few entries, low rate":         {entries: 7, rate: 0.3, leastUsed: 0.7},
		"many entries":                  {entries: 38, rate: 2.5, leastUsed: 0.8},
		"many entries, high rate":       {entries: 120, rate: 30, leastUsed: 0.8},
		"all begin after an idle time":  {entries: 38, rate: 2.5, idle: 20 * time.Second, leastUsed: 0.4},
		"entries that are not listed":   {entries: 7, rate: 5, missing: 5, leastUsed: 0.2},
		"no request":                    {entries: 7, rate: 0},
		"many entries, all begin again": {entries: 120, rate: 6, idle: 30 * time.Second, leastUsed: 0.2},
	} {
		t.Run(name, func(t *testing.T) {
			var names []string
			for i := range c.entries {
				names = append(names, fmt.Sprintf("entry-%d", i))
			}
			var lists []*elmrate.List
			var positions []int
			for i, name := range names {
				lists = append(lists, elmrate.New(rand.New(rand.NewPCG(uint64(i), 23))))
				lists[i].Set("e", 1, c.rate, 0)
				ledger := elmshare.New(name)
				ledger.Update(names[:c.entries-c.missing], 0)
				positions = append(positions, ledger.Position("e"))
			}
			var sent []time.Duration
			for now := c.idle; now < length; now += step {
				for i, l := range lists {
					if l.Allows("e", 1, positions[i], c.entries, now) {
						l.Take("e")
						sent = append(sent, now)
					}
				}
			}
			allowed := 1.5*limitWindow.Seconds()*c.rate + 5
			for first := range sent {
				n := 0
				for _, at := range sent[first:] {
					if at < sent[first]+limitWindow {
						n++
					}
				}
				if float64(n) > allowed {
					t.Fatalf("%d requests in %v, %.1f allowed", n, limitWindow, allowed)
				}
			}
			if least := c.leastUsed * c.rate * length.Seconds(); float64(len(sent)) < least {
				t.Errorf("%d requests in %v, want %.0f at least", len(sent), length, least)
			}
		})
	}
}

// Guards against a rate that outlives its announcement or its incarnation, and against
// late responses of an earlier incarnation.
func TestRecords(t *testing.T) {
	allows := func(l *elmrate.List, started int64) bool {
		return l.Allows("e", started, 0, 1, 0)
	}
	for name, c := range map[string]struct {
		change  func(l *elmrate.List)
		started int64
		want    bool
	}{
		"no rate":                      {change: func(*elmrate.List) {}, started: 5, want: true},
		"rate":                         {change: func(l *elmrate.List) { l.Set("e", 5, 0, 0) }, started: 5},
		"ended":                        {change: func(l *elmrate.List) { l.Set("e", 5, 0, 0); l.End("e", 5) }, started: 5, want: true},
		"later incarnation":            {change: func(l *elmrate.List) { l.Set("e", 5, 0, 0) }, started: 6, want: true},
		"rate of the former one":       {change: func(l *elmrate.List) { l.Set("e", 6, 0, 0); l.Set("e", 5, 9, 0) }, started: 6},
		"end of the former one":        {change: func(l *elmrate.List) { l.Set("e", 6, 0, 0); l.End("e", 5) }, started: 6},
		"no longer listed for a while": {change: func(l *elmrate.List) { l.Set("e", 5, 0, 0); forget(l, time.Minute) }, started: 5},
		"no longer listed for long":    {change: func(l *elmrate.List) { l.Set("e", 5, 0, 0); forget(l, time.Second); forget(l, time.Hour) }, started: 5, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			l := elmrate.New(rand.New(rand.NewPCG(1, 2)))
			c.change(l)
			if got := allows(l, c.started); got != c.want {
				t.Errorf("allowed: %v, want %v", got, c.want)
			}
		})
	}
}

func forget(l *elmrate.List, now time.Duration) {
	l.Forget(func(string) bool { return false }, now)
}
