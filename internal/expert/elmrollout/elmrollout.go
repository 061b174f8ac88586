// Package elmrollout rolls out an expert map to a group of ranks so that all ranks use
// the same map in each pass, even if orders are lost, answered late, or executed
// seconds later.
//
// A rollout prepares the map on all ranks, awaits the next pass of the group, and holds the
// group before a later one that has not begun. It checks that all ranks answer, arms that
// pass on each rank, and releases the hold once all ranks are armed. If a rank can't be
// armed, all ranks are disarmed first. The pass can't begin while it is held, so no pass
// mixes two maps.
//
// A rank that freezes while the group is held can't report whether it is armed, and
// the group would wait for it. So no rank is armed until all ranks have answered
// under the hold. If one does not answer, the hold is released, and there is
// nothing to undo.
//
// There may be several planners, repairs and restarted processes at a time. Package
// elmclaim decides which holds and versions belong to a rollout, so that none takes the
// orders of another for its own.
//
// A rank may execute an order later although it has not answered. A rank arms only
// the version that it has prepared last, and prepares only versions higher than all
// earlier ones. So before the hold of a failed rollout is released, each rank
// prepares the map in use under a new version. An armed rank rejects that and is
// disarmed first. Afterwards no late arm order of the failed rollout takes effect.
//
// A late hold order is rejected if its pass has begun. Otherwise it holds an idle
// group until Repair releases it. No other rollout uses its pass, so a late release
// order never releases the hold of another one.
//
// A repair disarms ranks while the rollout that it ends may still release its own hold.
// So it needs a hold on a second rank. Such a hold is only released after all ranks have
// prepared a version that no order of the rollout can arm.
//
// A Rollout is a state machine without side effects: Update takes a message and returns
// the next Rollout and the commands that the caller executes. The phases are the
// states of the chart in shift.json.
//
// # Usage
//
//	rollout, commands := elmrollout.New(plan, ranks)
//	rollout, commands = rollout.Update(elmrollout.OrderResult{State: "arming", Rank: 2, Outcome: elmrank.Accepted})
//	for !rollout.Done() { ... }
package elmrollout

import (
	_ "embed" // The state chart is embedded.
	"maps"
	"slices"

	"github.com/elmcove/elmcove/internal/expert/elmclaim"
	"github.com/elmcove/elmcove/internal/model/elmrank"
	"github.com/elmcove/elmcove/internal/state/elmchart"
)

// Names of the phases in shift.json.
const (
	preparing = "preparing"
	awaiting  = "awaiting"
	claiming  = "claiming"
	holding   = "holding"
	looking   = "looking"
	arming    = "arming"
	undoing   = "undoing"
	releasing = "releasing"
	ended     = "ended"
)

const (
	// maxHoldAttempts is the maximum number of passes that a rollout tries to hold.
	maxHoldAttempts = 5
	// maxOrderAttempts is the maximum number of orders to one rank in a phase that
	// can fail.
	maxOrderAttempts = 8
	// VersionStride is the distance between two successive versions of a rollout. The
	// remainder is the tag of the rollout.
	VersionStride = 1 << 26
)

//go:embed shift.json
var document []byte

var chart = elmchart.MustParse(document)

// Plan describes a rollout.
type Plan struct {
	// Version is the version of Next. It is higher than any that a rank has had.
	Version int64
	Epoch   int64
	// Current is the map in use, and Next is the map to roll out.
	Current elmrank.Map
	Next    elmrank.Map
	// CurrentVersion is the version of the map in use.
	CurrentVersion int64
	// Holder is the rank that receives the hold order.
	Holder int
	// Tag is a random number that no other rollout has. It is less than VersionStride.
	Tag int64
	// LeadPasses is the number of passes from the last known one to the first pass
	// with the new map. MaxLead bounds it in all rollouts to the group.
	LeadPasses, MaxLead int64
}

