// Package elmdemand estimates how much each expert of a group is in demand, from the
// counts of its ranks.
//
// The estimate decays over time. A demand shift, in which other experts become
// popular, discards it at once.
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
	"github.com/elmcove/elmcove/internal/model/elmrank"
)

const (
	// decayTime is the time after which 0.37 (1/e) of a demand is left.
	decayTime = 1400 * time.Millisecond
	// shiftThreshold is the share of the demand that moves to other experts
	// between two polls above which earlier demand is discarded. Without a demand
	// shift 0.03 to 0.15 moves, with one 0.16 to 0.47.
	shiftThreshold = 0.18
)

// Demand estimates the recent demand for each expert of a group. It is not safe for
// concurrent use.
type Demand struct {
	sets      int
	experts   int
	weights   elmplan.Weights
	last      []elmrank.Counts
	updatedAt time.Duration
	shifted   bool
}

// New returns an empty estimate for a group.
func New(sets, experts int) *Demand {
	return &Demand{sets: sets, experts: experts, weights: zeroWeights(sets, experts)}
}

func zeroWeights(sets, experts int) elmplan.Weights {
	weights := make(elmplan.Weights, sets)
	for s := range weights {
		weights[s] = make([]float64, experts)
	}
	return weights
}

// Add applies the counts that each rank has accumulated since its start and returns
// the demand, or nil while it is unknown. The first counts of a rank only serve as a
// baseline, since they cover all the time since its start.
func (d *Demand) Add(counts []elmrank.Counts, now time.Duration) elmplan.Weights {
	if len(d.last) != len(counts) {
		d.last = make([]elmrank.Counts, len(counts))
	}
	recent := make([]float64, d.sets*d.experts)
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
			// A lower count means that the rank has restarted.
			if before[i] <= n {
				n -= before[i]
			}
			recent[i] += float64(n)
		}
	}
	return d.AddRecent(recent, now)
}

// AddRecent applies how often requests have selected each expert since the last call,
// recent[set*experts+expert], and returns the demand, or nil while it is unknown.
func (d *Demand) AddRecent(recent []float64, now time.Duration) elmplan.Weights {
	decay := math.Exp(-float64(now-d.updatedAt) / float64(decayTime))
	d.updatedAt = now
	for s := range d.weights {
		for x := range d.weights[s] {
			d.weights[s][x] *= decay
		}
	}
	weights := zeroWeights(d.sets, d.experts)
	if len(recent) == d.sets*d.experts {
		for i, n := range recent {
			weights[i/d.experts][i%d.experts] = n
		}
	}
	d.merge(weights)
	return d.current()
}

// merge adds recent demand to the estimate, or replaces the estimate after a demand
// shift.
func (d *Demand) merge(recent elmplan.Weights) {
	d.shifted = movedShare(recent, d.weights) > shiftThreshold
	if d.shifted {
		d.weights = recent
		return
	}
	for s := range recent {
		for x, n := range recent[s] {
			d.weights[s][x] += n
		}
	}
}

// movedShare returns the share of the demand that has moved to other experts,
// averaged over all sets. A set that is empty before or now counts as 0.
func movedShare(recent, before elmplan.Weights) float64 {
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

// Shifted reports whether the last counts showed a demand shift. They may cover a time
// before it.
func (d *Demand) Shifted() bool { return d.shifted }

// Discard discards the demand. The next counts replace it.
func (d *Demand) Discard() { d.weights = zeroWeights(d.sets, d.experts) }

func total(weights []float64) float64 {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	return sum
}

// Empty reports whether the demand is unknown.
func (d *Demand) Empty() bool { return len(d.weights) == 0 || total(d.weights[0]) == 0 }

// current returns the demand, or nil if there is none.
func (d *Demand) current() elmplan.Weights {
	if d.Empty() {
		return nil
	}
	return d.weights
}
