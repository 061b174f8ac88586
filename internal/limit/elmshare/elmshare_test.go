package elmshare_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/elmcove/elmcove/internal/limit/elmshare"
)

const window = time.Second

func names(n int) []string {
	var list []string
	for i := range n {
		list = append(list, fmt.Sprintf("entry-%d", i))
	}
	return list
}

func ledgers(n int) []*elmshare.Ledger {
	var list []*elmshare.Ledger
	for _, name := range names(n) {
		list = append(list, elmshare.New(name))
		list[len(list)-1].Update(names(n), 0)
	}
	return list
}

// Guards against limits that fade with the number of entries: each whole unit of a limit
// belongs to one entry, and the shares differ by one unit at most.
func TestNoUnitIsLost(t *testing.T) {
	for _, entries := range []int{1, 7, 38, 99, 380} {
		for _, limit := range []float64{0, 0.9, 1, 20.6, 336, 1700} {
			t.Run(fmt.Sprintf("%d entries, limit %v", entries, limit), func(t *testing.T) {
				least, most, total := math.MaxInt, 0, 0
				for _, l := range ledgers(entries) {
					share := l.Share("cold/e", limit, window, time.Minute)
					least, most, total = min(least, share), max(most, share), total+share
				}
				if total != int(limit) || most-least > 1 {
					t.Errorf("shares of %d to %d, %d in all, want %d", least, most, total, int(limit))
				}
			})
		}
	}
}

// Guards against limits that all belong to the same few entries.
func TestLimitsBelongToDifferentEntries(t *testing.T) {
	const entries, keys, limit = 380, 1000, 20.0
	for i, l := range ledgers(entries) {
		owned := 0
		for k := range keys {
			owned += l.Share(fmt.Sprintf("e-%d", k), limit, window, time.Minute)
		}
		if owned < 20 || owned > 100 { // The mean is 53.
			t.Errorf("entry %d has %d of %v units", i, owned, keys*limit)
		}
	}
}

// Guards against shares that add up to more than the limit while entries disagree on who
// they are: entries join, leave, restart and learn of each other at different times.
func TestLimitHoldsWhileEntriesDisagree(t *testing.T) {
	const (
		limit      = 20.0
		length     = 45 * time.Second
		step       = 500 * time.Millisecond
		churn      = 3
		propagates = 1500 * time.Millisecond
		// allowed is the limit with the quarter that users of the package leave unused.
		allowed = limit / 0.75
	)
	for _, entries := range []int{7, 38, 99, 380} {
		t.Run(fmt.Sprintf("%d entries", entries), func(t *testing.T) {
			random := rand.New(rand.NewPCG(30, uint64(entries)))
			all := names(entries + entries/2)
			listedFrom, listedUntil := map[string]time.Duration{}, map[string]time.Duration{}
			running := map[string]*elmshare.Ledger{}
			delays := map[string]time.Duration{}
			start := func(name string, now time.Duration) {
				running[name] = elmshare.New(name)
				listedFrom[name], listedUntil[name] = now, length
				delays[name] = time.Duration(random.Int64N(int64(propagates)))
			}
			for _, name := range all[:entries] {
				start(name, 0)
			}
			most := 0
			for now := step; now < length; now += step {
				for range churn {
					name := all[random.IntN(len(all))]
					switch _, runs := running[name]; {
					case runs && random.IntN(2) == 0: // It stops, and its key expires later.
						delete(running, name)
						listedUntil[name] = now + time.Duration(random.Int64N(int64(10*time.Second)))
					case !runs || random.IntN(4) == 0:
						start(name, now)
					}
				}
				total := 0
				for name, l := range running {
					seen := now - delays[name]
					l.Update(slices.DeleteFunc(slices.Clone(all), func(other string) bool {
						from, ever := listedFrom[other]
						return !ever || seen < from || seen > listedUntil[other]
					}), now)
					total += l.Share("cold/e", limit, window, now)
				}
				most = max(most, total)
			}
			if float64(most) > allowed || most == 0 {
				t.Errorf("shares of %d units at most, want up to %.1f", most, allowed)
			}
		})
	}
}

// Guards against shares that are used up twice, by the process before a restart and the
// one after it, and by entries that others do not count yet.
func TestShareAfterStart(t *testing.T) {
	const limit, longWindow = 30.0, 10 * time.Second
	for name, c := range map[string]struct {
		// first are the entries that are listed at the start, and then those a second
		// later.
		first, then []string
		at          time.Duration
		want        int
	}{
		"not listed":           {first: []string{"other"}, then: []string{"other"}, at: time.Minute},
		"just listed":          {then: []string{"self"}, at: 2 * time.Second},
		"listed for a while":   {then: []string{"self"}, at: 3 * time.Second, want: 10},
		"listed before":        {first: []string{"self"}, then: []string{"self"}, at: time.Second, want: 10},
		"after a window":       {then: []string{"self"}, at: 10 * time.Second, want: 30},
		"listed with an other": {then: []string{"self", "other"}, at: 10 * time.Second, want: 15},
	} {
		t.Run(name, func(t *testing.T) {
			l := elmshare.New("self")
			l.Update(c.first, 0)
			l.Update(c.then, time.Second)
			if got := l.Share("e", limit, longWindow, c.at); got != c.want {
				t.Errorf("share of %d, want %d", got, c.want)
			}
		})
	}
}

// Guards against an entry that is cut from the store for longer than the others count it, and
// drops itself from those it divides by (review/4).
func TestLimitHoldsWhileEntriesAreCut(t *testing.T) {
	const limit, allowed = 46.0, 62
	for entries := 2; entries <= 9; entries++ {
		for cut := 1; cut < entries; cut++ {
			t.Run(fmt.Sprintf("%d of %d entries", cut, entries), func(t *testing.T) {
				all := names(entries)
				list := ledgers(entries)
				for now := time.Second; now < time.Minute; now += 500 * time.Millisecond {
					listed := all
					if now > 10*time.Second { // The leases of the entries that are cut have ended.
						listed = all[cut:]
					}
					total, own := 0, 0
					for i, l := range list {
						l.Update(listed, now)
						share := l.Share("cold/e", limit, window, now)
						total += share
						if i < cut {
							own += share
						}
					}
					if total > allowed || own == 0 {
						t.Fatalf("shares of %d units at %v, %d of them of the entries that are cut, want up to %d", total, now, own, allowed)
					}
				}
			})
		}
	}
}
