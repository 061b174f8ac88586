package elmrankagent

import (
	"time"

	"github.com/elmcove/elmcove/internal/expert/elmrank"
)

// stall remembers since when the own rank makes no passes.
type stall struct {
	step  int64
	epoch int64
	since time.Duration
	tried time.Duration
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
