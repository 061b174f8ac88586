package elmsnapshot_test

import (
	"testing"
	"time"

	"github.com/elmcove/elmcove/internal/forward/elmsnapshot"
	"github.com/elmcove/elmcove/internal/model/elmcatalog"
	"github.com/elmcove/elmcove/internal/model/elmendpoint"
)

const second = time.Second

func version(n int64) elmsnapshot.Change {
	return elmsnapshot.Configured{Catalog: elmcatalog.Catalog{}.WithVersion(n, elmcatalog.Limits{})}
}

func listed(id string, leaving bool) elmsnapshot.Change {
	return elmsnapshot.Listed{Endpoint: elmendpoint.Endpoint{
		ID: id, Service: "s", Address: id, Datacentre: "d-" + id, Slots: 1, Leaving: leaving, ColdRemaining: second,
	}}
}

func withdrawal(name string) elmsnapshot.Change {
	return elmsnapshot.Withdrawn{Datacentre: name, Withdrawn: true}
}

func full(sent time.Duration, revision int64, changes ...elmsnapshot.Change) elmsnapshot.Read {
	return elmsnapshot.Read{Sent: sent, Source: elmsnapshot.Direct{}, Position: elmsnapshot.Position{Revision: revision}, Full: true, Changes: changes}
}

func incremental(sent time.Duration, revision int64, changes ...elmsnapshot.Change) elmsnapshot.Read {
	return elmsnapshot.Read{Sent: sent, Source: elmsnapshot.Direct{}, Position: elmsnapshot.Position{Revision: revision}, Changes: changes}
}

// failing is a read before which calls to the store had failed.
func failing(r elmsnapshot.Read) elmsnapshot.Read {
	r.Source = elmsnapshot.Direct{Failing: true}
	return r
}

// fromPeer is a read of another process, which keeps missing endpoints for a time.
func fromPeer(relistFor time.Duration, r elmsnapshot.Read) elmsnapshot.Read {
	r.Source = elmsnapshot.Peer{RelistFor: relistFor}
	return r
}

func inEra(era int64, r elmsnapshot.Read) elmsnapshot.Read {
	r.Position.Era = era
	return r
}

func ids(list []elmsnapshot.Member) string {
	found := ""
	for _, m := range list {
		found += m.ID
	}
	return found
}

