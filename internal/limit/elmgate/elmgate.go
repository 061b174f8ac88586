// Package elmgate admits requests to an endpoint, with a short bounded queue.
//
// The number of queued requests is bounded by the capacity of the endpoint, so that
// the wait stays near the duration of one request. Free slots go to the request that
// has waited longest.
//
// # Usage
//
//	gate := elmgate.New(8)
//	if err := gate.Acquire(ctx, 300*time.Millisecond); err != nil {
//		return err // elmcredit.ErrFull
//	}
//	defer gate.Release()
package elmgate

import (
	"context"
	"sync"
	"time"

	"github.com/elmcove/elmcove/internal/limit/elmcredit"
)

// minWaiters is the number of requests that may wait even if the endpoint is cold.
const minWaiters = 2

// Gate admits requests. It is safe for concurrent use.
type Gate struct {
	mutex   sync.Mutex
	pool    elmcredit.Pool
	waiters []chan struct{}
}

// New returns a Gate for an endpoint that processes up to limit requests concurrently.
func New(limit int) *Gate {
	return &Gate{pool: elmcredit.New(limit)}
}

// Acquire takes a slot and waits up to maxWait for one. The error is elmcredit.ErrFull if
// no slot was free in time, or the error of the context.
func (g *Gate) Acquire(ctx context.Context, maxWait time.Duration) error {
	slot, err := g.acquireOrWait(maxWait)
	if slot == nil {
		return err
	}
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case <-slot:
		return nil
	case <-timer.C:
		err = elmcredit.ErrFull
	case <-ctx.Done():
		err = ctx.Err()
	}
	return g.stopWaiting(slot, err)
}

// Release frees a slot.
func (g *Gate) Release() {
	g.change(func(p elmcredit.Pool) elmcredit.Pool { return p.Release() })
}

// SetLimit sets the number of requests that are admitted, and the number that windows
// are allocated for. The latter also bounds the number of waiting requests.
func (g *Gate) SetLimit(limit, shared int) {
	g.change(func(p elmcredit.Pool) elmcredit.Pool { return p.WithLimit(limit, shared) })
}

// SetWant sets the window that an entry requests.
func (g *Gate) SetWant(entry string, window int) {
	g.change(func(p elmcredit.Pool) elmcredit.Pool { return p.WithWant(entry, window, time.Now()) })
}

// RemoveEntry deletes the window of an entry that has disconnected.
func (g *Gate) RemoveEntry(entry string) {
	g.change(func(p elmcredit.Pool) elmcredit.Pool { return p.WithoutEntry(entry) })
}

// Pool returns the current state of the capacity pool.
func (g *Gate) Pool() elmcredit.Pool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.pool
}

// Demand returns the number of running and waiting requests.
func (g *Gate) Demand() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.pool.Running() + len(g.waiters)
}

// acquireOrWait takes a free slot, or adds the caller to the queue. The returned channel is
// nil if there is nothing to wait for.
func (g *Gate) acquireOrWait(maxWait time.Duration) (chan struct{}, error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if len(g.waiters) == 0 {
		pool, err := g.pool.Admit()
		if err == nil {
			g.pool = pool
			return nil, nil
		}
	}
	if maxWait <= 0 || len(g.waiters) >= max(g.pool.Shared(), minWaiters) {
		return nil, elmcredit.ErrFull
	}
	slot := make(chan struct{})
	g.waiters = append(g.waiters, slot)
	return slot, nil
}

// stopWaiting removes a waiter from the queue and returns err. It returns nil if the
// waiter has got its slot in the meantime.
func (g *Gate) stopWaiting(slot chan struct{}, err error) error {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for i, w := range g.waiters {
		if w == slot {
			g.waiters = append(g.waiters[:i], g.waiters[i+1:]...)
			return err
		}
	}
	return nil
}

// change updates the pool and gives free slots to waiting requests.
func (g *Gate) change(update func(elmcredit.Pool) elmcredit.Pool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.pool = update(g.pool)
	for len(g.waiters) > 0 {
		pool, err := g.pool.Admit()
		if err != nil {
			return
		}
		g.pool = pool
		close(g.waiters[0])
		g.waiters = g.waiters[1:]
	}
}
