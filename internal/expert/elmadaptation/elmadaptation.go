// Package elmadaptation decides, at each poll of a lock-step group, whether a new expert
// map is rolled out and when the group is polled next. It does no I/O, and takes the time
// as an argument.
//
// # Usage
//
//	adaptation := elmadaptation.New()
//	decision := adaptation.Decide(poll, now)
//	if decision.Next != nil {
//		// Roll out the map.
//	}
//	nextPoll := now + decision.Interval
package elmadaptation

import (
	"slices"
	"time"

	"github.com/elmcove/elmcove/internal/expert/elmdemand"
	"github.com/elmcove/elmcove/internal/expert/elmplan"
	"github.com/elmcove/elmcove/internal/expert/elmurgency"
	"github.com/elmcove/elmcove/internal/model/elmcatalog"
	"github.com/elmcove/elmcove/internal/model/elmrank"
)

const (
	// PollInterval is the time between two polls.
	PollInterval = 350 * time.Millisecond
	// ShortPollInterval is the interval while no group is open or one still uses its
	// initial map, with which passes take several times as long.
	ShortPollInterval = 125 * time.Millisecond
	// AlertPollInterval is the interval from the end of a poll while shifts of the demand
	// make callers lose streams. Planners look every ShortPollInterval whether a poll is
	// due, and a poll takes 20 to 50 ms, so that each look finds one.
	AlertPollInterval = 75 * time.Millisecond
	// alertTime is how long a group is polled so after callers have lost streams. Shifts
	// that follow each other are 3 to 4 s apart.
	alertTime = 10 * time.Second
	// mixedTime is how long after the poll that detected a shift the demand counts as mixed: a
	// usual poll interval later, the counts from after the shift are most of it.
	mixedTime = 700 * time.Millisecond
	// stillTime is the time without a new pass from which a group stands still. How long its
	// passes take is unknown then, and no rank can take over a map.
	stillTime = 500 * time.Millisecond
	// settledTime is the time after a shift from which small gains count, since they are
	// random in the counts of one or two passes.
	settledTime = 300 * time.Millisecond
	// replanRise is the rise of the peak from which a plan that was not worthwhile is made
	// again within PollInterval. A shift raises it by 1 or more.
	replanRise = 0.1
	// firstCopiesPart is the part of the experts that a rank may receive in a rollout that
	// the first map after a shift gives it. In the model the most loaded rank receives twice
	// as many without that limit, and the group waits for it, but the peak is the same.
	firstCopiesPart = 4
)

// Poll is the state of a group as of a poll.
type Poll struct {
	Engine elmcatalog.Engine
	// MaxEventGap is the shortest maximum gap of the service's stream routes, or 0 if
	// they have none.
	MaxEventGap time.Duration
	Epoch       int64
	// Pass is the last pass that has begun.
	Pass int64
	// Current is the map in use, and Version its version.
	Current elmrank.Map
	Version int64
	// Selections is how often requests have selected each expert since the last poll, or
	// nil.
	Selections []float64
	Paces      []float64
	SlotUsage  float64
	// Changing means that a rollout is in progress or the group is held.
	Changing bool
}

// Decision is what follows from a poll.
type Decision struct {
	// Next is the map to roll out, or nil.
	Next elmrank.Map
	// Before and After are the peaks of the current and the next map.
	Before, After float64
	Need          elmurgency.Need
	// PassTime is the mean time of a pass with the current map, or 0 if it is unknown.
	PassTime time.Duration
	// Interval is the time until the next poll, from the end of the rollout if there is
	// one.
	Interval time.Duration
}

// Adaptation is the state of the decisions for one group. It is not safe for concurrent
// use.
type Adaptation struct {
	// demand is nil before the first poll.
	demand *elmdemand.Demand
	passes elmurgency.Passes
	// alertUntil is when the group is polled at the usual interval again.
	alertUntil time.Duration
	// shiftedAt is when the last shift was detected.
	shiftedAt time.Duration
	// mixed means that the demand includes counts from before the shift.
	mixed bool
	// causeAt is when there was last a reason for an alert: a shift, a worthwhile plan, or the
	// first streams that were lost. Passes that are long for another reason start none.
	causeAt time.Duration
	// epoch and pass are those of the last poll, and passAt is when the pass was new.
	epoch, pass int64
	passAt      time.Duration
	// rejected is the last plan that was not worthwhile or whose rollout was abandoned.
	rejected rejected
	// replaced is the version of the map that a rollout is to replace, if replacing.
	replaced  int64
	replacing bool
}

// rejected is a plan for a map in use that is not made again at once.
type rejected struct {
	version int64
	peak    float64
	at      time.Duration
}

// repeats reports whether a plan for a map in use with a peak would be the same again. It
// bounds the processor time of plans on alert.
func (r rejected) repeats(version int64, peak float64, now time.Duration) bool {
	return r.version == version && peak < r.peak+replanRise && now-r.at < PollInterval
}

// New returns the state for a group that has not been polled.
func New() *Adaptation { return &Adaptation{} }