// memberCases list the expected members and last-resort endpoints at a time after
// a series of reads.
var memberCases = map[string]struct {
	reads      []elmsnapshot.Read
	at         time.Duration
	members    string
	lastResort string
}{
	"listed": {
		reads: []elmsnapshot.Read{full(0, 5, listed("a", false), listed("b", false))}, at: second,
		members: "ab", lastResort: "ab",
	},
	"leaving endpoint is only a last resort": {
		reads: []elmsnapshot.Read{full(0, 5, listed("a", false)), incremental(second, 6, listed("a", true))}, at: second,
		members: "", lastResort: "a",
	},
	"last resort ends after the grace period, counted from the read before": {
		reads: []elmsnapshot.Read{full(0, 5, listed("a", false)), incremental(second, 6, listed("a", true))}, at: 1600 * time.Millisecond,
		members: "", lastResort: "",
	},
	"further heartbeats of a leaving endpoint don't extend the grace period": {
		reads: []elmsnapshot.Read{
			full(0, 5, listed("a", false)), incremental(second, 6, listed("a", true)), incremental(1200*time.Millisecond, 7, listed("a", true)),
		},
		at: 1600 * time.Millisecond, members: "", lastResort: "",
	},
	"endpoint already leaving in the first read is no last resort": {
		reads: []elmsnapshot.Read{full(0, 5, listed("a", true))}, at: 0,
		members: "", lastResort: "",
	},
	"endpoint leaving after an outage is no last resort": {
		reads: []elmsnapshot.Read{full(0, 5, listed("a", false)), incremental(9*second, 6, listed("a", true))}, at: 9 * second,
		members: "", lastResort: "",
	},
	"endpoint that leaves is not ready again in a store's copy": {
		reads: []elmsnapshot.Read{full(0, 5, listed("a", true), listed("b", false)), inEra(2, full(second, 4, listed("a", false), listed("b", false)))}, at: 2 * second,
		members: "b", lastResort: "b",
	},
	"endpoint that a store's copy lacks is kept for a short time": {
		reads: []elmsnapshot.Read{full(0, 5, listed("a", false), listed("b", false)), inEra(2, full(second, 4, listed("b", false)))}, at: 2 * second,
		members: "ab", lastResort: "ab",
	},
	"endpoint that stays away after the store's return is removed": {
		reads: []elmsnapshot.Read{full(0, 5, listed("a", false), listed("b", false)), inEra(2, full(second, 4, listed("b", false)))}, at: 4 * second,
		members: "b", lastResort: "b",
	},
	"withdrawn data centre": {
		reads: []elmsnapshot.Read{full(0, 5, listed("a", false), listed("b", false)), incremental(second, 6, withdrawal("d-a"))}, at: 2 * second,
		members: "b", lastResort: "ab",
	},
	"withdrawn for longer than the grace period": {
		reads: []elmsnapshot.Read{full(0, 5, listed("a", false), listed("b", false)), incremental(second, 6, withdrawal("d-a"))}, at: 4 * second,
		members: "b", lastResort: "b",
	},
	"full read without the withdrawal restores the data centre": {
		reads: []elmsnapshot.Read{full(0, 5, listed("a", false), withdrawal("d-a")), full(second, 6, listed("a", false))}, at: second,
		members: "a", lastResort: "a",
	},
	"removed": {
		reads: []elmsnapshot.Read{full(0, 5, listed("a", false)), incremental(second, 6, elmsnapshot.Unlisted{ID: "a"})}, at: second,
		members: "", lastResort: "",
	},
	"missing after an outage is kept until the relist grace ends": {
		reads: []elmsnapshot.Read{full(0, 5, listed("a", false)), failing(full(9*second, 6))}, at: 10 * second,
		members: "a", lastResort: "a",
	},
	"missing after an outage is removed after the relist grace": {
		reads: []elmsnapshot.Read{full(0, 5, listed("a", false)), failing(full(9*second, 6))}, at: 11 * second,
		members: "", lastResort: "",
	},
	"removal during an outage, reported by a watch afterwards": {
		reads: []elmsnapshot.Read{full(0, 5, listed("a", false)), failing(incremental(9*second, 6, elmsnapshot.Unlisted{ID: "a"}))}, at: 10 * second,
		members: "a", lastResort: "a",
	},
	"missing after a gap between two reads is removed, since the store had no outage": {
		reads: []elmsnapshot.Read{full(0, 5, listed("a", false)), full(9*second, 6)}, at: 9 * second,
		members: "", lastResort: "",
	},
	"missing after failed calls for a short time is removed": {
		reads: []elmsnapshot.Read{full(0, 5, listed("a", false)), failing(full(2*second, 6))}, at: 2 * second,
		members: "", lastResort: "",
	},
	"missing in the read of a peer that saw no outage is removed": {
		reads: []elmsnapshot.Read{full(0, 5, listed("a", false)), fromPeer(0, full(9*second, 6))}, at: 9 * second,
		members: "", lastResort: "",
	},
	"missing in the read of a peer is kept as long as the peer keeps it": {
		reads: []elmsnapshot.Read{full(0, 5, listed("a", false)), fromPeer(second, full(9*second, 6))}, at: 9900 * time.Millisecond,
		members: "a", lastResort: "a",
	},
	"missing in the read of a peer is removed when the peer removes it": {
		reads: []elmsnapshot.Read{full(0, 5, listed("a", false)), fromPeer(second, full(9*second, 6))}, at: 10 * second,
		members: "", lastResort: "",
	},
	"era that a peer has known for longer": {
		reads: []elmsnapshot.Read{full(0, 5, listed("a", false)), inEra(2, fromPeer(second, full(9*second, 6)))}, at: 10 * second,
		members: "", lastResort: "",
	},
	"older read changes nothing": {
		reads: []elmsnapshot.Read{full(0, 5, listed("a", false)), full(second, 4)}, at: second,
		members: "a", lastResort: "a",
	},
}

