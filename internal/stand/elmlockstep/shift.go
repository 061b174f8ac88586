package elmlockstep

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/elmcove/elmcove/internal/expert/elmadaptation"
	"github.com/elmcove/elmcove/internal/expert/elmplan"
	"github.com/elmcove/elmcove/internal/model/elmcatalog"
	"github.com/elmcove/elmcove/internal/model/elmrank"
)

// Timing of polls and rollouts in a run of shifts.
const (
	// pollTime is the time from the counts of the ranks until the planner has their sums.
	pollTime = 20 * time.Millisecond
	// callTime is the time of one call to all ranks.
	callTime = 10 * time.Millisecond
	// preparedInterval is the time between two questions whether a rank has copied all
	// experts, as in elmgroup.
	preparedInterval = 30 * time.Millisecond
	// copyTime is the time to copy an expert of 320 MB over 180 Gbit/s.
	copyTime = 14 * time.Millisecond
	// shortestLead and longestLead bound the passes that a rollout arms ahead, as in
	// elmgroup, and leadTime is the time that they cover.
	shortestLead, longestLead = 1, 3
	leadTime                  = 200 * time.Millisecond
	// choices is the number of experts of a set that a token selects.
	choices = 4
	// shiftStep is the resolution of ShiftResult.PeakAfter.
	shiftStep = 100 * time.Millisecond
	// firstShift is the time before the first shift, in which the group replaces its
	// initial map.
	firstShift = 4 * time.Second
)

// ShiftGroup is a group whose demand shifts.
type ShiftGroup struct {
	Engine elmcatalog.Engine
	Ranks  int
	// Steps is the number of steps in a pass. A step takes StepTime, and RequestTime for
	// each running request of a rank.
	Steps                 int
	StepTime, RequestTime time.Duration
	// Exponent is that of the Zipf distribution of the popularity of experts.
	Exponent float64
}

// ShiftSettings configures a run of shifts.
type ShiftSettings struct {
	Group ShiftGroup
	// SlotUsage is the share of the slots in use.
	SlotUsage float64
	// MaxEventGap is the maximum gap of the streams. It is 0 for the decisions of a
	// service without one.
	MaxEventGap time.Duration
	// PlanTime is the time that one plan takes.
	PlanTime time.Duration
	// Shifts is the number of shifts, 3.1 to 4.1 s apart.
	Shifts int
	// CalmTime is the time without shifts before the first one.
	CalmTime time.Duration
}

// ShiftResult summarizes a run of shifts. Times are means over the shifts.
type ShiftResult struct {
	// Detected is the time from a shift to the poll whose counts lead to a new map, Planned
	// until its rollout begins, Copied until all ranks have copied its experts, and InForce
	// until the first pass with it.
	Detected, Planned, Copied, InForce time.Duration
	// PeakAfter is the peak of the map in force, for each shiftStep after a shift.
	PeakAfter []float64
	// Peak is the mean of the peak over the time, Late the share of streams with a pause of
	// more than lateGap between two of their events.
	Peak, Late float64
	Rollouts   int
	Copies     int
	Polls      int
}

// shiftRun is the state of a run of shifts.
type shiftRun struct {
	settings   ShiftSettings
	random     *rand.Rand
	demand     [][]float64
	selections []float64
	adaptation *elmadaptation.Adaptation
	now        time.Duration
	current    elmrank.Map
	version    int64
	pass       int64
	passTime   time.Duration
	passEnd    time.Duration
	nextPoll   time.Duration
	rollout    *shiftRollout
	shiftedAt  time.Duration
	// waiting means that no map that follows the last shift is in force yet.
	waiting bool
	result  ShiftResult
	// late holds whether each event since the first shift was late.
	late []bool
	// peak is the peak of the last pass, and steps the number of ticks in each shiftStep.
	peak  float64
	steps []float64
}

// shiftRollout is a rollout in progress.
type shiftRollout struct {
	next                      elmrank.Map
	polledAt, startAt, copied time.Duration
	armedAt                   time.Duration
	// pass is the first pass with the map, or 0 until it is held.
	pass int64
}

