// Package elmfairshare keeps the shares of workspaces in the capacity of services, as entries
// know them together. Shares are weighted max-min fair: a workspace that asks less than its
// share gets what it asks, and what it leaves goes to those that ask more.
//
// A workspace's share follows from three sums over all entries: what it asks, what the others
// ask, and how many requests are placed. While a service is short of capacity, the entries of
// a data centre tell each other what their heaviest workspaces ask, and the relays of the data
// centres tell each other the sums. Nothing is sent and every share is 1 while no request is
// refused for lack of capacity.
//
// The package does no input or output.
//
// # Usage
//
//	ledger := elmfairshare.New("entry-1")
//	ledger.Ask("desk", "crew", now)
//	if nearlyFull && rand.Float64() >= ledger.Share("desk", "crew", now) { ledger.Refuse("desk", now) }
//	ledger.Admit("desk", "crew", now)
//	if report := ledger.Report(now); report != nil { send(report.Message()) }
//	ledger.Hear(elmfairshare.Decode(message), now)
package elmfairshare

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Interval is the interval between two reports.
	Interval = time.Second
	// shortTime is how long a service counts as short of capacity after a refusal. It is
	// two intervals, so that one interval without a refusal does not end the shares.
	shortTime = 2 * time.Second
	// reportTTL is how long a report counts: one or two may be lost.
	reportTTL = 3 * time.Second
	// startTime is how long an entry that starts grants every share in full, unless it
	// hears a report before. All others report once in this time.
	startTime = time.Second
	// rateTime is the time constant of measured rates. With 2 s, light workspaces at 7 entries
	// of 7 requests a second lost 6 in 100 in the test, and 4 in 100 with 3 s.
	rateTime = 3 * time.Second
	// headroom is by how much the shares together exceed the requests placed, so that an
	// increase of the capacity is used. Requests beyond the capacity are refused whoever
	// sends them, so it is a fifth of the 5 in 100 that a light workspace may lose.
	headroom = 0.01
	// viewInterval is how long computed shares are used. It is a small part of rateTime.
	viewInterval = 200 * time.Millisecond
	// minRate is the rate in requests a second below which a workspace is forgotten, half
	// of the unit of reports.
	minRate = 1.0 / 32
)

// Ledger is what an entry knows of what workspaces ask. It is not safe for concurrent use.
type Ledger struct {
	self string
	// started is set at the first call of Ask, at startedAt.
	started   bool
	startedAt time.Duration
	services  map[uint32]*service
	weights   map[uint32]float64
	// entries holds the reports of the entries of this data centre, datacentres the sums of
	// other ones by name, and others what the relay passes on of all of them.
	entries, datacentres map[string]heard
	others               heard
	// heardAny is set once a report was heard.
	heardAny bool
}

// service is what this entry has measured of a service.
type service struct {
	// asked is the rate of each workspace, and total that of all, also of those that were
	// forgotten.
	asked    map[uint32]rate
	total    rate
	admitted rate
	// short is set once a request was refused for lack of capacity, at shortAt.
	short   bool
	shortAt time.Duration
	// listed holds the workspaces in the last report.
	listed map[uint32]bool
	view   view
}

// rate is an exponentially decaying count.
type rate struct {
	count float64
	at    time.Duration
}

func (r rate) decayed(now time.Duration) float64 {
	return r.count * math.Exp(-float64(now-r.at)/float64(rateTime))
}

func (r rate) withEvent(now time.Duration) rate { return rate{r.decayed(now) + 1, now} }

// heard is a report and when it arrived.
type heard struct {
	report Report
	at     time.Duration
}

func (h heard) isFresh(now time.Duration) bool {
	return h.report.Services != nil && now-h.at <= reportTTL
}

// New returns the Ledger of the entry self.
func New(self string) *Ledger {
	return &Ledger{
		self: self, services: map[uint32]*service{}, weights: map[uint32]float64{},
		entries: map[string]heard{}, datacentres: map[string]heard{},
	}
}

// SetWeight sets the weight of a workspace in a service. It is 1 if none is set.
func (l *Ledger) SetWeight(name, workspace string, weight float64) {
	l.weights[rowKey(name, workspace)] = weight
}

// Ask records that a caller of a workspace has asked for a service.
func (l *Ledger) Ask(name, workspace string, now time.Duration) {
	if !l.started {
		l.started, l.startedAt = true, now
	}
	s, key := l.service(name), rowKey(name, workspace)
	s.asked[key], s.total = s.asked[key].withEvent(now), s.total.withEvent(now)
}

// Admit records that a request was placed.
func (l *Ledger) Admit(name, _ string, now time.Duration) {
	s := l.service(name)
	s.admitted = s.admitted.withEvent(now)
}

// Refuse records that a request was refused for lack of capacity, also if it was chosen because
// its workspace is over its share.
func (l *Ledger) Refuse(name string, now time.Duration) {
	s := l.service(name)
	s.short, s.shortAt = true, now
}

// Hear records the report of another entry of this data centre, or what its relay passes on of
// other data centres, which holds the relay's own report as well.
func (l *Ledger) Hear(r Report, now time.Duration) {
	if r.Entry == l.self {
		return
	}
	l.heardAny = true
	if r.Others {
		l.others = heard{r, now}
		delete(l.entries, r.Entry)
		return
	}
	l.entries[r.Entry] = heard{r, now}
}

// HearDatacentre records the sum of another data centre. Only the relay gets these.
func (l *Ledger) HearDatacentre(r Report, now time.Duration) {
	l.heardAny = true
	l.datacentres[r.Datacentre] = heard{r, now}
}

// Share returns which part of what a workspace asks of a service is its share, in (0, 1]. It
// tells whose requests to refuse while the service is nearly full. A request that is over the
// share is placed if there is room, so that no capacity is unused and the shares end by
// themselves.
func (l *Ledger) Share(name, workspace string, now time.Duration) float64 {
	if !l.Binds(name, now) {
		return 1
	}
	return l.viewOf(serviceKey(name), now).share(rowKey(name, workspace))
}

// Binds reports whether a service is short of capacity, so that shares may be below 1.
func (l *Ledger) Binds(name string, now time.Duration) bool {
	if !l.started || !l.heardAny && now-l.startedAt < startTime {
		return false
	}
	key := serviceKey(name)
	if s, ok := l.services[key]; ok && s.view.isCurrent(now) {
		return s.view.short
	}
	return l.viewOf(key, now).short
}

// Smallest returns the smallest share of a workspace in a service, for metrics.
func (l *Ledger) Smallest(name string, now time.Duration) float64 {
	if !l.Binds(name, now) {
		return 1
	}
	v := l.viewOf(serviceKey(name), now)
	smallest := 1.0
	for key := range v.demand {
		smallest = min(smallest, v.share(key))
	}
	return smallest
}

func (l *Ledger) service(name string) *service {
	key := serviceKey(name)
	if s, ok := l.services[key]; ok {
		return s
	}
	s := &service{asked: map[uint32]rate{}}
	l.services[key] = s
	return s
}

// perSecond turns a decayed count into requests a second. A count of an entry that has just
// started covers less than rateTime.
func (l *Ledger) perSecond(count float64, now time.Duration) float64 {
	age := max(now-l.startedAt, rateTime/4)
	return count / (rateTime.Seconds() * (1 - math.Exp(-float64(age)/float64(rateTime))))
}

func serviceKey(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

func rowKey(name, workspace string) uint32 {
	return uint32(xxhash.Sum64String(name + "/" + workspace))
}
