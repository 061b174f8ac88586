// Package elmwarmth learns how many requests an endpoint can bear at once from
// the times that it takes for its steps and from its load reports, which lag.
//
// A limit starts at one request, as for an endpoint in cold start. It rises
// after each round of steps that kept the goal while the demand, that is the
// requests that ran and those that were refused, came near the limit. A limit
// never exceeds the capacity that the endpoint reports, and a report that was
// measured before the endpoint turned cold raises nothing.
//
// The endpoint is taken for cold when a request fails, or when its steps take
// suddenly much longer than they did; while a step is overdue, nothing more is
// given to it. Since an idle endpoint shows no steps, it
// is given one request first, and the learned limit once a step has been seen.
//
// # Usage
//
//	limit := elmwarmth.New(37*time.Millisecond, 64, now)
//	limit = limit.WithReport(elmwarmth.Report{Capacity: 8, Measured: now})
//	limit = limit.WithDemand(running).Observe(20*time.Millisecond, now)
//	capacity := limit.Value(now, running)
package elmwarmth

import "time"

const (
	// smoothing is the weight of the newest step in the moving average.
	smoothing = 0.1
	// decrease is the factor by which a limit falls when steps are slow.
	decrease = 0.7
	// jumpFactor is how much longer than the average a step of a cold
	// endpoint takes, and jumpSteps how many such steps in a row show it.
	jumpFactor = 2
	jumpSteps  = 2
	// jitter is the difference between steps that scheduling alone may make.
	jitter = 5 * time.Millisecond
	// busyShare is the used share of the limit above which it may rise.
	busyShare = 0.7
	// idleAfter is the time without a step after which an endpoint may have
	// turned cold unseen.
	idleAfter = 500 * time.Millisecond
	// blindRise is the least time between two rises of the limit of an
	// endpoint that sends no reports.
	blindRise = 5 * time.Second
)

// Report is a load report of an endpoint.
type Report struct {
	// Capacity is the number of requests that the endpoint can bear.
	Capacity int
	// Measured is the time at which the endpoint measured it.
	Measured time.Time
}

// Limit is the learned capacity of an endpoint. It is immutable.
type Limit struct {
	goal     time.Duration
	ceiling  int
	learned  float64
	average  time.Duration
	jumps    int
	jumped   time.Time
	samples  int
	demand   int
	report   Report
	chilled  time.Time
	rose     time.Time
	observed time.Time
	resumed  time.Time
}

// New returns the limit of a cold endpoint, for a goal of time per step and a
// ceiling that the limit never exceeds.
func New(goal time.Duration, ceiling int, now time.Time) Limit {
	return Limit{goal: goal, ceiling: max(ceiling, 1), learned: 1, chilled: now, rose: now}
}

// WithDemand returns a limit that knows of a demand for places in this round.
func (l Limit) WithDemand(demand int) Limit {
	l.demand = max(l.demand, demand)
	return l
}

// WithReport returns a limit that knows of a load report.
func (l Limit) WithReport(report Report) Limit {
	l.report = report
	return l
}

// Value returns the number of requests that the endpoint may be given now, at
// least 1, while running ones are on it.
func (l Limit) Value(now time.Time, running int) int {
	silence := now.Sub(l.observed)
	if silence > idleAfter || (running > 0 && silence > l.overdue()) {
		return 1
	}
	return l.Learned()
}

// Learned returns the number of requests that the endpoint can bear as far as
// is known, at least 1. An idle endpoint may have turned cold since.
func (l Limit) Learned() int {
	learned := int(l.learned)
	if l.reports() {
		if !l.report.Measured.After(l.chilled) {
			return 1
		}
		learned = min(learned, l.report.Capacity)
	}
	return max(learned, 1)
}

// Observe takes in the time of one step.
func (l Limit) Observe(step time.Duration, now time.Time) Limit {
	if l.average > 0 && step > l.overdue() {
		return l.jump(now)
	}
	l.jumps = 0
	if now.Sub(l.observed) > idleAfter {
		l.resumed = now
	}
	l.observed = now
	if l.average == 0 {
		l.average = step
	}
	l.average += time.Duration(smoothing * float64(step-l.average))
	l.samples++
	if l.samples < l.Learned() {
		return l
	}
	return l.adjust(now)
}

// jump takes in a step that took much too long. Requests that share a step
// show it several times, which counts once.
func (l Limit) jump(now time.Time) Limit {
	if now.Sub(l.jumped) < l.average {
		return l
	}
	l.jumped = now
	l.jumps++
	if l.jumps >= jumpSteps {
		return l.Chill(now)
	}
	return l
}

// Chill returns the limit of an endpoint that has turned cold or failed.
func (l Limit) Chill(now time.Time) Limit {
	cold := New(l.goal, l.ceiling, now)
	cold.report = l.report
	cold.observed = l.observed
	cold.resumed = l.resumed
	return cold
}

// adjust ends a round.
func (l Limit) adjust(now time.Time) Limit {
	demand := l.demand
	l.samples = 0
	l.demand = 0
	if l.average > l.goal {
		l.learned = max(l.learned*decrease, 1)
		return l
	}
	if float64(demand) < busyShare*float64(l.Learned()) || !l.mayRise(now) {
		return l
	}
	l.learned = min(float64(l.Learned()+l.rise()), float64(l.highest()))
	l.rose = now
	return l
}

// rise returns by how much the limit rises: twofold while the steps keep well
// within the goal and reports bound the limit, and otherwise by one.
func (l Limit) rise() int {
	if l.reports() && l.average < l.goal/2 {
		return l.Learned()
	}
	return 1
}

// mayRise reports whether a rise is due: at once on a report that was measured
// since the endpoint was last idle, and slowly without reports.
func (l Limit) mayRise(now time.Time) bool {
	if l.reports() {
		return l.report.Measured.After(l.resumed)
	}
	return now.Sub(l.rose) >= blindRise
}

// overdue returns the time of a step that shows a cold endpoint.
func (l Limit) overdue() time.Duration {
	return max(jumpFactor*l.average, l.average+jitter)
}

// highest returns what the limit may rise to.
func (l Limit) highest() int {
	if l.reports() {
		return min(l.ceiling, l.report.Capacity)
	}
	return l.ceiling
}

func (l Limit) reports() bool {
	return !l.report.Measured.IsZero()
}
