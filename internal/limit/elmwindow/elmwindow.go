// Package elmwindow counts events in a sliding time window. The router uses it to keep
// this process within its share of the limits for all entries.
//
// # Usage
//
//	counter := elmwindow.New(10 * time.Second)
//	counter.Add(now)
//	recent := counter.Sum(now)
package elmwindow

import "time"

// bucketCount is the number of buckets that a window is divided into.
const bucketCount = 20

// Counter counts events in a sliding window. It is not safe for concurrent use.
type Counter struct {
	// bucket is the duration of a bucket.
	bucket time.Duration
	// counts is a ring buffer, indexed by the bucket's number.
	counts [bucketCount + 1]int
	// last is the number of the current bucket.
	last int64
}

// New returns a counter for a window.
func New(window time.Duration) *Counter {
	return &Counter{bucket: window / bucketCount}
}

// Add counts one event.
func (c *Counter) Add(now time.Duration) {
	c.advance(now)
	c.counts[c.last%(bucketCount+1)]++
}

// Sum returns the number of events in the window that ends now. It may include events
// from up to one bucket before the window.
func (c *Counter) Sum(now time.Duration) int {
	c.advance(now)
	sum := 0
	for _, n := range c.counts {
		sum += n
	}
	return sum
}

// advance moves to the bucket of the current time and clears the buckets in between.
func (c *Counter) advance(now time.Duration) {
	current := int64(now / c.bucket)
	for i := max(c.last+1, current-bucketCount); i <= current; i++ {
		c.counts[i%(bucketCount+1)] = 0
	}
	c.last = max(c.last, current)
}
