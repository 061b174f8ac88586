package elmconcurrency_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/elmcove/elmcove/internal/limit/elmconcurrency"
)

const (
	goal           = 37 * time.Millisecond
	maxConcurrency = 64
	warmCapacity   = 32
	coldCapacity   = 2
	coldStartTime  = 2 * time.Second
	reportLag      = 300 * time.Millisecond
	tokens         = 30
	// detectionTime is twice the longest step of a warm endpoint.
	detectionTime  = 24 * time.Millisecond
	simulationTime = 12 * time.Second
)

// policy returns the number of requests that the endpoint may have.
type policy func(s *simulation, now time.Time) int

// learned applies the limit that is tested.
func learned(s *simulation, now time.Time) int {
	return s.limit.Value(now, len(s.running))
}

// reported applies the endpoint's load reports alone.
func reported(s *simulation, _ time.Time) int {
	return max(s.report.Capacity, 1)
}

// simulation simulates an endpoint in steps of a millisecond.
type simulation struct {
	random  *rand.Rand
	limit   elmconcurrency.Limit
	report  elmconcurrency.Report
	next    elmconcurrency.Report
	warmAt  time.Time
	running []request
	// reportsFrom is when the endpoint begins to send reports.
	reportsFrom time.Time
	// overruns counts requests beyond the endpoint's capacity, and late those
	// of them that came after detectionTime.
	overruns     int
	late         int
	turnedColdAt time.Time
	served       int
	peak         int
}

// request is a request at the endpoint.
type request struct {
	tokensLeft int
	lastToken  time.Time
}

func (s *simulation) capacity(now time.Time) int {
	if now.Before(s.warmAt) {
		return coldCapacity
	}
	return warmCapacity
}

func (s *simulation) stepTime(now time.Time) time.Duration {
	load := float64(len(s.running)) / float64(s.capacity(now))
	step := time.Duration((1 + load/2) * float64(8*time.Millisecond))
	if now.Before(s.warmAt) {
		return 3 * step
	}
	return step
}

func (s *simulation) arrive(now time.Time, allowed policy) {
	s.limit = s.limit.WithDemand(len(s.running) + 1)
	if len(s.running) >= allowed(s, now) {
		return
	}
	if len(s.running) >= s.capacity(now) {
		s.overruns++
		if now.Sub(s.turnedColdAt) > detectionTime {
			s.late++
		}
		s.limit = s.limit.ResetToCold(now)
		return
	}
	s.running = append(s.running, request{tokensLeft: tokens, lastToken: now})
	s.peak = max(s.peak, len(s.running))
}

func (s *simulation) advance(now time.Time) {
	if now.After(s.reportsFrom) && now.Sub(s.next.Measured) >= reportLag {
		s.report = s.next
		s.next = elmconcurrency.Report{Capacity: s.capacity(now), Measured: now}
		s.limit = s.limit.WithReport(s.report)
	}
	step := s.stepTime(now)
	kept := s.running[:0]
	for _, r := range s.running {
		if gap := now.Sub(r.lastToken); gap >= step {
			s.limit = s.limit.Observe(gap, now)
			r.tokensLeft--
			r.lastToken = now
		}
		if r.tokensLeft == 0 {
			s.served++
			continue
		}
		kept = append(kept, r)
	}
	s.running = kept
}

// simulate runs an endpoint that turns cold at the given times. With pauses, requests
// arrive only in the first second of every three.
func simulate(seed uint64, rate float64, pauses bool, firstReport time.Duration, coldAt []time.Duration, allowed policy) *simulation {
	start := time.Unix(1_800_000_000, 0)
	s := &simulation{random: rand.New(rand.NewPCG(seed, 1)), limit: elmconcurrency.New(goal, maxConcurrency, start), warmAt: start.Add(coldStartTime), reportsFrom: start.Add(firstReport)}
	for elapsed := time.Duration(0); elapsed < simulationTime; elapsed += time.Millisecond {
		now := start.Add(elapsed)
		for len(coldAt) > 0 && elapsed >= coldAt[0] {
			s.warmAt = now.Add(coldStartTime)
			s.turnedColdAt = now
			coldAt = coldAt[1:]
		}
		paused := pauses && elapsed%(3*time.Second) > time.Second
		if !paused && s.random.Float64() < rate {
			s.arrive(now, allowed)
		}
		s.advance(now)
	}
	return s
}

// TestCold checks that an endpoint in cold start gets no request beyond its capacity. An
// endpoint that turns cold without warning cannot be detected before its next step is
// overdue; until then one request may fail there, and none afterwards.
func TestCold(t *testing.T) {
	tests := map[string]struct {
		rate        float64
		pauses      bool
		firstReport time.Duration
		coldAt      []time.Duration
	}{
		"cold start":                {rate: 0.2},
		"cold start under overload": {rate: 0.9},
		"first reports are late":    {rate: 0.5, firstReport: 1500 * time.Millisecond},
		"turns cold under load":     {rate: 0.2, coldAt: []time.Duration{5 * time.Second, 9 * time.Second}},
		"turns cold while idle":     {rate: 0.2, pauses: true, coldAt: []time.Duration{5900 * time.Millisecond, 8900 * time.Millisecond}},
		"turns cold twice":          {rate: 0.5, coldAt: []time.Duration{5 * time.Second, 5200 * time.Millisecond}},
	}
	for name, test := range tests {
		Convey(name, t, func() {
			withReportsOnly, withLimit := 0, 0
			for seed := range uint64(20) {
				run := simulate(seed, test.rate, test.pauses, test.firstReport, test.coldAt, learned)
				So(run.late, ShouldEqual, 0)
				So(run.overruns, ShouldBeLessThanOrEqualTo, len(test.coldAt))
				withLimit += run.overruns
				So(run.peak, ShouldBeGreaterThan, warmCapacity/2)
				withReportsOnly += simulate(seed, test.rate, test.pauses, test.firstReport, test.coldAt, reported).overruns
			}
			t.Logf("%s: %d overruns, %d with the reports alone", name, withLimit, withReportsOnly)
			if len(test.coldAt) > 0 {
				So(withReportsOnly, ShouldBeGreaterThan, 0)
			}
		})
	}
}
