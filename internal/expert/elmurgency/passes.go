package elmurgency

import (
	"math"
	"time"
)

const (
	// averagingTime is the time after which a poll counts 0.37 (1/e) as much. Polls count
	// whole passes, so that a single interval of 0.35 s misses the time of a pass by up to
	// a third.
	averagingTime = time.Second
	// minElapsed is the time of recent passes from which the estimate is used. It covers two
	// or more passes that are short, and long ones are long beyond the error of one.
	minElapsed = 300 * time.Millisecond
	// minUsage is the share of the slots in use from which passes follow each other
	// without a break, so that their number shows how long each takes.
	minUsage = 0.25
)

// Sample is the state of a group at a poll.
type Sample struct {
	Epoch int64
	// Pass is the last pass that has begun.
	Pass int64
	// Peak is the peak of the map in force for the requests since the last poll, or 0 if
	// it is unknown.
	Peak      float64
	SlotUsage float64
	// ExpertShare is the share of a pass that the most loaded rank determines.
	ExpertShare float64
}

// factor returns how much longer a pass takes with a peak than with a balanced map.
func factor(share, peak float64) float64 { return 1 - share + share*peak }

// Passes estimates how long a pass would take with a balanced map, from the number of
// passes between polls and the peak of each interval. So a shift of the demand changes
// the time of a pass at once, although its passes have hardly begun. It is immutable, and
// the zero value is an empty estimate.
type Passes struct {
	last Sample
	at   time.Duration
	// elapsed is the time of the recent passes, and work the number of balanced passes that
	// would have taken as long. Both decay over averagingTime.
	elapsed, work float64
}

// Update returns the estimate after a poll.
func (p Passes) Update(s Sample, now time.Duration) Passes {
	next := Passes{last: s, at: now}
	if p.at == 0 || s.Epoch != p.last.Epoch || s.Pass < p.last.Pass || s.SlotUsage < minUsage {
		return next
	}
	if s.Peak == 0 {
		next.last.Peak = p.last.Peak
	}
	if next.last.Peak == 0 {
		return next
	}
	elapsed, count := float64(now-p.at), float64(s.Pass-p.last.Pass)
	kept := math.Exp(-elapsed / float64(averagingTime))
	next.elapsed = p.elapsed*kept + elapsed
	next.work = p.work*kept + count*factor(s.ExpertShare, next.last.Peak)
	return next
}

// At returns the time of a pass with a peak, or 0 if it is unknown.
func (p Passes) At(peak float64) time.Duration {
	if p.elapsed < float64(minElapsed) || p.work == 0 {
		return 0
	}
	return time.Duration(p.elapsed / p.work * factor(p.last.ExpertShare, peak))
}
