// Package elmlearn learns from response times and refusals how many requests each endpoint
// of a service handles well, and how fast it is in comparison with the others.
//
// A response time is compared with the usual one of its kind, and judged against the
// requests that all entries together had at the endpoint when it was sent. An endpoint is
// described by two values: its pace, which is its response time without a queue relative to
// the fastest endpoint, and its concurrency, the number of requests from which on they slow
// each other down. Entries exchange observations rather than conclusions, so that each
// learns at the rate of all of them. See docs/design/learned-limits.md.
//
// The package does no input or output.
//
// # Usage
//
//	list := elmlearn.New()
//	limit := list.Limit(id, slots, now)
//	list.Record(id, elmlearn.Sample{Kind: route, Elapsed: elapsed, Load: load, Outcome: elmlearn.Served}, now)
//	for id, observation := range list.Reports(now) { ... } // Others call Hear.
package elmlearn

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// maxLead is how many times as fast as the median the fastest endpoint counts at most. One that
	// answers everything at once with an error would otherwise make all others seem slow.
	maxLead = 4.0
	// StartRatio is the number of requests per slot that an endpoint accepts before
	// anything is known of it. It is the ratio without learned limits.
	StartRatio = 3.0
	// minLimit is the lowest limit. With two requests at once an endpoint still shows
	// whether requests slow each other down.
	minLimit = 2.0
	// halfLife is the time after which an observation counts half. The tests with an
	// endpoint that changes every 5 s fail with 6 s.
	halfLife = 2500 * time.Millisecond
	// priorWeight is the weight, in observations, of the assumption that an endpoint is as
	// fast as the fastest one. It makes endpoints without requests return.
	priorWeight = 1.0
	// minEvidence is the weight, in observations, from which on an endpoint may count as
	// the fastest.
	minEvidence = 2.0
	// paceTolerance is the ratio of response times up to which endpoints count as equally
	// fast in limits. Single response times of one endpoint differ by more.
	paceTolerance = 1.25
	// maxPace bounds paces, also those that others report.
	maxPace = 64.0
	// maxKindSamples is the number of samples over which the usual time of a kind is
	// averaged.
	maxKindSamples = 50.0
	// stepPenalty is how much better a lower concurrency must explain the response times,
	// in units of the logarithm of the likelihood ratio, per step of concurrencies.
	stepPenalty = 1.5
	// minVariance is the variance of the logarithm of response times that is assumed at
	// least, so that two equal times are no proof.
	minVariance = 0.02
	// concurrencyWeight is the weight of a new estimate of the concurrency.
	concurrencyWeight = 0.2
	// refusalRatio is the limit after a refusal relative to the load under which the
	// endpoint refused, and recoveryPerSecond the part of the slots by which that limit
	// grows in a second.
	refusalRatio      = 0.85
	recoveryPerSecond = 0.25
	// reportTTL is how long an observation may wait to be reported.
	reportTTL = time.Second
	// reportsPerSecond and sumsPerSecond are the numbers of observations that an entry, and
	// all entries of a data centre, report of a service. At 16 entries in each of 24 data
	// centres, with 10 bytes each, an entry sends 3 KB/s at most, and a relay 18 KB/s.
	reportsPerSecond = 20
	sumsPerSecond    = 80
	// floorInterval is the interval in which the fastest endpoint is determined.
	floorInterval = 100 * time.Millisecond
)

// shares are the possible concurrencies relative to the slots.
var shares = [...]float64{1, 0.75, 0.5, 0.35, 0.25, 0.17, 0.12, 0.06}

// ID identifies an endpoint.
type ID uint32

// Outcome is the result of a request.
type Outcome int

const (
	// Served means that the response began after the elapsed time.
	Served Outcome = iota
	// Refused means that the endpoint refused the request.
	Refused
	// Lost means that there was no response within the elapsed time, or a failure.
	Lost
)

// Sample is what a request has shown of an endpoint.
type Sample struct {
	// Kind is the kind of the request. Response times are compared within a kind.
	Kind    string
	Elapsed time.Duration
	// Load is the number of requests of all entries at the endpoint when the request was
	// sent, including it.
	Load    float64
	Outcome Outcome
}

