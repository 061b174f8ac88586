package elmrankagent

import (
	"testing"
	"time"
)

// TestOneAgentRepairs checks that only one agent repairs a group. Other agents detect
// the repair by its hold, and take over if it makes no progress for repairTimeout.
func TestOneAgentRepairs(t *testing.T) {
	type poll struct {
		at   time.Duration
		held map[int]int64
		want bool
	}
	planner, begun := map[int]int64{3: 207}, map[int]int64{3: 207, 0: 207}
	for name, polls := range map[string][]poll{
		"no repair":        {{0, planner, false}, {500 * time.Millisecond, planner, false}},
		"repair underway":  {{0, planner, false}, {100 * time.Millisecond, begun, true}, {700 * time.Millisecond, begun, true}},
		"repairer crashed": {{0, begun, true}, {900 * time.Millisecond, begun, false}},
		"holds are added":  {{0, begun, true}, {700 * time.Millisecond, map[int]int64{3: 207, 0: 207, 1: 207}, true}, {1400 * time.Millisecond, map[int]int64{3: 207, 0: 207, 1: 207}, true}},
	} {
		t.Run(name, func(t *testing.T) {
			var s stall
			for _, l := range polls {
				if got := s.repairUnderway(l.held, l.at); got != l.want {
					t.Errorf("at %v with holds %v: repair underway %v, want %v", l.at, l.held, got, l.want)
				}
			}
		})
	}
}
