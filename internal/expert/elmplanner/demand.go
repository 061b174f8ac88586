package elmplanner

import (
	"github.com/elmcove/elmcove/internal/expert/elmgroup"
	"github.com/elmcove/elmcove/internal/expert/elmplan"
	"github.com/elmcove/elmcove/internal/expert/elmrank"
	"github.com/elmcove/elmcove/internal/forward/elmcatalog"
)

// decay is the part of the demand that is remembered after a round. A shift of
// demand is followed within about two seconds.
const decay = 0.7

// demand is how much each expert was asked for lately.
type demand struct {
	weights elmplan.Weights
	last    []elmrank.Counts
}

// add takes what was chosen since the last round and returns the demand, or nil
// while nothing is known.
func (d *demand) add(v elmgroup.View, e elmcatalog.Engine) elmplan.Weights {
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
	for s := range d.weights {
		for x := range d.weights[s] {
			d.weights[s][x] *= decay
		}
	}
	for r, c := range v.Counts {
		if len(c.Counts) != e.Sets*e.Experts {
			continue
		}
		for i, n := range c.Counts {
			// Counts that fall are those of a rank that has started again.
			if before := d.last[r].Counts; len(before) == len(c.Counts) && before[i] <= n {
				n -= before[i]
			}
			d.weights[i/e.Experts][i%e.Experts] += float64(n)
		}
		d.last[r] = c
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
