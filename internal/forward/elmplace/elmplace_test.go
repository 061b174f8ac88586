package elmplace_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/elmcove/elmcove/internal/forward/elmbelief"
	"github.com/elmcove/elmcove/internal/forward/elmcatalog"
	"github.com/elmcove/elmcove/internal/forward/elmendpoint"
	"github.com/elmcove/elmcove/internal/forward/elmplace"
	"github.com/elmcove/elmcove/internal/forward/elmslow"
)

const (
	home = "worcester"
	away = "springfield"
)

var (
	engines = elmcatalog.Service{Name: "draft", ColdRate: 38, Engine: &elmcatalog.Engine{Slots: 12}}
	plain   = elmcatalog.Service{Name: "desk"}
)

func newPlacer() *elmplace.Placer {
	return elmplace.New(elmplace.Settings{
		Datacentre: home, RepeatShare: 0.2, RepeatBurst: 90, RepeatWindow: 10 * time.Second, ColdFactor: 1.5, ColdSlack: 5,
	}, rand.New(rand.NewPCG(1, 2)))
}

// members returns n endpoints of 12 slots, the first half of them at home.
func members(n int) []elmbelief.Member {
	var list []elmbelief.Member
	for i := range n {
		datacentre := home
		if i >= n/2 {
			datacentre = away
		}
		list = append(list, elmbelief.Member{Endpoint: elmendpoint.Endpoint{
			ID: fmt.Sprintf("e%d", i), Address: fmt.Sprintf("a%d", i), Datacentre: datacentre, Slots: 12,
		}})
	}
	return list
}

// fill places n requests and returns how many each endpoint got, and the verdict
// on the last.
func fill(p *elmplace.Placer, s elmcatalog.Service, list []elmbelief.Member, n int, now time.Duration) (map[string]int, elmplace.Verdict) {
	return fillWith(p, elmplace.Query{Service: s}, list, n, now)
}

func fillWith(p *elmplace.Placer, q elmplace.Query, list []elmbelief.Member, n int, now time.Duration) (map[string]int, elmplace.Verdict) {
	got := map[string]int{}
	verdict := elmplace.Placed
	for range n {
		var m elmbelief.Member
		m, verdict = p.Pick(q, list, now)
		if verdict != elmplace.Placed {
			break
		}
		p.Begin(m.ID, now)
		got[m.ID]++
	}
	return got, verdict
}

// TestBurstIsSpreadAndThenRefused: a burst fills the endpoints evenly, home a
// little more, up to a short queue; what can't be served in time is refused.
func TestBurstIsSpreadAndThenRefused(t *testing.T) {
	got, verdict := fill(newPlacer(), engines, members(4), 1000, 0)
	if verdict != elmplace.Full {
		t.Errorf("verdict %v, want full", verdict)
	}
	for id, n := range got {
		if n != 13 {
			t.Errorf("%s has %d requests, want 12 slots and a queue of 1", id, n)
		}
	}
	got, _ = fill(newPlacer(), engines, members(4), 40, 0)
	if got["e0"] < got["e2"] || got["e0"]-got["e2"] > 2 {
		t.Errorf("home %d, away %d: want at most two more at home", got["e0"], got["e2"])
	}
}

// TestLateRequestsLeaveRoom: under a long overload callers come back after a
// refusal. A fifth of the slots is kept for requests that can be on time, at this
// entry and another.
func TestLateRequestsLeaveRoom(t *testing.T) {
	late := elmplace.Query{Service: engines, Late: true}
	p, other := newPlacer(), newPlacer()
	got, verdict := fillWith(p, late, members(2), 1000, 0)
	if verdict != elmplace.Full || got["e0"] != 10 {
		t.Errorf("verdict %v, %d late requests at e0, want 10 in 12 slots", verdict, got["e0"])
	}
	other.SetPeer("first", p.Loads(), 0)
	if got, _ := fillWith(other, late, members(2), 1000, 0); len(got) != 0 {
		t.Errorf("another entry placed late requests %v", got)
	}
	if got, _ := fill(other, engines, members(2), 1000, 0); got["e0"] != 3 {
		t.Errorf("%d requests that can be on time beside 10 late ones, want 3", got["e0"])
	}
}

