package elmlockstep

import (
	"time"

	"github.com/elmcove/elmcove/internal/expert/elmadaptation"
	"github.com/elmcove/elmcove/internal/model/elmcatalog"
)

var engine = elmcatalog.Engine{
	Slots: slots, Sets: sets, Experts: experts, ExpertSlots: expertSlots, MaxNewExperts: maxNewExperts, ExpertShare: expertShare,
}

// gapPlanner decides as elmplanner does for streams with a maximum gap.
type gapPlanner struct {
	adaptation *elmadaptation.Adaptation
	// counted holds the counts as of the last poll.
	counted  []int64
	nextPoll time.Duration
	// epoch and version identify the group and its map.
	epoch, version int64
}

func newGapPlanner() gapPlanner {
	return gapPlanner{adaptation: elmadaptation.New(), counted: make([]int64, sets*experts)}
}

// restart follows a group that has opened again with its first map.
func (g *gapPlanner) restart() { g.epoch, g.version = g.epoch+1, 0 }

// planForGap polls the counts when that is due and starts the rollout of a map.
func (sm *simulation) planForGap() {
	g := &sm.planner.gap
	if sm.now%elmadaptation.ShortPollInterval != 0 || sm.now < g.nextPoll {
		return
	}
	recent := make([]float64, sets*experts)
	for i, n := range sm.ranks[0].counts {
		recent[i] = float64(int64(n) - g.counted[i])
		g.counted[i] = int64(n)
	}
	decision := g.adaptation.Decide(elmadaptation.Poll{
		Engine: engine, MaxEventGap: pauseObjective, Epoch: g.epoch, Pass: int64(len(sm.skews)), Current: sm.activeMap, Version: g.version,
		Selections: recent, Paces: sm.paces(), SlotUsage: sm.slotUsage(), Changing: sm.planner.next != nil,
	}, sm.now)
	g.nextPoll = sm.now + pollTime + decision.Interval
	if decision.Next == nil {
		return
	}
	g.version++
	sm.rollOut(decision.Next)
	g.nextPoll = sm.planner.effectiveAt
}
