// Package elmplace decides where the router sends a request, and when it is
// better refused: it knows how much work each endpoint has from this entry and
// from the others, which endpoints fail, which are cold, and which groups are
// broken.
//
// A Placer takes the time as an argument and does no input or output.
//
// # Usage
//
//	placer := elmplace.New(settings, random)
//	member, verdict := placer.Pick(query, members, now)
//	if verdict == elmplace.Placed {
//		placer.Begin(member.ID, now)
//		defer placer.End(member.ID, outcome, elapsed, now)
//	}
package elmplace

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/elmcove/elmcove/internal/forward/elmbelief"
	"github.com/elmcove/elmcove/internal/forward/elmcatalog"
	"github.com/elmcove/elmcove/internal/forward/elmshare"
	"github.com/elmcove/elmcove/internal/forward/elmslow"
)

const (
	// awayCost is what a request to another data centre counts for beside the
	// requests that an endpoint has: the bytes between data centres are paid.
	awayCost = 1.0
	// failureCost is what a recent failure counts for beside requests.
	failureCost = 6.0
	// failureHalf is the time in which half of a failure is forgotten.
	failureHalf = 2 * time.Second
	// slowCost is what a rank counts for beside its requests for each time that
	// its work takes longer than usual.
	slowCost = 4.0
	// engineQueue is the part of an engine's slots that may wait for one: what
	// waits longer would miss its objective. Source: docs/MODEL.md.
	engineQueue = 0.08
	// lateShare is the part of an engine's slots that may be taken when a request
	// gets one whose objective has passed. The rest is kept for those that can be
	// on time. Source: docs/MODEL.md.
	lateShare = 0.8
	// plainQueue is the number of requests that a plain service may have for
	// each of its slots.
	plainQueue = 3.0
	// peerLife is the time for which another entry's figures are used.
	peerLife = 1500 * time.Millisecond
	// safety is the part of the shared limits that is used, so that differing
	// views of the number of entries do not exceed them.
	safety = 0.75
	// entriesLife is the time for which entries that are no longer listed count:
	// several times that in which they list themselves again.
	entriesLife = 15 * time.Second
	// aliveGap is how long ago an engine must have made progress for its service to
	// count as alive: less than the time for which ranks of a broken group stall.
	aliveGap = time.Second
	// mostBrokenLife bounds the time for which an endpoint that is again and again
	// found in a broken group gets nothing.
	mostBrokenLife = 16 * time.Second
	// brokenLife is the time after which a group that was found broken is
	// tried again if no report says that it is open.
	brokenLife = 2 * time.Second
	// latencyWeight is the part of a new time in the average of an endpoint.
	latencyWeight = 0.2
	// coldWindow is the time over which the limit of cold endpoints is counted.
	coldWindow = time.Second
)

// Verdict is the result of a placement.
type Verdict int

const (
	// Placed means that an endpoint was chosen.
	Placed Verdict = iota
	// Absent means that the service has no endpoint that may get work.
	Absent
	// Full means that all endpoints have as much work as they can bear.
	Full
	// Broken means that the group of the service is not complete.
	Broken
)

// String returns the name of a verdict for logs.
func (v Verdict) String() string {
	return [...]string{"placed", "absent", "full", "broken"}[v]
}

// Outcome is how an endpoint dealt with a request.
type Outcome int

const (
	// Served means that the answer was whole.
	Served Outcome = iota
	// Failed means that the endpoint failed, refused or lost the request.
	Failed
	// Ignored means that nothing is learnt: the caller left, or its time ended.
	Ignored
)

// Settings are the limits that all entries share.
type Settings struct {
	Datacentre string
	// RepeatShare and RepeatBurst bound repeats in each RepeatWindow.
	RepeatShare  float64
	RepeatBurst  float64
	RepeatWindow time.Duration
	// ColdFactor and ColdSlack turn a service's cold rate into a limit.
	ColdFactor float64
	ColdSlack  float64
}

// Query is a request to be placed.
type Query struct {
	Service elmcatalog.Service
	// Tried lists the endpoints that it was sent to before.
	Tried []string
	// Late means that the request's objective has passed.
	Late bool
}

// Placer places requests. It is not safe for concurrent use.
type Placer struct {
	settings  Settings
	random    *rand.Rand
	entries   int
	counted   time.Duration
	endpoints map[string]*endpoint
	peers     map[string]peer
	services  map[string]*service
	slow      elmslow.List
}

