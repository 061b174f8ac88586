package elmlockstep

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/elmcove/elmcove/internal/forward/elmplace"
	"github.com/elmcove/elmcove/internal/forward/elmretryafter"
	"github.com/elmcove/elmcove/internal/forward/elmslow"
	"github.com/elmcove/elmcove/internal/forward/elmsnapshot"
	"github.com/elmcove/elmcove/internal/model/elmcatalog"
	"github.com/elmcove/elmcove/internal/model/elmendpoint"
)

// Objectives and time limits of callers on the users' platform, and the timing of the
// messages between entries.
const (
	firstEventObjective = 400 * time.Millisecond
	pauseObjective      = 120 * time.Millisecond
	callerTimeout       = 8 * time.Second
	eventTimeout        = 2 * time.Second
	// disconnectDelay is the time from a group's failure until its ranks end their
	// streams.
	disconnectDelay = 1500 * time.Millisecond
	// exchangeInterval is the time between two load reports of an entry to its peers.
	exchangeInterval = 100 * time.Millisecond
	// slowDetectionDelay is the time until the entries learn that a rank has become
	// slow or has recovered.
	slowDetectionDelay = 700 * time.Millisecond
	// settleTime is simulated after the last arrival, so that open requests can end.
	settleTime = 10 * time.Second

	entries     = 7
	datacentres = 3
	meanPrompt  = 840
	meanEvents  = 28
)

// state is the state of a request. The last three values are final.
type state int

const (
	backingOff state = iota
	waiting
	placed
	completed
	refused
	disconnected
)

// request is a caller's request across all its attempts.
type request struct {
	arrivedAt time.Duration
	entry     int
	topic     int
	state     state
	// callerRetry is set when the caller has been refused or disconnected once. What it
	// sends from then on is a retry.
	callerRetry bool
	// priority orders the queue of a rank; the lowest value is served first.
	priority int
	// retryAt is when the caller retries, and waitUntil is when its request stops
	// waiting for a free slot.
	retryAt      time.Duration
	waitUntil    time.Duration
	rank         int
	sentAt       time.Duration
	promptTokens int
	// prefillLeft counts the tokens that the rank must still prefill before the next
	// event. A retry prefills the events that the caller already has as well.
	prefillLeft    int
	eventsLeft     int
	eventsReceived int
	firstEventAt   time.Duration
	lastEventAt    time.Duration
	longestPause   time.Duration
}

func (q *request) recordEvent(now time.Duration) {
	if q.eventsReceived == 0 {
		q.firstEventAt = now
	} else {
		q.longestPause = max(q.longestPause, now-q.lastEventAt)
	}
	q.eventsReceived++
	q.eventsLeft--
	q.lastEventAt = now
}

// onTime reports whether the response was complete and met both objectives.
func (q *request) onTime() bool {
	return q.state == completed && q.firstEventAt-q.arrivedAt <= firstEventObjective && q.longestPause <= pauseObjective
}

// entry is an entry and its view of the load of its peers.
type entry struct {
	placer *elmplace.Placer
	// open counts this entry's requests at each rank, and others those that its peers
	// report.
	open   [ranks]int
	others [ranks]int
}

var service = elmcatalog.Service{Name: "drafts", Engine: &elmcatalog.Engine{Slots: slots}}

var members = func() []elmsnapshot.Member {
	var list []elmsnapshot.Member
	for r := range ranks {
		id := fmt.Sprintf("rank-%d", r)
		list = append(list, elmsnapshot.Member{Endpoint: elmendpoint.Endpoint{ID: id, Address: id, Datacentre: datacentre(r), Slots: slots}})
	}
	return list
}()

func rankID(r int) string     { return members[r].ID }
func datacentre(i int) string { return fmt.Sprintf("dc-%d", i%datacentres) }

func entryName(i int) string { return fmt.Sprintf("entry-%d", i) }

