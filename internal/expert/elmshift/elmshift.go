// Package elmshift decides how a group of ranks changes its expert map so that
// all ranks use the same map in each pass, whatever orders are lost, answered
// late, or carried out seconds later.
//
// A change prepares the map everywhere, holds the group before a pass that has
// not begun, looks whether all ranks answer, arms that pass on each rank, and
// releases the hold once all are known to be armed. If one can't be armed, all are
// disarmed first. While the hold stands the pass can't begin, so no pass mixes two
// maps.
//
// A rank that freezes while the group is held can't be asked whether it is armed,
// and the group would wait for it. So no rank is armed unless all have answered
// under the hold; if one has not, the hold is released and nothing is undone.
//
// An order without an answer may still be carried out later. A rank arms only the
// version that it has prepared last, and prepares only versions higher than all
// before. So before the hold of a failed change is released, each rank prepares
// the map in use under a new version, which a rank that is armed rejects: from
// then on no arm of the failed change can take effect.
//
// A hold that comes late finds its pass begun, or else keeps an idle group until
// it is repaired by Heal. A pass is held by one rank once at most, so that a late
// release meets no other hold.
//
// The decisions are pure: Update takes a message and returns the next Shift and
// the commands for a runtime. The phases are kept in shift.json.
//
// # Usage
//
//	shift, commands := elmshift.New(plan, reports)
//	shift, commands = shift.Update(elmshift.Answered{State: "arming", Rank: 2, Outcome: elmrank.Accepted})
//	for !shift.Done() { ... }
package elmshift

import (
	_ "embed" // The state chart is embedded.
	"slices"

	"github.com/elmcove/elmcove/internal/expert/elmrank"
	"github.com/elmcove/elmcove/internal/state/elmchart"
)

// Names of the phases in shift.json.
const (
	preparing = "preparing"
	claiming  = "claiming"
	holding   = "holding"
	looking   = "looking"
	arming    = "arming"
	undoing   = "undoing"
	releasing = "releasing"
	ended     = "ended"
)

const (
	// holdTries bounds the passes before which a hold is tried.
	holdTries = 5
	// orderTries bounds the orders to one rank in a phase that may fail.
	orderTries = 8
	// VersionStride is the distance between two versions of one planner. It is
	// large enough for planners to be told apart by a hash of their names.
	VersionStride = 1 << 20
)

//go:embed shift.json
var document []byte

var chart = elmchart.MustParse(document)

// Plan is what a change is about.
type Plan struct {
	// Version is higher than any that a rank has had.
	Version int64
	Epoch   int64
	// Current is the map in use, and Next the one to change to.
	Current elmrank.Map
	Next    elmrank.Map
	// Own is the rank that holds the group.
	Own int
	// Planner is less than VersionStride and differs between planners.
	Planner int64
	// Lead is the number of passes from the last known one to the change.
	Lead int64
	// After is the last pass that the own rank has held in this epoch, or 0.
	After int64
}

// Shift is one change of a group's map. It is immutable.
type Shift struct {
	plan    Plan
	state   string
	members []member
	// step is the pass before which the own rank holds the group.
	step    int64
	tries   int
	version int64
	changed bool
	// held lists the passes that ranks of an earlier planner hold.
	held map[int]int64
}

// New begins a change. Reports has one entry for each rank.
func New(plan Plan, reports []elmrank.Report) (Shift, []Command) {
	s := begin(plan, preparing, reports)
	return s.advance()
}

// Heal begins the repair of a group that an earlier planner has left held
// before passes that are listed by rank. It holds the first of these passes
// itself, disarms all ranks, and then releases the holds of that pass. The plan's own rank should be one that does
// not hold yet: late orders of the earlier planner might release those that do.
func Heal(plan Plan, held map[int]int64, reports []elmrank.Report) (Shift, []Command) {
	s := begin(plan, claiming, reports)
	for _, step := range held {
		if s.step == 0 || step < s.step {
			s.step = step
		}
	}
	s.held = map[int]int64{}
	for r, step := range held {
		if step == s.step {
			s.held[r] = step
		}
	}
	s.only(plan.Own)
	s.members[plan.Own].done = held[plan.Own] != 0
	return s.advance()
}

