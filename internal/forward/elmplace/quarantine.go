package elmplace

import (
	"time"

	"github.com/elmcove/elmcove/internal/forward/elmsignature"
)

// SetQuarantine sets the signatures of requests that no endpoint may get, with the end of
// their quarantine.
func (p *Placer) SetQuarantine(quarantine map[elmsignature.Signature]time.Duration) {
	p.quarantine = quarantine
}

// QuarantineRemaining returns the time until none of the signatures is in quarantine, or 0.
func (p *Placer) QuarantineRemaining(signatures []elmsignature.Signature, now time.Duration) time.Duration {
	remaining := time.Duration(0)
	for _, s := range signatures {
		remaining = max(remaining, p.quarantine[s]-now)
	}
	return remaining
}
