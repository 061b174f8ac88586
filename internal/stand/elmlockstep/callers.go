package elmlockstep

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/elmcove/elmcove/internal/forward/elmbelief"
	"github.com/elmcove/elmcove/internal/forward/elmcatalog"
	"github.com/elmcove/elmcove/internal/forward/elmendpoint"
	"github.com/elmcove/elmcove/internal/forward/elmplace"
	"github.com/elmcove/elmcove/internal/forward/elmreturn"
	"github.com/elmcove/elmcove/internal/forward/elmslow"
)

// What callers want, as on the users' platform, and what entries know of it.
const (
	objective   = 400 * time.Millisecond
	pauseLimit  = 120 * time.Millisecond
	callerTime  = 8 * time.Second
	gapPatience = 2 * time.Second
	// cutAfter is when the ranks of a broken group end their streams.
	cutAfter = 1500 * time.Millisecond
	// exchangeEvery is the time between two messages of an entry to the others.
	exchangeEvery = 100 * time.Millisecond
	// slowKnown is when the entries know that a rank is slow, or no longer.
	slowKnown = 700 * time.Millisecond
	// drainTime is played after the last request has come.
	drainTime = 10 * time.Second

	entries     = 7
	datacentres = 3
	meanPrompt  = 840
	meanEvents  = 28
)

// state is how far a request has come. The last three are its ends.
type state int

const (
	away state = iota
	waiting
	placed
	whole
	refused
	left
)

// request is a caller's request with all its attempts.
type request struct {
	born  time.Duration
	entry int
	topic int
	state state
	late  bool
	order int
	// back is when the caller comes back, and until is how long its request waits.
	back  time.Duration
	until time.Duration
	rank  int
	sent  time.Duration
	// unread is the part of the prompt that was not read yet, events those to come,
	// and done those that the caller has.
	prompt int
	unread int
	events int
	done   int
	first  time.Duration
	last   time.Duration
	pause  time.Duration
}

func (q *request) event(now time.Duration) {
	if q.done == 0 {
		q.first = now
	} else {
		q.pause = max(q.pause, now-q.last)
	}
	q.done++
	q.events--
	q.last = now
}

// onTime reports whether the caller got what it wanted in time.
func (q *request) onTime() bool {
	return q.state == whole && q.first-q.born <= objective && q.pause <= pauseLimit
}

// entry is an entry with its view of the others.
type entry struct {
	placer *elmplace.Placer
	// open has the requests at each rank, from this entry and as told by others.
	open   [ranks]int
	others [ranks]int
}

var service = elmcatalog.Service{Name: "drafts", Engine: &elmcatalog.Engine{Slots: slots}}

var members = func() []elmbelief.Member {
	var list []elmbelief.Member
	for r := range ranks {
		id := fmt.Sprintf("rank-%d", r)
		list = append(list, elmbelief.Member{Endpoint: elmendpoint.Endpoint{ID: id, Address: id, Datacentre: datacentre(r), Slots: slots}})
	}
	return list
}()

func name(r int) string       { return members[r].ID }
func datacentre(i int) string { return fmt.Sprintf("dc-%d", i%datacentres) }

func newEntries(seed uint64) []entry {
	var list []entry
	for i := range entries {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		list = append(list, entry{placer: elmplace.New(elmplace.Settings{
			Datacentre: datacentre(i), RepeatShare: 0.2, RepeatBurst: 90, RepeatWindow: 10 * time.Second,
		}, random)})
		list[i].placer.SetEntries(entries, 0)
	}
	return list
}

// arrive lets new callers come, callers come back, and those that wait look again.
func (w *world) arrive() {
	rate := w.settings.Rate
	if w.settings.Burst.covers(w.now) {
		rate *= w.settings.Burst.Factor
	}
	if w.now < w.settings.Length && w.random.Float64() < rate*tick.Seconds() {
		q := &request{
			born: w.now, entry: w.random.IntN(entries), topic: w.random.IntN(topics),
			prompt: spread(w.random, meanPrompt, 3), events: spread(w.random, meanEvents, 2.5), state: waiting, until: w.now,
		}
		w.callers, w.live = append(w.callers, q), append(w.live, q)
	}
	w.live = slices.DeleteFunc(w.live, func(q *request) bool { return q.state >= whole })
	for _, q := range w.live {
		switch {
		case q.state == away && w.now >= q.back:
			q.state, q.until = waiting, w.now+elmreturn.Patience
			w.place(q)
		case q.state == waiting && (q.until <= w.now || w.now%elmreturn.LookAgain == 0):
			w.place(q)
		case q.state == placed:
			w.giveUp(q)
		}
	}
}