// TestBurstSeenByOthers: the work of other entries counts, so that a burst at
// one entry does not meet that of another.
func TestBurstSeenByOthers(t *testing.T) {
	p := newPlacer()
	p.SetPeer("other", map[uint32]int{elmplace.Key("e0"): 17}, 0)
	got, _ := fill(p, engines, members(2), 12, 0)
	if got["e0"] > 1 {
		t.Errorf("e0 got %d requests beside 17 of another entry", got["e0"])
	}
	got, _ = fill(p, engines, members(2), 24, 2*time.Second)
	if got["e0"] < 6 {
		t.Errorf("e0 got %d requests though the other entry has been silent for two seconds", got["e0"])
	}
}

// TestColdReturn: a data centre that comes back cold gets no more than this
// entry's part of what cold endpoints bear, in any second.
func TestColdReturn(t *testing.T) {
	p := newPlacer()
	p.SetEntries(7, 0)
	list := members(2)
	list[0].ColdUntil = 10 * time.Second
	sent := map[int]int{}
	for ms := range 5000 {
		now := time.Duration(ms) * time.Millisecond
		m, verdict := p.Pick(elmplace.Query{Service: engines, Tried: []string{"e1"}}, list, now)
		if verdict == elmplace.Placed {
			p.Begin(m.ID, now)
			p.End(m.ID, elmplace.Served, 0, now)
			sent[ms]++
		}
	}
	const limit = 8 // (38 * 1.5 + 5) / 7
	for start := range 4000 {
		sum := 0
		for ms := start; ms < start+1000; ms++ {
			sum += sent[ms]
		}
		if sum > limit {
			t.Fatalf("%d requests in the second from %d ms, this entry's part is %d", sum, start, limit)
		}
	}
	if len(sent) == 0 {
		t.Error("a cold endpoint got nothing at all")
	}
}

// TestGreyEndpoint: an endpoint that fails gets little until its failures are
// old.
func TestGreyEndpoint(t *testing.T) {
	p := newPlacer()
	list := members(2)
	for range 3 {
		p.Begin("e0", 0)
		p.End("e0", elmplace.Failed, 0, 0)
	}
	got, _ := fill(p, plain, list, 8, 0)
	if got["e0"] > 0 {
		t.Errorf("the failing endpoint got %d of 8", got["e0"])
	}
	m, _ := p.Pick(elmplace.Query{Service: plain}, list, time.Minute)
	if m.ID != "e0" {
		t.Errorf("after a minute the request goes to %s, want e0", m.ID)
	}
}

// TestSlowRank: all ranks wait for the own part of the slowest, so it gets no
// work while there are others, even if these are full.
func TestSlowRank(t *testing.T) {
	for name, c := range map[string]struct {
		slow elmslow.List
		want int
	}{
		"one is slow":  {elmslow.List{"a0": 12}, 0},
		"all are slow": {elmslow.List{"a0": 12, "a1": 2, "a2": 3, "a3": 3}, 13},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPlacer()
			p.SetSlow(c.slow)
			if got, _ := fill(p, engines, members(4), 1000, 0); got["e0"] != c.want {
				t.Errorf("the slow rank got %d of 1000, want %d", got["e0"], c.want)
			}
		})
	}
}

