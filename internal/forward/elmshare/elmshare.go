// Package elmshare counts what happened in a sliding window of time. It keeps
// this process within its part of limits that all entries share.
//
// # Usage
//
//	counter := elmshare.New(10 * time.Second)
//	counter.Add(now)
//	recent := counter.Sum(now)
package elmshare

import "time"

// slices is the number of equal parts that a window is counted in.
const slices = 20

// Counter counts events in a sliding window. It is not safe for concurrent use.
type Counter struct {
	slice  time.Duration
	counts [slices + 1]int
	last   int64
}

// New returns a counter for a window.
func New(window time.Duration) *Counter {
	return &Counter{slice: window / slices}
}

// Add counts one event.
func (c *Counter) Add(now time.Duration) {
	c.turn(now)
	c.counts[c.last%(slices+1)]++
}

// Sum returns the events of the last window, and up to a slice before it.
func (c *Counter) Sum(now time.Duration) int {
	c.turn(now)
	sum := 0
	for _, n := range c.counts {
		sum += n
	}
	return sum
}

// turn empties the slices that have passed since the last call.
func (c *Counter) turn(now time.Duration) {
	current := int64(now / c.slice)
	for i := max(c.last+1, current-slices); i <= current; i++ {
		c.counts[i%(slices+1)] = 0
	}
	c.last = max(c.last, current)
}
