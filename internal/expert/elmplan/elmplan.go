// Package elmplan plans which experts each rank of a group holds. It minimizes the
// time of the slowest rank.
//
// All ranks of a group begin each pass together. In each set of layers, the pass
// waits for the rank with the most work. Copies of an expert share its tokens
// evenly.
//
// # Usage
//
//	planner := elmplan.New(expertSlots, maxNewExperts).WithPaces(paces)
//	next, before, after, worthwhile := planner.Propose(current, weights, slotUsage)
package elmplan

import (
	"slices"

	"github.com/elmcove/elmcove/internal/model/elmrank"
)

const (
	// maxChanges is the maximum number of changes to one set of a map.
	maxChanges = 400
	// maxTargets is the number of ranks, the fastest ones, among which a rank that takes
	// work is looked for first.
	maxTargets = 24
	// minGain is the minimum decrease of the peak, in units of the mean load.
	// Below it, copying experts delays callers more than shorter passes save.
	minGain = 0.35
	// minGainBusy is minGain for a busy group, in which longer passes make
	// callers wait for a slot.
	minGainBusy = 0.15
	// busyUsage is the share of slots in use above which a group is busy.
	busyUsage = 0.75
	// targetPeak is the peak at which Propose stops. Below it, plans follow random
	// variation in the demand, and the copies cost more than they save.
	targetPeak = 1.25
)

// Weights is the demand for each expert: Weights[set][expert].
type Weights [][]float64

// Planner rebalances expert maps within the limits of the ranks. It is immutable.
type Planner struct {
	expertSlots   int
	maxNewExperts int
	target        float64
	paces         []float64
	// maxCopies is the number of experts that a rank receives in all sets together, or 0 if
	// it is not limited.
	maxCopies int
}

// New returns a planner for ranks that hold up to expertSlots experts in each set
// and receive up to maxNewExperts new ones in each rollout.
func New(expertSlots, maxNewExperts int) Planner {
	return Planner{expertSlots: expertSlots, maxNewExperts: maxNewExperts, target: 1}
}

// WithTarget returns a planner that stops when the time of the slowest rank of a
// set is at most peak times the mean load, since further copies would cost more
// than they save.
func (p Planner) WithTarget(peak float64) Planner {
	p.target = peak
	return p
}

// WithMaxCopies returns a planner that gives a rank up to n new experts in all sets
// together. The rank that receives most determines how long a rollout copies.
func (p Planner) WithMaxCopies(n int) Planner {
	p.maxCopies = n
	return p
}

// WithPaces returns a planner that takes slow ranks into account. A pace of 2
// means that a rank takes twice as long for the same work.
func (p Planner) WithPaces(paces []float64) Planner {
	p.paces = paces
	return p
}

// Peak returns the ratio of the slowest rank's time to the mean load, averaged over
// the sets. A balanced map has a peak of 1.
func (p Planner) Peak(m elmrank.Map, w Weights) float64 {
	total := 0.0
	for s := range m {
		l := layer{weights: w[s], paces: p.pacesOf(m[s])}
		l.countCopies(m[s])
		l.addLoads(m[s])
		mean := l.mean()
		if mean == 0 {
			total++
			continue
		}
		total += l.longestTime() / mean
	}
	return total / float64(max(len(m), 1))
}

// pacesOf returns the pace of each rank, which is 1 if it is unknown.
func (p Planner) pacesOf(ranks [][]int) []float64 {
	if len(p.paces) == len(ranks) {
		return p.paces
	}
	return slices.Repeat([]float64{1}, len(ranks))
}

// Aim is how evenly a map is balanced, and what justifies copying experts.
type Aim struct {
	// Peak is the peak at which planning stops.
	Peak float64
	// Gain is the minimum decrease of the peak, in units of the mean load.
	Gain float64
}

