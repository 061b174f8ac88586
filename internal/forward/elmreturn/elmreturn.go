// Package elmreturn decides when callers that were refused should be back, and how
// long those that are back wait for a place.
//
// # Usage
//
//	after := elmreturn.After(left, elmreturn.Full, rand.Float64)
package elmreturn

import "time"

const (
	// Patience is how long the request of a returning caller waits for a
	// place: callers give streams up after two seconds without an event.
	Patience = 1600 * time.Millisecond
	// LookAgain is the time between two looks for a place.
	LookAgain = 40 * time.Millisecond
	// Short is when a caller should be back after a refusal that depends on one
	// entry alone.
	Short = 300 * time.Millisecond
	// Full is when a caller should be back after a refusal for load.
	Full = time.Second
	// Broken is when a caller should be back while a group is broken: later
	// than callers honour, so that it is cut to what they do.
	Broken = 5 * time.Second
	// latest is the part of a caller's time within which it returns: callers
	// honour a third.
	latest = 0.33
)

// After returns when a caller with some time left should be back: about wait from
// now, spread so that callers do not return together, and no later than callers
// honour. Random returns numbers from 0 to 1.
func After(left, wait time.Duration, random func() float64) time.Duration {
	spread := time.Duration((0.8 + 0.4*random()) * float64(wait))
	most := time.Duration(latest * (0.93 + 0.07*random()) * float64(left))
	return max(min(spread, most), time.Millisecond)
}