// Reset discards the demand, which is outdated when an entry becomes the leader again.
func (a *Adaptation) Reset() { *a = Adaptation{} }

// Decide applies a poll.
func (a *Adaptation) Decide(p Poll, now time.Duration) Decision {
	planner := elmplan.New(p.Engine.ExpertSlots, p.Engine.MaxNewExperts).WithPaces(p.Paces)
	a.observePass(p, now)
	a.passes = a.passes.Update(elmurgency.Sample{
		Epoch: p.Epoch, Pass: p.Pass, Peak: a.recentPeak(planner, p), SlotUsage: p.SlotUsage, ExpertShare: p.Engine.ExpertShare,
	}, now)
	weights := a.updateDemand(p, now)
	if weights == nil {
		return Decision{Interval: a.interval(p, now)}
	}
	if now-a.passAt >= stillTime {
		a.passes, a.alertUntil = elmurgency.Passes{}, 0
	}
	decision := Decision{Before: planner.Peak(p.Current, weights)}
	decision.PassTime = a.passes.At(decision.Before)
	decision.Need = elmurgency.Assess(elmurgency.Load{
		Passes: a.passes, MaxEventGap: p.MaxEventGap, Peak: decision.Before, SlotUsage: p.SlotUsage,
	})
	if decision.Need.Urgent {
		if a.causeAt == 0 {
			a.causeAt = now
		}
		a.alertUntil = max(a.alertUntil, a.causeAt+alertTime)
	}
	decision.Interval = a.interval(p, now)
	aim := decision.Need.Aim
	if now < a.alertUntil && now-a.shiftedAt < settledTime {
		aim.Gain = max(aim.Gain, elmplan.UsualAim(0).Gain)
		planner = planner.WithMaxCopies(max(1, p.Engine.Sets*p.Engine.MaxNewExperts/firstCopiesPart))
	}
	if a.replacing && !p.Changing {
		if a.replaced == p.Version { // The rollout was abandoned.
			a.rejected = rejected{p.Version, decision.Before, now}
		}
		a.replacing = false
	}
	// No map has a peak below 1, so that a plan is of no use. A rollout to an idle group
	// would wait for its next pass.
	if p.Changing || a.idle(p, now) || decision.Before-1 < aim.Gain || now < a.alertUntil && a.rejected.repeats(p.Version, decision.Before, now) {
		return decision
	}
	next, _, after, worthwhile := planner.ProposeFor(p.Current, weights, aim)
	if !worthwhile {
		a.rejected = rejected{p.Version, decision.Before, now}
		return decision
	}
	decision.Next, decision.After = next, after
	a.replaced, a.replacing, a.causeAt = p.Version, true, now
	return decision
}

// observePass records the last pass that has begun. In another epoch the group starts anew, with
// its initial map.
func (a *Adaptation) observePass(p Poll, now time.Duration) {
	if p.Epoch != a.epoch {
		a.mixed, a.replacing, a.rejected, a.alertUntil = false, false, rejected{}, 0
	}
	if p.Epoch != a.epoch || p.Pass != a.pass || a.passAt == 0 {
		a.epoch, a.pass, a.passAt = p.Epoch, p.Pass, now
	}
}

// idle reports whether the group has no requests and has begun no pass since the last poll.
func (a *Adaptation) idle(p Poll, now time.Duration) bool { return p.SlotUsage == 0 && a.passAt < now }

// updateDemand adds the counts of a poll to the demand. On alert, the first counts from
// after a shift replace those that include a time before it.
func (a *Adaptation) updateDemand(p Poll, now time.Duration) elmplan.Weights {
	if a.demand == nil {
		a.demand = elmdemand.New(p.Engine.Sets, p.Engine.Experts)
	}
	a.mixed = a.mixed && now-a.shiftedAt <= mixedTime
	if a.mixed && now < a.alertUntil && len(p.Selections) > 0 && slices.Max(p.Selections) > 0 {
		a.demand.Discard()
		a.mixed = false
	}
	weights := a.demand.AddRecent(p.Selections, now)
	if a.demand.Shifted() {
		a.shiftedAt, a.mixed, a.causeAt = now, true, now
	}
	return weights
}

// interval returns the time until the next poll.
func (a *Adaptation) interval(p Poll, now time.Duration) time.Duration {
	unknown := p.Changing || a.demand.Empty()
	switch {
	case now < a.alertUntil:
		return AlertPollInterval
	case unknown && p.Version == 0:
		return ShortPollInterval
	}
	return PollInterval
}

// recentPeak returns the peak of the current map for the requests since the last poll, or
// 0 if it is unknown.
func (a *Adaptation) recentPeak(planner elmplan.Planner, p Poll) float64 {
	if p.MaxEventGap <= 0 || len(p.Selections) != p.Engine.Sets*p.Engine.Experts {
		return 0
	}
	weights := make(elmplan.Weights, p.Engine.Sets)
	for s := range weights {
		weights[s] = p.Selections[s*p.Engine.Experts : (s+1)*p.Engine.Experts]
	}
	return planner.Peak(p.Current, weights)
}