// UsualAim returns the aim for a group whose callers get their events in time. SlotUsage
// is the share of the group's slots that are in use.
func UsualAim(slotUsage float64) Aim {
	if slotUsage > busyUsage {
		return Aim{Peak: targetPeak, Gain: minGainBusy}
	}
	return Aim{Peak: targetPeak, Gain: minGain}
}

// Propose does the same as ProposeFor with the usual aim.
func (p Planner) Propose(m elmrank.Map, w Weights, slotUsage float64) (next elmrank.Map, before, after float64, worthwhile bool) {
	return p.ProposeFor(m, w, UsualAim(slotUsage))
}

// ProposeFor returns a rebalanced map, the peaks of the current and the new map, and
// whether the decrease of the peak justifies copying the experts.
func (p Planner) ProposeFor(m elmrank.Map, w Weights, aim Aim) (next elmrank.Map, before, after float64, worthwhile bool) {
	next = p.WithTarget(aim.Peak).Improve(m, w)
	before, after = p.Peak(m, w), p.Peak(next, w)
	return next, before, after, before-after >= aim.Gain
}

// Improve returns a map with a lower peak that one rollout can reach. It changes
// the map greedily, one change of the slowest rank at a time.
func (p Planner) Improve(m elmrank.Map, w Weights) elmrank.Map {
	next := make(elmrank.Map, len(m))
	var copied []int
	for s := range m {
		l := newLayer(m[s], w[s], p.pacesOf(m[s]))
		if p.maxCopies > 0 {
			copied = l.limitCopies(copied, p.maxCopies, p.maxNewExperts)
		}
		target := p.target * l.mean()
		for range maxChanges {
			if l.longestTime() <= target || !p.improveOnce(l) {
				break
			}
		}
		next[s] = l.expertLists()
		for r := range copied {
			copied[r] += l.added[r] - l.reserved[r]
		}
	}
	return next
}

// layer is the working state of the planner for one set of layers.
type layer struct {
	weights []float64
	copies  []int
	// part is the load of one copy of each expert, more and fewer what it would be with
	// one copy more or one less. They save most of the divisions of a plan.
	part, more, fewer []float64
	held              [][]int
	// holders lists the ranks that hold each expert.
	holders [][]int
	// initial lists the experts that each rank holds in the current map.
	initial [][]int
	// added counts the experts that each rank receives.
	added []int
	loads []float64
	// reserved is the part of added that only limits what a rank may receive.
	reserved []int
	// paces holds how many times as long each rank takes for the same load.
	paces []float64
	// order lists the ranks, those with the least time first, as of the last sorting.
	order []int
}

func newLayer(ranks [][]int, weights, paces []float64) *layer {
	l := &layer{
		paces:   paces,
		weights: weights,
		part:    make([]float64, len(weights)),
		more:    make([]float64, len(weights)),
		fewer:   make([]float64, len(weights)),
		holders: make([][]int, len(weights)),
		added:   make([]int, len(ranks)),
		initial: ranks,
		order:   make([]int, len(ranks)),
	}
	l.countCopies(ranks)
	for r, experts := range ranks {
		l.held = append(l.held, slices.Clone(experts))
		l.order[r] = r
		for _, e := range experts {
			l.holders[e] = append(l.holders[e], r)
		}
	}
	for e := range weights {
		l.updateParts(e)
	}
	l.addLoads(ranks)
	return l
}

// limitCopies reserves what ranks may not receive in this set, since they receive it in
// earlier ones. It returns copied, the number of experts that each rank receives there.
func (l *layer) limitCopies(copied []int, limit, maxNewExperts int) []int {
	if copied == nil {
		copied = make([]int, len(l.loads))
	}
	l.reserved = make([]int, len(l.loads))
	for r, n := range copied {
		l.reserved[r] = max(0, maxNewExperts-(limit-n))
		l.added[r] = l.reserved[r]
	}
	return copied
}

func (l *layer) countCopies(ranks [][]int) {
	l.copies = make([]int, len(l.weights))
	for _, experts := range ranks {
		for _, e := range experts {
			l.copies[e]++
		}
	}
}

