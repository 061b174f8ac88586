package elmsnapshot_test

import (
	"slices"
	"testing"
	"time"

	"github.com/elmcove/elmcove/internal/forward/elmsnapshot"
)

const (
	// eraModelDepth is the number of events that each run has.
	eraModelDepth = 6
	// eventInterval is the time between two events.
	eventInterval = 600 * time.Millisecond
)

// contents is what the operator has written: the version of the configuration and
// whether the data centre d-a is withdrawn.
type contents struct {
	version   int64
	withdrawn bool
	// withdrawnAt is the revision of the last write or removal of the withdrawal.
	withdrawnAt int64
}

// eraModel is a store with its copy, the operator's latest writes and two entries. Events
// are functions on it, so copies of it are independent.
type eraModel struct {
	now          time.Duration
	position     elmsnapshot.Position
	stored       contents
	copyPosition elmsnapshot.Position
	copied       contents
	written      contents
	entries      [2]elmsnapshot.Snapshot
}

// read lets an entry read all keys, or only the changes if it has read this era before.
func (m *eraModel) read(entry int, full bool) {
	full = full || m.entries[entry].Position().Era != m.position.Era
	changes := []elmsnapshot.Change{version(m.stored.version), listed("a", false), listed("b", false)}
	changed := m.stored.withdrawnAt > m.entries[entry].Position().Revision
	if full && m.stored.withdrawn || !full && changed {
		changes = append(changes, elmsnapshot.Withdrawn{Datacentre: "d-a", Withdrawn: m.stored.withdrawn})
	}
	next, _ := m.entries[entry].Update(elmsnapshot.Read{Sent: m.now, Received: m.now, Source: elmsnapshot.Direct{}, Position: m.position, Full: full, Changes: changes})
	m.entries[entry] = next
}

// write lets the operator write. Revisions rise with each write.
func (m *eraModel) write(version int64, withdrawn bool) {
	m.position.Revision++
	m.stored.version = version
	if withdrawn != m.stored.withdrawn {
		m.stored.withdrawn, m.stored.withdrawnAt = withdrawn, m.position.Revision
	}
	m.written = m.stored
}

// agrees reports whether the store holds what the operator wrote last.
func (m *eraModel) agrees() bool {
	return m.stored.version == m.written.version && m.stored.withdrawn == m.written.withdrawn
}

// eraEvents are the events of the model by name.
var eraEvents = map[string]func(*eraModel){
	"change configuration": func(m *eraModel) { m.write(m.written.version+1, m.written.withdrawn) },
	"withdraw or return":   func(m *eraModel) { m.write(m.written.version, !m.written.withdrawn) },
	"save copy":            func(m *eraModel) { m.copied, m.copyPosition = m.stored, m.position },
	"return from copy": func(m *eraModel) {
		m.stored, m.position = m.copied, elmsnapshot.Position{Era: m.position.Era + 1, Revision: m.copyPosition.Revision}
	},
	"operator writes again": func(m *eraModel) { m.write(m.written.version, m.written.withdrawn) },
	"first entry reads":     func(m *eraModel) { m.read(0, false) },
	"first entry reads all": func(m *eraModel) { m.read(0, true) },
	"second entry reads":    func(m *eraModel) { m.read(1, false) },
}

// Guards against a configuration that goes back, a withdrawn data centre that gets
// requests before the operator has returned it, and entries that end with different
// states, in all interleavings of the store's returns with changes and reads.
func TestStoreReturnsInAllInterleavings(t *testing.T) {
	start := eraModel{position: elmsnapshot.Position{Era: 1, Revision: 1}}
	start.write(1, false)
	start.copied, start.copyPosition = start.stored, start.position
	start.read(0, true)
	start.read(1, true)
	runs := 0
	var explore func(m eraModel, depth int, trace []string)
	explore = func(m eraModel, depth int, trace []string) {
		if depth == eraModelDepth {
			runs++
			checkEnd(t, m, trace)
			return
		}
		for name, apply := range eraEvents {
			next := m
			next.now += eventInterval
			apply(&next)
			path := slices.Concat(trace, []string{name})
			for i := range next.entries {
				before, after := m.entries[i], next.entries[i]
				if after.Catalog().Version() < before.Catalog().Version() {
					t.Fatalf("entry %d goes back to version %d: %v", i, after.Catalog().Version(), path)
				}
				if before.Withdrawn("d-a") && !after.Withdrawn("d-a") && !m.agrees() {
					t.Fatalf("entry %d sends requests to a withdrawn data centre: %v", i, path)
				}
			}
			explore(next, depth+1, path)
		}
	}
	explore(start, 0, nil)
	t.Logf("%d runs of %d events", runs, eraModelDepth)
}

// Guards against DRAIN: an endpoint whose entry is removed some time after the store's
// return or an outage still gets requests, as if the removal were one of their effects.
func TestRemovedEndpointIsNotKept(t *testing.T) {
	removed := elmsnapshot.Unlisted{ID: "a"}
	for name, c := range map[string]struct {
		messages []elmsnapshot.Message
		at       time.Duration
		members  string
	}{
		"by a watch": {
			messages: []elmsnapshot.Message{elmsnapshot.Confirmed{Sent: 4 * second}, inEra(2, incremental(5*second, 5, removed))},
			at:       5 * second, members: "b",
		},
		"by a full read": {
			messages: []elmsnapshot.Message{elmsnapshot.Confirmed{Sent: 4 * second}, inEra(2, full(5*second, 5, listed("b", false)))},
			at:       5 * second, members: "b",
		},
		"after an outage within an era": {
			messages: []elmsnapshot.Message{
				inEra(2, incremental(8*second, 5)), elmsnapshot.Confirmed{Sent: 10 * second}, inEra(2, incremental(10500*time.Millisecond, 6, removed)),
			},
			at: 10500 * time.Millisecond, members: "b",
		},
		"lost with a second return": {
			messages: []elmsnapshot.Message{inEra(3, full(1500*time.Millisecond, 4, listed("b", false)))},
			at:       3 * second, members: "ab",
		},
		"soon after the return": {
			messages: []elmsnapshot.Message{inEra(2, incremental(1500*time.Millisecond, 5, removed))},
			at:       1500 * time.Millisecond, members: "ab",
		},
	} {
		t.Run(name, func(t *testing.T) {
			snapshot, _ := elmsnapshot.New().Update(full(0, 5, listed("a", false), listed("b", false)))
			snapshot, _ = snapshot.Update(inEra(2, full(second, 4, listed("a", false), listed("b", false))))
			for _, m := range c.messages {
				snapshot, _ = snapshot.Update(m)
			}
			if got := ids(snapshot.LastResort("s", c.at)); got != c.members {
				t.Errorf("endpoints %q get requests, want %q", got, c.members)
			}
		})
	}
}

// checkEnd checks that both entries agree with the operator once it has written again.
func checkEnd(t *testing.T, m eraModel, trace []string) {
	t.Helper()
	m.write(m.written.version, m.written.withdrawn)
	for range 2 { // Nothing is retained any more at the second read.
		m.now += 15 * time.Second
		m.read(0, true)
		m.read(1, true)
	}
	for i, e := range m.entries {
		if e.Catalog().Version() != m.written.version || e.Withdrawn("d-a") != m.written.withdrawn {
			t.Fatalf("entry %d ends with version %d, withdrawn %v, the operator wrote %+v: %v",
				i, e.Catalog().Version(), e.Withdrawn("d-a"), m.written, trace)
		}
	}
}
