package elmplace

import "time"

const (
	// progressWindow is how recently an endpoint must have made progress for its
	// service to count as alive. It is shorter than the time for which the ranks of
	// a broken group stall.
	progressWindow = time.Second
	// maxEndpointBrokenTime bounds the time without requests for an endpoint that is
	// repeatedly found in a broken group.
	maxEndpointBrokenTime = 16 * time.Second
	// brokenTTL is the time after which a broken group is tried again if no report
	// says that it is open.
	brokenTTL = 2 * time.Second
	// stallWindow is the time without progress after which a group counts as stalled. It
	// is several times the longest pass, and shorter than callers wait for an event.
	stallWindow = 1200 * time.Millisecond
	// stallProbes is the number of requests that a stalled group may have from an entry,
	// which show that it makes progress again.
	stallProbes = 2
)

// begin counts one more request.
func (s *service) begin(now time.Duration) {
	if s.open == 0 {
		s.openSince = now
	}
	s.open++
}

// IsStalled reports whether a service that has made progress before has had requests from
// this entry for stallWindow without any. A group can report that it is open and be held by a planner that
// has crashed.
func (p *Placer) IsStalled(name string, now time.Duration) bool {
	s := p.service(name)
	return s.hasProgress && s.open >= stallProbes && now-max(s.openSince, s.progressAt) >= stallWindow
}

// SetBroken sets whether the group of a service is broken, and reports whether that
// changed.
func (p *Placer) SetBroken(name string, broken bool, now time.Duration) bool {
	s := p.service(name)
	changed := s.isBroken != broken
	s.isBroken, s.brokenSetAt = broken, now
	return changed
}

// RecordProgress records that an endpoint has made progress, such as an event of a
// stream.
func (p *Placer) RecordProgress(name, id string, now time.Duration) {
	s := p.service(name)
	s.progressAt, s.hasProgress = now, true
	p.endpoint(id).brokenFor = 0
}

// HasProgress reports whether an endpoint of a service has made progress lately.
func (p *Placer) HasProgress(name string, now time.Duration) bool {
	s := p.service(name)
	return s.hasProgress && now-s.progressAt < progressWindow
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
	e.brokenFor = min(max(2*e.brokenFor, brokenTTL), maxEndpointBrokenTime)
	e.brokenUntil = now + e.brokenFor
	return false
}

// IsBroken reports whether the group of a service is known to be broken.
func (p *Placer) IsBroken(name string, now time.Duration) bool {
	s := p.service(name)
	return s.isBroken && now-s.brokenSetAt < brokenTTL
}
