// Package elmsnapshot keeps a process's snapshot of the platform state: the
// configuration in effect, the endpoints that may receive requests, the data
// centres that are withdrawn, and the age of that information.
//
// The package does no input or output: Update takes a message and returns the
// next Snapshot and the notices that describe what changed. Times come from a
// clock that also runs while the system is suspended. The age of a snapshot is
// counted from when the read that it comes from was sent. The age of the configuration
// is counted from the last read that has shown it to be the newest one.
//
// # Usage
//
//	snapshot := elmsnapshot.New()
//	snapshot, notices := snapshot.Update(elmsnapshot.Read{Sent: sent, Position: position, Full: true, Changes: changes})
//	if snapshot.Age(now) > limit { refuse() }
package elmsnapshot

import (
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/elmcove/elmcove/internal/model/elmcatalog"
	"github.com/elmcove/elmcove/internal/model/elmendpoint"
)

const (
	// outageThreshold is the time without an answer from the store after which
	// endpoints may be missing only because they could not renew their entries:
	// two heartbeats.
	outageThreshold = 2400 * time.Millisecond
	// graceShare is the fraction of the allowed grace periods that is used.
	graceShare = 0.75
	// relistGrace is the time within which endpoints whose entries expired during
	// an outage write them again.
	relistGrace = 2 * time.Second
	// retainTime is the time within which the owners of keys that the store has lost
	// write them again.
	retainTime = 10 * time.Second
	// neverSent is the time of a read that has not taken place.
	neverSent = math.MinInt64 / 2 * time.Nanosecond
)

// Member is an endpoint and its local state in the snapshot.
type Member struct {
	elmendpoint.Endpoint
	// ColdUntil is the time at which the endpoint's cold start ends.
	ColdUntil time.Duration
	// removeAt is the time at which an endpoint that went missing during an
	// outage counts as removed, or 0 if it is not missing.
	removeAt time.Duration
	// lastResortUntil is the time until which a leaving endpoint may still be
	// sent requests that no other endpoint can accept.
	lastResortUntil time.Duration
}

// Snapshot is a process's view of the platform state at one revision. It is
// immutable.
type Snapshot struct {
	catalog elmcatalog.Catalog
	members map[string]Member
	// withdrawn maps each withdrawn data centre to the time until which its
	// endpoints may still be sent requests that no other endpoint can accept.
	withdrawn map[string]time.Duration
	// systemKeys holds the values of the system's own keys.
	systemKeys map[string]string
	// sent is when the newest answered read was sent.
	sent time.Duration
	// configSent is when the newest read was sent that showed the configuration in effect to
	// be the newest one.
	configSent time.Duration
	position   Position
	// retainUntil is the time until which a full read in a new era removes no withdrawals
	// and system keys, because the owners of lost ones write them again.
	retainUntil time.Duration
	// relistUntil is the time until which an endpoint may be missing only because its entry
	// expired during the last outage or was lost with the store's return.
	relistUntil   time.Duration
	known         bool
	leaveGrace    time.Duration
	withdrawGrace time.Duration
}

// New returns an empty snapshot, as of a process that has not read the store yet.
func New() Snapshot { return Snapshot{configSent: neverSent} }

// WithGrace returns a snapshot with two grace periods: for leave after an endpoint
// began to leave, and for withdraw after a data centre was withdrawn, requests that
// no other endpoint can accept may still be sent there. The periods start at the
// last read that did not show the change yet.
func (s Snapshot) WithGrace(leave, withdraw time.Duration) Snapshot {
	s.leaveGrace = time.Duration(graceShare * float64(leave))
	s.withdrawGrace = time.Duration(graceShare * float64(withdraw))
	return s
}

// Catalog returns the configuration in effect.
func (s Snapshot) Catalog() elmcatalog.Catalog { return s.catalog }

// HasConfig reports whether a configuration has been read.
func (s Snapshot) HasConfig() bool { return s.known && s.catalog.Version() > 0 }

// Position returns the point in the store's history up to which the snapshot is
// complete.
func (s Snapshot) Position() Position { return s.position }

// Sent returns the time at which the newest answered read was sent.
func (s Snapshot) Sent() time.Duration { return s.sent }

// Age returns the time since the newest answered read was sent.
func (s Snapshot) Age(now time.Duration) time.Duration { return now - s.sent }

// ConfigAge returns the time since the newest read was sent that showed the configuration in
// effect to be the newest one. It exceeds Age while a newer one can't be used.
func (s Snapshot) ConfigAge(now time.Duration) time.Duration { return now - s.configSent }

// Withdrawn reports whether a data centre is withdrawn and gets no requests.
func (s Snapshot) Withdrawn(datacentre string) bool {
	_, ok := s.withdrawn[datacentre]
	return ok
}

