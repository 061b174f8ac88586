// Package elmwarmth learns how many requests an endpoint can bear at once from
// the times that it takes for its steps.
//
// A limit starts at one request, as for an endpoint in cold start. It rises by
// one for each round of steps that kept the goal while the endpoint was well
// used, and falls at once when steps take too long or a request fails.
//
// # Usage
//
//	limit := elmwarmth.New(37*time.Millisecond, 64)
//	limit = limit.Observe(20*time.Millisecond, running)
//	capacity := limit.Value()
package elmwarmth

import "time"

const (
	// smoothing is the weight of the newest step in the moving average.
	smoothing = 0.2
	// decrease is the factor by which a limit falls when steps are slow.
	decrease = 0.7
	// coldFactor is how many times over the goal a step shows a cold endpoint.
	coldFactor = 4
	// busyShare is the used share of the limit above which it may rise.
	busyShare = 0.7
)

// Limit is the learned capacity of an endpoint. It is immutable.
type Limit struct {
	goal    time.Duration
	ceiling int
	value   float64
	average time.Duration
	samples int
}

// New returns the limit of a cold endpoint, for a goal of time per step and a
// ceiling that the limit never exceeds.
func New(goal time.Duration, ceiling int) Limit {
	return Limit{goal: goal, ceiling: max(ceiling, 1), value: 1}
}

// Value returns the number of requests that the endpoint can bear, at least 1.
func (l Limit) Value() int { return max(int(l.value), 1) }

// Observe takes in the time of one step, made while running requests shared
// the endpoint.
func (l Limit) Observe(step time.Duration, running int) Limit {
	if step > coldFactor*l.goal {
		return l.Chill()
	}
	l.average += time.Duration(smoothing * float64(step-l.average))
	l.samples++
	if l.samples < l.Value() {
		return l
	}
	l.samples = 0
	if l.average > l.goal {
		l.value = max(l.value*decrease, 1)
		return l
	}
	if float64(running) >= busyShare*l.value {
		l.value = min(l.value+1, float64(l.ceiling))
	}
	return l
}

// Chill returns the limit of an endpoint that has turned cold or failed.
func (l Limit) Chill() Limit {
	return New(l.goal, l.ceiling)
}
