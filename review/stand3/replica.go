package main

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeat is the time between two writes of a replica's entry.
const heartbeat = 1200 * time.Millisecond

// entry is what a replica writes to the store.
type entry struct {
	Service  string `json:"service"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Version  string `json:"version"`
	Slots    int    `json:"slots"`
	State    string `json:"state"`
	ColdLeft int64  `json:"coldLeftMs"`
	Sequence int64  `json:"sequence"`
	Born     int64  `json:"born"`
}

// replica stands in for a replica of a plain service.
type replica struct {
	site    *site
	id      string
	service string
	address string
	work    time.Duration
	slots   int
	born    int64
	// ran is called with each request that begins to run.
	ran func(r *http.Request, at time.Time)
	// crashed makes the replica break off all requests.
	crashed atomic.Bool

	mutex     sync.Mutex
	coldUntil time.Time
	sequence  int64
	state     string
	running   int
}

// newReplica starts a replica and lists it.
func (s *site) newReplica(id, service string, slots int, work time.Duration) (*replica, error) {
	r := &replica{
		site: s, id: id, service: service, slots: slots, work: work, state: "ready",
		born: time.Now().UnixMilli(), ran: func(*http.Request, time.Time) {},
	}
	var err error
	r.address, err = s.serve(s.machine(), 0, r)
	return r, err
}

// beat writes the entry now, and then at each heartbeat until the context ends.
func (r *replica) beat(ctx context.Context) {
	for !r.crashed.Load() {
		r.write()
		select {
		case <-ctx.Done():
			return
		case <-time.After(heartbeat):
		}
	}
}

// write writes the entry.
func (r *replica) write() {
	r.mutex.Lock()
	r.sequence++
	e := entry{
		Service: r.service, Address: r.address, Zone: zoneName, Version: "v1", Slots: r.slots, State: r.state,
		ColdLeft: r.coldLeft().Milliseconds(), Sequence: r.sequence, Born: r.born,
	}
	r.mutex.Unlock()
	r.site.store.put("servers/"+r.id, e)
}

// coldLeft returns how long the replica stays cold. The mutex must be held.
func (r *replica) coldLeft() time.Duration { return max(time.Until(r.coldUntil), 0) }

// crash breaks off all requests. A crashed replica writes nothing, so that its entry is removed
// after three heartbeat intervals.
func (r *replica) crash() {
	if !r.crashed.Swap(true) {
		time.AfterFunc(3*heartbeat, func() { r.site.store.remove("servers/" + r.id) })
	}
}

// chill makes the replica cold for some time.
func (r *replica) chill(length time.Duration) {
	r.mutex.Lock()
	r.coldUntil = time.Now().Add(length)
	r.mutex.Unlock()
	r.write()
}

// take takes a slot, or reports that the replica is full. A few requests may wait.
func (r *replica) take() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.running >= 5*r.slots {
		return false
	}
	r.running++
	return true
}

func (r *replica) free() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.running--
}

// ServeHTTP serves requests of callers and health checks.
func (r *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if r.crashed.Load() {
		panic(http.ErrAbortHandler)
	}
	if q.URL.Path == "/health" {
		r.mutex.Lock()
		left := r.coldLeft()
		r.mutex.Unlock()
		r.site.record.line("replica %s answers a health request, cold for %d ms", r.id, left.Milliseconds())
		w.Header().Set("Instance-Id", r.id)
		w.Header().Set("Cold-Ms", strconv.FormatInt(left.Milliseconds(), 10))
		return
	}
	attempt := q.Header.Get("Attempt-Id")
	if attempt != "" {
		w.Header().Set("Attempt-Id", attempt)
	}
	if expected := q.Header.Get("Expect-Instance"); expected != "" && expected != r.id {
		w.Header().Set("Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		r.site.record.line("replica %s answers 421 to %s, which expects %s", r.id, attempt, expected)
		return
	}
	if !r.take() {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer r.free()
	r.site.record.line("replica %s (service %s) runs %s %s %s", r.id, r.service, attempt, q.Method, q.URL.Path)
	r.ran(q, time.Now())
	select {
	case <-time.After(r.work):
	case <-q.Context().Done():
		return
	}
	if r.crashed.Load() {
		panic(http.ErrAbortHandler)
	}
	body := fmt.Sprintf("answer of %s to %s", r.id, attempt)
	w.Header().Set("Response-Seal", "seal."+r.id+"."+attempt)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write([]byte(body)) // The caller may have disconnected.
}