// RunShifts simulates a group whose demand shifts again and again. The slots in use stay
// the same. lateGap is the pause from which an event is late.
func RunShifts(s ShiftSettings, lateGap time.Duration, seed uint64) ShiftResult {
	r := &shiftRun{
		settings: s, random: rand.New(rand.NewPCG(seed, 17)), adaptation: elmadaptation.New(),
		selections: make([]float64, s.Group.Engine.Sets*s.Group.Engine.Experts),
		current:    elmrank.InitialMap(s.Group.Engine.Sets, s.Group.Engine.Experts, s.Group.Ranks),
	}
	r.result.PeakAfter, r.steps = make([]float64, 30), make([]float64, 30)
	r.shift(1)
	next := firstShift + s.CalmTime
	for shifts := 0; ; r.now += tick {
		if r.now >= next {
			if shifts == s.Shifts {
				break
			}
			shifts++
			r.shiftedAt, r.waiting = r.now, true
			r.shift(0.63 + 0.16*r.random.Float64())
			next = r.now + 3100*time.Millisecond + time.Duration(r.random.Int64N(int64(time.Second)))
		}
		r.step(lateGap)
	}
	return r.mean()
}

// shift moves a share of the popularity to other experts.
func (r *shiftRun) shift(share float64) {
	engine := r.settings.Group.Engine
	if r.demand == nil {
		r.demand = make([][]float64, engine.Sets)
	}
	for s := range r.demand {
		weights, sum := make([]float64, engine.Experts), 0.0
		for position, e := range r.random.Perm(engine.Experts) {
			weights[e] = math.Pow(float64(position+1), -r.settings.Group.Exponent)
			sum += weights[e]
		}
		for e := range weights {
			weights[e] *= share / sum
			if r.demand[s] != nil {
				weights[e] += (1 - share) * r.demand[s][e]
			}
		}
		r.demand[s] = weights
	}
}

// step advances the run by one tick.
func (r *shiftRun) step(lateGap time.Duration) {
	if i := int((r.now - r.shiftedAt) / shiftStep); r.shiftedAt > 0 && i < len(r.steps) {
		r.result.PeakAfter[i] += r.peak
		r.steps[i]++
	}
	if r.rollout != nil {
		r.advanceRollout()
	}
	if r.now%elmadaptation.ShortPollInterval == 0 && r.now >= r.nextPoll && (r.rollout == nil || r.rollout.armedAt > 0 && r.now > r.rollout.armedAt) {
		r.poll()
	}
	held := r.rollout != nil && r.rollout.pass == r.pass+1 && r.now < r.rollout.armedAt
	if r.now >= r.passEnd && !held {
		r.beginPass(lateGap)
	}
}

// beginPass counts the events of the pass that has ended and begins the next one. The most
// loaded rank determines the expert share of its time.
func (r *shiftRun) beginPass(lateGap time.Duration) {
	g := r.settings.Group
	if r.pass > 0 && r.shiftedAt > 0 {
		r.late = append(r.late, r.now-(r.passEnd-r.passTime) > lateGap)
	}
	r.pass++
	if r.rollout != nil && r.rollout.pass == r.pass {
		r.endRollout()
	}
	running := r.settings.SlotUsage * float64(g.Engine.Slots)
	tokens := running * float64(g.Ranks*g.Steps*choices)
	routed := make(elmplan.Weights, g.Engine.Sets)
	for s := range routed {
		routed[s] = make([]float64, g.Engine.Experts)
		for e, p := range r.demand[s] {
			n := math.Round(max(0, tokens*p+math.Sqrt(tokens*p)*r.random.NormFloat64()))
			routed[s][e] = n
			r.selections[s*g.Engine.Experts+e] += n
		}
	}
	peak := elmplan.New(g.Engine.ExpertSlots, g.Engine.MaxNewExperts).Peak(r.current, routed)
	share := g.Engine.ExpertShare
	even := float64(g.Steps) * (float64(g.StepTime) + running*float64(g.RequestTime))
	length := even * (1 - share + share*peak) * (0.95 + 0.3*math.Pow(r.random.Float64(), 2))
	if r.rollout != nil && r.now >= r.rollout.startAt && r.now < r.rollout.copied {
		length += length * copySlowdownPercent / 100
	}
	r.passTime = time.Duration(length)
	r.passEnd = r.now + r.passTime
	r.peak = peak
}

