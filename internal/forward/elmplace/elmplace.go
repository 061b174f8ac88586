// Package elmplace chooses the endpoint that the router sends a request to, or
// refuses the request. It tracks the load of each endpoint from this entry and from
// the other entries, recent failures, cold starts, and broken groups.
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

	"github.com/elmcove/elmcove/internal/forward/elmbackoff"
	"github.com/elmcove/elmcove/internal/forward/elmprogress"
	"github.com/elmcove/elmcove/internal/forward/elmsignature"
	"github.com/elmcove/elmcove/internal/forward/elmslow"
	"github.com/elmcove/elmcove/internal/forward/elmsnapshot"
	"github.com/elmcove/elmcove/internal/limit/elmrate"
	"github.com/elmcove/elmcove/internal/limit/elmretries"
	"github.com/elmcove/elmcove/internal/limit/elmshare"
	"github.com/elmcove/elmcove/internal/limit/elmwindow"
	"github.com/elmcove/elmcove/internal/model/elmcatalog"
)

const (
	// remoteCost is the cost, in requests, of an endpoint in another data centre.
	// Traffic between data centres is billed.
	remoteCost = 1.0
	// failureCost is the cost, in requests, of a recent failure.
	failureCost = 6.0
	// failureHalfLife is the time after which a failure counts half.
	failureHalfLife = 2 * time.Second
	// slowCost is the cost, in requests, of a rank that takes twice the usual time.
	// It grows in proportion to the additional time.
	slowCost = 4.0
	// engineQueueRatio is the number of queued requests that an engine accepts per
	// slot. Requests that queue longer would miss their objective. See
	// docs/MODEL.md.
	engineQueueRatio = 0.08
	// callerRetrySlotRatio is the fraction of an engine's slots up to which an
	// endpoint accepts a caller's retry. The other slots are reserved for requests
	// that can still meet their objective. See docs/MODEL.md.
	callerRetrySlotRatio = 0.8
	// plainRequestsPerSlot is the number of requests per slot that an endpoint of a
	// plain service accepts.
	plainRequestsPerSlot = 3.0
	// peerLoadTTL is how long the load report of another entry is used.
	peerLoadTTL = 1500 * time.Millisecond
	// latencyWeight is the weight of a new sample in an endpoint's average latency.
	latencyWeight = 0.2
	// coldWindow is the window over which requests to a cold endpoint are counted.
	coldWindow = time.Second
)

// Verdict is the result of choosing an endpoint.
type Verdict int

const (
	// Placed means that an endpoint was chosen.
	Placed Verdict = iota
	// NoEndpoint means that the service has no endpoint that may receive requests.
	NoEndpoint
	// Full means that no endpoint has free capacity.
	Full
	// Broken means that the service's group is not complete.
	Broken
	// Paused means that all endpoints that could accept the request asked for a pause.
	Paused
	// Leaving means that all endpoints announced that they are leaving.
	Leaving
	// Stalled means that the service's group makes no progress.
	Stalled
	// Quarantined means that endpoints crash under the request or a segment of its prompt.
	Quarantined
)

// String returns the name of a verdict for logs.
func (v Verdict) String() string {
	return [...]string{"placed", "absent", "full", "broken", "paused", "leaving", "stalled", "quarantined"}[v]
}

// Outcome is the result of a request at an endpoint.
type Outcome int

const (
	// Served means that the response was complete.
	Served Outcome = iota
	// Failed means that the endpoint failed, refused or lost the request.
	Failed
	// Ignored means that the result says nothing about the endpoint, because the
	// caller disconnected or its deadline passed.
	Ignored
)

// Settings hold the entry's name, its data centre and the limits that all entries share.
type Settings struct {
	Entry      string
	Datacentre string
	// RetryRatio is the allowed number of retries per request, and RetryBurst the
	// number that is allowed in addition, both in each RetryWindow.
	RetryRatio  float64
	RetryBurst  float64
	RetryWindow time.Duration
	// ColdFactor and ColdSlack turn the cold rate of a service into the limit
	// ColdRate*ColdFactor + ColdSlack for each cold endpoint, in requests per
	// second.
	ColdFactor float64
	ColdSlack  float64
}

// Query describes a request that needs an endpoint.
type Query struct {
	Service elmcatalog.Service
	// Tried lists the endpoints that the request was already sent to.
	Tried []string
	// CallerRetry means that the caller has sent this request before, and was refused
	// or lost its response. The time of the request's objective has then passed.
	CallerRetry bool
	// Signatures are what the request may have in common with others under which endpoints
	// crash.
	Signatures []elmsignature.Signature
}

