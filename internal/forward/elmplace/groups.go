package elmplace

import (
	"time"

	"github.com/elmcove/elmcove/internal/forward/elmprogress"
)

// maxEndpointBrokenTime bounds the time without requests for an endpoint that is
// repeatedly found in a broken group.
const maxEndpointBrokenTime = 16 * time.Second

// IsStalled reports whether a service's group makes no progress although it has requests.
func (p *Placer) IsStalled(name string, now time.Duration) bool {
	return p.service(name).state.IsStalled(now)
}

// SetBroken sets whether the group of a service is broken, and reports whether that
// changed.
func (p *Placer) SetBroken(name string, broken bool, now time.Duration) bool {
	return p.service(name).state.SetBroken(broken, now)
}

// RecordProgress records that an endpoint has made progress, such as an event of a
// stream.
func (p *Placer) RecordProgress(name, id string, now time.Duration) {
	p.service(name).state.RecordProgress(now)
	e := p.endpoint(id)
	e.brokenFor, e.progressAt = 0, now
}

// ProgressLag returns how long its service has gone on making progress without an endpoint,
// since that last did, but not before a time or the service's last interruption.
func (p *Placer) ProgressLag(name, id string, since time.Duration) time.Duration {
	return p.service(name).state.ProgressSince(max(p.endpoint(id).progressAt, since))
}

// HasProgress reports whether an endpoint of a service has made progress lately.
func (p *Placer) HasProgress(name string, now time.Duration) bool {
	return p.service(name).state.HasProgress(now)
}

// ReportBroken attributes a broken group to an endpoint. It returns true if the whole
// service counts as broken. If other endpoints make progress, the service has other
// groups, and only this endpoint is excluded, each time for twice as long up to
// maxEndpointBrokenTime.
func (p *Placer) ReportBroken(name, id string, now time.Duration) bool {
	if !p.HasProgress(name, now) {
		return true
	}
	e := p.endpoint(id)
	e.brokenFor = min(max(2*e.brokenFor, elmprogress.BrokenTTL), maxEndpointBrokenTime)
	e.brokenUntil = now + e.brokenFor
	return false
}

// IsBroken reports whether the group of a service is known to be broken.
func (p *Placer) IsBroken(name string, now time.Duration) bool {
	return p.service(name).state.IsBroken(now)
}
