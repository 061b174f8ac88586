package elmlockstep

import (
	"slices"
	"time"

	"github.com/elmcove/elmcove/internal/expert/elmdemand"
	"github.com/elmcove/elmcove/internal/expert/elmplan"
	"github.com/elmcove/elmcove/internal/model/elmrank"
)

const (
	// pollInterval is the time between two polls of the counts, as in elmplanner.
	pollInterval = 350 * time.Millisecond
	// rolloutDelay is the time from planning a map to the first pass with it, without
	// the time for copying experts.
	rolloutDelay = 150 * time.Millisecond
	// expertCopyTime is the time to copy one expert to one rank.
	expertCopyTime = 35 * time.Millisecond
	// copySlowdownPercent is how much longer a pass takes while ranks copy experts.
	copySlowdownPercent = 15
	// oracleSteps is the number of improvements in which Oracle reaches its map.
	oracleSteps = 12
)

// planner holds the state of planning and rolling out the group's expert maps.
type planner struct {
	demand *elmdemand.Demand
	// next is the map that is being rolled out, or nil.
	next         elmrank.Map
	effectiveAt  time.Duration
	copyingUntil time.Duration
	copied       int
	rollouts     int
	gap          gapPlanner
}

func newPlanner() planner { return planner{demand: elmdemand.New(sets, experts), gap: newGapPlanner()} }

// reset discards a map that was prepared in an earlier epoch.
func (p *planner) reset() {
	p.next, p.copyingUntil = nil, 0
	p.gap.restart()
}

// mapForPass returns the map for a pass that begins now, and ends the rollout once its
// map takes effect.
func (p *planner) mapForPass(active elmrank.Map, now time.Duration) elmrank.Map {
	if p.next == nil || now < p.effectiveAt {
		return active
	}
	next := p.next
	p.next = nil
	return next
}

// planMap polls the counts at each pollInterval and starts the rollout of a new map if it
// is worthwhile.
func (sm *simulation) planMap() {
	p := &sm.planner
	if sm.settings.MapPolicy == FitGap && !sm.broken {
		sm.planForGap()
		return
	}
	if sm.settings.MapPolicy == KeepFirst || sm.broken || sm.now%pollInterval != 0 {
		return
	}
	counts := make([]int64, sets*experts)
	for i, n := range sm.ranks[0].counts {
		counts[i] = int64(n)
	}
	weights := p.demand.Add([]elmrank.Counts{{Counts: counts}}, sm.now)
	if sm.settings.MapPolicy == Oracle {
		sm.activeMap = sm.oracleMap()
		return
	}
	if weights == nil || p.next != nil {
		return
	}
	if next, worthwhile := sm.improvedMap(weights); worthwhile {
		sm.rollOut(next)
	}
}

// rollOut starts the rollout of a map.
func (sm *simulation) rollOut(next elmrank.Map) {
	p := &sm.planner
	maxPerRank, total := countCopies(sm.activeMap, next)
	p.copied += total
	p.rollouts++
	p.copyingUntil = sm.now + time.Duration(maxPerRank)*expertCopyTime
	p.next, p.effectiveAt = next, p.copyingUntil+rolloutDelay
}

// improvedMap returns an improved map and whether the group rolls it out.
func (sm *simulation) improvedMap(weights elmplan.Weights) (elmrank.Map, bool) {
	planner := elmplan.New(expertSlots, maxNewExperts).WithPaces(sm.paces())
	if sm.settings.MapPolicy == AlwaysImprove {
		next := planner.Improve(sm.activeMap, weights)
		return next, planner.Peak(next, weights) < planner.Peak(sm.activeMap, weights)
	}
	next, _, _, worthwhile := planner.Propose(sm.activeMap, weights, sm.slotUsage())
	return next, worthwhile
}

// slotUsage returns the share of the slots that running and queued requests need.
func (sm *simulation) slotUsage() float64 {
	n := 0
	for i := range sm.ranks {
		n += len(sm.ranks[i].running) + len(sm.ranks[i].queue)
	}
	return float64(n) / (slots * ranks)
}

// oracleMap fits the map to the actual demand at this moment, with no limit on the
// number of copies.
func (sm *simulation) oracleMap() elmrank.Map {
	weights := make(elmplan.Weights, sets)
	for s := range weights {
		weights[s] = make([]float64, experts)
		for t := range topics {
			for e, p := range sm.demand[t][s] {
				weights[s][e] += p
			}
		}
	}
	m := sm.activeMap
	for range oracleSteps {
		m = elmplan.New(expertSlots, expertSlots).Improve(m, weights)
	}
	return m
}

// countCopies returns the number of experts that ranks must copy to go from one map to
// another: the largest number at a single rank, and the total.
func countCopies(before, after elmrank.Map) (maxPerRank, total int) {
	for r := range ranks {
		n := 0
		for s := range after {
			for _, e := range after[s][r] {
				if !slices.Contains(before[s][r], e) {
					n++
				}
			}
		}
		maxPerRank, total = max(maxPerRank, n), total+n
	}
	return maxPerRank, total
}