func begin(plan Plan, state string, reports []elmrank.Report) Shift {
	s := Shift{plan: plan, state: state, version: plan.Version, members: make([]member, len(reports))}
	for r := range s.members {
		s.members[r] = member{seen: reports[r]}
	}
	return s
}

// Done reports whether the change has ended.
func (s Shift) Done() bool { return s.state == ended }

// Changed reports whether the group changes to the new map.
func (s Shift) Changed() bool { return s.changed }

// State returns the name of the phase.
func (s Shift) State() string { return s.state }

// Version returns the highest version that was used.
func (s Shift) Version() int64 { return s.version }

// Step returns the pass before which the own rank holds the group, or 0.
func (s Shift) Step() int64 { return s.step }

// Update applies a message.
func (s Shift) Update(m Message) (Shift, []Command) {
	if s.Done() {
		return s, nil
	}
	s.members = slices.Clone(s.members)
	switch m := m.(type) {
	case Answered:
		if m.State == s.state && s.members[m.Rank].call == ordering {
			return s.answered(m)
		}
	case Reported:
		if m.State == s.state && s.members[m.Rank].call == asking {
			return s.reported(m)
		}
	case Waited:
		for r := range s.members {
			if s.members[r].call == pausing {
				s.members[r].call = idle
			}
		}
		return s.advance()
	case Expired:
		if s.state == preparing || s.state == looking || s.state == arming {
			return s.enter("failed")
		}
	}
	return s, nil
}

// answered takes the answer to an order. What is not a clear success is looked
// up in the rank's report.
func (s Shift) answered(m Answered) (Shift, []Command) {
	r := &s.members[m.Rank]
	r.call, r.last = idle, m.Outcome
	accepted := m.Outcome == elmrank.Accepted
	switch s.state {
	case preparing:
		r.asks = true
	case undoing:
		r.asks = m.Outcome == elmrank.Rejected
		r.done = accepted && m.Operation == elmrank.Prepare
		if m.Operation == elmrank.Disarm {
			r.disarm = 0
		}
	default:
		r.done, r.asks = accepted, !accepted
	}
	return s.advance()
}

func (s Shift) reported(m Reported) (Shift, []Command) {
	r := &s.members[m.Rank]
	r.call = idle
	if m.Failed && s.state == looking {
		return s.enter("failed")
	}
	if m.Failed {
		r.call = pausing
		return s, []Command{Wait{}}
	}
	if m.Report.Epoch != s.plan.Epoch || !m.Report.Open {
		return s.enter("void")
	}
	r.seen, r.asks = m.Report, false
	switch s.state {
	case preparing:
		return s.prepared(r)
	case claiming, holding:
		return s.holds(r)
	case looking:
		if r.seen.Prepared != s.plan.Version || r.seen.Armed != 0 {
			return s.enter("failed")
		}
		r.done = true
	case arming:
		return s.armed(r)
	case undoing:
		s.undone(r)
	case releasing:
		r.done = m.Report.Held != s.holdOf(m.Rank)
	}
	return s.advance()
}

func (s Shift) prepared(r *member) (Shift, []Command) {
	switch {
	case r.seen.Prepared == s.plan.Version && r.seen.Armed == 0 && r.seen.Held == 0:
		r.done = true
		return s.advance()
	case r.last == elmrank.Rejected, r.seen.Prepared > s.plan.Version, r.seen.Armed != 0, r.seen.Held != 0, r.tries >= orderTries:
		return s.enter("failed")
	}
	// Accepted copies take their time, and unanswered orders are sent again.
	r.asks = r.last == elmrank.Accepted
	r.call = pausing
	return s, []Command{Wait{}}
}

func (s Shift) holds(r *member) (Shift, []Command) {
	switch {
	case r.seen.Held == s.step:
		r.done = true
	case r.seen.Step >= s.step && s.tries < holdTries && s.state == holding:
		return s.enter("passed")
	case r.seen.Step >= s.step, r.seen.Held != 0, r.tries >= orderTries:
		return s.enter("failed")
	}
	return s.advance()
}