// SystemKeys returns the values of the system's own keys that start with a prefix. The
// names in the result omit the prefix.
func (s Snapshot) SystemKeys(prefix string) map[string]string {
	found := map[string]string{}
	for key, value := range s.systemKeys {
		if name, ok := strings.CutPrefix(key, prefix); ok {
			found[name] = value
		}
	}
	return found
}

// Members returns the endpoints of a service that may receive requests, sorted by
// ID. It omits endpoints that are leaving or whose data centre is withdrawn.
func (s Snapshot) Members(service string, now time.Duration) []Member {
	return s.filter(service, func(m Member) bool { return s.isUsable(m, now) })
}

// MemberCounts returns the number of endpoints in Members by service.
func (s Snapshot) MemberCounts(now time.Duration) map[string]int {
	counts := map[string]int{}
	for _, m := range s.members {
		if s.isUsable(m, now) {
			counts[m.Service]++
		}
	}
	return counts
}

// isUsable reports whether an endpoint may receive any request.
func (s Snapshot) isUsable(m Member, now time.Duration) bool {
	return !m.removed(now) && !m.Leaving && !s.Withdrawn(m.Datacentre)
}

// LastResort returns the endpoints of a service that may receive requests that no
// endpoint in Members can accept. Besides the members, it includes endpoints that
// are leaving or whose data centre is withdrawn, until their grace period ends.
func (s Snapshot) LastResort(service string, now time.Duration) []Member {
	return s.filter(service, func(m Member) bool {
		left := m.Leaving && now >= m.lastResortUntil
		withdrawn := s.Withdrawn(m.Datacentre) && now >= s.withdrawn[m.Datacentre]
		return !m.removed(now) && !left && !withdrawn
	})
}

// AllMembers returns all endpoints of a service, including those that are leaving.
func (s Snapshot) AllMembers(service string) []Member {
	return s.filter(service, func(Member) bool { return true })
}

