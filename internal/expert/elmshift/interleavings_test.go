package elmshift_test

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"testing"

	"github.com/cespare/xxhash/v2"

	"github.com/elmcove/elmcove/internal/expert/elmshift"
)

// Bounds of the exhaustive check. ELMSHIFT_FAULTS sets another number of faults.
const (
	checkedRanks  = 2
	checkedPasses = 5
	checkedFaults = 1
)

// moment is a state that the check reaches: the group, the planner that changes its
// map, and the repair that is under way after it, if any.
type moment struct {
	group   *group
	planner *planner
	healer  *planner
	passes  int
	faults  int
	depth   int
}

func (m moment) copied() moment {
	g := *m.group
	g.ranks, g.late, g.after = slices.Clone(g.ranks), slices.Clone(g.late), maps.Clone(g.after)
	m.group = &g
	m.planner, m.healer = m.planner.copied(), m.healer.copied()
	m.depth++
	return m
}

func (p *planner) copied() *planner {
	if p == nil {
		return nil
	}
	c := *p
	c.pending = slices.Clone(p.pending)
	return &c
}

// key tells moments apart. The depth does not count.
func (m moment) key() uint64 {
	text := fmt.Sprintf("%+v %d %d", *m.group, m.passes, m.faults)
	for _, p := range []*planner{m.planner, m.healer} {
		if p != nil {
			text += fmt.Sprintf("|%v %+v %+v", p.crashed, p.shift, p.pending)
		}
	}
	return xxhash.Sum64String(text)
}

// next returns all moments that may follow.
func (m moment) next() []moment {
	var list []moment
	add := func(do func(*moment)) {
		n := m.copied()
		do(&n)
		list = append(list, n)
	}
	if m.passes > 0 {
		add(func(n *moment) { n.group.pass(); n.passes-- })
	}
	for i := range m.group.late {
		add(func(n *moment) { n.group.flushLate(i) })
	}
	if m.faults > 0 && !m.planner.done() {
		add(func(n *moment) { n.planner.crashed = true; n.faults-- })
	}
	if m.planner.done() && (m.healer == nil || m.healer.done()) && newHealer(m.group, 0) != nil {
		add(func(n *moment) { n.healer = newHealer(n.group, 0) })
	}
	for _, of := range []func(*moment) *planner{
		func(n *moment) *planner { return n.planner },
		func(n *moment) *planner { return n.healer },
	} {
		p := of(&m)
		if p == nil || p.done() {
			continue
		}
		for i := range p.pending {
			for _, fate := range fatesOf(p.pending[i], m.faults) {
				add(func(n *moment) {
					of(n).act(n.group, i, fate)
					if fate != answered {
						n.faults--
					}
				})
			}
		}
	}
	return list
}

// fatesOf returns what may become of a command.
func fatesOf(c elmshift.Command, faults int) []int {
	_, isOrder := c.(elmshift.Send)
	_, isQuestion := c.(elmshift.Ask)
	switch {
	case faults > 0 && isOrder:
		return []int{answered, answerLost, carriedOutLate, orderLost}
	case faults > 0 && isQuestion:
		return []int{answered, orderLost}
	}
	return []int{answered}
}

// TestAllInterleavings plays a change of the map and the repair of one through all
// orders of passes, answers and late orders, with up to a number of faults: lost
// orders and answers, late orders, and the death of the planner. No pass mixes two
// maps, and where nothing can happen any more the group is not held.
func TestAllInterleavings(t *testing.T) {
	faults := checkedFaults
	if n, err := strconv.Atoi(os.Getenv("ELMSHIFT_FAULTS")); err == nil {
		faults = n
	}
	g := newGroup(checkedRanks)
	stack := []moment{{group: g, planner: newPlanner(g, 1), passes: checkedPasses, faults: faults}}
	seen := map[uint64]bool{}
	deepest, ends, changed := 0, 0, 0
	for len(stack) > 0 {
		m := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		k := m.key()
		if seen[k] {
			continue
		}
		seen[k] = true
		deepest = max(deepest, m.depth)
		if m.group.mixed != "" {
			t.Fatalf("at depth %d: %s", m.depth, m.group.mixed)
		}
		following := m.next()
		if len(following) > 0 {
			stack = append(stack, following...)
			continue
		}
		ends++
		if m.group.ranks[0].version != 0 {
			changed++
		}
		if m.planner.done() && (m.healer == nil || m.healer.done()) && !m.copied().group.pass() {
			t.Fatalf("at depth %d the group is held and nobody repairs it", m.depth)
		}
	}
	t.Logf("%d ranks, %d passes, %d faults: %d states, greatest depth %d, %d ends, %d of them on the new map",
		checkedRanks, checkedPasses, faults, len(seen), deepest, ends, changed)
	if changed == 0 {
		t.Error("no run changed the map")
	}
}
