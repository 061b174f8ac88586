// Package elmplan plans which experts each rank of a group should hold, so that
// the most loaded rank carries as little as possible.
//
// All ranks of a group begin each pass together, and a pass waits in each set
// of layers for the rank with the most work there. Copies of an expert share its
// tokens evenly.
//
// # Usage
//
//	planner := elmplan.New(places, spare).WithPaces(paces)
//	next, before, after, worth := planner.Fit(current, weights, taken)
package elmplan

import (
	"slices"

	"github.com/elmcove/elmcove/internal/expert/elmrank"
)

const (
	// rounds bounds the changes to one set of a map.
	rounds = 400
	// worthwhile is the least gain of a new map, as a part of the mean load.
	// Below it, copying experts costs callers more than the shorter passes give.
	worthwhile = 0.35
	// worthwhileBusy is the same for ranks that have little room left, where
	// longer passes make callers wait.
	worthwhileBusy = 0.15
	// busyShare is the part of a group's slots from which it counts as busy.
	busyShare = 0.75
	// goal is the load of the most loaded rank at which Fit stops. Closer plans
	// follow chance in the demand and copy more than they bring.
	goal = 1.25
)

// Weights tells how much each expert is in demand: Weights[set][expert].
type Weights [][]float64

// Planner improves maps within the limits of the ranks. It is immutable.
type Planner struct {
	places int
	spare  int
	target float64
	paces  []float64
}

// New returns a planner for ranks that hold a number of experts in each set and
// can be given a number of new ones at once.
func New(places, spare int) Planner { return Planner{places: places, spare: spare, target: 1} }

// WithTarget returns a planner that stops where the most loaded rank of a set has
// a number of times the mean. Each further copy would cost more than it brings.
func (p Planner) WithTarget(peak float64) Planner {
	p.target = peak
	return p
}

// WithPaces returns a planner for ranks of which some are slow. A pace of 2 means
// that a rank takes twice as long for the same work.
func (p Planner) WithPaces(paces []float64) Planner {
	p.paces = paces
	return p
}

// Peak returns the time that the slowest rank needs for its experts relative to
// the mean load, averaged over the sets. 1 is best.
func (p Planner) Peak(m elmrank.Map, w Weights) float64 {
	total := 0.0
	for s := range m {
		l := newLayer(m[s], w[s], p.paces)
		mean := l.mean()
		if mean == 0 {
			total++
			continue
		}
		total += l.worst() / mean
	}
	return total / float64(max(len(m), 1))
}

// Fit returns a map that fits the demand better, with the peaks of both, and
// whether it is worth its copies. Taken is the part of the group's slots that are
// taken.
func (p Planner) Fit(m elmrank.Map, w Weights, taken float64) (next elmrank.Map, before, after float64, worth bool) {
	least := worthwhile
	if taken > busyShare {
		least = worthwhileBusy
	}
	next = p.WithTarget(goal).Improve(m, w)
	before, after = p.Peak(m, w), p.Peak(next, w)
	return next, before, after, before-after >= least
}

// Improve returns a map with a lower peak that can be reached in one step.
func (p Planner) Improve(m elmrank.Map, w Weights) elmrank.Map {
	next := make(elmrank.Map, len(m))
	for s := range m {
		l := newLayer(m[s], w[s], p.paces)
		enough := p.target * l.mean()
		for range rounds {
			if l.worst() <= enough || !p.step(l) {
				break
			}
		}
		next[s] = l.lists()
	}
	return next
}

// layer is the state of one set while it is planned.
type layer struct {
	weights []float64
	copies  []int
	held    [][]int
	// holders lists the ranks that hold each expert.
	holders [][]int
	// before tells what each rank held at the start.
	before []map[int]bool
	added  []int
	loads  []float64
	// paces tells how many times as long each rank takes for the same load.
	paces []float64
}

func newLayer(ranks [][]int, weights, paces []float64) *layer {
	if len(paces) != len(ranks) {
		paces = slices.Repeat([]float64{1}, len(ranks))
	}
	l := &layer{
		paces:   paces,
		weights: weights,
		copies:  make([]int, len(weights)),
		holders: make([][]int, len(weights)),
		added:   make([]int, len(ranks)),
		loads:   make([]float64, len(ranks)),
	}
	for r, experts := range ranks {
		l.held = append(l.held, slices.Clone(experts))
		before := map[int]bool{}
		for _, e := range experts {
			before[e] = true
			l.copies[e]++
			l.holders[e] = append(l.holders[e], r)
		}
		l.before = append(l.before, before)
	}
	for r, experts := range l.held {
		for _, e := range experts {
			l.loads[r] += weights[e] / float64(l.copies[e])
		}
	}
	return l
}

// worst returns the time of the slowest rank.
func (l *layer) worst() float64 {
	worst := 0.0
	for r, load := range l.loads {
		worst = max(worst, load*l.paces[r])
	}
	return worst
}

func (l *layer) mean() float64 {
	sum := 0.0
	for _, load := range l.loads {
		sum += load
	}
	return sum / float64(len(l.loads))
}

