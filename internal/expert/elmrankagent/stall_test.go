package elmrankagent

import (
	"testing"
	"time"
)

// TestOneAgentRepairs: while an agent repairs a group, whose own hold the others
// see, they leave the group to it for a while, and take over if it gets nowhere.
func TestOneAgentRepairs(t *testing.T) {
	type look struct {
		at   time.Duration
		held map[int]int64
		want bool
	}
	planner, begun := map[int]int64{3: 207}, map[int]int64{3: 207, 0: 207}
	for name, looks := range map[string][]look{
		"nobody repairs":    {{0, planner, false}, {500 * time.Millisecond, planner, false}},
		"another repairs":   {{0, planner, false}, {100 * time.Millisecond, begun, true}, {700 * time.Millisecond, begun, true}},
		"another has died":  {{0, begun, true}, {900 * time.Millisecond, begun, false}},
		"the holds grow on": {{0, begun, true}, {700 * time.Millisecond, map[int]int64{3: 207, 0: 207, 1: 207}, true}, {1400 * time.Millisecond, map[int]int64{3: 207, 0: 207, 1: 207}, true}},
	} {
		t.Run(name, func(t *testing.T) {
			var s stall
			for _, l := range looks {
				if got := s.repaired(l.held, l.at); got != l.want {
					t.Errorf("at %v with holds %v another repairs: %v, want %v", l.at, l.held, got, l.want)
				}
			}
		})
	}
}
