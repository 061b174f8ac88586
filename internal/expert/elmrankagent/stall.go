package elmrankagent

import (
	"maps"
	"time"

	"github.com/elmcove/elmcove/internal/expert/elmrank"
)

// stall remembers since when the own rank makes no passes.
type stall struct {
	step  int64
	epoch int64
	since time.Duration
	tried time.Duration
	// held are the holds that were seen last, and changed since when.
	held    map[int]int64
	changed time.Duration
}

// see takes a report and returns whether the rank has work and makes no passes.
func (s *stall) see(r elmrank.Report, now time.Duration) bool {
	busy := r.Open && r.Running+r.Waiting > 0
	if !busy || r.Step != s.step || r.Epoch != s.epoch {
		s.step, s.epoch, s.since = r.Step, r.Epoch, now
		return false
	}
	return true
}

// repaired reports whether another agent seems to be repairing the group: it has
// added a hold of its own lately.
func (s *stall) repaired(held map[int]int64, now time.Duration) bool {
	if !maps.Equal(held, s.held) {
		s.held, s.changed = held, now
	}
	return len(held) > 1 && now-s.changed < repairPatience
}
