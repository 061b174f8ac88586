// Package elmdemand follows which experts of a group are in demand, from the counts
// that its ranks keep.
//
// Older demand fades, and is dropped at once when the demand shifts to other experts.
//
// # Usage
//
//	demand := elmdemand.New(sets, experts)
//	weights := demand.Add(counts, now)
package elmdemand

import (
	"math"
	"time"

	"github.com/elmcove/elmcove/internal/expert/elmplan"
	"github.com/elmcove/elmcove/internal/expert/elmrank"
)

const (
	// memory is the time after which 0.37 of a demand is left, unless it shifts.
	memory = 1400 * time.Millisecond
	// shifted is the part of the demand that must have moved since the last look
	// for what was seen before to be dropped. Measured: 0.03 to 0.15 while nothing
	// shifts, 0.16 to 0.47 when it does.
	shifted = 0.18
)

// Demand is how much each expert was asked for lately. It is not safe for
// concurrent use.
type Demand struct {
	sets    int
	experts int
	weights elmplan.Weights
	last    []elmrank.Counts
	at      time.Duration
}

// New returns the demand of a group of which nothing is known yet.
func New(sets, experts int) *Demand {
	return &Demand{sets: sets, experts: experts, weights: empty(sets, experts)}
}

func empty(sets, experts int) elmplan.Weights {
	weights := make(elmplan.Weights, sets)
	for s := range weights {
		weights[s] = make([]float64, experts)
	}
	return weights
}

// Add takes what each rank has counted since its start and returns the demand, or
// nil while nothing is known. The first counts of a rank say nothing of the
// present: they reach back to its start.
func (d *Demand) Add(counts []elmrank.Counts, now time.Duration) elmplan.Weights {
	if len(d.last) != len(counts) {
		d.last = make([]elmrank.Counts, len(counts))
	}
	left := math.Exp(-float64(now-d.at) / float64(memory))
	d.at = now
	for s := range d.weights {
		for x := range d.weights[s] {
			d.weights[s][x] *= left
		}
	}
	recent := empty(d.sets, d.experts)
	for r, c := range counts {
		if len(c.Counts) != d.sets*d.experts {
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
			recent[i/d.experts][i%d.experts] += float64(n)
		}
	}
	d.merge(recent)
	return d.known()
}

// merge adds recent demand to what is remembered, or replaces it after a shift.
func (d *Demand) merge(recent elmplan.Weights) {
	if moved(recent, d.weights) > shifted {
		d.weights = recent
		return
	}
	for s := range recent {
		for x, n := range recent[s] {
			d.weights[s][x] += n
		}
	}
}

// moved returns the part of the demand that is for other experts than before, as
// the mean over all sets: 0 if nothing differs or one of both is empty.
func moved(recent, before elmplan.Weights) float64 {
	sum := 0.0
	for s := range recent {
		now, then := total(recent[s]), total(before[s])
		if now == 0 || then == 0 {
			continue
		}
		for x := range recent[s] {
			sum += math.Abs(recent[s][x]/now-before[s][x]/then) / 2
		}
	}
	return sum / float64(max(len(recent), 1))
}

func total(weights []float64) float64 {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	return sum
}

// known returns the demand, or nil if none was seen.
func (d *Demand) known() elmplan.Weights {
	if len(d.weights) == 0 || total(d.weights[0]) == 0 {
		return nil
	}
	return d.weights
}