func (s Snapshot) filter(service string, wanted func(Member) bool) []Member {
	var list []Member
	for _, m := range s.members {
		if m.Service == service && wanted(m) {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	return list
}

func (m Member) removed(now time.Duration) bool { return m.removeAt > 0 && now >= m.removeAt }

// Update applies a message and returns the next snapshot and what changed.
func (s Snapshot) Update(m Message) (Snapshot, []Notice) {
	switch m := m.(type) {
	case Read:
		return s.read(m)
	case Confirmed:
		return s.withSent(m.Sent, m.ConfigOutdated), nil
	}
	return s, nil
}

// relistAfter returns the time until which an endpoint may be missing only because of an
// outage or a return of the store. A gap between two reads is no outage unless calls have
// failed in it: while this process reads nothing, the store may be fine.
func (s Snapshot) relistAfter(m Read) time.Duration {
	received := max(m.Sent, m.Received)
	switch source := m.Source.(type) {
	case Peer:
		return received + source.RelistFor
	case Direct:
		if s.returnedBy(m) || source.Failing && s.gapBefore(m) {
			return received + relistGrace
		}
	}
	return s.relistUntil
}

// returnedBy reports whether the store has returned from a copy before a read.
func (s Snapshot) returnedBy(m Read) bool { return s.known && m.Position.Era > s.position.Era }

// gapBefore reports whether the read before a read is so old that endpoints' entries may
// have expired since.
func (s Snapshot) gapBefore(m Read) bool { return s.known && m.Sent-s.sent > outageThreshold }

// RelistRemaining returns for how much longer endpoints may be missing only because of the
// last outage or return of the store.
func (s Snapshot) RelistRemaining(now time.Duration) time.Duration {
	return max(s.relistUntil-now, 0)
}

func (s Snapshot) read(m Read) (Snapshot, []Notice) {
	if m.Position.Before(s.position) {
		return s, nil
	}
	next := s
	if s.returnedBy(m) {
		next.retainUntil = max(m.Sent, m.Received) + retainTime
	}
	next.relistUntil = s.relistAfter(m)
	afterOutage := s.gapBefore(m) || next.retains(m.Sent)
	next.members, next.systemKeys = clone(s.members), clone(s.systemKeys)
	next.withdrawn = clone(s.withdrawn)
	if m.Full && !next.retains(m.Sent) {
		next.systemKeys = map[string]string{}
	}
	var notices []Notice
	listed := map[string]bool{}
	for _, c := range m.Changes {
		notices = append(notices, next.apply(c, m, afterOutage, listed)...)
	}
	if m.Full {
		notices = append(notices, next.dropMissing(m.Sent, afterOutage, listed)...)
	}
	next.position, next.known = m.Position, true
	return next.withSent(m.Sent, m.ConfigOutdated), notices
}

// withSent returns the snapshot after a read that was sent at a time.
func (s Snapshot) withSent(sent time.Duration, configOutdated bool) Snapshot {
	s.sent = max(s.sent, sent)
	if !configOutdated {
		s.configSent = max(s.configSent, sent)
	}
	return s
}

// retains reports whether the owners of keys that the store has lost may not have
// written them again at a time.
func (s *Snapshot) retains(at time.Duration) bool { return at < s.retainUntil }

// clone returns a copy of a map. The copy is never nil.
func clone[V any](m map[string]V) map[string]V {
	if m == nil {
		return map[string]V{}
	}
	return maps.Clone(m)
}

// apply applies a change to the maps of s, which must be copies.
func (s *Snapshot) apply(c Change, m Read, afterOutage bool, listed map[string]bool) []Notice {
	switch c := c.(type) {
	case Configured:
		if c.Catalog.Version() <= s.catalog.Version() {
			return nil
		}
		s.catalog = c.Catalog
		return []Notice{Adopted{Version: c.Catalog.Version()}}
	case Listed:
		listed[c.Endpoint.ID] = true
		return s.addEndpoint(c.Endpoint, max(m.Sent, m.Received), afterOutage)
	case Unlisted:
		return s.removeEndpoint(c.ID, m.Sent)
	case Withdrawn:
		listed[datacentrePrefix+c.Datacentre] = true
		return s.setWithdrawn(c, afterOutage)
	case SystemKeyWritten:
		s.systemKeys[c.Name] = c.Value
	case SystemKeyRemoved:
		delete(s.systemKeys, c.Name)
	}
	return nil
}

// datacentrePrefix distinguishes data centres from endpoints in the set of names
// that a read contains.
const datacentrePrefix = "datacentre/"

func (s *Snapshot) setWithdrawn(c Withdrawn, afterOutage bool) []Notice {
	if s.Withdrawn(c.Datacentre) == c.Withdrawn {
		return nil
	}
	if c.Withdrawn {
		s.withdrawn[c.Datacentre] = s.graceFrom(s.withdrawGrace, afterOutage)
	} else {
		delete(s.withdrawn, c.Datacentre)
	}
	return []Notice{WithdrawalChanged(c)}
}

// graceFrom returns the end of a grace period that starts at the previous read. It
// returns 0 after an outage, because the change may then be older.
func (s *Snapshot) graceFrom(allowed time.Duration, afterOutage bool) time.Duration {
	if !s.known || afterOutage {
		return 0
	}
	return s.sent + allowed
}

func (s *Snapshot) addEndpoint(e elmendpoint.Endpoint, at time.Duration, afterOutage bool) []Notice {
	old, known := s.members[e.ID]
	if known && s.retains(at) && outdated(e, old.Endpoint) {
		return nil // The store's copy is older.
	}
	m := Member{Endpoint: e, ColdUntil: at + e.ColdRemaining}
	switch {
	case e.Leaving && known && old.Leaving:
		m.lastResortUntil = old.lastResortUntil
	case e.Leaving && known:
		m.lastResortUntil = s.graceFrom(s.leaveGrace, afterOutage)
	}
	s.members[e.ID] = m
	switch {
	case !known || old.Started != e.Started || old.Address != e.Address:
		return []Notice{Appeared{Endpoint: e}}
	case e.Leaving && !old.Leaving:
		return []Notice{Leaving{Endpoint: e}}
	}
	return nil
}

// outdated reports whether an entry is older than the known one of the same endpoint.
func outdated(e, known elmendpoint.Endpoint) bool {
	return e.Started < known.Started || e.Started == known.Started && known.Leaving && !e.Leaving
}

// removeEndpoint removes an endpoint, at once or when it can no longer be listed again.
func (s *Snapshot) removeEndpoint(id string, at time.Duration) []Notice {
	m, ok := s.members[id]
	if !ok {
		return nil
	}
	if m.removeAt == 0 && at < s.relistUntil {
		m.removeAt = s.relistUntil
		s.members[id] = m
		return []Notice{Kept{Endpoint: m.Endpoint, For: m.removeAt - at}}
	}
	if at < m.removeAt {
		return nil
	}
	delete(s.members, id)
	return []Notice{Removed{Endpoint: m.Endpoint}}
}

// dropMissing removes the endpoints that a complete read does not contain, and the
// withdrawals unless they are retained.
func (s *Snapshot) dropMissing(at time.Duration, afterOutage bool, listed map[string]bool) []Notice {
	var notices []Notice
	for _, name := range slices.Sorted(maps.Keys(s.withdrawn)) {
		if !s.retains(at) && !listed[datacentrePrefix+name] {
			notices = append(notices, s.setWithdrawn(Withdrawn{Datacentre: name}, afterOutage)...)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.members)) {
		if !listed[id] {
			notices = append(notices, s.removeEndpoint(id, at)...)
		}
	}
	return notices
}
