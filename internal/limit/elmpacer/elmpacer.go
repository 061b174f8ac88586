// Package elmpacer divides a long computation into slices, between which other goroutines
// run. On a single processor, these otherwise wait until the scheduler preempts the
// computation.
//
// # Usage
//
//	pacer := elmpacer.New(128 << 10)
//	for _, e := range elements {
//		decode(e)
//		pacer.Spend(len(e))
//	}
package elmpacer

import "time"

// pause is as short as it may be: while a goroutine sleeps, the scheduler looks at the
// network, which it does not when a goroutine yields.
const pause = time.Microsecond

// Pacer pauses after each slice of a computation. It is not safe for concurrent use.
type Pacer struct{ slice, spent int }

// New returns a Pacer for slices of a size, in the unit of Spend.
func New(slice int) *Pacer { return &Pacer{slice: slice} }

// Spend records work, and pauses if a slice is complete.
func (p *Pacer) Spend(work int) {
	if p.spent += work; p.spent >= p.slice {
		p.spent = 0
		time.Sleep(pause)
	}
}
