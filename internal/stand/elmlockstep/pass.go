package elmlockstep

import (
	"slices"
	"time"

	"github.com/elmcove/elmcove/internal/expert/elmplan"
)

// Times of the engine, as the users' sheet states them.
const (
	stepTime    = 5850 * time.Microsecond
	requestTime = 355 * time.Microsecond
	// readRate is the number of prompt tokens that are read in a second.
	readRate = 61200
	// chunk is the number of prompt tokens that are read in one step.
	chunk = 512
	// stride is the number of steps of a pass that writes, and of the tokens in
	// an event.
	stride = 5
	// expertShare is the part of the work that goes to experts.
	expertShare = 0.85
)

// rank is one rank of the group.
type rank struct {
	running []*request
	queue   []*request
	// counts are the tokens that chose each expert, by set and expert.
	counts []float64
	// read has the prompt tokens of each request that the pass reads.
	read map[*request]int
}

// admit gives free slots to those in the queue, by their order and then by their
// arrival.
func (r *rank) admit() {
	slices.SortStableFunc(r.queue, func(a, b *request) int { return a.order - b.order })
	for len(r.running) < slots && len(r.queue) > 0 {
		q := r.queue[0]
		r.queue = r.queue[1:]
		r.running = append(r.running, q)
	}
}

func (r *rank) remove(q *request) {
	is := func(x *request) bool { return x == q }
	r.running = slices.DeleteFunc(r.running, is)
	r.queue = slices.DeleteFunc(r.queue, is)
}

// beginPass admits requests and works out how long the pass lasts.
func (w *world) beginPass() {
	steps := 1
	for i := range w.ranks {
		w.ranks[i].admit()
		if slices.ContainsFunc(w.ranks[i].running, func(q *request) bool { return q.unread == 0 }) {
			steps = stride
		}
	}
	w.active = w.planner.comesInForce(w.active, w.now)
	own, work, busy := time.Duration(0), time.Duration(0), 0
	tokens := [topics]float64{}
	for i := range w.ranks {
		r := &w.ranks[i]
		if len(r.running) == 0 {
			continue
		}
		busy++
		took := r.work(steps, &tokens)
		work += took
		part := float64(steps)*float64(stepTime) + (1-expertShare)*float64(took)
		own = max(own, time.Duration(w.pace(i)*part))
	}
	if busy == 0 {
		return
	}
	peak := w.peak(tokens)
	w.skews = append(w.skews, skew{w.now, peak})
	length := own + time.Duration(expertShare*peak*float64(work)/ranks)
	if w.now < w.planner.copyingUntil {
		length += length * copyingSlows / 100
	}
	w.inPass, w.passEnd = true, w.now+length
}

// work returns how long the tokens of a rank's requests take in a pass at the usual
// pace, and adds those of each topic.
func (r *rank) work(steps int, tokens *[topics]float64) time.Duration {
	r.read = map[*request]int{}
	room, writers, read := chunk*steps, 0, 0
	for _, q := range r.running {
		if q.unread == 0 {
			writers++
			tokens[q.topic] += float64(steps)
			continue
		}
		n := min(q.unread, room)
		room -= n
		read += n
		r.read[q] = n
		tokens[q.topic] += float64(n)
	}
	return time.Duration(steps*writers)*requestTime + time.Duration(read)*time.Second/readRate
}

// peak counts the experts that the tokens of a pass choose, and returns the load of
// the most loaded rank relative to the mean, slow ones at their pace.
func (w *world) peak(tokens [topics]float64) float64 {
	chosen := make(elmplan.Weights, sets)
	for s := range sets {
		chosen[s] = make([]float64, experts)
		for t, n := range tokens {
			for e, p := range w.demand[t][s] {
				chosen[s][e] += n * p
			}
		}
		for e, n := range chosen[s] {
			w.ranks[0].counts[s*experts+e] += n
		}
	}
	return elmplan.New(places, spare).WithPaces(w.paces()).Peak(w.active, chosen)
}

// slowRank is the rank that is slow in runs with one.
const slowRank = 4

func (w *world) pace(r int) float64 {
	if r == slowRank && w.settings.Slow.covers(w.now) {
		return w.settings.Slow.Factor
	}
	return 1
}

func (w *world) paces() []float64 {
	list := make([]float64, ranks)
	for r := range list {
		list[r] = w.pace(r)
	}
	return list
}

// endPass makes the events of a pass.
func (w *world) endPass() {
	w.inPass = false
	for i := range w.ranks {
		r := &w.ranks[i]
		for _, q := range slices.Clone(r.running) {
			if q.unread > 0 {
				q.unread -= r.read[q]
				continue
			}
			q.event(w.now)
			if q.events == 0 {
				r.remove(q)
				w.leaveRank(q)
				q.state = whole
			}
		}
	}
}
