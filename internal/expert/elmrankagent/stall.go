package elmrankagent

import (
	"maps"
	"time"

	"github.com/elmcove/elmcove/internal/model/elmrank"
)

// stall tracks how long the agent's rank has had requests without beginning a pass.
type stall struct {
	pass        int64
	epoch       int64
	since       time.Duration
	attemptedAt time.Duration
	// held holds the held passes of the last poll, by rank, and heldChangedAt is
	// the time of their last change.
	held          map[int]int64
	heldChangedAt time.Duration
}

// update applies a report and returns whether the rank has requests and has begun no
// pass since the last report.
func (s *stall) update(r elmrank.Report, now time.Duration) bool {
	busy := r.Open && r.Running+r.Waiting > 0
	if !busy || r.Pass != s.pass || r.Epoch != s.epoch {
		s.pass, s.epoch, s.since = r.Pass, r.Epoch, now
		return false
	}
	return true
}

// repairUnderway reports whether another agent seems to be repairing the group: it has
// added its own hold within repairTimeout.
func (s *stall) repairUnderway(held map[int]int64, now time.Duration) bool {
	if !maps.Equal(held, s.held) {
		s.held, s.heldChangedAt = held, now
	}
	return len(held) > 1 && now-s.heldChangedAt < repairTimeout
}
