package elmplace

import "time"

// SetQuarantine sets the prompt segments that no endpoint may get, with the end of their
// quarantine.
func (p *Placer) SetQuarantine(segments map[string]time.Duration) { p.quarantine = segments }

// QuarantineRemaining returns the time until none of the segments is in quarantine, or 0.
func (p *Placer) QuarantineRemaining(segments []string, now time.Duration) time.Duration {
	remaining := time.Duration(0)
	for _, s := range segments {
		remaining = max(remaining, p.quarantine[s]-now)
	}
	return remaining
}
