// Package elmbelief decides what a process believes of the platform: the
// configuration in force, the endpoints that may get work, the data centres
// that are withdrawn, and how old all that is.
//
// The decisions are pure: Update takes a message and returns the next Belief and
// the notices that explain what changed. Times come from a clock that counts
// suspension. The age of a belief runs from the sending of the read that it
// comes from.
//
// # Usage
//
//	belief := elmbelief.New()
//	belief, notices := belief.Update(elmbelief.Read{Sent: sent, Revision: 9, Whole: true, Changes: changes})
//	if belief.Age(now) > limit { refuse() }
package elmbelief

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/elmcove/elmcove/internal/forward/elmcatalog"
	"github.com/elmcove/elmcove/internal/forward/elmendpoint"
)

const (
	// outage is the time without an answer after which missing endpoints may
	// have expired only because they could not renew: two heartbeats.
	outage = 2400 * time.Millisecond
	// graceShare is the part of the allowed times that is used.
	graceShare = 0.75
	// returnGrace is the time in which endpoints whose entries expired during
	// an outage write them again.
	returnGrace = 2 * time.Second
)

// Member is an endpoint with what the belief adds.
type Member struct {
	elmendpoint.Endpoint
	// ColdUntil is the time to which it stays cold.
	ColdUntil time.Duration
	// goneAt is the time at which an endpoint that went missing during an
	// outage counts as gone, or 0.
	goneAt time.Duration
	// usableTo is the time to which an endpoint that leaves may still be sent
	// work that no other can take.
	usableTo time.Duration
}

// Belief is what a process believes. It is immutable.
type Belief struct {
	catalog elmcatalog.Catalog
	members map[string]Member
	// withdrawn holds, for each data centre that is to get no work, the time to
	// which it may still be sent what no other can take.
	withdrawn map[string]time.Duration
	own       map[string]string
	sent      time.Duration
	revision  int64
	known     bool
	leaveTime time.Duration
	moveTime  time.Duration
}

// New returns the belief of a process that knows nothing.
func New() Belief { return Belief{} }

// WithGrace returns a belief that allows work that no other endpoint can take to
// go on for a while after an endpoint began to leave, and after a data centre
// was withdrawn. The times run from the last read that did not show it yet.
func (b Belief) WithGrace(leave, move time.Duration) Belief {
	b.leaveTime = time.Duration(graceShare * float64(leave))
	b.moveTime = time.Duration(graceShare * float64(move))
	return b
}

// Catalog returns the configuration in force.
func (b Belief) Catalog() elmcatalog.Catalog { return b.catalog }

// Known reports whether a configuration was ever read.
func (b Belief) Known() bool { return b.known && b.catalog.Version() > 0 }

// Revision returns the revision of the store up to which all is known.
func (b Belief) Revision() int64 { return b.revision }

// Sent returns the time at which the newest answered read was sent.
func (b Belief) Sent() time.Duration { return b.sent }

// Age returns the time since the newest answered read was sent.
func (b Belief) Age(now time.Duration) time.Duration { return now - b.sent }

// Withdrawn reports whether a data centre is to get no work.
func (b Belief) Withdrawn(datacentre string) bool {
	_, ok := b.withdrawn[datacentre]
	return ok
}

// Own returns the system's own keys with a prefix, and their values.
func (b Belief) Own(prefix string) map[string]string {
	found := map[string]string{}
	for key, value := range b.own {
		if name, ok := strings.CutPrefix(key, prefix); ok {
			found[name] = value
		}
	}
	return found
}

// Members returns the endpoints of a service that may get work, by identity.
// Those that leave, or whose data centre is withdrawn, are left out.
func (b Belief) Members(service string, now time.Duration) []Member {
	return b.filter(service, func(m Member) bool {
		return !m.gone(now) && !m.Leaving && !b.Withdrawn(m.Datacentre)
	})
}

// LastResort returns the endpoints of a service that leave, or whose data centre
// is withdrawn, and that may for a short time still be sent what no other can
// take.
func (b Belief) LastResort(service string, now time.Duration) []Member {
	return b.filter(service, func(m Member) bool {
		leaves := m.Leaving && now >= m.usableTo
		moved := b.Withdrawn(m.Datacentre) && now >= b.withdrawn[m.Datacentre]
		return !m.gone(now) && !leaves && !moved
	})
}

// Ranks returns all endpoints of a service, those that leave included.
func (b Belief) Ranks(service string) []Member {
	return b.filter(service, func(Member) bool { return true })
}