// Placer chooses endpoints for requests. It is not safe for concurrent use.
type Placer struct {
	settings Settings
	random   *rand.Rand
	// shares divides the limits that all entries keep together.
	shares    *elmshare.Ledger
	endpoints map[string]*endpoint
	// peers holds what entries report of themselves, by name, and datacentres the sums
	// over the entries of other data centres.
	peers       map[string]peer
	datacentres map[string]peer
	services    map[string]*service
	slow        elmslow.List
	backoff     *elmbackoff.List
	rates       *elmrate.List
	// quarantine holds the signatures of requests that no endpoint may get, with the end of
	// their quarantine.
	quarantine map[elmsignature.Signature]time.Duration
	// learned holds what is known of the endpoints of plain services, or nil.
	learned *learned
}

type endpoint struct {
	key uint32
	// service is the service for which the endpoint was chosen last.
	service string
	// inFlight is the number of this entry's requests at the endpoint.
	inFlight int
	// failures is the decaying number of failures as of failuresAt.
	failures   float64
	failuresAt time.Duration
	// latency is the moving average of the time to the first byte of a response, in
	// seconds.
	latency float64
	// recent counts the requests that were sent in the last coldWindow.
	recent *elmwindow.Counter
	// brokenUntil is when the endpoint stops counting as part of a broken group,
	// and brokenFor how long it counted as such last.
	brokenUntil time.Duration
	brokenFor   time.Duration
	// progressAt is when the endpoint last made progress.
	progressAt time.Duration
}

type peer struct {
	reportedAt time.Duration
	loads      map[uint32]int
}

// service is what this entry knows of a service.
type service struct {
	state   *elmprogress.State
	retries *elmretries.Budget
}

// New returns a Placer for a single entry.
func New(settings Settings, random *rand.Rand) *Placer {
	return &Placer{
		settings: settings, random: random, shares: elmshare.New(settings.Entry),
		endpoints: map[string]*endpoint{}, peers: map[string]peer{}, datacentres: map[string]peer{}, services: map[string]*service{},
		backoff: elmbackoff.New(), rates: elmrate.New(random),
	}
}

// SetEntries sets the names of the entries that are listed, which share the limits.
func (p *Placer) SetEntries(names []string, now time.Duration) { p.shares.Update(names, now) }