// TestBrokenGroup: no request goes to a group that is known to be broken, and it
// is tried again when nobody has confirmed that for a while.
func TestBrokenGroup(t *testing.T) {
	p := newPlacer()
	if !p.SetBroken("draft", true, 0) || p.SetBroken("draft", true, time.Second) {
		t.Error("only the first word of a broken group is news")
	}
	for name, c := range map[string]struct {
		at   time.Duration
		want elmplace.Verdict
	}{
		"known":         {2 * time.Second, elmplace.Broken},
		"not confirmed": {4 * time.Second, elmplace.Placed},
	} {
		t.Run(name, func(t *testing.T) {
			if _, got := p.Pick(elmplace.Query{Service: engines}, members(2), c.at); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

// TestOneOfSeveralGroups: where other endpoints of a service make progress, a broken
// group, or a rank that belongs to none, takes only its own endpoint away, for longer
// each time. Where none does, the whole service is broken.
func TestOneOfSeveralGroups(t *testing.T) {
	p := newPlacer()
	if !p.Blame("draft", "e0", 0) {
		t.Error("before anything has answered, one endpoint's news does not hold for the service")
	}
	p.Progress("draft", "e1", time.Second)
	if p.Blame("draft", "e0", 1500*time.Millisecond) {
		t.Error("the service counts as broken half a second after progress")
	}
	for at, want := range map[time.Duration]int{1600 * time.Millisecond: 0, 3600 * time.Millisecond: 13} {
		if got, _ := fill(p, engines, members(2), 1000, at); got["e0"] != want {
			t.Errorf("%d requests at the broken endpoint at %v, want %d", got["e0"], at, want)
		}
		p = newPlacer()
		p.Progress("draft", "e1", time.Second)
		p.Blame("draft", "e0", 1500*time.Millisecond)
	}
	p.Progress("draft", "e1", 3600*time.Millisecond)
	p.Blame("draft", "e0", 3600*time.Millisecond)
	if got, _ := fill(p, engines, members(2), 1000, 7*time.Second); got["e0"] != 0 {
		t.Errorf("%d requests at an endpoint that was broken twice, 3.4 s later", got["e0"])
	}
	if !p.Blame("draft", "e0", 5*time.Second) {
		t.Error("1.4 s after the last progress the service does not count as broken")
	}
}

// TestRepeatsOfABrokenService: repeats of all entries together stay within the
// budget in any window, however many requests fail.
func TestRepeatsOfABrokenService(t *testing.T) {
	const entries = 7
	var placers []*elmplace.Placer
	for range entries {
		p := newPlacer()
		p.SetEntries(entries, 0)
		placers = append(placers, p)
	}
	requests, repeats := map[int]int{}, map[int]int{}
	for ms := range 40000 {
		now := time.Duration(ms) * time.Millisecond
		if ms%20 != 0 {
			continue
		}
		p := placers[ms/20%entries]
		p.Count("desk", now)
		requests[ms]++
		if p.Repeat("desk", now) {
			repeats[ms]++
		}
	}
	for start := 0; start < 30000; start += 100 {
		asked, again := 0, 0
		for ms := start; ms < start+10000; ms++ {
			asked += requests[ms]
			again += repeats[ms]
		}
		if allowed := int(0.2*float64(asked)) + 90; again > allowed {
			t.Fatalf("%d repeats in the window from %d ms, %d are allowed", again, start, allowed)
		}
	}
}

// TestEntriesThatVanishTogether: the store may drop the entries of all when it
// comes back from an outage; the part of each stays small until they would have
// been listed again.
func TestEntriesThatVanishTogether(t *testing.T) {
	for name, c := range map[string]struct {
		at   time.Duration
		want int
	}{
		"just vanished": {time.Second, 6},
		"still missing": {time.Minute, 46},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPlacer()
			p.SetEntries(7, 0)
			p.SetEntries(1, c.at)
			list := members(2)
			list[0].ColdUntil = time.Hour
			sent := 0
			for range 100 {
				if m, verdict := p.Pick(elmplace.Query{Service: engines, Tried: []string{"e1"}}, list, c.at); verdict == elmplace.Placed {
					p.Begin(m.ID, c.at)
					p.End(m.ID, elmplace.Served, 0, c.at)
					sent++
				}
			}
			if sent != c.want {
				t.Errorf("%d requests to a cold endpoint in a second, want %d", sent, c.want)
			}
		})
	}
}

// TestTriedEndpoints: a request never goes to the same endpoint twice.
func TestTriedEndpoints(t *testing.T) {
	p := newPlacer()
	if _, v := p.Pick(elmplace.Query{Service: plain, Tried: []string{"e0", "e1"}}, members(2), 0); v != elmplace.Absent {
		t.Errorf("got %v, want absent", v)
	}
}
