package elmplanner

import (
	"fmt"
	"testing"
	"time"

	"github.com/elmcove/elmcove/platform"
)

const (
	// tick is the time between two looks of a planner at its leadership.
	tick = 250 * time.Millisecond
	// storeModelDepth is the number of ticks that the enumeration covers.
	storeModelDepth = 16
	// maxEvents is the number of events that a run may contain.
	maxEvents = 3
)

// storeModel is a store with one leadership key and two planners, of which the first may
// be cut off from the store.
type storeModel struct {
	era, lease int64
	// key is the holder with the lease that its key has, and expiry when that ends.
	key      holder
	keyLease platform.Lease
	expiry   time.Duration
	cut      bool
	events   int
	planners [2]plannerModel
}

// plannerModel is a planner with what it knows of the store.
type plannerModel struct {
	term term
	era  int64
	seen holder
}

// event is what may happen between two ticks.
type event int

const (
	nothing event = iota
	loseAll
	returnToFirst
	returnToSecond
	cutOff
	reconnect
	eventCount
)

func newStoreModel() storeModel {
	m := storeModel{era: 1}
	for i := range m.planners {
		m.planners[i].term = term{instance: fmt.Sprintf("entry-%d", i), ttl: plannerLeaseTTL, takeoverDelay: time.Duration(i) * tick}
	}
	return m
}

// apply applies an event. It returns false if the event does not fit.
func (m *storeModel) apply(e event, now time.Duration) bool {
	if e != nothing {
		m.events++
	}
	switch e {
	case loseAll:
		m.era, m.key, m.keyLease, m.lease = m.era+1, holder{}, platform.Lease{}, 0
	case returnToFirst, returnToSecond:
		// The copy shows a planner as the leader of the earlier era, with a lease that
		// runs on.
		owner := m.planners[e-returnToFirst].term.instance
		m.key, m.keyLease = holder{owner, m.era}, platform.Lease{ID: 1, Era: m.era}
		m.era, m.lease, m.expiry = m.era+1, 1, now+plannerLeaseTTL
	case cutOff:
		if m.cut {
			return false
		}
		m.cut = true
	case reconnect:
		if !m.cut {
			return false
		}
		m.cut = false
	case nothing, eventCount:
	}
	return m.events <= maxEvents
}

// step lets each planner look at its leadership once.
func (m *storeModel) step(now time.Duration) {
	if now >= m.expiry {
		m.key, m.keyLease = holder{}, platform.Lease{}
	}
	for i := range m.planners {
		p := &m.planners[i]
		reachable := i > 0 || !m.cut
		next, due := p.term.next(now, p.era, p.seen)
		p.term = next
		if !reachable {
			continue
		}
		switch due {
		case renewLease:
			m.renew(p, now)
		case acquireLeadership:
			m.acquire(p, now)
		case noAction:
		}
		p.era, p.seen = m.era, m.key
	}
}

func (m *storeModel) renew(p *plannerModel, now time.Duration) {
	if p.term.lease.Era != m.era || p.term.lease.ID != m.keyLease.ID {
		p.term = p.term.withoutLease()
		return
	}
	m.expiry = now + plannerLeaseTTL
	p.term = p.term.withRenewal(now)
}

func (m *storeModel) acquire(p *plannerModel, now time.Duration) {
	if p.era != m.era || m.key.instance != "" && m.key.instance != p.term.instance && m.key.era == m.era {
		return
	}
	m.lease++
	m.keyLease = platform.Lease{ID: m.lease, Era: m.era}
	m.key, m.expiry = holder{p.term.instance, m.era}, now+plannerLeaseTTL
	p.term = p.term.withLease(m.keyLease, now)
}

// leaders returns the number of planners that lead for certain.
func (m *storeModel) leaders(now time.Duration) int {
	n := 0
	for _, p := range m.planners {
		if p.term.leads(now) {
			n++
		}
	}
	return n
}

// Guards against two leaders at once when the store returns from a copy, also if one of
// them learns of it late, and against a leadership that nobody takes again.
func TestOneLeaderAcrossStoreCopies(t *testing.T) {
	runs, led := 0, 0
	var explore func(m storeModel, depth int, trace []event)
	explore = func(m storeModel, depth int, trace []event) {
		if depth == storeModelDepth {
			runs++
			for extra := range storeModelDepth {
				m.step(time.Duration(depth+extra) * tick)
			}
			if m.leaders(time.Duration(2*storeModelDepth-1)*tick) == 1 {
				led++
			} else {
				t.Fatalf("no leader in the end after %v", trace)
			}
			return
		}
		now := time.Duration(depth+1) * tick
		for e := range eventCount {
			next := m
			if !next.apply(e, now) {
				continue
			}
			next.step(now)
			for _, at := range []time.Duration{now, now + tick - 1} {
				if next.leaders(at) > 1 {
					t.Fatalf("two leaders at %s after %v, %v", at, trace, e)
				}
			}
			explore(next, depth+1, append(trace[:len(trace):len(trace)], e))
		}
	}
	explore(newStoreModel(), 0, nil)
	t.Logf("%d runs of %d ticks with up to %d events, a leader at the end of %d", runs, storeModelDepth, maxEvents, led)
}