// Observation is what an entry tells the others of an endpoint.
type Observation struct {
	// Load is the number of requests of all entries at the endpoint.
	Load float64
	// Pace is the response time under that load, relative to one of the same kind at the
	// fastest endpoint without a queue, or 0 if the endpoint has refused a request.
	Pace float64
}

// List holds what is known of the endpoints of a service. It is not safe for concurrent use.
type List struct {
	endpoints map[ID]*endpoint
	kinds     map[string]*kind
	// floor is the logarithm of the pace of the fastest endpoint as of floorAt.
	floor   float64
	floorAt time.Duration
	// reports and sums are how many observations may be reported.
	reports, sums credit
}

// credit is a number of observations as of a time, which grows at a rate for a second.
type credit struct {
	n  float64
	at time.Duration
}

// kind is the usual response time of a kind of request at the fastest endpoint.
type kind struct{ logTime, samples float64 }

type endpoint struct {
	slots  float64
	seenAt time.Duration
	// weight is the number of observations and sums their deviations for each of shares,
	// all decayed as of at.
	weight float64
	sums   [len(shares)]deviation
	at     time.Duration
	// share is the smoothed concurrency relative to the slots.
	share float64
	// cap is the limit after a refusal as of capAt, or 0.
	cap   float64
	capAt time.Duration
	// own is what this entry has observed and local what it and the entries of its data
	// centre have observed, since they were reported last.
	own, local batch
}

// deviation is a sum of logarithms and the sum of their squares.
type deviation struct{ sum, squares float64 }

// batch is the mean of observations, in logarithms of their paces.
type batch struct {
	loads, logPaces, n float64
	refusedAt          float64
	since              time.Duration
}

// New returns a List that knows nothing.
func New() *List {
	return &List{
		endpoints: map[ID]*endpoint{}, kinds: map[string]*kind{}, floorAt: -floorInterval,
		reports: credit{n: reportsPerSecond}, sums: credit{n: sumsPerSecond},
	}
}

// Clone returns a List that knows the same.
func (l *List) Clone() *List {
	clone := *l
	clone.endpoints, clone.kinds = map[ID]*endpoint{}, map[string]*kind{}
	for id, e := range l.endpoints {
		copied := *e
		clone.endpoints[id] = &copied
	}
	for name, k := range l.kinds {
		copied := *k
		clone.kinds[name] = &copied
	}
	return &clone
}

// Record records what a request of this entry has shown.
func (l *List) Record(id ID, s Sample, now time.Duration) {
	e, ok := l.endpoints[id]
	if !ok || s.Elapsed <= 0 && s.Outcome != Refused {
		return
	}
	o := Observation{Load: s.Load}
	if s.Outcome != Refused {
		o.Pace, ok = l.compare(e, s, now)
		if !ok {
			return
		}
	}
	l.learn(e, o, now)
	e.own.add(o, now)
	e.local.add(o, now)
}

// compare returns the elapsed time of a sample relative to the usual time of its kind. It
// returns false if the sample shows nothing.
func (l *List) compare(e *endpoint, s Sample, now time.Duration) (float64, bool) {
	logTime := math.Log(s.Elapsed.Seconds())
	k, ok := l.kinds[s.Kind]
	if s.Outcome == Lost && (!ok || logTime-k.logTime < l.expected(e, s.Load, now)) {
		return 0, false // An early failure says nothing of the time of a response.
	}
	if !ok {
		k = &kind{}
		l.kinds[s.Kind] = k
	}
	if s.Outcome == Served {
		k.samples = min(k.samples+1, maxKindSamples)
		k.logTime += (logTime - l.expected(e, s.Load, now) - k.logTime) / k.samples
	}
	return math.Exp(logTime - k.logTime), true
}

// Hear records what another entry of the data centre has observed. Endpoints that Limit was
// never called for are ignored.
func (l *List) Hear(id ID, o Observation, now time.Duration) {
	if e, ok := l.endpoints[id]; ok && o.isValid() {
		l.learn(e, o, now)
		e.local.add(o, now)
	}
}

// HearDatacentre records what the entries of another data centre have observed.
func (l *List) HearDatacentre(id ID, o Observation, now time.Duration) {
	if e, ok := l.endpoints[id]; ok && o.isValid() {
		l.learn(e, o, now)
	}
}

