package elmrouter

import (
	"time"

	"github.com/elmcove/elmcove/internal/forward/elmlifecycle"
	"github.com/elmcove/elmcove/internal/forward/elmplace"
	"github.com/elmcove/elmcove/internal/limit/elmadmission"
	"github.com/elmcove/elmcove/internal/limit/elmqueue"
	"github.com/elmcove/elmcove/internal/observe/elmclock"
	"github.com/elmcove/elmcove/internal/observe/elmmeter"
)

const (
	// waitTick is the interval between two attempts of the first request in a queue. Those that
	// wait are woken by changes; the tick is for what only time changes, such as the end of a
	// pause or of another entry's report.
	waitTick = 100 * time.Millisecond
	// loadsWakeInterval is the shortest interval between two wakes for other entries' loads,
	// which come up to 40 times a second from each entry.
	loadsWakeInterval = 20 * time.Millisecond
)

// waiter is a request that waits for a slot.
type waiter struct {
	ticket elmqueue.Ticket
	// wake is sent to when the request should try to get a slot.
	wake chan struct{}
	// full is set if the request waits only because the service is full, and retries is set for
	// a caller's retry, for which a service is full earlier than for others.
	full, retries bool
}

// notify makes the request try to get a slot.
func (w *waiter) notify() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// wait waits in the service's queue until the request gets a slot, or a time.
func (d *delivery) wait(c elmlifecycle.Place, until time.Duration) elmlifecycle.Message {
	began := elmclock.Now()
	w := d.join(until, began)
	defer d.leave(w, began)
	tick := time.NewTicker(waitTick)
	defer tick.Stop()
	end := time.NewTimer(until - began)
	defer end.Stop()
	for ended := false; ; {
		select {
		case <-d.ctx.Done():
		case <-end.C:
			ended = true
		case <-w.wake:
		case <-tick.C:
			if !d.isFirst(w) {
				continue
			}
		}
		message := d.tryPlace(c)
		if ended || d.isSettled(message, until) {
			return message
		}
		d.passOn(w)
	}
}

// join adds the request to the queue.
func (d *delivery) join(until, now time.Duration) *waiter {
	s := d.admission
	ranked := s.isRanked()
	w := &waiter{wake: make(chan struct{}, 1), retries: d.callerRetry}
	d.router.mutex.Lock()
	defer d.router.mutex.Unlock()
	d.waits = true
	s.queue.SetRanked(ranked)
	w.ticket = s.queue.Add(elmqueue.Entry{Class: d.class, Deadline: until, Arrived: now})
	w.full = d.waitsForSlot()
	s.waiters[w.ticket] = w
	d.router.admissions.waiting.Add(1)
	if s.first(now) == w {
		w.notify() // A slot may have become free since it tried.
	}
	return w
}

// leave removes the request from the queue. The slot or the change for which it was woken may
// serve another one.
func (d *delivery) leave(w *waiter, began time.Duration) {
	now := elmclock.Now()
	d.router.meter.Observe(elmmeter.QueueTime, now-began)
	d.router.mutex.Lock()
	defer d.router.mutex.Unlock()
	d.waits = false
	d.router.admissions.waiting.Add(-1)
	d.admission.queue.Remove(w.ticket)
	delete(d.admission.waiters, w.ticket)
	d.admission.wakeFirst(now)
}

// waitsForSlot reports whether the request was not placed because the service is full.
func (d *delivery) waitsForSlot() bool {
	return d.verdict == elmplace.Full && d.cut == elmadmission.Admit
}

// isFirst reports whether a request is the first in the queue.
func (d *delivery) isFirst(w *waiter) bool {
	d.router.mutex.Lock()
	defer d.router.mutex.Unlock()
	return d.admission.first(elmclock.Now()) == w
}

// passOn wakes the next request that may get a slot which this one could not get.
func (d *delivery) passOn(w *waiter) {
	d.router.mutex.Lock()
	defer d.router.mutex.Unlock()
	w.full = d.waitsForSlot()
	switch d.verdict {
	case elmplace.Broken, elmplace.Stalled, elmplace.NoEndpoint, elmplace.Paused, elmplace.Leaving:
		if len(d.lifecycle.Tried()) == 0 {
			return // Nobody gets a slot.
		}
	case elmplace.Placed, elmplace.Full, elmplace.Quarantined:
	}
	full := w.full && len(d.lifecycle.Tried()) == 0
	found := false
	for t := range d.admission.queue.Order(elmclock.Now()) {
		next := d.admission.waiters[t]
		if next == w {
			found = true
			continue
		}
		if found && (!full || w.retries && !next.retries) {
			next.notify()
			return
		}
	}
}

// first returns the first request in the queue, or nil. The router's mutex must be held.
func (s *serviceAdmission) first(now time.Duration) *waiter {
	for t := range s.queue.Order(now) {
		return s.waiters[t]
	}
	return nil
}

// wakeFirst wakes the first request in the queue. The router's mutex must be held.
func (s *serviceAdmission) wakeFirst(now time.Duration) {
	if w := s.first(now); w != nil {
		w.notify()
	}
}

// isOvertaken reports whether a request that is more urgent than a class waits for a slot. A
// caller's retry does not count: it may not use the last slots, for which others need not wait.
// The router's mutex must be held.
func (s *serviceAdmission) isOvertaken(c elmadmission.Class, now time.Duration) bool {
	for t := range s.queue.Order(now) {
		if t.Class.Compare(c) >= 0 {
			return false
		}
		if s.waiters[t].full && !s.waiters[t].retries {
			return true
		}
	}
	return false
}

// wakeService wakes the first request in the queue of a service.
func (r *Router) wakeService(name string) {
	for _, s := range r.admissions.all() {
		if s.name == name {
			r.mutex.Lock()
			s.wakeFirst(elmclock.Now())
			r.mutex.Unlock()
		}
	}
}

// wakeAll wakes the first request in each queue.
func (r *Router) wakeAll() {
	if r.admissions.waiting.Load() == 0 {
		return
	}
	services := r.admissions.all()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, s := range services {
		s.wakeFirst(elmclock.Now())
	}
}

// wakeForLoads wakes the first request in each queue because other entries' loads have changed.
func (r *Router) wakeForLoads(now time.Duration) {
	if r.admissions.waiting.Load() == 0 {
		return
	}
	services := r.admissions.all()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, s := range services {
		if now-s.loadsAt >= loadsWakeInterval {
			s.loadsAt = now
			s.wakeFirst(now)
		}
	}
}
