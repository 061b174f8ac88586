// Package elmqueue orders the requests that wait for a slot of one service: by class and then
// by the least remaining time, or by arrival if the service is not ranked.
//
// The package does no input or output and has no goroutines: its user wakes those that wait.
//
// # Usage
//
//	queue := elmqueue.New()
//	queue.SetRanked(true)
//	ticket := queue.Add(elmqueue.Entry{Class: class, Deadline: deadline, Arrived: now})
//	for t := range queue.Order(now) { ... }
//	queue.Remove(ticket)
package elmqueue

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"github.com/elmcove/elmcove/internal/limit/elmadmission"
)

// Entry describes a request that waits.
type Entry struct {
	Class elmadmission.Class
	// Deadline is when the request stops waiting.
	Deadline time.Duration
	Arrived  time.Duration
}

// Ticket identifies a request in a queue.
type Ticket struct {
	Entry
	sequence uint64
}

// Queue is an ordered list of requests. It is not safe for concurrent use.
type Queue struct {
	ranked bool
	// waiting is in order.
	waiting []Ticket
	last    uint64
}

// New returns an empty queue that is ordered by arrival.
func New() *Queue { return &Queue{} }

// SetRanked sets whether requests are ordered by class.
func (q *Queue) SetRanked(ranked bool) {
	if q.ranked != ranked {
		q.ranked = ranked
		slices.SortFunc(q.waiting, q.compare)
	}
}

// Add adds a request.
func (q *Queue) Add(e Entry) Ticket {
	q.last++
	t := Ticket{Entry: e, sequence: q.last}
	i, _ := slices.BinarySearchFunc(q.waiting, t, q.compare)
	q.waiting = slices.Insert(q.waiting, i, t)
	return t
}

// Remove removes a request. It does nothing if the request is not in the queue.
func (q *Queue) Remove(t Ticket) {
	if i, found := slices.BinarySearchFunc(q.waiting, t, q.compare); found {
		q.waiting = slices.Delete(q.waiting, i, i+1)
	}
}

// Order returns the requests whose time has not expired, in the order in which they get slots.
// The queue must not change meanwhile.
func (q *Queue) Order(now time.Duration) iter.Seq[Ticket] {
	return func(yield func(Ticket) bool) {
		for _, t := range q.waiting {
			if t.Deadline > now && !yield(t) {
				return
			}
		}
	}
}

// Len returns the number of requests, including those whose time has expired.
func (q *Queue) Len() int { return len(q.waiting) }

func (q *Queue) compare(a, b Ticket) int {
	order := 0
	if q.ranked {
		order = cmp.Or(a.Class.Compare(b.Class), cmp.Compare(a.Deadline, b.Deadline))
	}
	return cmp.Or(order, cmp.Compare(a.Arrived, b.Arrived), cmp.Compare(a.sequence, b.sequence))
}