// spread draws a size around a mean, at most a number of times as large.
func spread(random *rand.Rand, mean, most float64) int {
	return int(max(1, min(mean*math.Exp(0.6*random.NormFloat64()-0.18), mean*most)))
}

// giveUp lets a caller go that has waited too long for an event.
func (w *world) giveUp(q *request) {
	if w.now-max(q.sent, q.last) < gapPatience && w.now-q.born < callerTime {
		return
	}
	w.ranks[q.rank].remove(q)
	w.leaveRank(q)
	q.state = left
}

// place looks for a rank, and refuses the request if there is none in time.
func (w *world) place(q *request) {
	r, verdict := w.pick(q, nil)
	if verdict != elmplace.Placed {
		if w.now >= q.until {
			w.refuse(q, verdict == elmplace.Broken)
		}
		return
	}
	w.send(q, r, q.prompt+q.done*stride)
}

func (w *world) pick(q *request, tried []string) (int, elmplace.Verdict) {
	e := &w.entries[q.entry]
	if w.settings.Order == Arrival {
		return e.pickLeast(w.broken)
	}
	m, verdict := e.placer.Pick(elmplace.Query{Service: service, Tried: tried, Late: q.late}, members, w.now)
	if verdict != elmplace.Placed {
		return 0, verdict
	}
	return slices.IndexFunc(members, func(x elmbelief.Member) bool { return x.ID == m.ID }), verdict
}

// arrivalQueue is the part of the slots that may wait for one where requests are
// served as they come.
const arrivalQueue = 0.5

func (e *entry) pickLeast(broken bool) (int, elmplace.Verdict) {
	if broken {
		return 0, elmplace.Broken
	}
	best := 0
	for r := range ranks {
		if e.open[r]+e.others[r] < e.open[best]+e.others[best] {
			best = r
		}
	}
	if float64(e.open[best]+e.others[best]) >= slots*(1+arrivalQueue) {
		return 0, elmplace.Full
	}
	return best, elmplace.Placed
}

// send puts a request into the queue of a rank, which reads a number of tokens
// before it goes on.
func (w *world) send(q *request, r, unread int) {
	q.state, q.rank, q.sent, q.unread = placed, r, w.now, unread
	if q.late && w.settings.Order == Timely {
		q.order = 1
	}
	w.entries[q.entry].open[r]++
	w.entries[q.entry].placer.Begin(name(r), w.now)
	w.ranks[r].queue = append(w.ranks[r].queue, q)
}

// leaveRank gives the place of a request back.
func (w *world) leaveRank(q *request) {
	e := &w.entries[q.entry]
	e.open[q.rank]--
	e.placer.End(name(q.rank), elmplace.Ignored, 0, w.now)
}

// refuse tells a caller when to come back. It does so once.
func (w *world) refuse(q *request, broken bool) {
	if q.late {
		q.state = refused
		return
	}
	wait := elmreturn.Full
	if broken {
		wait = elmreturn.Broken
	}
	after := elmreturn.After(callerTime-(w.now-q.born), wait, w.random.Float64)
	q.state, q.late, q.back = away, true, w.now+after
}

// lose ends what a rank of a broken group has. The caller comes back at once if it
// was not refused before.
func (w *world) lose(q *request) {
	w.leaveRank(q)
	if q.late {
		q.state = left
		return
	}
	q.state, q.late, q.back = away, true, w.now+cutAfter
}

// exchange tells the entries of each other's requests, of slow ranks and of a
// broken group.
func (w *world) exchange() {
	slow := elmslow.List{}
	if s := w.settings.Slow; (Span{From: s.From + slowKnown, To: s.To + slowKnown}).covers(w.now) {
		slow[name(slowRank)] = s.Factor
	}
	for i := range w.entries {
		e := &w.entries[i]
		e.placer.SetBroken(service.Name, w.broken, w.now)
		e.placer.SetSlow(slow)
		e.others = [ranks]int{}
		for k := range w.entries {
			if k == i {
				continue
			}
			e.placer.SetPeer(name(k), w.entries[k].placer.Loads(), w.now)
			for r, n := range w.entries[k].open {
				e.others[r] += n
			}
		}
	}
	w.move(len(slow) > 0)
}

// move lets streams leave a rank that is known to be slow.
func (w *world) move(slow bool) {
	if !slow || !w.settings.Moves || w.settings.Order == Arrival {
		return
	}
	for _, q := range slices.Clone(w.ranks[slowRank].running) {
		if q.done == 0 {
			continue
		}
		r, verdict := w.pick(q, []string{name(slowRank)})
		if verdict != elmplace.Placed || !w.entries[q.entry].placer.Repeat(service.Name, w.now) {
			continue
		}
		w.ranks[slowRank].remove(q)
		w.leaveRank(q)
		w.send(q, r, q.prompt+q.done*stride)
	}
}