func newEntries(seed uint64) []entry {
	var list []entry
	var names []string
	for i := range entries {
		names = append(names, entryName(i))
	}
	for i := range entries {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		list = append(list, entry{placer: elmplace.New(elmplace.Settings{
			Entry: entryName(i), Datacentre: datacentre(i), RetryRatio: 0.2, RetryBurst: 90, RetryWindow: 10 * time.Second,
		}, random)})
		list[i].placer.SetEntries(names, 0)
	}
	return list
}

// advanceRequests draws arrivals, starts retries that are due, polls for slots on behalf
// of waiting requests and disconnects callers that have timed out.
func (sm *simulation) advanceRequests() {
	rate := sm.settings.Rate
	if sm.settings.Burst.covers(sm.now) {
		rate *= sm.settings.Burst.Factor
	}
	if sm.now < sm.settings.Length && sm.random.Float64() < rate*tick.Seconds() {
		q := &request{
			arrivedAt: sm.now, entry: sm.random.IntN(entries), topic: sm.random.IntN(topics),
			promptTokens: drawSize(sm.random, meanPrompt, 3), eventsLeft: drawSize(sm.random, meanEvents, 2.5), state: waiting, waitUntil: sm.now,
		}
		sm.requests, sm.open = append(sm.requests, q), append(sm.open, q)
		sm.recordRequest(q)
	}
	sm.open = slices.DeleteFunc(sm.open, func(q *request) bool { return q.state >= completed })
	for _, q := range sm.open {
		switch {
		case q.state == backingOff && sm.now >= q.retryAt:
			q.state, q.waitUntil = waiting, sm.now+elmretryafter.MaxWait
			sm.recordRequest(q)
			sm.tryPlace(q)
		case q.state == waiting && (q.waitUntil <= sm.now || sm.now%elmretryafter.SlotPollInterval == 0):
			sm.tryPlace(q)
		case q.state == placed:
			sm.checkTimeout(q)
		}
	}
}

// recordRequest counts a request that an entry receives for the entry's retry budget.
func (sm *simulation) recordRequest(q *request) {
	sm.entries[q.entry].placer.RecordRequest(service.Name, sm.now)
}

// drawSize draws a log-normal size with a mean, capped at maxFactor times the mean.
func drawSize(random *rand.Rand, mean, maxFactor float64) int {
	return int(max(1, min(mean*math.Exp(0.6*random.NormFloat64()-0.18), mean*maxFactor)))
}

// checkTimeout disconnects a caller that has waited too long for an event.
func (sm *simulation) checkTimeout(q *request) {
	if sm.now-max(q.sentAt, q.lastEventAt) < eventTimeout && sm.now-q.arrivedAt < callerTimeout {
		return
	}
	sm.ranks[q.rank].remove(q)
	sm.freeSlot(q)
	q.state = disconnected
}

// tryPlace sends a request to a rank with free capacity, or refuses it when its wait limit
// has passed.
func (sm *simulation) tryPlace(q *request) {
	r, verdict := sm.pick(q, nil)
	if verdict != elmplace.Placed {
		if sm.now >= q.waitUntil {
			sm.refuse(q, verdict == elmplace.Broken)
		}
		return
	}
	sm.send(q, r, q.promptTokens+q.eventsReceived*decodeSteps)
}

func (sm *simulation) pick(q *request, tried []string) (int, elmplace.Verdict) {
	e := &sm.entries[q.entry]
	if sm.settings.QueuePolicy == ArrivalOrder {
		return e.pickLeastLoaded(sm.broken)
	}
	m, verdict := e.placer.Pick(elmplace.Query{Service: service, Tried: tried, CallerRetry: q.callerRetry}, members, sm.now)
	if verdict != elmplace.Placed {
		return 0, verdict
	}
	return slices.IndexFunc(members, func(x elmsnapshot.Member) bool { return x.ID == m.ID }), verdict
}

// arrivalQueueShare is the length of a rank's queue under ArrivalOrder, as a share of its
// slots.
const arrivalQueueShare = 0.5

