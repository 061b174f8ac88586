package elmrouter

import (
	"time"

	"github.com/elmcove/elmcove/internal/forward/elmplace"
	"github.com/elmcove/elmcove/internal/limit/elmlearn"
	"github.com/elmcove/elmcove/internal/observe/elmclock"
	"github.com/elmcove/elmcove/internal/observe/elmlog"
	"github.com/elmcove/elmcove/internal/observe/elmmeter"
	"github.com/elmcove/elmcove/internal/wire/elmpeer"
)

// paceUnit is the number of units of a pace of 1 in messages.
const paceUnit = 100

// WithLearnedLimits makes the router learn the limits of endpoints of plain services.
func WithLearnedLimits() Option {
	return func(r *Router) {
		r.learns = true
		r.placer.LearnLimits()
	}
}

// recordLoad records the load of the endpoint that the request is sent to.
func (d *delivery) recordLoad() {
	if !d.router.learns {
		return
	}
	d.router.mutex.Lock()
	defer d.router.mutex.Unlock()
	d.load = d.router.placer.Load(d.member.ID, elmclock.Now())
}

// learn records what the request has shown of its endpoint. The router's mutex must be held.
func (d *delivery) learn(outcome elmplace.Outcome, elapsed, now time.Duration) {
	if !d.router.learns || d.load == 0 {
		return
	}
	sample := elmlearn.Sample{Kind: d.route.Name, Elapsed: elapsed, Load: d.load, Outcome: elmlearn.Lost}
	switch {
	case d.notRun:
		sample.Outcome = elmlearn.Refused
	case outcome == elmplace.Served:
		sample.Outcome = elmlearn.Served
	}
	d.router.placer.Learn(d.service, d.member.ID, sample, now)
	d.load, d.notRun = 0, false
}

// addObservations adds what was observed of endpoints to their loads.
func addObservations(loads []*elmpeer.Load, observations map[uint32]elmlearn.Observation) []*elmpeer.Load {
	set := func(l *elmpeer.Load, o elmlearn.Observation) {
		l.ObservedLoad = uint32(max(1, o.Load+0.5))
		if o.Pace > 0 {
			l.ObservedPace = uint32(max(1, o.Pace*paceUnit+0.5))
		}
	}
	for _, l := range loads {
		if o, ok := observations[l.GetEndpoint()]; ok {
			set(l, o)
			delete(observations, l.GetEndpoint())
		}
	}
	for key, o := range observations {
		l := &elmpeer.Load{Endpoint: key}
		set(l, o)
		loads = append(loads, l)
	}
	return loads
}

// hearObservations records what others have observed of endpoints. The mutex must be held.
func (r *Router) hearObservations(l *elmpeer.Loads, now time.Duration) {
	for _, e := range l.GetLoads() {
		if e.GetObservedLoad() > 0 {
			o := elmlearn.Observation{Load: float64(e.GetObservedLoad()), Pace: float64(e.GetObservedPace()) / paceUnit}
			r.placer.HearObservation(e.GetEndpoint(), o, l.GetDatacentre() != "", now)
		}
	}
}

// reportLimits logs which limits were lowered or restored, at most once for each endpoint in
// each cleanUpInterval, and updates the metrics.
func (r *Router) reportLimits() {
	if !r.learns {
		return
	}
	r.mutex.Lock()
	states := r.placer.LimitStates(elmclock.Now())
	r.mutex.Unlock()
	metered := map[string]bool{}
	for _, s := range states {
		metered[s.Endpoint] = true
		r.meter.Set(elmmeter.EndpointLimit, "endpoint", s.Endpoint, s.Limit)
		r.meter.Set(elmmeter.EndpointPace, "endpoint", s.Endpoint, s.Pace)
		event := elmlog.LimitRestored
		if s.Lowered {
			event = elmlog.LimitLowered
		}
		if s.Changed {
			r.logger.Event(event, "endpoint", s.Endpoint, "service", s.Service, "limit", s.Limit, "start", s.Start, "pace", s.Pace)
		}
	}
	for id := range r.metered {
		if !metered[id] {
			r.meter.Remove(elmmeter.EndpointLimit, "endpoint", id)
			r.meter.Remove(elmmeter.EndpointPace, "endpoint", id)
		}
	}
	r.metered = metered
}
