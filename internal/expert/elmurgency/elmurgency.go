// Package elmurgency decides how evenly a group's expert map is balanced and which gain
// justifies copying experts, from what the callers of the group lose.
//
// A stream gets one event in each pass. Callers lose the value of a stream when a pause
// between two of its events exceeds the maximum gap of its route. While passes are well
// below that gap, a better map gains nothing, and copying experts delays passes. When
// they exceed it, each copy that shortens passes is worth its delay.
//
// # Usage
//
//	passes = passes.Update(elmurgency.Sample{Epoch: 1, Pass: 900, Peak: 1.3, SlotUsage: 0.9, ExpertShare: 0.85}, now)
//	need := elmurgency.Assess(elmurgency.Load{Passes: passes, MaxEventGap: gap, Peak: peak, SlotUsage: usage})
//	next, before, after, worthwhile := planner.ProposeFor(current, weights, need.Aim)
package elmurgency

import (
	"time"

	"github.com/elmcove/elmcove/internal/expert/elmplan"
)

const (
	// promptRatio is the longest pause between two events relative to the mean time of a
	// pass. Passes that read prompts take longer than the mean.
	promptRatio = 1.25
	// urgentPeak is the peak at which planning stops while callers lose streams. Under
	// overload, maps planned to it served 0.05 more of the value than usual ones.
	urgentPeak = 1.1
	// estimateError is how much higher the peak of a map in force is than planned, since
	// the demand of the present differs from the counts. The model of shifts has 0.1.
	estimateError = 0.1
	// urgentGain is the decrease of the peak that then justifies a rollout.
	urgentGain = 0.08
)

// Load is what a group's callers experience at a poll.
type Load struct {
	Passes Passes
	// MaxEventGap is the shortest maximum gap of the service's stream routes, or 0 if
	// they have none.
	MaxEventGap time.Duration
	// Peak is the peak of the map in force.
	Peak float64
	// SlotUsage is the share of the group's slots that are in use.
	SlotUsage float64
}

// exceeds reports whether passes with a peak exceed the maximum gap.
func (l Load) exceeds(peak float64) bool {
	return l.MaxEventGap > 0 && time.Duration(promptRatio*float64(l.Passes.At(peak))) > l.MaxEventGap
}

// Need is how a map is planned.
type Need struct {
	Aim elmplan.Aim
	// Urgent means that callers lose streams with the map in force.
	Urgent bool
}

// Assess returns how the next map is planned. It is the usual aim unless pauses of
// streams exceed the maximum gap. Then each gain counts, and the map is balanced more
// evenly if pauses would still exceed the gap with a usual one. Otherwise that is not
// worth the time that its additional copies take.
func Assess(l Load) Need {
	usual := elmplan.UsualAim(l.SlotUsage)
	switch {
	case !l.exceeds(l.Peak):
		return Need{Aim: usual}
	case l.exceeds(usual.Peak + estimateError):
		return Need{Aim: elmplan.Aim{Peak: urgentPeak, Gain: urgentGain}, Urgent: true}
	}
	return Need{Aim: elmplan.Aim{Peak: usual.Peak, Gain: urgentGain}, Urgent: true}
}
