package elmplace

import (
	"time"

	"github.com/elmcove/elmcove/internal/forward/elmsnapshot"
	"github.com/elmcove/elmcove/internal/limit/elmlearn"
	"github.com/elmcove/elmcove/internal/model/elmcatalog"
)

const (
	// timeCost is the cost, in requests, of the response time of the fastest endpoint
	// without a queue. A request more in the queue of an endpoint with six slots
	// prolongs responses by a sixth of that.
	timeCost = 6.0
	// idleCost is the cost of a request at an endpoint that has no queue. It keeps entries
	// from filling one endpoint up to its slots, since their loads are some time old.
	idleCost = 0.12
	// learnedTTL is how long the state of an endpoint that gets no requests is kept.
	learnedTTL = time.Minute
	// loweredRatio and restoredRatio are the parts of its start below which a limit counts
	// as lowered, and from which on as restored.
	loweredRatio  = 0.5
	restoredRatio = 0.9
)

// learned holds what is known of the endpoints of plain services.
type learned struct {
	lists map[string]*elmlearn.List
	// lowered holds the endpoints whose limit counts as lowered.
	lowered map[string]bool
}

// LimitState is the learned limit of an endpoint of a plain service.
type LimitState struct {
	elmlearn.State
	Endpoint, Service string
	// Lowered means that the limit has fallen below half of its start, and Changed that it
	// has done so or returned since the last call of LimitStates.
	Lowered, Changed bool
}

// LearnLimits makes the Placer learn the limits of endpoints of plain services. Without it
// each accepts plainRequestsPerSlot.
func (p *Placer) LearnLimits() {
	p.learned = &learned{lists: map[string]*elmlearn.List{}, lowered: map[string]bool{}}
}

// learns reports whether limits of a service are learned. Those of engines are not: ranks of a
// group work in lock-step, so that their response times show the group.
func (p *Placer) learns(s elmcatalog.Service) bool { return p.learned != nil && s.Engine == nil }

func (l *learned) list(service string) *elmlearn.List {
	list, ok := l.lists[service]
	if !ok {
		list = elmlearn.New()
		l.lists[service] = list
	}
	return list
}

func learnID(endpoint string) elmlearn.ID { return elmlearn.ID(EndpointKey(endpoint)) }

// limit returns the learned limit of an endpoint.
func (l *learned) limit(s elmcatalog.Service, m elmsnapshot.Member, now time.Duration) float64 {
	return l.list(s.Name).Limit(learnID(m.ID), m.Slots, now)
}

// cost returns the cost, in requests, of the expected response time of one more request.
func (l *learned) cost(s elmcatalog.Service, m elmsnapshot.Member, load float64, now time.Duration) float64 {
	return timeCost*l.list(s.Name).Time(learnID(m.ID), load+1, now) + idleCost*load
}

func (l *learned) forget(now time.Duration) {
	if l == nil {
		return
	}
	for _, list := range l.lists {
		list.Forget(now - learnedTTL)
	}
}

// Load returns the number of requests that all entries have at an endpoint.
func (p *Placer) Load(id string, now time.Duration) float64 { return p.load(id, now) }

// Learn records what a request has shown of an endpoint of a service.
func (p *Placer) Learn(s elmcatalog.Service, id string, sample elmlearn.Sample, now time.Duration) {
	if p.learns(s) {
		p.learned.list(s.Name).Record(learnID(id), sample, now)
	}
}

// Observations returns what this entry has observed of endpoints since the last call, by
// EndpointKey.
func (p *Placer) Observations(now time.Duration) map[uint32]elmlearn.Observation {
	return p.collect(func(l *elmlearn.List) map[elmlearn.ID]elmlearn.Observation { return l.Reports(now) })
}

// SumObservations returns what this entry and those with their own reports have observed of
// endpoints since the last call, by EndpointKey.
func (p *Placer) SumObservations(now time.Duration) map[uint32]elmlearn.Observation {
	return p.collect(func(l *elmlearn.List) map[elmlearn.ID]elmlearn.Observation { return l.Sum(now) })
}

func (p *Placer) collect(of func(*elmlearn.List) map[elmlearn.ID]elmlearn.Observation) map[uint32]elmlearn.Observation {
	all := map[uint32]elmlearn.Observation{}
	if p.learned == nil {
		return all
	}
	for _, list := range p.learned.lists {
		for id, o := range of(list) {
			all[uint32(id)] = o
		}
	}
	return all
}

// HearObservation records what another entry, or the entries of another data centre, have
// observed of an endpoint.
func (p *Placer) HearObservation(key uint32, o elmlearn.Observation, datacentre bool, now time.Duration) {
	if p.learned == nil {
		return
	}
	for _, list := range p.learned.lists {
		if datacentre {
			list.HearDatacentre(elmlearn.ID(key), o, now)
		} else {
			list.Hear(elmlearn.ID(key), o, now)
		}
	}
}

// LimitStates returns the learned limits of all endpoints.
func (p *Placer) LimitStates(now time.Duration) []LimitState {
	if p.learned == nil {
		return nil
	}
	var states []LimitState
	for id := range p.learned.lowered {
		if p.endpoints[id] == nil {
			delete(p.learned.lowered, id)
		}
	}
	for id, e := range p.endpoints {
		list, ok := p.learned.lists[e.service]
		if !ok {
			continue
		}
		state, ok := list.State(elmlearn.ID(e.key), now)
		if !ok {
			continue
		}
		s := LimitState{State: state, Endpoint: id, Service: e.service, Lowered: p.learned.lowered[id]}
		switch {
		case !s.Lowered && s.Limit < loweredRatio*s.Start, s.Lowered && s.Limit >= restoredRatio*s.Start:
			s.Lowered, s.Changed = !s.Lowered, true
			p.learned.lowered[id] = s.Lowered
		}
		states = append(states, s)
	}
	return states
}
