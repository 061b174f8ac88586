// Package elmpause detects that the process was suspended. Requests that were
// waiting meanwhile may have been repeated elsewhere by their callers.
//
// # Usage
//
//	detector := elmpause.New()
//	go detector.Run(ctx, func(gap time.Duration) { log(gap) })
//	if detector.Paused(start) { refuse() }
package elmpause

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	interval = 100 * time.Millisecond
	// limit is the gap between two ticks that counts as a suspension.
	limit = time.Second
	// wake is the time after a suspension in which requests may still come
	// from before it.
	wake = 500 * time.Millisecond
)

// Detector detects suspensions. It is safe for concurrent use.
type Detector struct {
	start  time.Time
	last   atomic.Int64
	paused atomic.Int64
}

// New returns a Detector that has seen no suspension.
func New() *Detector {
	d := &Detector{start: time.Now()}
	d.paused.Store(int64(-wake))
	return d
}

// Run watches the clock until the context ends and reports each suspension.
func (d *Detector) Run(ctx context.Context, report func(gap time.Duration)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		if gap := d.tick(); gap > limit {
			report(gap)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// Paused reports whether the process was suspended after a time, or shortly
// before it.
func (d *Detector) Paused(since time.Time) bool {
	now := time.Since(d.start)
	if now-time.Duration(d.last.Load()) > limit {
		return true
	}
	return time.Duration(d.paused.Load())+wake > since.Sub(d.start)
}

func (d *Detector) tick() time.Duration {
	now := time.Since(d.start)
	gap := now - time.Duration(d.last.Swap(int64(now)))
	if gap > limit {
		d.paused.Store(int64(now))
	}
	return gap
}
