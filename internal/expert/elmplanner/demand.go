package elmplanner

import (
	"math"
	"time"

	"github.com/elmcove/elmcove/internal/expert/elmgroup"
	"github.com/elmcove/elmcove/internal/expert/elmplan"
	"github.com/elmcove/elmcove/internal/expert/elmrank"
	"github.com/elmcove/elmcove/internal/forward/elmcatalog"
)

// memory is the time after which 0.37 of a demand is left. A shift of demand is
// followed within about two seconds.
const memory = 1400 * time.Millisecond

// demand is how much each expert was asked for lately.
type demand struct {
	weights elmplan.Weights
	last    []elmrank.Counts
	at      time.Duration
}

// add takes what was chosen since the last counts and returns the demand, or nil
// while nothing is known. The first counts of a rank say nothing of the present:
// they reach back to its start.
func (d *demand) add(v elmgroup.View, e elmcatalog.Engine, now time.Duration) elmplan.Weights {
	if len(d.last) != len(v.Counts) {
		d.last = make([]elmrank.Counts, len(v.Counts))
	}
	if len(d.weights) != e.Sets {
		d.weights = make(elmplan.Weights, e.Sets)
		for s := range d.weights {
			d.weights[s] = make([]float64, e.Experts)
		}
	}
	if !v.Counted {
		return d.known()
	}
	left := math.Exp(-float64(now-d.at) / float64(memory))
	d.at = now
	for s := range d.weights {
		for x := range d.weights[s] {
			d.weights[s][x] *= left
		}
	}
	for r, c := range v.Counts {
		if len(c.Counts) != e.Sets*e.Experts {
			continue
		}
		before := d.last[r].Counts
		d.last[r] = c
		if len(before) != len(c.Counts) {
			continue
		}
		for i, n := range c.Counts {
			// Counts that fall are those of a rank that has started again.
			if before[i] <= n {
				n -= before[i]
			}
			d.weights[i/e.Experts][i%e.Experts] += float64(n)
		}
	}
	return d.known()
}

// known returns the demand, or nil if none was seen.
func (d *demand) known() elmplan.Weights {
	for _, w := range d.weights[0] {
		if w > 0 {
			return d.weights
		}
	}
	return nil
}