// Rollout is the rollout of a map to a group, or a repair. It is immutable.
type Rollout struct {
	plan  Plan
	state string
	ranks []rankState
	// claim has the version to roll out and the pass that the holder of the plan holds.
	claim        elmclaim.Claim
	holdAttempts int
	version      int64
	committed    bool
	released     bool
	// inherited holds the passes that ranks hold for an earlier planner, by rank. It
	// is nil except in a repair.
	inherited map[int]int64
}

// New starts a rollout to a group of ranks.
func New(plan Plan, ranks int) (Rollout, []Command) {
	s := start(plan, preparing, ranks)
	s.claim = elmclaim.New(plan.Version, ranks, plan.MaxLead)
	return s.advance()
}

// Repair starts the repair of a group that an earlier planner has left held. Held lists
// the held passes by rank. The repair holds the first of these passes on a second rank,
// unless two hold it already, disarms all ranks, and then releases all holds of that
// pass. Plan.Holder must hold no pass, or else all ranks hold one.
func Repair(plan Plan, held map[int]int64, ranks int) (Rollout, []Command) {
	s := start(plan, claiming, ranks)
	first := slices.Min(slices.Collect(maps.Values(held)))
	s.claim = elmclaim.Continue(plan.Version, first)
	s.inherited = maps.Clone(held)
	maps.DeleteFunc(s.inherited, func(_ int, pass int64) bool { return pass != first })
	s.limitTo(plan.Holder)
	s.ranks[plan.Holder].done = len(s.inherited) > 1
	return s.advance()
}

// start returns a rollout in a phase without any calls.
func start(plan Plan, state string, ranks int) Rollout {
	return Rollout{plan: plan, state: state, version: plan.Version, ranks: make([]rankState, ranks)}
}

// Done reports whether the rollout has ended.
func (s Rollout) Done() bool { return s.state == ended }

// Committed reports whether the group switches to the new map.
func (s Rollout) Committed() bool { return s.committed }

// Released reports whether all ranks that held the group have released it.
func (s Rollout) Released() bool { return s.released }

// Awaiting reports whether the rollout waits for the group to begin a pass.
func (s Rollout) Awaiting() bool { return s.state == awaiting }

// State returns the name of the current phase.
func (s Rollout) State() string { return s.state }

// Version returns the highest version that the rollout has used or seen.
func (s Rollout) Version() int64 { return s.version }

// HeldPass returns the pass that the rollout holds, or 0.
func (s Rollout) HeldPass() int64 { return s.claim.Pass() }

// Update applies a message and returns the next state and commands.
func (s Rollout) Update(m Message) (Rollout, []Command) {
	if s.Done() {
		return s, nil
	}
	s.ranks = slices.Clone(s.ranks)
	switch m := m.(type) {
	case OrderResult:
		if m.State == s.state && s.ranks[m.Rank].call == sendingOrder {
			return s.applyOutcome(m)
		}
	case ReportResult:
		if m.State == s.state && s.ranks[m.Rank].call == fetchingReport {
			return s.applyReport(m)
		}
	case Waited:
		for r := range s.ranks {
			if s.ranks[r].call == waitingToRetry {
				s.ranks[r].call = idle
			}
		}
		return s.advance()
	case Expired:
		if s.state == preparing || s.state == awaiting || s.state == looking || s.state == arming {
			return s.transition("failed")
		}
	}
	return s, nil
}

// applyOutcome applies the outcome of an order. Where the outcome does not show
// success, the rank's report is fetched next.
func (s Rollout) applyOutcome(m OrderResult) (Rollout, []Command) {
	r := &s.ranks[m.Rank]
	r.call, r.lastOutcome = idle, m.Outcome
	accepted := m.Outcome == elmrank.Accepted
	switch s.state {
	case preparing:
		r.needsReport = true
	case undoing:
		r.needsReport = m.Outcome == elmrank.Rejected
		r.done = accepted && m.Operation == elmrank.Prepare
		if m.Operation == elmrank.Disarm {
			r.disarmVersion = 0
		}
	default:
		r.done, r.needsReport = accepted, !accepted
	}
	return s.advance()
}