// isValid reports whether an observation can be used, since another process has sent it.
func (o Observation) isValid() bool { return o.Load >= 1 && o.Load < 1e6 && o.Pace >= 0 }

// learn applies an observation.
func (l *List) learn(e *endpoint, o Observation, now time.Duration) {
	if o.Pace == 0 {
		e.cap, e.capAt = max(minLimit, min(refusalRatio*o.Load, e.capAfter(now))), now
		return
	}
	e.decay(now)
	e.weight++
	logPace := math.Log(min(max(o.Pace, 1/maxPace), maxPace))
	for i := range shares {
		d := logPace - e.queueing(shares[i], o.Load)
		e.sums[i].sum += d
		e.sums[i].squares += d * d
	}
	e.share *= math.Pow(e.likeliest()/e.share, concurrencyWeight)
}

// decay reduces the weight of earlier observations.
func (e *endpoint) decay(now time.Duration) {
	factor := math.Exp2(-float64(now-e.at) / float64(halfLife))
	e.weight *= factor
	for i := range e.sums {
		e.sums[i].sum *= factor
		e.sums[i].squares *= factor
	}
	e.at = now
}

// queueing returns the logarithm of the factor by which a load prolongs responses if an
// endpoint handles a share of its slots at once.
func (e *endpoint) queueing(share, load float64) float64 {
	return math.Log(max(1, load/max(share*e.slots, 1)))
}

// likeliest returns the concurrency that explains the response times best, relative to the
// slots: the one under which the paces vary least.
func (e *endpoint) likeliest() float64 {
	best, bestScore := 0, math.Inf(1)
	for i, d := range e.sums {
		mean := d.sum / e.weight
		variance := max(0, d.squares/e.weight-mean*mean) + minVariance
		score := e.weight*math.Log(variance)/2 + stepPenalty*float64(i)
		if score < bestScore {
			best, bestScore = i, score
		}
	}
	return shares[best]
}

// logPace returns the logarithm of an endpoint's pace, before it is compared with the fastest.
func (e *endpoint) logPace(now time.Duration) float64 {
	if e.weight == 0 {
		return 0
	}
	weight := e.weight * math.Exp2(-float64(now-e.at)/float64(halfLife))
	return e.mean() / e.weight * weight / (weight + priorWeight)
}

// mean returns the sum of deviations under the smoothed concurrency, between those of the
// concurrencies next to it. Otherwise paces would jump before concurrencies follow.
func (e *endpoint) mean() float64 {
	for i := 1; i < len(shares); i++ {
		if e.share >= shares[i] {
			part := math.Log(shares[i-1]/e.share) / math.Log(shares[i-1]/shares[i])
			return e.sums[i-1].sum*(1-part) + e.sums[i].sum*part
		}
	}
	return e.sums[len(shares)-1].sum
}

// fastest returns the logarithm of the pace of the fastest endpoint.
func (l *List) fastest(now time.Duration) float64 {
	if now-l.floorAt < floorInterval {
		return l.floor
	}
	l.floor, l.floorAt = 0, now
	var paces []float64
	for _, e := range l.endpoints {
		if e.weight*math.Exp2(-float64(now-e.at)/float64(halfLife)) >= minEvidence {
			paces = append(paces, e.logPace(now))
		}
	}
	if len(paces) > 0 {
		slices.Sort(paces)
		l.floor = max(paces[0], paces[len(paces)/2]-math.Log(maxLead))
	}
	return l.floor
}

// expected returns the logarithm of the expected pace of an endpoint under a load.
func (l *List) expected(e *endpoint, load float64, now time.Duration) float64 {
	return max(0, e.logPace(now)-l.fastest(now)) + e.queueing(e.share, load)
}

// Pace returns how long an endpoint without a queue takes relative to the fastest one.
func (l *List) Pace(id ID, now time.Duration) float64 {
	if e, ok := l.endpoints[id]; ok {
		return l.pace(e, now)
	}
	return 1
}

func (l *List) pace(e *endpoint, now time.Duration) float64 {
	return math.Exp(max(0, e.logPace(now)-l.fastest(now)))
}

// Time returns how long a request is expected to take at an endpoint under a load that
// includes it, relative to the fastest endpoint without a queue.
func (l *List) Time(id ID, load float64, now time.Duration) float64 {
	if e, ok := l.endpoints[id]; ok {
		return math.Exp(l.expected(e, load, now))
	}
	return 1
}

