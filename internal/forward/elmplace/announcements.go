package elmplace

import (
	"slices"
	"time"

	"github.com/elmcove/elmcove/internal/forward/elmbackoff"
	"github.com/elmcove/elmcove/internal/forward/elmsnapshot"
)

// accepting returns the members that have not announced that they are leaving or
// paused, and the verdict if none of them can accept the request.
func (p *Placer) accepting(q Query, members []elmsnapshot.Member, now time.Duration) ([]elmsnapshot.Member, Verdict) {
	verdict := NoEndpoint
	if p.backoff.IsEmpty() {
		return members, verdict
	}
	var accepting []elmsnapshot.Member
	for _, m := range members {
		check := p.backoff.Check(m.ID, m.Started, p.endpoint(m.ID).inFlight, now)
		switch {
		case check == elmbackoff.Allowed:
			accepting = append(accepting, m)
		case slices.Contains(q.Tried, m.ID):
		case check != elmbackoff.Leaving:
			verdict = Paused
		case verdict == NoEndpoint:
			verdict = Leaving
		}
	}
	return accepting, verdict
}

// PauseRemaining returns the time until the first of the members that are paused accepts
// requests again, or 0 if none is paused.
func (p *Placer) PauseRemaining(members []elmsnapshot.Member, now time.Duration) time.Duration {
	remaining := time.Duration(0)
	for _, m := range members {
		if p.backoff.Check(m.ID, m.Started, 0, now) != elmbackoff.Paused {
			continue
		}
		if end := p.backoff.PausedUntil(m.ID) - now; remaining == 0 || end < remaining {
			remaining = end
		}
	}
	return remaining
}

// SetLeaving records that an endpoint announced that it is leaving, and reports whether
// that is new.
func (p *Placer) SetLeaving(m elmsnapshot.Member) bool {
	return p.backoff.SetLeaving(m.ID, m.Started)
}

// SetPause records that an endpoint wants no requests until a time, and reports whether
// a pause begins.
func (p *Placer) SetPause(m elmsnapshot.Member, until, now time.Duration) bool {
	return p.backoff.SetPause(m.ID, m.Started, until, now)
}

// EndPause records that an endpoint has responded to a request that was sent at a time,
// and reports whether that ends the recovery from a pause.
func (p *Placer) EndPause(id string, sentAt time.Duration) bool {
	return p.backoff.Served(id, sentAt)
}

// SetRateLimit records how many requests per second an endpoint accepts from all entries
// together, and reports whether that is new.
func (p *Placer) SetRateLimit(id string, started int64, perSecond float64, now time.Duration) bool {
	return p.rates.Set(id, started, perSecond, now)
}

// EndRateLimit records that an endpoint announces no rate any more, and reports whether
// it had one.
func (p *Placer) EndRateLimit(id string, started int64) bool { return p.rates.End(id, started) }

// hasRateCapacity reports whether this entry's share of the rate that an endpoint
// announced allows one more request.
func (p *Placer) hasRateCapacity(m elmsnapshot.Member, now time.Duration) bool {
	return p.rates.Allows(m.ID, m.Started, p.shares.Position(m.ID), p.shares.Count(), now)
}