func (s Shift) armed(r *member) (Shift, []Command) {
	switch {
	case r.seen.Armed == s.plan.Version:
		r.done = true
	case r.last == elmrank.Rejected, r.seen.Prepared > s.plan.Version, r.tries >= orderTries:
		return s.enter("failed")
	}
	return s.advance()
}

// undone looks at a rank that did not take a new version. A repair disarms all
// versions for its pass, a failed change only its own. Others belong to changes
// that have holds of their own.
func (s *Shift) undone(r *member) {
	s.version = max(s.version, r.seen.Prepared)
	repair := s.held != nil
	switch {
	case r.seen.Armed != 0 && r.seen.ArmedStep == s.step && (repair || r.seen.Armed == s.plan.Version):
		r.disarm = r.seen.Armed
	case r.seen.Armed != 0, r.seen.Step >= s.step:
		r.done = true
	case !repair:
		r.done = r.seen.Prepared > s.plan.Version
	}
}

// enter takes an event of the chart and begins the next phase.
func (s Shift) enter(event string) (Shift, []Command) {
	step, ok := chart.Step(s.state, event)
	if !ok {
		return s.advance()
	}
	s.state = step.Next
	for r := range s.members {
		m := &s.members[r]
		m.call, m.done, m.asks, m.tries, m.disarm = idle, false, false, 0, 0
	}
	switch step.Action {
	case "hold":
		s.tries++
		s.step++
		for r := range s.members {
			s.step = max(s.step, s.members[r].seen.Step+s.plan.Lead, s.plan.After+1)
		}
		s.only(s.plan.Own)
	case "look":
		for r := range s.members {
			s.members[r].asks = true
		}
	case "change":
		s.changed = true
		s.release()
	case "release":
		s.release()
	}
	return s.advance()
}

// only makes a phase concern one rank.
func (s Shift) only(rank int) {
	for r := range s.members {
		s.members[r].done = r != rank
	}
}

// release makes a phase concern the ranks that hold the group.
func (s Shift) release() {
	for r := range s.members {
		s.members[r].done = s.holdOf(r) == 0
	}
}

// holdOf returns the pass before which a rank holds the group, or 0.
func (s Shift) holdOf(rank int) int64 {
	if step, ok := s.held[rank]; ok {
		return step
	}
	if rank == s.plan.Own {
		return s.step
	}
	return 0
}

// advance gives each idle rank its next call, or ends the phase.
func (s Shift) advance() (Shift, []Command) {
	if s.Done() {
		return s, nil
	}
	var commands []Command
	all := true
	for r := range s.members {
		m := &s.members[r]
		if m.done {
			continue
		}
		all = false
		if m.call != idle {
			continue
		}
		if m.asks {
			m.call = asking
			commands = append(commands, Ask{State: s.state, Rank: r, Urgent: s.state == looking})
			continue
		}
		m.call = ordering
		m.tries++
		order := s.order(r)
		if s.state == undoing {
			s.version = max(s.version, order.Version)
		}
		commands = append(commands, Send{State: s.state, Rank: r, Order: order})
	}
	if all {
		return s.enter("all")
	}
	return s, commands
}

// order returns the order that a rank needs in the present phase.
func (s Shift) order(r int) elmrank.Order {
	m := s.members[r]
	o := elmrank.Order{Epoch: s.plan.Epoch}
	switch s.state {
	case preparing:
		o.Operation, o.Version, o.Map = elmrank.Prepare, s.plan.Version, s.plan.Next
	case claiming, holding:
		o.Operation, o.Step = elmrank.Hold, s.step
	case arming:
		o.Operation, o.Version, o.Step = elmrank.Arm, s.plan.Version, s.step
	case undoing:
		if m.disarm != 0 {
			o.Operation, o.Version = elmrank.Disarm, m.disarm
			break
		}
		o.Operation, o.Version, o.Map = elmrank.Prepare, s.nextVersion(), s.plan.Current
	case releasing:
		o.Operation, o.Step = elmrank.Go, s.holdOf(r)
	}
	return o
}

// Next returns a version of a planner that is higher than another version.
func Next(highest, planner int64) int64 {
	return (highest/VersionStride+1)*VersionStride + planner
}

// nextVersion returns a version of this planner that is higher than all known.
func (s Shift) nextVersion() int64 {
	return Next(s.version, s.plan.Planner)
}