func (l *layer) lists() [][]int {
	lists := make([][]int, len(l.held))
	for r := range l.held {
		lists[r] = append([]int{}, l.held[r]...)
		slices.Sort(lists[r])
	}
	return lists
}

// change gives an expert of the busiest rank to another rank. Drop is an expert
// that this rank gives up for it, or none. Swap means that the busiest rank
// takes Drop in exchange and keeps no copy.
type change struct {
	expert, to int
	drop       int
	swap       bool
	// leave means that the busiest rank gives its copy up.
	leave bool
	peak  float64
}

const none = -1

// step makes the change that lowers the load of the busiest rank most, judged
// by the higher of the loads of the ranks that it touches.
func (p Planner) step(l *layer) bool {
	busiest := 0
	for r := range l.loads {
		if l.loads[r]*l.paces[r] > l.loads[busiest]*l.paces[busiest] {
			busiest = r
		}
	}
	best := change{peak: l.worst() * (1 - 1e-6)}
	found := false
	for _, e := range l.held[busiest] {
		for r := range l.held {
			if r == busiest || slices.Contains(l.held[r], e) {
				continue
			}
			for _, c := range p.changes(l, busiest, e, r) {
				c.peak = l.peakAfter(busiest, c)
				if c.peak < best.peak {
					best, found = c, true
				}
			}
		}
	}
	if found {
		l.apply(busiest, best)
	}
	return found
}

// changes lists the ways in which rank r can get expert e of the busiest rank.
func (p Planner) changes(l *layer, busiest, e, r int) []change {
	var list []change
	if !p.takes(l, r, e) {
		return nil
	}
	if len(l.held[r]) < p.places {
		list = append(list, change{expert: e, to: r, drop: none}, change{expert: e, to: r, drop: none, leave: true})
	}
	for _, x := range l.held[r] {
		if l.copies[x] > 1 {
			list = append(list, change{expert: e, to: r, drop: x})
		}
		if p.takes(l, busiest, x) && !slices.Contains(l.held[busiest], x) {
			list = append(list, change{expert: e, to: r, drop: x, swap: true})
		}
	}
	return list
}

// takes reports whether a rank may be given an expert in this step.
func (p Planner) takes(l *layer, r, e int) bool {
	return l.before[r][e] || l.added[r] < p.spare
}

// peakAfter returns the highest load among the ranks that a change touches.
func (l *layer) peakAfter(busiest int, c change) float64 {
	from := l.shift(busiest, l.loads[busiest], c, busiest) * l.paces[busiest]
	to := l.shift(c.to, l.loads[c.to], c, busiest) * l.paces[c.to]
	peak := max(from, to)
	if c.swap || c.drop == none {
		return peak
	}
	k := float64(l.copies[c.drop])
	more := l.weights[c.drop]/(k-1) - l.weights[c.drop]/k
	for _, r := range l.holders[c.drop] {
		if r != c.to && r != busiest {
			peak = max(peak, (l.loads[r]+more)*l.paces[r])
		}
	}
	return peak
}

// shift returns the load of a rank after a change.
func (l *layer) shift(r int, load float64, c change, busiest int) float64 {
	if c.leave {
		part := l.weights[c.expert] / float64(l.copies[c.expert])
		switch r {
		case busiest:
			return load - part
		case c.to:
			return load + part
		}
		return load
	}
	if c.swap {
		we, wx := l.weights[c.expert]/float64(l.copies[c.expert]), l.weights[c.drop]/float64(l.copies[c.drop])
		switch r {
		case busiest:
			return load - we + wx
		case c.to:
			return load + we - wx
		}
		return load
	}
	n := float64(l.copies[c.expert])
	if slices.Contains(l.held[r], c.expert) {
		load -= l.weights[c.expert]/n - l.weights[c.expert]/(n+1)
	}
	if r == c.to {
		load += l.weights[c.expert] / (n + 1)
	}
	if c.drop != none {
		k := float64(l.copies[c.drop])
		if r == c.to {
			load -= l.weights[c.drop] / k
		} else if slices.Contains(l.held[r], c.drop) {
			load += l.weights[c.drop]/(k-1) - l.weights[c.drop]/k
		}
	}
	return load
}

func (l *layer) apply(busiest int, c change) {
	after := make([]float64, len(l.loads))
	for r := range l.held {
		after[r] = l.shift(r, l.loads[r], c, busiest)
	}
	l.loads = after
	l.give(c.to, c.expert)
	if c.drop != none {
		l.take(c.to, c.drop)
	}
	if c.swap {
		l.give(busiest, c.drop)
	}
	if c.swap || c.leave {
		l.take(busiest, c.expert)
	}
}

func (l *layer) give(r, e int) {
	l.held[r] = append(l.held[r], e)
	l.holders[e] = append(l.holders[e], r)
	l.copies[e]++
	if !l.before[r][e] {
		l.added[r]++
	}
}

func (l *layer) take(r, e int) {
	l.held[r] = slices.DeleteFunc(l.held[r], func(x int) bool { return x == e })
	l.holders[e] = slices.DeleteFunc(l.holders[e], func(x int) bool { return x == r })
	l.copies[e]--
	if !l.before[r][e] {
		l.added[r]--
	}
}
