// Package elmrelay decides which entry tells other data centres the loads of its own one,
// and to which entries. Loads that each entry sent to each other one would grow with the
// square of the number of entries.
//
// In each data centre one entry is the relay: the first by name among those that report
// to each other. It adds up the loads of its data centre, sends the sums to the relays of
// the other data centres, and passes what these send on to the entries of its own one.
// While no relay of a data centre is known, its entries get the sums directly. Two
// relays in a data centre do no harm, because sums replace each other.
//
// The package does no input or output.
//
// # Usage
//
//	relay := elmrelay.New("entry-1")
//	relay.Hear("entry-2", now)
//	if relay.IsRelay(now) { targets, direct := relay.Targets("springfield", names, now) }
package elmrelay

import "time"

// ReportTTL is how long an entry counts as alive after its last report. It is several
// times the longest interval between two reports.
const ReportTTL = 1200 * time.Millisecond

// Relay is what an entry knows of the relays. It is not safe for concurrent use.
type Relay struct {
	self string
	// heard is when each entry of this data centre last reported.
	heard map[string]time.Duration
	// relays holds the relays of the other data centres.
	relays map[string]remote
}

// remote is the relay of another data centre, and when its last sums arrived.
type remote struct {
	entry string
	at    time.Duration
}

// New returns what the entry self knows at its start.
func New(self string) *Relay {
	return &Relay{self: self, heard: map[string]time.Duration{}, relays: map[string]remote{}}
}

// Hear records a report of another entry of this data centre.
func (r *Relay) Hear(entry string, now time.Duration) { r.heard[entry] = now }

// HearDatacentre records sums of another data centre that an entry has added up.
func (r *Relay) HearDatacentre(datacentre, entry string, now time.Duration) {
	r.relays[datacentre] = remote{entry, now}
}

// IsRelay reports whether this entry is the relay of its data centre.
func (r *Relay) IsRelay(now time.Duration) bool { return r.Relay(now) == r.self }

// Relay returns the relay of this data centre.
func (r *Relay) Relay(now time.Duration) string {
	first := r.self
	for entry, at := range r.heard {
		if entry < first && now-at < ReportTTL {
			first = entry
		}
	}
	return first
}

// Targets returns the entries of another data centre that the relay sends its sums to, out
// of those that are listed there, and whether the sums are not to be passed on.
func (r *Relay) Targets(datacentre string, listed []string, now time.Duration) (targets []string, direct bool) {
	if known, ok := r.relays[datacentre]; ok && now-known.at < ReportTTL {
		return []string{known.entry}, false
	}
	return listed, true
}
