package elmplace

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/elmcove/elmcove/internal/forward/elmbackoff"
	"github.com/elmcove/elmcove/internal/forward/elmsnapshot"
	"github.com/elmcove/elmcove/internal/limit/elmlearn"
)

// Candidate is an endpoint as the placement sees it.
type Candidate struct {
	Member      elmsnapshot.Member
	Load, Limit float64
	// Pace is the learned pace, or 0 if none is learned.
	Pace float64
	// Cost is the cost without its random term.
	Cost float64
	// Reason is why the endpoint is left out, or "".
	Reason string
}

// noRandom makes the random term of a cost 0.
type noRandom struct{}

// Uint64 implements rand.Source.
func (noRandom) Uint64() uint64 { return 0 }

// Candidates returns the members as Pick would see them, and the verdict that it would give. It
// changes nothing that decisions depend on.
func (p *Placer) Candidates(q Query, members []elmsnapshot.Member, now time.Duration) ([]Candidate, Verdict) {
	view := p.view(q.Service.Name, members)
	var candidates []Candidate
	avoidSlow := slices.ContainsFunc(members, func(m elmsnapshot.Member) bool { return !view.IsSlow(m) && view.refusesAll(m, now) == "" })
	for _, m := range members {
		load := view.load(m.ID, now)
		c := Candidate{Member: m, Load: load, Limit: view.limit(q, m, now), Cost: view.cost(q.Service, m, load, now)}
		if view.learns(q.Service) {
			c.Pace = view.learned.list(q.Service.Name).Pace(learnID(m.ID), now)
		}
		c.Reason = view.refusesAll(m, now)
		switch {
		case c.Reason != "":
		case avoidSlow && view.IsSlow(m):
			c.Reason = "slow rank"
		case now < view.endpoint(m.ID).brokenUntil:
			c.Reason = "group is broken"
		case load >= c.Limit:
			c.Reason = "load has reached the limit"
		case !view.hasColdCapacity(q.Service, m, now):
			c.Reason = "cold, and this entry's share of its rate is used"
		case !view.hasRateCapacity(m, now):
			c.Reason = "this entry's share of the announced rate is used"
		}
		candidates = append(candidates, c)
	}
	_, verdict := view.Pick(q, members, now)
	return candidates, verdict
}

// CanRetryNow reports whether the retry budget of a service allows one retry. It changes
// nothing that decisions depend on.
func (p *Placer) CanRetryNow(name string, now time.Duration) bool {
	s, ok := p.services[name]
	return !ok || s.retries.CanTake(name, 1, p.shares, now)
}

// refusesAll returns why an endpoint accepts no requests at all, or "".
func (p *Placer) refusesAll(m elmsnapshot.Member, now time.Duration) string {
	switch p.backoff.Check(m.ID, m.Started, p.endpoint(m.ID).inFlight, now) {
	case elmbackoff.Leaving:
		return "has announced that it is leaving"
	case elmbackoff.Paused:
		return "has asked for a pause"
	case elmbackoff.Recovering:
		return "is tested with one request after a pause"
	}
	return ""
}

// view returns a Placer with the same state of a service's members, which adds no endpoints,
// services or learned limits to this one. Other endpoints are left out: a copy of thousands would
// keep requests waiting.
func (p *Placer) view(service string, members []elmsnapshot.Member) *Placer {
	view := *p
	view.random = rand.New(noRandom{})
	view.services = maps.Clone(p.services)
	view.endpoints = make(map[string]*endpoint, len(members))
	for _, m := range members {
		if e, ok := p.endpoints[m.ID]; ok {
			copied := *e
			view.endpoints[m.ID] = &copied
		}
	}
	if p.learned != nil {
		view.learned = &learned{lists: map[string]*elmlearn.List{}}
		if list, ok := p.learned.lists[service]; ok {
			view.learned.lists[service] = list.Clone()
		}
	}
	return &view
}
