package elmbelief_test

import (
	"testing"
	"time"

	"github.com/elmcove/elmcove/internal/forward/elmbelief"
	"github.com/elmcove/elmcove/internal/forward/elmcatalog"
	"github.com/elmcove/elmcove/internal/forward/elmendpoint"
)

const second = time.Second

func version(n int64) elmbelief.Change {
	return elmbelief.Configured{Catalog: elmcatalog.New(n, nil, nil, nil, elmcatalog.Limits{})}
}

func listed(id string, leaving bool) elmbelief.Change {
	return elmbelief.Listed{Endpoint: elmendpoint.Endpoint{
		ID: id, Service: "s", Address: id, Datacentre: "d-" + id, Slots: 1, Leaving: leaving, Cold: second,
	}}
}

func withdrawn(name string) elmbelief.Change {
	return elmbelief.Withdrawn{Datacentre: name, Withdrawn: true}
}

func whole(sent time.Duration, revision int64, changes ...elmbelief.Change) elmbelief.Read {
	return elmbelief.Read{Sent: sent, Revision: revision, Whole: true, Changes: changes}
}

func some(sent time.Duration, revision int64, changes ...elmbelief.Change) elmbelief.Read {
	return elmbelief.Read{Sent: sent, Revision: revision, Changes: changes}
}

func ids(list []elmbelief.Member) string {
	found := ""
	for _, m := range list {
		found += m.ID
	}
	return found
}

// beliefCases give the endpoints that may get work, and those that may as a last
// resort, at a time after a series of reads.
var beliefCases = map[string]struct {
	reads      []elmbelief.Read
	at         time.Duration
	members    string
	lastResort string
}{
	"listed": {
		reads: []elmbelief.Read{whole(0, 5, listed("a", false), listed("b", false))}, at: second,
		members: "ab", lastResort: "ab",
	},
	"leaving gets no work, and is the last resort for a while": {
		reads: []elmbelief.Read{whole(0, 5, listed("a", false)), some(second, 6, listed("a", true))}, at: second,
		members: "", lastResort: "a",
	},
	"the last resort ends by the time of the read before": {
		reads: []elmbelief.Read{whole(0, 5, listed("a", false)), some(second, 6, listed("a", true))}, at: 1600 * time.Millisecond,
		members: "", lastResort: "",
	},
	"further heartbeats of a leaving endpoint don't prolong it": {
		reads: []elmbelief.Read{
			whole(0, 5, listed("a", false)), some(second, 6, listed("a", true)), some(1200*time.Millisecond, 7, listed("a", true)),
		},
		at: 1600 * time.Millisecond, members: "", lastResort: "",
	},
	"leaving as first seen gets nothing at all": {
		reads: []elmbelief.Read{whole(0, 5, listed("a", true))}, at: 0,
		members: "", lastResort: "",
	},
	"leaving that an outage has hidden gets nothing at all": {
		reads: []elmbelief.Read{whole(0, 5, listed("a", false)), some(9*second, 6, listed("a", true))}, at: 9 * second,
		members: "", lastResort: "",
	},
	"withdrawn data centre": {
		reads: []elmbelief.Read{whole(0, 5, listed("a", false), listed("b", false)), some(second, 6, withdrawn("d-a"))}, at: 2 * second,
		members: "b", lastResort: "ab",
	},
	"withdrawn for longer than allowed": {
		reads: []elmbelief.Read{whole(0, 5, listed("a", false), listed("b", false)), some(second, 6, withdrawn("d-a"))}, at: 4 * second,
		members: "b", lastResort: "b",
	},
	"a whole read without the withdrawal takes it back": {
		reads: []elmbelief.Read{whole(0, 5, listed("a", false), withdrawn("d-a")), whole(second, 6, listed("a", false))}, at: second,
		members: "a", lastResort: "a",
	},
	"removed": {
		reads: []elmbelief.Read{whole(0, 5, listed("a", false)), some(second, 6, elmbelief.Unlisted{ID: "a"})}, at: second,
		members: "", lastResort: "",
	},
	"missing after an outage is kept while it may come back": {
		reads: []elmbelief.Read{whole(0, 5, listed("a", false)), whole(9*second, 6)}, at: 10 * second,
		members: "a", lastResort: "a",
	},
	"missing after an outage is gone in the end": {
		reads: []elmbelief.Read{whole(0, 5, listed("a", false)), whole(9*second, 6)}, at: 11 * second,
		members: "", lastResort: "",
	},
	"removal during an outage, told by a watch afterwards": {
		reads: []elmbelief.Read{whole(0, 5, listed("a", false)), some(9*second, 6, elmbelief.Unlisted{ID: "a"})}, at: 10 * second,
		members: "a", lastResort: "a",
	},
	"an older read changes nothing": {
		reads: []elmbelief.Read{whole(0, 5, listed("a", false)), whole(second, 4)}, at: second,
		members: "a", lastResort: "a",
	},
}

func TestMembers(t *testing.T) {
	for name, c := range beliefCases {
		t.Run(name, func(t *testing.T) {
			b := elmbelief.New().WithGrace(2*second, 5*second)
			for _, r := range c.reads {
				b, _ = b.Update(r)
			}
			if got := ids(b.Members("s", c.at)); got != c.members {
				t.Errorf("members %q, want %q", got, c.members)
			}
			if got := ids(b.LastResort("s", c.at)); got != c.lastResort {
				t.Errorf("last resort %q, want %q", got, c.lastResort)
			}
		})
	}
}

func TestVersionsNeverGoBack(t *testing.T) {
	b, _ := elmbelief.New().Update(whole(0, 5, version(7)))
	b, _ = b.Update(some(second, 6, version(3)))
	if got := b.Catalog().Version(); got != 7 {
		t.Errorf("version %d, want 7", got)
	}
}

func TestAgeRunsFromTheSendingOfTheRead(t *testing.T) {
	b, _ := elmbelief.New().Update(whole(second, 5, version(1)))
	b, _ = b.Update(elmbelief.Confirmed{Sent: 3 * second})
	b, _ = b.Update(elmbelief.Confirmed{Sent: 2 * second})
	if got := b.Age(5 * second); got != 2*second {
		t.Errorf("age %v, want 2s", got)
	}
}

func TestNotices(t *testing.T) {
	b, first := elmbelief.New().Update(whole(0, 5, version(1), listed("a", false), withdrawn("d")))
	b, again := b.Update(whole(second, 6, version(1), listed("a", false), withdrawn("d")))
	_, last := b.Update(whole(2*second, 7, version(2), listed("a", true)))
	if len(first) != 3 || len(again) != 0 || len(last) != 3 {
		t.Errorf("notices %d, %d, %d; want 3, 0, 3", len(first), len(again), len(last))
	}
}

// TestColdRunsFromTheAnswer: a watch waits for its answer, so the time for which
// an endpoint stays cold runs from the answer and not from the question.
func TestColdRunsFromTheAnswer(t *testing.T) {
	read := some(second, 6, listed("a", false))
	read.Got = 2 * second
	b, _ := elmbelief.New().Update(whole(0, 5))
	b, _ = b.Update(read)
	if until := b.Members("s", 2*second)[0].ColdUntil; until != 3*second {
		t.Errorf("cold until %v, want 3s", until)
	}
}