// transition applies an event of the chart and starts the next phase.
func (s Rollout) transition(event string) (Rollout, []Command) {
	step, ok := chart.Step(s.state, event)
	if !ok {
		return s.advance()
	}
	s.released = s.released || s.state == releasing && event == "all"
	s.state = step.Next
	for r := range s.ranks {
		s.ranks[r] = rankState{}
	}
	switch step.Action {
	case "await":
		s.limitTo(s.plan.Holder)
		holder := &s.ranks[s.plan.Holder]
		_, holder.done = s.claim.WithNextPass(s.plan.LeadPasses)
		holder.needsReport = true
	case "hold":
		s.holdAttempts++
		s.claim, _ = s.claim.WithNextPass(s.plan.LeadPasses)
		s.limitTo(s.plan.Holder)
	case "look":
		for r := range s.ranks {
			s.ranks[r].needsReport = true
		}
	case "change":
		s.committed = true
		s.limitToHolders()
	case "release":
		s.limitToHolders()
	}
	return s.advance()
}

// limitTo limits a phase to one rank.
func (s Rollout) limitTo(rank int) {
	for r := range s.ranks {
		s.ranks[r].done = r != rank
	}
}

// limitToHolders limits a phase to the ranks that hold the group.
func (s Rollout) limitToHolders() {
	for r := range s.ranks {
		s.ranks[r].done = s.holdOf(r) == 0
	}
}

// holdOf returns the pass that a rank holds, or 0.
func (s Rollout) holdOf(rank int) int64 {
	if pass, ok := s.inherited[rank]; ok {
		return pass
	}
	if rank == s.plan.Holder {
		return s.claim.Pass()
	}
	return 0
}

// advance starts the next call to each idle rank. When all ranks are done, it ends the
// phase.
func (s Rollout) advance() (Rollout, []Command) {
	if s.Done() {
		return s, nil
	}
	var commands []Command
	all := true
	for r := range s.ranks {
		rs := &s.ranks[r]
		if rs.done {
			continue
		}
		all = false
		if rs.call != idle {
			continue
		}
		if rs.needsReport {
			rs.call = fetchingReport
			commands = append(commands, FetchReport{State: s.state, Rank: r, Urgent: s.state == looking})
			continue
		}
		rs.call = sendingOrder
		rs.attempts++
		order := s.order(r)
		if s.state == undoing {
			s.version = max(s.version, order.Version)
		}
		commands = append(commands, SendOrder{State: s.state, Rank: r, Order: order})
	}
	if all {
		return s.transition("all")
	}
	return s, commands
}

// order returns the order for a rank in the current phase.
func (s Rollout) order(r int) elmrank.Order {
	rs := s.ranks[r]
	o := elmrank.Order{Epoch: s.plan.Epoch}
	switch s.state {
	case preparing:
		o.Operation, o.Version, o.Map = elmrank.Prepare, s.plan.Version, s.plan.Next
	case claiming, holding:
		o.Operation, o.Pass = elmrank.Hold, s.claim.Pass()
	case arming:
		o.Operation, o.Version, o.Pass = elmrank.Arm, s.plan.Version, s.claim.Pass()
	case undoing:
		if rs.disarmVersion != 0 {
			o.Operation, o.Version = elmrank.Disarm, rs.disarmVersion
			break
		}
		o.Operation, o.Version, o.Map = elmrank.Prepare, s.nextVersion(), s.plan.Current
		o.Reuse, o.Source = true, s.plan.CurrentVersion
	case releasing:
		o.Operation, o.Pass = elmrank.Release, s.holdOf(r)
	}
	return o
}

// NextVersion returns a version with the tag of a rollout that is higher than highest.
func NextVersion(highest, tag int64) int64 {
	return (highest/VersionStride+1)*VersionStride + tag
}

// nextVersion returns a version of this rollout that is higher than all known ones.
func (s Rollout) nextVersion() int64 {
	return NextVersion(s.version, s.plan.Tag)
}