// addLoads computes the load of each rank.
func (l *layer) addLoads(ranks [][]int) {
	l.loads = make([]float64, len(ranks))
	for r, experts := range ranks {
		for _, e := range experts {
			l.loads[r] += l.weights[e] / float64(l.copies[e])
		}
	}
}

// updateParts follows a change of the number of copies of an expert.
func (l *layer) updateParts(e int) {
	n := float64(l.copies[e])
	l.part[e], l.more[e], l.fewer[e] = l.weights[e]/n, l.weights[e]/(n+1), l.weights[e]/(n-1)
}

// timeOf returns the time of a rank.
func (l *layer) timeOf(r int) float64 { return l.loads[r] * l.paces[r] }

// longestTime returns the time of the slowest rank.
func (l *layer) longestTime() float64 {
	longest := 0.0
	for r, load := range l.loads {
		longest = max(longest, load*l.paces[r])
	}
	return longest
}

func (l *layer) mean() float64 {
	sum := 0.0
	for _, load := range l.loads {
		sum += load
	}
	return sum / float64(len(l.loads))
}

func (l *layer) expertLists() [][]int {
	lists := make([][]int, len(l.held))
	for r := range l.held {
		lists[r] = append([]int{}, l.held[r]...)
		slices.Sort(lists[r])
	}
	return lists
}

// change gives another rank a copy of an expert of the slowest rank.
type change struct {
	expert, to int
	// drop is the expert that the other rank drops, or noExpert.
	drop int
	// swap means that the slowest rank receives drop and drops its own copy of
	// expert.
	swap bool
	// move means that the slowest rank drops its own copy of expert.
	move bool
	// peak is the highest time among the affected ranks after the change.
	peak float64
}

const noExpert = -1

// improveOnce applies the best change of the slowest rank: the one after which the
// slowest affected rank takes the least time. It looks for it among the fastest ranks
// first. It returns false if no change helps.
func (p Planner) improveOnce(l *layer) bool {
	slowest := 0
	for r := range l.loads {
		if l.loads[r]*l.paces[r] > l.loads[slowest]*l.paces[slowest] {
			slowest = r
		}
	}
	targets := l.byTime()
	best, found := p.bestChange(l, slowest, targets[:min(maxTargets, len(targets))])
	if !found && len(targets) > maxTargets {
		best, found = p.bestChange(l, slowest, targets[maxTargets:])
	}
	if found {
		l.apply(slowest, best)
	}
	return found
}

// bestChange returns the best change that gives one of some ranks a copy of an expert of
// the slowest rank, and whether any helps.
func (p Planner) bestChange(l *layer, slowest int, targets []int) (best change, found bool) {
	best = change{expert: noExpert, peak: l.longestTime() * (1 - 1e-6)}
	for _, e := range l.held[slowest] {
		for _, r := range targets {
			if r != slowest && !slices.Contains(l.held[r], e) && p.canAdd(l, r, e) {
				p.considerRank(l, slowest, e, r, &best)
			}
		}
	}
	return best, best.expert != noExpert
}

// considerRank replaces best by a better change that gives rank r a copy of expert e of the
// slowest rank, if there is one.
func (p Planner) considerRank(l *layer, slowest, e, r int, best *change) {
	if len(l.held[r]) < p.expertSlots {
		l.consider(slowest, change{expert: e, to: r, drop: noExpert}, best)
		l.consider(slowest, change{expert: e, to: r, drop: noExpert, move: true}, best)
	}
	for _, x := range l.held[r] {
		if l.copies[x] > 1 {
			l.consider(slowest, change{expert: e, to: r, drop: x}, best)
		}
		if p.canAdd(l, slowest, x) && !slices.Contains(l.held[slowest], x) {
			l.consider(slowest, change{expert: e, to: r, drop: x, swap: true}, best)
		}
	}
}

