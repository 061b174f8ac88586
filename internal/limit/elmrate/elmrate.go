// Package elmrate keeps an entry to its share of the request rates that endpoints
// announce. A rate holds for all entries together.
//
// A rate is divided among a few entries, its owners, so that each share is large enough
// to be used and the unused shares of idle entries add up to little. The owners are the
// first entries in the order of elmshare.
//
// The package does no input or output.
//
// # Usage
//
//	list := elmrate.New(random)
//	list.Set("e-1", started, 2.5, now)
//	if list.Allows("e-1", started, ledger.Position("e-1"), ledger.Count(), now) { list.Take("e-1") }
package elmrate

import (
	"math/rand/v2"
	"time"

	"github.com/elmcove/elmcove/internal/limit/elmabsence"
)

const (
	// extraOwners is the number of owners of a rate beside one for each request per
	// second. Each may have one unused request saved up.
	extraOwners = 2
	// maxSaved is the number of requests that an entry may save up.
	maxSaved = 1.0
)

// List holds the announced rates by endpoint. It is not safe for concurrent use.
type List struct {
	random  *rand.Rand
	records map[string]*record
}

// record holds the rate of one incarnation of an endpoint.
type record struct {
	// started is the time at which the incarnation started, in Unix milliseconds.
	started   int64
	perSecond float64
	// saved is the number of requests that may be sent as of savedAt.
	saved   float64
	savedAt time.Duration
	absence elmabsence.Absence
}

// New returns an empty List.
func New(random *rand.Rand) *List { return &List{random: random, records: map[string]*record{}} }

// Set records a rate of an incarnation, and reports whether it is new. The first saved
// request is a random part of one, so that entries do not send theirs together.
func (l *List) Set(id string, started int64, perSecond float64, now time.Duration) bool {
	r, ok := l.records[id]
	switch {
	case ok && started < r.started, ok && started == r.started && perSecond == r.perSecond:
		return false
	case ok && started == r.started:
		r.perSecond = perSecond
		return true
	}
	l.records[id] = &record{started: started, perSecond: perSecond, saved: l.random.Float64(), savedAt: now}
	return true
}

// End records that an incarnation announces no rate any more, and reports whether it
// had one.
func (l *List) End(id string, started int64) bool {
	r, ok := l.records[id]
	if !ok || started < r.started {
		return false
	}
	delete(l.records, id)
	return started == r.started
}

// Allows reports whether an entry may send a request to an incarnation. Position is the
// entry's position among the entries for the endpoint, and entries their number.
func (l *List) Allows(id string, started int64, position, entries int, now time.Duration) bool {
	r, ok := l.records[id]
	if !ok || started > r.started {
		return true
	}
	owners := min(int(r.perSecond)+extraOwners, max(entries, 1))
	if position >= owners {
		return false
	}
	r.refill(r.perSecond/float64(owners), now)
	return r.saved >= 1
}

// Take records that a request is sent to an endpoint.
func (l *List) Take(id string) {
	if r, ok := l.records[id]; ok {
		r.saved = max(r.saved-1, -maxSaved)
	}
}

// Forget drops the rates of endpoints that have not been listed for a long time.
func (l *List) Forget(listed func(id string) bool, now time.Duration) {
	for id, r := range l.records {
		if r.absence = r.absence.Update(listed(id), now); r.absence.Long(now) {
			delete(l.records, id)
		}
	}
}

// refill adds what the entry's share allowed since the last call.
func (r *record) refill(share float64, now time.Duration) {
	r.saved = min(r.saved+share*(now-r.savedAt).Seconds(), maxSaved)
	r.savedAt = now
}
