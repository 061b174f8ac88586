package elmlockstep

import (
	"slices"
	"time"

	"github.com/elmcove/elmcove/internal/expert/elmplan"
)

// Timing of the engine, from the users' data sheet.
const (
	// stepOverhead is the fixed time of a step, decodeTime that of a decoding request
	// in it.
	stepOverhead = 5850 * time.Microsecond
	decodeTime   = 355 * time.Microsecond
	// prefillRate is the number of tokens that a rank prefills per second.
	prefillRate = 61200
	// prefillChunk is the largest number of tokens that a rank prefills in one step.
	prefillChunk = 512
	// decodeSteps is the number of steps in a pass that decodes, and so the number of
	// tokens in an event.
	decodeSteps = 5
	// expertShare is the share of the compute time that experts take.
	expertShare = 0.85
)

// rank is one rank of the group.
type rank struct {
	running []*request
	queue   []*request
	// counts holds the tokens routed to each expert, indexed set*experts+expert.
	counts []float64
	// prefill holds the tokens of each request that the current pass prefills.
	prefill map[*request]int
}

// admit gives free slots to queued requests, by priority and then in order of arrival.
func (r *rank) admit() {
	slices.SortStableFunc(r.queue, func(a, b *request) int { return a.priority - b.priority })
	for len(r.running) < slots && len(r.queue) > 0 {
		q := r.queue[0]
		r.queue = r.queue[1:]
		r.running = append(r.running, q)
	}
}

func (r *rank) remove(q *request) {
	same := func(x *request) bool { return x == q }
	r.running = slices.DeleteFunc(r.running, same)
	r.queue = slices.DeleteFunc(r.queue, same)
}

// beginPass admits requests and computes the length of the pass. All ranks wait for the
// slowest one, and in each set of layers for the rank with the most tokens.
func (sm *simulation) beginPass() {
	steps := 1
	for i := range sm.ranks {
		sm.ranks[i].admit()
		if slices.ContainsFunc(sm.ranks[i].running, func(q *request) bool { return q.prefillLeft == 0 }) {
			steps = decodeSteps
		}
	}
	sm.activeMap = sm.planner.mapForPass(sm.activeMap, sm.now)
	slowest, total, busy := time.Duration(0), time.Duration(0), 0
	tokens := [topics]float64{}
	for i := range sm.ranks {
		r := &sm.ranks[i]
		if len(r.running) == 0 {
			continue
		}
		busy++
		compute := r.computeTime(steps, &tokens)
		total += compute
		local := float64(steps)*float64(stepOverhead) + (1-expertShare)*float64(compute)
		slowest = max(slowest, time.Duration(sm.pace(i)*local))
	}
	if busy == 0 {
		return
	}
	peak := sm.routeTokens(tokens)
	sm.skews = append(sm.skews, skew{sm.now, peak})
	length := slowest + time.Duration(expertShare*peak*float64(total)/ranks)
	if sm.now < sm.planner.copyingUntil {
		length += length * copySlowdownPercent / 100
	}
	sm.inPass, sm.passEnd = true, sm.now+length
}

// computeTime returns the time that the tokens of a rank's requests take in a pass at
// normal pace, and adds the tokens to the sums by topic. Requests share the prefill
// budget of the pass in the order in which they were admitted.
func (r *rank) computeTime(steps int, tokens *[topics]float64) time.Duration {
	r.prefill = map[*request]int{}
	budget, decoding, prefilled := prefillChunk*steps, 0, 0
	for _, q := range r.running {
		if q.prefillLeft == 0 {
			decoding++
			tokens[q.topic] += float64(steps)
			continue
		}
		n := min(q.prefillLeft, budget)
		budget -= n
		prefilled += n
		r.prefill[q] = n
		tokens[q.topic] += float64(n)
	}
	return time.Duration(steps*decoding)*decodeTime + time.Duration(prefilled)*time.Second/prefillRate
}

// routeTokens routes the tokens of a pass to experts, adds them to the counts of the
// group, which rank 0 holds, and returns the load of the most loaded rank relative to
// the mean. A slow rank's load is multiplied by its pace.
func (sm *simulation) routeTokens(tokens [topics]float64) float64 {
	routed := make(elmplan.Weights, sets)
	for s := range sets {
		routed[s] = make([]float64, experts)
		for t, n := range tokens {
			for e, p := range sm.demand[t][s] {
				routed[s][e] += n * p
			}
		}
		for e, n := range routed[s] {
			sm.ranks[0].counts[s*experts+e] += n
		}
	}
	return elmplan.New(expertSlots, maxNewExperts).WithPaces(sm.paces()).Peak(sm.activeMap, routed)
}

// slowRank is the rank that Settings.Slow slows down.
const slowRank = 4

// pace returns the factor by which a rank's work takes longer than normal.
func (sm *simulation) pace(r int) float64 {
	if r == slowRank && sm.settings.Slow.covers(sm.now) {
		return sm.settings.Slow.Factor
	}
	return 1
}

func (sm *simulation) paces() []float64 {
	list := make([]float64, ranks)
	for r := range list {
		list[r] = sm.pace(r)
	}
	return list
}

// endPass emits the events of the pass and completes the requests that have all theirs.
func (sm *simulation) endPass() {
	sm.inPass = false
	for i := range sm.ranks {
		r := &sm.ranks[i]
		for _, q := range slices.Clone(r.running) {
			if q.prefillLeft > 0 {
				q.prefillLeft -= r.prefill[q]
				continue
			}
			q.recordEvent(sm.now)
			sm.entries[q.entry].placer.RecordProgress(service.Name, rankID(q.rank), sm.now)
			if q.eventsLeft == 0 {
				r.remove(q)
				sm.freeSlot(q)
				q.state = completed
			}
		}
	}
}