func (l *layer) consider(slowest int, c change, best *change) {
	if c.peak = l.peakAfter(slowest, c, best.peak); c.peak < best.peak {
		*best = c
	}
}

// byTime returns the ranks, those with the least time first. A change affects few ranks,
// so that an insertion into the order of the last change is enough.
func (l *layer) byTime() []int {
	for i, r := range l.order {
		time, k := l.timeOf(r), i
		for ; k > 0; k-- {
			other := l.order[k-1]
			if before := l.timeOf(other); before < time || before == time && other < r {
				break
			}
			l.order[k] = other
		}
		l.order[k] = r
	}
	return l.order
}

// canAdd reports whether a rank can receive an expert in this rollout. An expert
// of the current map needs no copying.
func (p Planner) canAdd(l *layer, r, e int) bool {
	return l.added[r] < p.maxNewExperts || slices.Contains(l.initial[r], e)
}

// peakAfter returns the highest time among the ranks that a change affects, or a time of at
// least limit if that is reached.
func (l *layer) peakAfter(slowest int, c change, limit float64) float64 {
	peak := l.loadAfter(slowest, c, slowest) * l.paces[slowest]
	if peak >= limit {
		return peak
	}
	peak = max(peak, l.loadAfter(c.to, c, slowest)*l.paces[c.to])
	if peak >= limit || c.swap || c.drop == noExpert {
		return peak
	}
	more := l.fewer[c.drop] - l.part[c.drop]
	for _, r := range l.holders[c.drop] {
		if r != c.to && r != slowest {
			peak = max(peak, (l.loads[r]+more)*l.paces[r])
		}
	}
	return peak
}

// loadAfter returns the load of rank r after a change.
func (l *layer) loadAfter(r int, c change, slowest int) float64 {
	load := l.loads[r]
	switch {
	case c.move && r == slowest:
		return load - l.part[c.expert]
	case c.move && r == c.to:
		return load + l.part[c.expert]
	case c.swap && r == slowest:
		return load - l.part[c.expert] + l.part[c.drop]
	case c.swap && r == c.to:
		return load + l.part[c.expert] - l.part[c.drop]
	case c.move || c.swap:
		return load
	}
	if r == c.to {
		load += l.more[c.expert]
		if c.drop != noExpert {
			load -= l.part[c.drop]
		}
		return load
	}
	if r == slowest || slices.Contains(l.held[r], c.expert) {
		load -= l.part[c.expert] - l.more[c.expert]
	}
	if c.drop != noExpert && slices.Contains(l.held[r], c.drop) {
		load += l.fewer[c.drop] - l.part[c.drop]
	}
	return load
}

func (l *layer) apply(slowest int, c change) {
	affected := append([]int{slowest, c.to}, l.holders[c.expert]...)
	if c.drop != noExpert {
		affected = append(affected, l.holders[c.drop]...)
	}
	after := make([]float64, len(affected))
	for i, r := range affected {
		after[i] = l.loadAfter(r, c, slowest)
	}
	for i, r := range affected {
		l.loads[r] = after[i]
	}
	l.add(c.to, c.expert)
	if c.drop != noExpert {
		l.remove(c.to, c.drop)
	}
	if c.swap {
		l.add(slowest, c.drop)
	}
	if c.swap || c.move {
		l.remove(slowest, c.expert)
	}
}

func (l *layer) add(r, e int) {
	l.held[r] = append(l.held[r], e)
	l.holders[e] = append(l.holders[e], r)
	l.copies[e]++
	l.updateParts(e)
	if !slices.Contains(l.initial[r], e) {
		l.added[r]++
	}
}

func (l *layer) remove(r, e int) {
	l.held[r] = slices.DeleteFunc(l.held[r], func(x int) bool { return x == e })
	l.holders[e] = slices.DeleteFunc(l.holders[e], func(x int) bool { return x == r })
	l.copies[e]--
	l.updateParts(e)
	if !slices.Contains(l.initial[r], e) {
		l.added[r]--
	}
}