// poll lets the adaptation decide and starts the rollout of its map.
func (r *shiftRun) poll() {
	g := r.settings.Group
	r.result.Polls++
	decision := r.adaptation.Decide(elmadaptation.Poll{
		Engine: g.Engine, MaxEventGap: r.settings.MaxEventGap, Epoch: 1, Pass: r.pass, Current: r.current, Version: r.version,
		Selections: r.selections, SlotUsage: r.settings.SlotUsage, Changing: r.rollout != nil,
	}, r.now)
	clear(r.selections)
	taken := pollTime
	if r.rollout == nil {
		taken += r.settings.PlanTime
	}
	r.nextPoll = r.now + taken + decision.Interval
	if decision.Next == nil {
		return
	}
	copies := 0
	for rank := range g.Ranks {
		n := 0
		for s := range decision.Next {
			for _, e := range decision.Next[s][rank] {
				if !slices.Contains(r.current[s][rank], e) {
					n++
				}
			}
		}
		r.result.Copies += n
		copies = max(copies, n)
	}
	start := r.now + taken
	asked := (time.Duration(copies)*copyTime/preparedInterval + 1) * preparedInterval
	r.rollout = &shiftRollout{next: decision.Next, polledAt: r.now, startAt: start, copied: start + callTime + asked}
	r.result.Rollouts++
	r.nextPoll = decision.Interval // From the end of the rollout.
}

// advanceRollout holds a pass when all ranks have copied their experts, and arms it.
func (r *shiftRun) advanceRollout() {
	if r.rollout.pass > 0 || r.now < r.rollout.copied {
		return
	}
	lead := min(max(int64(leadTime/r.passTime), shortestLead), longestLead)
	r.rollout.pass = r.pass + lead
	r.rollout.armedAt = r.now + 4*callTime // Hold, look, arm and release.
	r.nextPoll += r.rollout.armedAt
}

// endRollout puts the map in force.
func (r *shiftRun) endRollout() {
	done := r.rollout
	r.current, r.rollout = done.next, nil
	r.version++
	if !r.waiting || done.polledAt <= r.shiftedAt {
		return
	}
	r.waiting = false
	r.result.Detected += done.polledAt - r.shiftedAt
	r.result.Planned += done.startAt - r.shiftedAt
	r.result.Copied += done.copied - r.shiftedAt
	r.result.InForce += r.now - r.shiftedAt
}

// mean returns the result with means in place of sums.
func (r *shiftRun) mean() ShiftResult {
	m, shifts := r.result, time.Duration(max(r.settings.Shifts, 1))
	m.Detected, m.Planned, m.Copied, m.InForce = m.Detected/shifts, m.Planned/shifts, m.Copied/shifts, m.InForce/shifts
	for i, n := range r.steps {
		m.Peak += m.PeakAfter[i] / max(total(r.steps), 1)
		m.PeakAfter[i] /= max(n, 1)
	}
	for i := range r.late {
		if slices.Contains(r.late[i:min(i+meanEvents, len(r.late))], true) {
			m.Late += 1 / float64(len(r.late))
		}
	}
	return m
}

// MeanShifts returns the mean of each figure.
func MeanShifts(results []ShiftResult) ShiftResult {
	m := ShiftResult{PeakAfter: make([]float64, len(results[0].PeakAfter))}
	for _, r := range results {
		m.Detected, m.Planned, m.Copied, m.InForce = m.Detected+r.Detected, m.Planned+r.Planned, m.Copied+r.Copied, m.InForce+r.InForce
		m.Peak, m.Late = m.Peak+r.Peak, m.Late+r.Late
		m.Rollouts, m.Copies, m.Polls = m.Rollouts+r.Rollouts, m.Copies+r.Copies, m.Polls+r.Polls
		m.PeakAfter = addWeighted(m.PeakAfter, r.PeakAfter, 1/float64(len(results)))
	}
	n := len(results)
	d := time.Duration(n)
	m.Detected, m.Planned, m.Copied, m.InForce = m.Detected/d, m.Planned/d, m.Copied/d, m.InForce/d
	m.Peak, m.Late = m.Peak/float64(n), m.Late/float64(n)
	m.Rollouts, m.Copies, m.Polls = m.Rollouts/n, m.Copies/n, m.Polls/n
	return m
}

// String returns the figures for a log.
func (r ShiftResult) String() string {
	return fmt.Sprintf("counts after %d ms, planned %d, copied %d, in force %d; peak %.2f, late %.3f; %d rollouts, %d copies, %d polls; peak by 0.1 s %.2f",
		r.Detected.Milliseconds(), r.Planned.Milliseconds(), r.Copied.Milliseconds(), r.InForce.Milliseconds(),
		r.Peak, r.Late, r.Rollouts, r.Copies, r.Polls, r.PeakAfter)
}

func total(list []float64) float64 {
	sum := 0.0
	for _, x := range list {
		sum += x
	}
	return sum
}