// Limit returns how many requests of all entries together an endpoint with a number of slots
// handles well: so many that a response takes at most StartRatio times as long as at the
// fastest endpoint without a queue, and at least as many as do not slow each other down.
func (l *List) Limit(id ID, slots int, now time.Duration) float64 {
	e, ok := l.endpoints[id]
	if !ok {
		e = &endpoint{share: shares[0], at: now}
		l.endpoints[id] = e
	}
	e.slots, e.seenAt = float64(max(slots, 1)), now
	return l.limit(e, now)
}

func (l *List) limit(e *endpoint, now time.Duration) float64 {
	ratio := min(StartRatio, max(1, StartRatio*paceTolerance/l.pace(e, now)))
	return max(minLimit, min(e.share*e.slots*ratio, e.capAfter(now)))
}

// capAfter returns the limit that the last refusal leaves.
func (e *endpoint) capAfter(now time.Duration) float64 {
	if e.cap == 0 {
		return StartRatio * e.slots
	}
	return min(StartRatio*e.slots, e.cap+recoveryPerSecond*e.slots*(now-e.capAt).Seconds())
}

// State is what is known of an endpoint.
type State struct {
	// Limit and Start are the limit in force, and the limit while nothing is known.
	Limit, Start float64
	Pace         float64
}

// State returns what is known of an endpoint, or false if Limit was never called for it.
func (l *List) State(id ID, now time.Duration) (State, bool) {
	e, ok := l.endpoints[id]
	if !ok {
		return State{}, false
	}
	return State{Limit: l.limit(e, now), Start: max(minLimit, StartRatio*e.slots), Pace: l.pace(e, now)}, true
}

// Reports returns what this entry has observed since the last call, or the oldest part of it.
func (l *List) Reports(now time.Duration) map[ID]Observation {
	return l.take(&l.reports, reportsPerSecond, now, func(e *endpoint) *batch { return &e.own })
}

// Sum returns what this entry and those of its data centre have observed since the last call,
// or the oldest part of it.
func (l *List) Sum(now time.Duration) map[ID]Observation {
	return l.take(&l.sums, sumsPerSecond, now, func(e *endpoint) *batch { return &e.local })
}

func (l *List) take(c *credit, perSecond float64, now time.Duration, of func(*endpoint) *batch) map[ID]Observation {
	c.n, c.at = min(c.n+perSecond*(now-c.at).Seconds(), perSecond), now
	var waiting []ID
	for id, e := range l.endpoints {
		if b := of(e); b.isFresh(now) {
			waiting = append(waiting, id)
		}
	}
	slices.SortFunc(waiting, func(a, b ID) int {
		return cmp.Or(cmp.Compare(of(l.endpoints[a]).since, of(l.endpoints[b]).since), cmp.Compare(a, b))
	})
	taken := map[ID]Observation{}
	for _, id := range waiting[:min(len(waiting), int(c.n))] {
		b := of(l.endpoints[id])
		taken[id] = b.mean()
		*b = batch{}
		c.n--
	}
	return taken
}

// isFresh reports whether there are observations that may still be reported.
func (b *batch) isFresh(now time.Duration) bool {
	return (b.n > 0 || b.refusedAt > 0) && now-b.since < reportTTL
}

// add adds an observation. Observations that were not taken in time are dropped.
func (b *batch) add(o Observation, now time.Duration) {
	if !b.isFresh(now) {
		*b = batch{since: now}
	}
	if o.Pace == 0 {
		b.refusedAt = o.Load
		return
	}
	b.loads, b.logPaces, b.n = b.loads+o.Load, b.logPaces+math.Log(o.Pace), b.n+1
}

// mean returns the mean of the observations, or the last refusal if there was one.
func (b *batch) mean() Observation {
	if b.refusedAt > 0 {
		return Observation{Load: b.refusedAt}
	}
	return Observation{Load: b.loads / b.n, Pace: math.Exp(b.logPaces / b.n)}
}

// Forget deletes the endpoints that Limit was not called for since a time.
func (l *List) Forget(since time.Duration) {
	for id, e := range l.endpoints {
		if e.seenAt < since {
			delete(l.endpoints, id)
		}
	}
}
