// Package elmconcurrency learns the concurrency limit of an endpoint from the durations of
// its steps and from its load reports, which are delayed.
//
// A limit starts at one request, as for an endpoint in cold start. It rises
// after each round of steps that met the goal, if the demand came near the limit.
// The demand is the number of requests that ran or were refused. A limit never
// exceeds the capacity that the endpoint reports. A report that was measured before
// the endpoint turned cold does not raise the limit.
//
// The endpoint counts as cold when a request fails, or when its steps suddenly
// take much longer than before. While a step is overdue, the endpoint gets no
// further request. An idle endpoint has no steps to observe, so it gets one request
// first, and requests up to the learned limit after the next step.
//
// # Usage
//
//	limit := elmconcurrency.New(37*time.Millisecond, 64, now)
//	limit = limit.WithReport(elmconcurrency.Report{Capacity: 8, Measured: now})
//	limit = limit.WithDemand(running).Observe(20*time.Millisecond, now)
//	capacity := limit.Value(now, running)
package elmconcurrency

import "time"

const (
	// smoothing is the weight of the newest step in the moving average.
	smoothing = 0.1
	// decrease is the factor by which the limit falls when steps are slow.
	decrease = 0.7
	// overdueFactor is the multiple of the average duration above which a step
	// indicates a cold endpoint.
	overdueFactor = 2
	// overdueSteps is the number of such steps in a row after which the endpoint
	// counts as cold.
	overdueSteps = 2
	// schedulingJitter is the largest variation of step durations that is
	// attributed to scheduling alone.
	schedulingJitter = 5 * time.Millisecond
	// minUtilization is the fraction of the limit that the demand must reach
	// before the limit may rise.
	minUtilization = 0.7
	// idleTimeout is the time without a step after which an endpoint may have
	// turned cold unnoticed.
	idleTimeout = 500 * time.Millisecond
	// unreportedRiseInterval is the minimum time between two rises of the limit
	// of an endpoint that sends no reports.
	unreportedRiseInterval = 5 * time.Second
)

// Report is a load report of an endpoint.
type Report struct {
	// Capacity is the number of requests that the endpoint can process concurrently.
	Capacity int
	// Measured is the time at which the endpoint measured it.
	Measured time.Time
}

// Limit is the learned concurrency limit of an endpoint. It is immutable.
type Limit struct {
	// goal is the highest average step duration at which the limit may rise.
	// Above it, the limit falls.
	goal           time.Duration
	maxConcurrency int
	learned        float64
	// average is the moving average of the step duration.
	average time.Duration
	// overdueRun is the number of overdue steps in a row, and overdueAt when the
	// last of them was counted.
	overdueRun int
	overdueAt  time.Time
	// samples is the number of steps in this round, and demand the highest number
	// of requests that ran or were refused in it.
	samples int
	demand  int
	report  Report
	// coldSince is when the endpoint last turned cold.
	coldSince  time.Time
	raisedAt   time.Time
	observedAt time.Time
	// activeSince is the time of the first step after the endpoint was last idle.
	activeSince time.Time
}

// New returns the limit of a cold endpoint. The goal is the target duration of a step,
// and maxConcurrency is the highest value of the limit.
func New(goal time.Duration, maxConcurrency int, now time.Time) Limit {
	return Limit{goal: goal, maxConcurrency: max(maxConcurrency, 1), learned: 1, coldSince: now, raisedAt: now}
}

// WithDemand returns a limit that takes account of the demand for slots in this round.
func (l Limit) WithDemand(demand int) Limit {
	l.demand = max(l.demand, demand)
	return l
}

// WithReport returns a limit that takes account of a load report.
func (l Limit) WithReport(report Report) Limit {
	l.report = report
	return l
}

// Value returns the number of requests that the endpoint may have now, at least 1. The
// running argument is the number that it has.
func (l Limit) Value(now time.Time, running int) int {
	sinceStep := now.Sub(l.observedAt)
	if sinceStep > idleTimeout || (running > 0 && sinceStep > l.overdue()) {
		return 1
	}
	return l.Learned()
}

// Learned returns the learned limit, at least 1, whether or not the endpoint is idle. An
// idle endpoint may have turned cold since.
func (l Limit) Learned() int {
	learned := int(l.learned)
	if l.hasReports() {
		if !l.report.Measured.After(l.coldSince) {
			return 1
		}
		learned = min(learned, l.report.Capacity)
	}
	return max(learned, 1)
}

// Observe records the duration of one step.
func (l Limit) Observe(step time.Duration, now time.Time) Limit {
	if l.average > 0 && step > l.overdue() {
		return l.observeOverdue(now)
	}
	l.overdueRun = 0
	if now.Sub(l.observedAt) > idleTimeout {
		l.activeSince = now
	}
	l.observedAt = now
	if l.average == 0 {
		l.average = step
	}
	l.average += time.Duration(smoothing * float64(step-l.average))
	l.samples++
	if l.samples < l.Learned() {
		return l
	}
	return l.endRound(now)
}

// observeOverdue records an overdue step. Each request in a step reports it, so reports
// within the average step duration count once.
func (l Limit) observeOverdue(now time.Time) Limit {
	if now.Sub(l.overdueAt) < l.average {
		return l
	}
	l.overdueAt = now
	l.overdueRun++
	if l.overdueRun >= overdueSteps {
		return l.ResetToCold(now)
	}
	return l
}

// ResetToCold resets the limit to cold, for an endpoint that has turned cold or failed.
func (l Limit) ResetToCold(now time.Time) Limit {
	cold := New(l.goal, l.maxConcurrency, now)
	cold.report = l.report
	cold.observedAt = l.observedAt
	cold.activeSince = l.activeSince
	return cold
}

// endRound adjusts the limit to the steps and the demand of a round.
func (l Limit) endRound(now time.Time) Limit {
	demand := l.demand
	l.samples = 0
	l.demand = 0
	if l.average > l.goal {
		l.learned = max(l.learned*decrease, 1)
		return l
	}
	if float64(demand) < minUtilization*float64(l.Learned()) || !l.mayRise(now) {
		return l
	}
	l.learned = min(float64(l.Learned()+l.increase()), float64(l.upperBound()))
	l.raisedAt = now
	return l
}

// increase returns by how much the limit rises. It doubles the limit if the average step
// takes less than half the goal and reports bound the limit, and otherwise adds one.
func (l Limit) increase() int {
	if l.hasReports() && l.average < l.goal/2 {
		return l.Learned()
	}
	return 1
}

// mayRise reports whether the limit may rise now. An endpoint with reports needs one that
// was measured since it was last idle. Without reports, the limit rises at most once in
// each unreportedRiseInterval.
func (l Limit) mayRise(now time.Time) bool {
	if l.hasReports() {
		return l.report.Measured.After(l.activeSince)
	}
	return now.Sub(l.raisedAt) >= unreportedRiseInterval
}

// overdue returns the step duration above which a step indicates a cold endpoint.
func (l Limit) overdue() time.Duration {
	return max(overdueFactor*l.average, l.average+schedulingJitter)
}

// upperBound returns the highest value that the limit may rise to.
func (l Limit) upperBound() int {
	if l.hasReports() {
		return min(l.maxConcurrency, l.report.Capacity)
	}
	return l.maxConcurrency
}

// hasReports reports whether the endpoint has sent a load report.
func (l Limit) hasReports() bool {
	return !l.report.Measured.IsZero()
}