func (b Belief) filter(service string, wanted func(Member) bool) []Member {
	var list []Member
	for _, m := range b.members {
		if m.Service == service && wanted(m) {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	return list
}

func (m Member) gone(now time.Duration) bool { return m.goneAt > 0 && now >= m.goneAt }

// Update applies a message.
func (b Belief) Update(m Message) (Belief, []Notice) {
	switch m := m.(type) {
	case Read:
		return b.read(m)
	case Confirmed:
		b.sent = max(b.sent, m.Sent)
		return b, nil
	}
	return b, nil
}

func (b Belief) read(m Read) (Belief, []Notice) {
	if m.Revision < b.revision {
		return b, nil
	}
	lost := b.known && m.Sent-b.sent > outage
	next := b
	next.members, next.own = cloned(b.members), cloned(b.own)
	next.withdrawn = cloned(b.withdrawn)
	if m.Whole {
		next.own = map[string]string{}
	}
	var notices []Notice
	seen := map[string]bool{}
	for _, c := range m.Changes {
		notices = append(notices, next.apply(c, m, lost, seen)...)
	}
	if m.Whole {
		notices = append(notices, next.dropMissing(m.Sent, lost, seen)...)
	}
	next.sent, next.revision, next.known = max(b.sent, m.Sent), m.Revision, true
	return next, notices
}

// cloned returns a copy that can be written to.
func cloned[V any](m map[string]V) map[string]V {
	if m == nil {
		return map[string]V{}
	}
	return maps.Clone(m)
}

// apply changes the maps of b, which are copies.
func (b *Belief) apply(c Change, m Read, lost bool, seen map[string]bool) []Notice {
	switch c := c.(type) {
	case Configured:
		if c.Catalog.Version() <= b.catalog.Version() {
			return nil
		}
		b.catalog = c.Catalog
		return []Notice{Adopted{Version: c.Catalog.Version()}}
	case Listed:
		seen[c.Endpoint.ID] = true
		return b.list(c.Endpoint, max(m.Sent, m.Got), lost)
	case Unlisted:
		return b.unlist(c.ID, m.Sent, lost)
	case Withdrawn:
		seen[withdrawnMark+c.Datacentre] = true
		return b.move(c, lost)
	case Owned:
		b.own[c.Name] = c.Value
	case Disowned:
		delete(b.own, c.Name)
	}
	return nil
}

// withdrawnMark precedes the names of data centres among what a read has seen.
const withdrawnMark = "datacentre/"

func (b *Belief) move(c Withdrawn, lost bool) []Notice {
	if b.Withdrawn(c.Datacentre) == c.Withdrawn {
		return nil
	}
	if c.Withdrawn {
		b.withdrawn[c.Datacentre] = b.graceFrom(b.moveTime, lost)
	} else {
		delete(b.withdrawn, c.Datacentre)
	}
	return []Notice{Moved(c)}
}

// graceFrom returns the end of a time that runs from the last read before this
// one, or 0 after an outage, when the change may be older.
func (b *Belief) graceFrom(allowed time.Duration, lost bool) time.Duration {
	if !b.known || lost {
		return 0
	}
	return b.sent + allowed
}

func (b *Belief) list(e elmendpoint.Endpoint, at time.Duration, lost bool) []Notice {
	old, known := b.members[e.ID]
	m := Member{Endpoint: e, ColdUntil: at + e.Cold}
	switch {
	case e.Leaving && known && old.Leaving:
		m.usableTo = old.usableTo
	case e.Leaving && known:
		m.usableTo = b.graceFrom(b.leaveTime, lost)
	}
	b.members[e.ID] = m
	switch {
	case !known || old.Born != e.Born || old.Address != e.Address:
		return []Notice{Appeared{Endpoint: e}}
	case e.Leaving && !old.Leaving:
		return []Notice{Leaving{Endpoint: e}}
	}
	return nil
}

func (b *Belief) unlist(id string, at time.Duration, lost bool) []Notice {
	m, ok := b.members[id]
	if !ok {
		return nil
	}
	if !lost {
		delete(b.members, id)
		return []Notice{Gone{Endpoint: m.Endpoint}}
	}
	if m.goneAt == 0 {
		m.goneAt = at + returnGrace
		b.members[id] = m
	}
	return nil
}

// dropMissing forgets what a whole read has not shown.
func (b *Belief) dropMissing(at time.Duration, lost bool, seen map[string]bool) []Notice {
	var notices []Notice
	for _, name := range slices.Sorted(maps.Keys(b.withdrawn)) {
		if !seen[withdrawnMark+name] {
			notices = append(notices, b.move(Withdrawn{Datacentre: name}, lost)...)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(b.members)) {
		if seen[id] {
			continue
		}
		waiting := b.members[id].goneAt
		if waiting > 0 && at < waiting {
			continue
		}
		notices = append(notices, b.unlist(id, at, lost && waiting == 0)...)
	}
	return notices
}
