// Package elmpause detects that the process was suspended. Callers may have
// retried requests that waited during the suspension at another entry.
//
// # Usage
//
//	detector := elmpause.New()
//	go detector.Run(ctx, func(gap time.Duration) { log(gap) })
//	if detector.SuspendedSince(start) { refuse() }
package elmpause

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	tickInterval = 100 * time.Millisecond
	// suspensionGap is the gap between two ticks above which the process counts
	// as suspended.
	suspensionGap = time.Second
	// resumeWindow is the time after a suspension in which requests that were
	// sent before it may still arrive.
	resumeWindow = 500 * time.Millisecond
)

// Detector detects suspensions. It is safe for concurrent use.
type Detector struct {
	start          time.Time
	lastTick       atomic.Int64
	lastSuspension atomic.Int64
}

// New returns a Detector without a suspension.
func New() *Detector {
	d := &Detector{start: time.Now()}
	d.lastSuspension.Store(int64(-resumeWindow))
	return d
}

// Run checks the clock every tickInterval until the context ends, and reports
// each suspension.
func (d *Detector) Run(ctx context.Context, report func(gap time.Duration)) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		if gap := d.tick(); gap > suspensionGap {
			report(gap)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// SuspendedSince reports whether the process was suspended after the given time, or less
// than resumeWindow before it.
func (d *Detector) SuspendedSince(since time.Time) bool {
	now := time.Since(d.start)
	if now-time.Duration(d.lastTick.Load()) > suspensionGap {
		return true
	}
	return time.Duration(d.lastSuspension.Load())+resumeWindow > since.Sub(d.start)
}

func (d *Detector) tick() time.Duration {
	now := time.Since(d.start)
	gap := now - time.Duration(d.lastTick.Swap(int64(now)))
	if gap > suspensionGap {
		d.lastSuspension.Store(int64(now))
	}
	return gap
}