type endpoint struct {
	key     uint32
	open    int
	failure float64
	failed  time.Duration
	latency float64
	cold    *elmshare.Counter
	// broken is until when the endpoint counts as part of a broken group, and
	// brokenFor how long it did so last.
	broken    time.Duration
	brokenFor time.Duration
}

type peer struct {
	at    time.Duration
	loads map[uint32]int
}

type service struct {
	requests *elmshare.Counter
	repeats  *elmshare.Counter
	broken   time.Duration
	isBroken bool
	// progress is when an endpoint last answered or made an event.
	progress time.Duration
	alive    bool
}

// New returns a Placer that knows of no other entry.
func New(settings Settings, random *rand.Rand) *Placer {
	return &Placer{
		settings: settings, random: random, entries: 1,
		endpoints: map[string]*endpoint{}, peers: map[string]peer{}, services: map[string]*service{},
	}
}

// SetEntries tells how many entries share the limits, this one included. Entries
// that are no longer listed still count for a while: after an outage of the store
// all of them may be missing until they have listed themselves again.
func (p *Placer) SetEntries(n int, now time.Duration) {
	if n >= p.entries || now-p.counted > entriesLife {
		p.entries, p.counted = max(n, 1), now
	}
}

// Key shortens the identity of an endpoint for the messages between entries.
func Key(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// SetPeer takes the number of requests that another entry has at each endpoint,
// by Key.
func (p *Placer) SetPeer(name string, loads map[uint32]int, now time.Duration) {
	p.peers[name] = peer{at: now, loads: loads}
}

// SetSlow tells which ranks are slow. All ranks of a group wait for them.
func (p *Placer) SetSlow(list elmslow.List) { p.slow = list }

// Loads returns the number of this entry's requests at each endpoint, by Key.
func (p *Placer) Loads() map[uint32]int {
	loads := map[uint32]int{}
	for _, e := range p.endpoints {
		if e.open > 0 {
			loads[e.key] = e.open
		}
	}
	return loads
}

// Pick chooses the endpoint with the least work.
func (p *Placer) Pick(q Query, members []elmbelief.Member, now time.Duration) (elmbelief.Member, Verdict) {
	if p.IsBroken(q.Service.Name, now) {
		return elmbelief.Member{}, Broken
	}
	spare := slices.ContainsFunc(members, func(m elmbelief.Member) bool { return !p.IsSlow(m) })
	verdict := Absent
	var best elmbelief.Member
	bestCost := 0.0
	for _, m := range members {
		if slices.Contains(q.Tried, m.ID) || spare && p.IsSlow(m) {
			continue
		}
		if now < p.endpoint(m.ID).broken {
			if verdict == Absent {
				verdict = Broken
			}
			continue
		}
		if verdict == Absent || verdict == Broken {
			verdict = Full
		}
		load := p.load(m.ID, now)
		if load >= p.limit(q, m) || !p.bearsCold(q.Service, m, now) {
			continue
		}
		cost := p.cost(q.Service, m, load, now)
		if verdict != Placed || cost < bestCost {
			best, bestCost, verdict = m, cost, Placed
		}
	}
	return best, verdict
}

// IsSlow reports whether a rank is slow. All ranks of a group wait for its own
// part of a pass, which it has only while it has requests.
func (p *Placer) IsSlow(m elmbelief.Member) bool { return p.slow[m.Address] > 1 }

// cost compares endpoints. It is counted in requests.
func (p *Placer) cost(s elmcatalog.Service, m elmbelief.Member, load float64, now time.Duration) float64 {
	cost := load + p.random.Float64()*0.5
	if m.Datacentre != p.settings.Datacentre {
		cost += awayCost
	}
	e := p.endpoint(m.ID)
	cost += failureCost * decayed(e.failure, now-e.failed)
	if pace := p.slow[m.Address]; pace > 1 {
		cost += slowCost * (pace - 1)
	}
	if s.Engine == nil && e.latency > 0 {
		cost += e.latency / latencyUnit
	}
	return cost
}

// latencyUnit is the time in seconds that counts as much as a request at a
// plain service.
const latencyUnit = 0.03

func decayed(value float64, elapsed time.Duration) float64 {
	for ; elapsed >= failureHalf && value > 0.01; elapsed -= failureHalf {
		value /= 2
	}
	return value
}

// load returns the requests that all entries have at an endpoint, as far as
// this one knows.
func (p *Placer) load(id string, now time.Duration) float64 {
	e := p.endpoint(id)
	load := e.open
	for _, other := range p.peers {
		if now-other.at < peerLife {
			load += other.loads[e.key]
		}
	}
	return float64(load)
}

func (p *Placer) limit(q Query, m elmbelief.Member) float64 {
	switch {
	case q.Service.Engine == nil:
		return plainQueue * float64(m.Slots)
	case q.Late:
		return float64(m.Slots) * lateShare
	}
	return float64(m.Slots) * (1 + engineQueue)
}

// bearsCold reports whether a cold endpoint may get one more request from this
// entry within the second.
func (p *Placer) bearsCold(s elmcatalog.Service, m elmbelief.Member, now time.Duration) bool {
	if now >= m.ColdUntil || s.ColdRate <= 0 {
		return true
	}
	limit := (s.ColdRate*p.settings.ColdFactor + p.settings.ColdSlack) * safety / float64(p.entries)
	return float64(p.endpoint(m.ID).cold.Sum(now)+1) <= limit
}

func (p *Placer) endpoint(id string) *endpoint {
	e, ok := p.endpoints[id]
	if !ok {
		e = &endpoint{key: Key(id), cold: elmshare.New(coldWindow)}
		p.endpoints[id] = e
	}
	return e
}

// Begin counts a request that is sent to an endpoint.
func (p *Placer) Begin(id string, now time.Duration) {
	e := p.endpoint(id)
	e.open++
	e.cold.Add(now)
}

// End counts a request that has left an endpoint. Elapsed is the time to the
// head of its answer.
func (p *Placer) End(id string, outcome Outcome, elapsed, now time.Duration) {
	e := p.endpoint(id)
	e.open--
	switch outcome {
	case Served:
		e.latency += latencyWeight * (elapsed.Seconds() - e.latency)
		e.failure = decayed(e.failure, now-e.failed) / 2
		e.failed = now
	case Failed:
		e.failure = decayed(e.failure, now-e.failed) + 1
		e.failed = now
	}
}

// Forget drops what is known of endpoints that are no longer listed and have no
// requests.
func (p *Placer) Forget(listed func(id string) bool) {
	for id, e := range p.endpoints {
		if e.open == 0 && !listed(id) {
			delete(p.endpoints, id)
		}
	}
}

func (p *Placer) service(name string) *service {
	s, ok := p.services[name]
	if !ok {
		s = &service{
			requests: elmshare.New(p.settings.RepeatWindow),
			repeats:  elmshare.New(p.settings.RepeatWindow),
		}
		p.services[name] = s
	}
	return s
}

// Count counts a caller's request to a service.
func (p *Placer) Count(name string, now time.Duration) { p.service(name).requests.Add(now) }

// Repeat takes the right to send a request to one more endpoint, if this
// entry's part of the repeats is not used up.
func (p *Placer) Repeat(name string, now time.Duration) bool {
	s := p.service(name)
	burst := p.settings.RepeatBurst * safety / float64(p.entries)
	allowed := p.settings.RepeatShare*safety*float64(s.requests.Sum(now)) + burst
	if float64(s.repeats.Sum(now)+1) > allowed {
		return false
	}
	s.repeats.Add(now)
	return true
}

// SetBroken tells whether the group of a service is broken, and reports whether
// that is news.
func (p *Placer) SetBroken(name string, broken bool, now time.Duration) bool {
	s := p.service(name)
	news := s.isBroken != broken
	s.isBroken, s.broken = broken, now
	return news
}

// Progress counts an answer or an event of an endpoint.
func (p *Placer) Progress(name, id string, now time.Duration) {
	s := p.service(name)
	s.progress, s.alive = now, true
	p.endpoint(id).brokenFor = 0
}

// Blame takes the news that the group of an endpoint is broken. It returns whether
// that holds for the whole service: where other endpoints make progress there are
// other groups, and only this endpoint counts as broken.
func (p *Placer) Blame(name, id string, now time.Duration) bool {
	s := p.service(name)
	if !s.alive || now-s.progress >= aliveGap {
		return true
	}
	e := p.endpoint(id)
	e.brokenFor = min(max(2*e.brokenFor, brokenLife), mostBrokenLife)
	e.broken = now + e.brokenFor
	return false
}

// IsBroken reports whether the group of a service is known to be broken.
func (p *Placer) IsBroken(name string, now time.Duration) bool {
	s := p.service(name)
	return s.isBroken && now-s.broken < brokenLife
}