// EndpointKey returns the hash that identifies an endpoint in messages between entries.
func EndpointKey(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// SetPeerLoads sets the number of requests that another entry has at each endpoint, by
// EndpointKey.
func (p *Placer) SetPeerLoads(name string, loads map[uint32]int, now time.Duration) {
	p.peers[name] = peer{reportedAt: now, loads: loads}
}

// SetDatacentreLoads sets the number of requests that the entries of another data centre
// have at each endpoint together, by EndpointKey.
func (p *Placer) SetDatacentreLoads(datacentre string, loads map[uint32]int, now time.Duration) {
	p.datacentres[datacentre] = peer{reportedAt: now, loads: loads}
}

// SumLoads returns the number of requests that this entry and those with their own
// reports have at each endpoint together, by EndpointKey.
func (p *Placer) SumLoads(now time.Duration) map[uint32]int {
	sum := p.Loads()
	for _, other := range p.peers {
		if now-other.reportedAt >= peerLoadTTL {
			continue
		}
		for key, n := range other.loads {
			sum[key] += n
		}
	}
	return sum
}

// SetSlow sets the list of slow ranks. All ranks of a group wait for them.
func (p *Placer) SetSlow(list elmslow.List) { p.slow = list }

// Loads returns the number of this entry's requests at each endpoint, by EndpointKey.
func (p *Placer) Loads() map[uint32]int {
	loads := map[uint32]int{}
	for _, e := range p.endpoints {
		if e.inFlight > 0 {
			loads[e.key] = e.inFlight
		}
	}
	return loads
}

// Pick chooses the endpoint with the lowest cost among those that have free capacity.
// It chooses slow ranks only if all members are slow.
func (p *Placer) Pick(q Query, members []elmsnapshot.Member, now time.Duration) (elmsnapshot.Member, Verdict) {
	switch {
	case p.QuarantineRemaining(q.Signatures, now) > 0:
		return elmsnapshot.Member{}, Quarantined
	case p.IsBroken(q.Service.Name, now):
		return elmsnapshot.Member{}, Broken
	case q.Service.Engine != nil && p.IsStalled(q.Service.Name, now):
		return elmsnapshot.Member{}, Stalled
	}
	members, verdict := p.accepting(q, members, now)
	best, verdict := p.cheapest(q, members, verdict, now)
	if verdict == Placed {
		p.endpoint(best.ID).service = q.Service.Name
	}
	return best, verdict
}

// cheapest returns the endpoint with the lowest cost among those that have free capacity.
// If none has, it returns the reason, which is verdict if there are no endpoints.
func (p *Placer) cheapest(q Query, members []elmsnapshot.Member, verdict Verdict, now time.Duration) (elmsnapshot.Member, Verdict) {
	avoidSlow := slices.ContainsFunc(members, func(m elmsnapshot.Member) bool { return !p.IsSlow(m) })
	var best elmsnapshot.Member
	bestCost := 0.0
	for _, m := range members {
		if slices.Contains(q.Tried, m.ID) || avoidSlow && p.IsSlow(m) {
			continue
		}
		load := p.load(m.ID, now)
		switch p.capacity(q, m, load, now) {
		case Broken:
			if verdict != Placed && verdict != Full {
				verdict = Broken
			}
		case Full:
			if verdict != Placed {
				verdict = Full
			}
		case Placed:
			cost := p.cost(q.Service, m, load, now)
			if verdict != Placed || cost < bestCost {
				best, bestCost, verdict = m, cost, Placed
			}
		}
	}
	return best, verdict
}

// capacity returns Placed if an endpoint with a load can accept a request, and otherwise
// Broken or Full.
func (p *Placer) capacity(q Query, m elmsnapshot.Member, load float64, now time.Duration) Verdict {
	switch {
	case now < p.endpoint(m.ID).brokenUntil:
		return Broken
	case load >= p.limit(q, m, now) || !p.hasColdCapacity(q.Service, m, now) || !p.hasRateCapacity(m, now):
		return Full
	}
	return Placed
}

// IsSlow reports whether a rank is slow. In each forward pass all ranks of a group
// wait for the slow rank to process its own requests, if it has any.
func (p *Placer) IsSlow(m elmsnapshot.Member) bool { return p.slow[m.Address] > 1 }

// cost returns the cost of choosing an endpoint, in requests. The random term
// distributes requests among endpoints of equal cost.
func (p *Placer) cost(s elmcatalog.Service, m elmsnapshot.Member, load float64, now time.Duration) float64 {
	cost := load
	if p.learns(s) {
		cost = p.learned.cost(s, m, load, now)
	}
	cost += p.random.Float64() * 0.5
	if m.Datacentre != p.settings.Datacentre {
		cost += remoteCost
	}
	e := p.endpoint(m.ID)
	cost += failureCost * decayed(e.failures, now-e.failuresAt)
	if pace := p.slow[m.Address]; pace > 1 {
		cost += slowCost * (pace - 1)
	}
	if s.Engine == nil && p.learned == nil && e.latency > 0 {
		cost += e.latency / latencyCostSeconds
	}
	return cost
}

// latencyCostSeconds is the latency of a plain service that costs as much as one
// request.
const latencyCostSeconds = 0.03

// decayed halves a value for each failureHalfLife that has elapsed.
func decayed(value float64, elapsed time.Duration) float64 {
	for ; elapsed >= failureHalfLife && value > 0.01; elapsed -= failureHalfLife {
		value /= 2
	}
	return value
}

// load returns the number of requests that all entries have at an endpoint. It omits
// entries whose last report is older than peerLoadTTL.
func (p *Placer) load(id string, now time.Duration) float64 {
	e := p.endpoint(id)
	load := e.inFlight
	for _, reports := range [...]map[string]peer{p.peers, p.datacentres} {
		for _, other := range reports {
			if now-other.reportedAt < peerLoadTTL {
				load += other.loads[e.key]
			}
		}
	}
	return float64(load)
}

// limit returns the load from which an endpoint accepts no request like q.
func (p *Placer) limit(q Query, m elmsnapshot.Member, now time.Duration) float64 {
	switch {
	case p.learns(q.Service):
		return p.learned.limit(q.Service, m, now)
	case q.Service.Engine == nil:
		return plainRequestsPerSlot * float64(m.Slots)
	case q.CallerRetry:
		return float64(m.Slots) * callerRetrySlotRatio
	}
	return float64(m.Slots) * (1 + engineQueueRatio)
}

// hasColdCapacity reports whether this entry may send an endpoint one more request
// within the current coldWindow. Endpoints that are not cold have no such limit.
func (p *Placer) hasColdCapacity(s elmcatalog.Service, m elmsnapshot.Member, now time.Duration) bool {
	if now >= m.ColdUntil || s.ColdRate <= 0 {
		return true
	}
	return p.endpoint(m.ID).recent.Sum(now) < p.shares.Share(m.ID, p.coldLimit(s), coldWindow, now)
}

// coldLimit returns how many requests all entries together send a cold endpoint of a
// service in each coldWindow.
func (p *Placer) coldLimit(s elmcatalog.Service) float64 {
	return (s.ColdRate*p.settings.ColdFactor + p.settings.ColdSlack) * elmretries.UsableRatio
}

// ExceedsColdLimit reports whether the endpoints of a service get more requests than they
// could take if they became cold, assuming that all entries get as many as this one.
func (p *Placer) ExceedsColdLimit(s elmcatalog.Service, endpoints int, now time.Duration) bool {
	if s.ColdRate <= 0 || endpoints == 0 {
		return false
	}
	windows := float64(p.settings.RetryWindow) / float64(coldWindow)
	requests := float64(p.service(s.Name).retries.Requests(now)) / windows * float64(p.shares.Count())
	return requests/float64(endpoints) > p.coldLimit(s)
}

func (p *Placer) endpoint(id string) *endpoint {
	e, ok := p.endpoints[id]
	if !ok {
		e = &endpoint{key: EndpointKey(id), recent: elmwindow.New(coldWindow)}
		p.endpoints[id] = e
	}
	return e
}

// Begin records that a request is sent to an endpoint.
func (p *Placer) Begin(id string, now time.Duration) {
	e := p.endpoint(id)
	e.inFlight++
	e.recent.Add(now)
	p.rates.Take(id)
	p.service(e.service).state.Begin(now)
}

// Hold takes a slot of an endpoint until Release, without a request.
func (p *Placer) Hold(id string) { p.endpoint(id).inFlight++ }

// Release gives a slot back that Hold has taken.
func (p *Placer) Release(id string) { p.endpoint(id).inFlight-- }

// End records the end of a request at an endpoint. Elapsed is the time to the first
// byte of the response, or to the end if there was none.
func (p *Placer) End(id string, outcome Outcome, elapsed, now time.Duration) {
	e := p.endpoint(id)
	e.inFlight--
	p.service(e.service).state.End()
	switch outcome {
	case Served:
		e.latency += latencyWeight * (elapsed.Seconds() - e.latency)
		e.failures = decayed(e.failures, now-e.failuresAt) / 2
		e.failuresAt = now
	case Failed:
		e.failures = decayed(e.failures, now-e.failuresAt) + 1
		e.failuresAt = now
	}
}

// Forget deletes the state of endpoints that are no longer listed and have no
// requests.
func (p *Placer) Forget(listed func(id string) bool, now time.Duration) {
	p.backoff.Forget(listed, now)
	p.rates.Forget(listed, now)
	p.learned.forget(now)
	p.shares.Forget(func(key string) bool { return listed(key) || p.services[key] != nil })
	for id, e := range p.endpoints {
		if e.inFlight == 0 && !listed(id) {
			delete(p.endpoints, id)
		}
	}
}

func (p *Placer) service(name string) *service {
	s, ok := p.services[name]
	if !ok {
		s = &service{state: elmprogress.New(), retries: elmretries.New(elmretries.Settings{
			Ratio: p.settings.RetryRatio, Burst: p.settings.RetryBurst, Window: p.settings.RetryWindow,
		})}
		p.services[name] = s
	}
	return s
}

// RecordRequest records a request of a caller to a service.
func (p *Placer) RecordRequest(name string, now time.Duration) {
	p.service(name).retries.RecordRequest(now)
}

// CanRetry reports whether this entry's share of the retry budget is left for n requests.
func (p *Placer) CanRetry(name string, n int, now time.Duration) bool {
	return p.service(name).retries.CanTake(name, n, p.shares, now)
}

// TakeRetry reports whether a request may be sent to one more endpoint, and if so
// counts it against this entry's share of the retry budget.
func (p *Placer) TakeRetry(name string, now time.Duration) bool {
	if !p.CanRetry(name, 1, now) {
		return false
	}
	p.service(name).retries.Take(now)
	return true
}