func (e *entry) pickLeastLoaded(broken bool) (int, elmplace.Verdict) {
	if broken {
		return 0, elmplace.Broken
	}
	best := 0
	for r := range ranks {
		if e.open[r]+e.others[r] < e.open[best]+e.others[best] {
			best = r
		}
	}
	if float64(e.open[best]+e.others[best]) >= slots*(1+arrivalQueueShare) {
		return 0, elmplace.Full
	}
	return best, elmplace.Placed
}

// send puts a request into the queue of a rank, which prefills a number of tokens
// before it decodes.
func (sm *simulation) send(q *request, r, prefill int) {
	q.state, q.rank, q.sentAt, q.prefillLeft = placed, r, sm.now, prefill
	if q.callerRetry && sm.settings.QueuePolicy == ObjectiveFirst {
		q.priority = 1
	}
	sm.entries[q.entry].open[r]++
	sm.entries[q.entry].placer.Begin(rankID(r), sm.now)
	sm.ranks[r].queue = append(sm.ranks[r].queue, q)
}

// freeSlot releases the slot that a request has at its rank.
func (sm *simulation) freeSlot(q *request) {
	e := &sm.entries[q.entry]
	e.open[q.rank]--
	e.placer.End(rankID(q.rank), elmplace.Ignored, 0, sm.now)
}

// refuse asks a caller to retry later. A request that is refused a second time ends.
func (sm *simulation) refuse(q *request, broken bool) {
	if q.callerRetry {
		q.state = refused
		return
	}
	wait := elmretryafter.OverloadDelay
	if broken {
		wait = elmretryafter.BrokenGroupDelay
	}
	after := elmretryafter.After(callerTimeout-(sm.now-q.arrivedAt), wait, sm.random.Float64)
	q.state, q.callerRetry, q.retryAt = backingOff, true, sm.now+after
}

// abort ends a request at a rank of a broken group. The caller retries as soon as its
// stream ends, unless it has been refused or disconnected before.
func (sm *simulation) abort(q *request) {
	sm.freeSlot(q)
	if q.callerRetry {
		q.state = disconnected
		return
	}
	q.state, q.callerRetry, q.retryAt = backingOff, true, sm.now+disconnectDelay
}

// exchange informs each entry of its peers' loads, of slow ranks and of the state of
// the group.
func (sm *simulation) exchange() {
	slow := elmslow.List{}
	if s := sm.settings.Slow; (Span{From: s.From + slowDetectionDelay, To: s.To + slowDetectionDelay}).covers(sm.now) {
		slow[rankID(slowRank)] = s.Factor
	}
	for i := range sm.entries {
		e := &sm.entries[i]
		e.placer.SetBroken(service.Name, sm.broken, sm.now)
		e.placer.SetSlow(slow)
		e.others = [ranks]int{}
		for k := range sm.entries {
			if k == i {
				continue
			}
			e.placer.SetPeerLoads(rankID(k), sm.entries[k].placer.Loads(), sm.now)
			for r, n := range sm.entries[k].open {
				e.others[r] += n
			}
		}
	}
	sm.migrateStreams(len(slow) > 0)
}

// migrateStreams moves streams away from a rank that is known to be slow, within the
// entry's retry budget.
func (sm *simulation) migrateStreams(slow bool) {
	if !slow || !sm.settings.MigrateStreams || sm.settings.QueuePolicy == ArrivalOrder {
		return
	}
	for _, q := range slices.Clone(sm.ranks[slowRank].running) {
		if q.eventsReceived == 0 {
			continue
		}
		r, verdict := sm.pick(q, []string{rankID(slowRank)})
		if verdict != elmplace.Placed || !sm.entries[q.entry].placer.TakeRetry(service.Name, sm.now) {
			continue
		}
		sm.ranks[slowRank].remove(q)
		sm.freeSlot(q)
		sm.send(q, r, q.promptTokens+q.eventsReceived*decodeSteps)
	}
}