func TestMembers(t *testing.T) {
	for name, c := range memberCases {
		t.Run(name, func(t *testing.T) {
			snapshot := elmsnapshot.New().WithGrace(2*second, 5*second)
			for _, r := range c.reads {
				snapshot, _ = snapshot.Update(r)
			}
			if got := ids(snapshot.Members("s", c.at)); got != c.members {
				t.Errorf("members %q, want %q", got, c.members)
			}
			if got := ids(snapshot.LastResort("s", c.at)); got != c.lastResort {
				t.Errorf("last resort %q, want %q", got, c.lastResort)
			}
		})
	}
}

func TestVersionsNeverGoBack(t *testing.T) {
	snapshot, _ := elmsnapshot.New().Update(full(0, 5, version(7)))
	snapshot, _ = snapshot.Update(incremental(second, 6, version(3)))
	if got := snapshot.Catalog().Version(); got != 7 {
		t.Errorf("version %d, want 7", got)
	}
}

func TestAgeCountsFromWhenTheReadWasSent(t *testing.T) {
	snapshot, _ := elmsnapshot.New().Update(full(second, 5, version(1)))
	snapshot, _ = snapshot.Update(elmsnapshot.Confirmed{Sent: 3 * second})
	snapshot, _ = snapshot.Update(elmsnapshot.Confirmed{Sent: 2 * second})
	if got := snapshot.Age(5 * second); got != 2*second {
		t.Errorf("age %v, want 2s", got)
	}
}

// Guards against a configuration that seems new because of reads that have shown another one to be
// the newest.
func TestConfigAge(t *testing.T) {
	read := func(sent time.Duration, outdated bool) elmsnapshot.Read {
		return elmsnapshot.Read{Sent: sent, Position: elmsnapshot.Position{Revision: int64(sent)}, ConfigOutdated: outdated}
	}
	for name, c := range map[string]struct {
		messages []elmsnapshot.Message
		want     time.Duration
	}{
		"read":                {[]elmsnapshot.Message{read(second, false)}, 9 * second},
		"outdated":            {[]elmsnapshot.Message{read(second, false), read(2*second, true)}, 9 * second},
		"outdated, confirmed": {[]elmsnapshot.Message{read(second, false), read(2*second, true), elmsnapshot.Confirmed{Sent: 3 * second, ConfigOutdated: true}}, 9 * second},
		"current again":       {[]elmsnapshot.Message{read(second, true), read(2*second, false)}, 8 * second},
		"confirmed":           {[]elmsnapshot.Message{read(second, false), elmsnapshot.Confirmed{Sent: 3 * second}}, 7 * second},
	} {
		t.Run(name, func(t *testing.T) {
			snapshot := elmsnapshot.New()
			for _, m := range c.messages {
				snapshot, _ = snapshot.Update(m)
			}
			if got := snapshot.ConfigAge(10 * second); got != c.want {
				t.Errorf("age %v, want %v", got, c.want)
			}
		})
	}
	never, _ := elmsnapshot.New().Update(read(second, true))
	if got := never.ConfigAge(2 * second); got < time.Hour {
		t.Errorf("age %v of a configuration that was never the newest", got)
	}
}

func TestNotices(t *testing.T) {
	snapshot, first := elmsnapshot.New().Update(full(0, 5, version(1), listed("a", false), withdrawal("d")))
	snapshot, again := snapshot.Update(full(second, 6, version(1), listed("a", false), withdrawal("d")))
	_, last := snapshot.Update(full(2*second, 7, version(2), listed("a", true)))
	if len(first) != 3 || len(again) != 0 || len(last) != 3 {
		t.Errorf("notices %d, %d, %d; want 3, 0, 3", len(first), len(again), len(last))
	}
}

// TestColdCountsFromTheResponse guards against a cold start that ends too early: a
// watch blocks until there is a change, so the cold time is counted from when its
// response arrived and not from when it was sent.
func TestColdCountsFromTheResponse(t *testing.T) {
	read := incremental(second, 6, listed("a", false))
	read.Received = 2 * second
	snapshot, _ := elmsnapshot.New().Update(full(0, 5))
	snapshot, _ = snapshot.Update(read)
	if until := snapshot.Members("s", 2*second)[0].ColdUntil; until != 3*second {
		t.Errorf("cold until %v, want 3s", until)
	}
}
