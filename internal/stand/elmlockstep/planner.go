package elmlockstep

import (
	"slices"
	"time"

	"github.com/elmcove/elmcove/internal/expert/elmdemand"
	"github.com/elmcove/elmcove/internal/expert/elmplan"
	"github.com/elmcove/elmcove/internal/expert/elmrank"
)

const (
	// lookEvery is the time between two looks, as in elmplanner.
	lookEvery = 350 * time.Millisecond
	// orderTime passes between a plan and the pass with the new map, besides
	// copying.
	orderTime = 150 * time.Millisecond
	// copyTime is that of one expert to one rank.
	copyTime = 35 * time.Millisecond
	// copyingSlows is by how many in 100 passes are longer while ranks copy.
	copyingSlows = 15
	// knownSteps bounds the steps in which the bound finds its map.
	knownSteps = 12
)

// planner plans the maps of the group.
type planner struct {
	demand       *elmdemand.Demand
	next         elmrank.Map
	inForce      time.Duration
	copyingUntil time.Duration
	copied       int
	changes      int
}

func newPlanner() planner { return planner{demand: elmdemand.New(sets, experts)} }

// reset forgets what was prepared in an earlier epoch.
func (p *planner) reset() { p.next = nil }

// comesInForce returns the map of a pass that begins.
func (p *planner) comesInForce(active elmrank.Map, now time.Duration) elmrank.Map {
	if p.next == nil || now < p.inForce {
		return active
	}
	next := p.next
	p.next = nil
	return next
}

// plan looks at the group and plans a map if it is time to.
func (w *world) plan() {
	p := &w.planner
	if w.settings.Maps == First || w.broken || w.now%lookEvery != 0 {
		return
	}
	counts := make([]int64, sets*experts)
	for i, n := range w.ranks[0].counts {
		counts[i] = int64(n)
	}
	weights := p.demand.Add([]elmrank.Counts{{Counts: counts}}, w.now)
	if w.settings.Maps == Known {
		w.active = w.bestMap()
		return
	}
	if weights == nil || p.next != nil {
		return
	}
	next, worth := w.better(weights)
	if !worth {
		return
	}
	most, all := added(w.active, next)
	p.copied += all
	p.changes++
	p.copyingUntil = w.now + time.Duration(most)*copyTime
	p.next, p.inForce = next, p.copyingUntil+orderTime
}

// better returns a better map, and whether the group changes to it.
func (w *world) better(weights elmplan.Weights) (elmrank.Map, bool) {
	plan := elmplan.New(places, spare).WithPaces(w.paces())
	if w.settings.Maps == Always {
		next := plan.Improve(w.active, weights)
		return next, plan.Peak(next, weights) < plan.Peak(w.active, weights)
	}
	next, _, _, worth := plan.Fit(w.active, weights, w.taken())
	return next, worth
}

// taken returns the part of the slots that requests have or wait for.
func (w *world) taken() float64 {
	n := 0
	for i := range w.ranks {
		n += len(w.ranks[i].running) + len(w.ranks[i].queue)
	}
	return float64(n) / (slots * ranks)
}

// bestMap fits the map to the demand of this moment.
func (w *world) bestMap() elmrank.Map {
	weights := make(elmplan.Weights, sets)
	for s := range weights {
		weights[s] = make([]float64, experts)
		for t := range topics {
			for e, p := range w.demand[t][s] {
				weights[s][e] += p
			}
		}
	}
	m := w.active
	for range knownSteps {
		m = elmplan.New(places, places).Improve(m, weights)
	}
	return m
}

// added returns the experts that the rank with most of them is given, and those of
// all ranks.
func added(before, after elmrank.Map) (most, all int) {
	for r := range ranks {
		n := 0
		for s := range after {
			for _, e := range after[s][r] {
				if !slices.Contains(before[s][r], e) {
					n++
				}
			}
		}
		most, all = max(most, n), all+n
	}
	return most, all
}
