// Package elmretryafter computes when refused callers should retry, and holds the limits
// for how long a retried request waits for a slot.
//
// # Usage
//
//	after := elmretryafter.After(remaining, elmretryafter.OverloadDelay, rand.Float64)
package elmretryafter

import "time"

const (
	// MaxWait is the maximum time that the request of a retrying caller waits for
	// a slot. Callers abandon a stream after two seconds without an event.
	MaxWait = 1600 * time.Millisecond
	// SlotPollInterval is the interval between two attempts to get a slot.
	SlotPollInterval = 40 * time.Millisecond
	// ShortDelay is the retry delay after a refusal for a reason that affects only this
	// entry.
	ShortDelay = 300 * time.Millisecond
	// OverloadDelay is the retry delay after a refusal because of load.
	OverloadDelay = time.Second
	// PressureDelay is the retry delay after a refusal because callers see late events. The
	// streams that run keep the load up for about as long.
	PressureDelay = 2500 * time.Millisecond
	// BrokenGroupDelay is the retry delay while a group is broken. It is longer than callers
	// honour, so that After shortens it to the longest delay that they do.
	BrokenGroupDelay = 5 * time.Second
	// maxDelayRatio is the longest retry delay as a fraction of the caller's
	// remaining time. Callers honour up to a third.
	maxDelayRatio = 0.33
	// pauseJitter is the spread of the retry delay after a pause, as a fraction of it.
	pauseJitter = 0.2
)

// After returns the retry delay for a caller with a remaining time until its deadline.
// The delay is about wait, with jitter so that callers do not retry at the same time,
// and no longer than callers honour. Random returns numbers in [0, 1).
func After(remaining, wait time.Duration, random func() float64) time.Duration {
	delay := time.Duration((0.8 + 0.4*random()) * float64(wait))
	longest := time.Duration(maxDelayRatio * (0.93 + 0.07*random()) * float64(remaining))
	return max(min(delay, longest), time.Millisecond)
}

// AfterPause returns the retry delay while all endpoints want no requests for a pause.
// An earlier retry would be refused again.
func AfterPause(pause time.Duration, random func() float64) time.Duration {
	return time.Duration((1 + pauseJitter*random()) * float64(pause))
}
