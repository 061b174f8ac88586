// Package elmcredit divides the capacity of one endpoint among entry instances.
//
// An agent grants each entry a window: the number of requests that the entry may
// have open at the agent. Windows are allocated by max-min fairness, their sum
// never exceeds the known capacity of the endpoint, and they expire on the agent's
// own clock. A request is admitted only while fewer requests run than the current
// limit. A lower limit therefore takes effect at once, even if entries still use
// windows that were granted earlier.
//
// # Usage
//
//	pool := elmcredit.New(8)
//	pool = pool.WithLimit(4, 8) // admits 4, allocates windows for 8
//	pool = pool.WithWant("entry-1", 4, now)
//	window := pool.Window("entry-1", now)
//	pool, err := pool.Admit()
//	pool = pool.Release()
package elmcredit

import (
	"cmp"
	"errors"
	"maps"
	"slices"
	"time"
)

// WindowLifetime is the time after which a window expires unless it is renewed.
const WindowLifetime = 3500 * time.Millisecond

// ErrFull is returned when the endpoint has no free slot.
var ErrFull = errors.New("endpoint is at its limit")

// want is the window that an entry has requested.
type want struct {
	window  int
	expires time.Time
}

// Pool is the capacity of one endpoint and its allocation to entries. It is immutable.
type Pool struct {
	limit   int
	shared  int
	running int
	wants   map[string]want
}

// New returns a pool for an endpoint that processes up to limit requests concurrently.
func New(limit int) Pool {
	return Pool{limit: limit, shared: limit}
}

// WithLimit returns a copy that admits up to limit requests and allocates windows
// whose sum is at most shared.
func (p Pool) WithLimit(limit, shared int) Pool {
	p.limit = limit
	p.shared = shared
	return p
}

// WithWant returns a copy with the window that an entry requests.
func (p Pool) WithWant(entry string, window int, now time.Time) Pool {
	p.wants = maps.Clone(p.wants)
	if p.wants == nil {
		p.wants = map[string]want{}
	}
	p.wants[entry] = want{window: window, expires: now.Add(WindowLifetime)}
	return p
}

// WithoutEntry returns a copy without an entry that has disconnected.
func (p Pool) WithoutEntry(entry string) Pool {
	p.wants = maps.Clone(p.wants)
	delete(p.wants, entry)
	return p
}

// Limit returns the maximum number of admitted requests.
func (p Pool) Limit() int { return p.limit }

// Shared returns the number of requests that windows are allocated for.
func (p Pool) Shared() int { return p.shared }

// Running returns the number of requests admitted and not released.
func (p Pool) Running() int { return p.running }

// Window returns the number of requests that an entry may have open.
func (p Pool) Window(entry string, now time.Time) int {
	live := p.live(now)
	unallocated := p.shared
	for i, name := range live {
		share := min(p.wants[name].window, unallocated/(len(live)-i))
		if name == entry {
			return share
		}
		unallocated -= share
	}
	return 0
}

// Admit takes a slot for a request, or returns ErrFull.
func (p Pool) Admit() (Pool, error) {
	if p.running >= p.limit {
		return p, ErrFull
	}
	p.running++
	return p, nil
}

// Release frees the slot of a request that has ended.
func (p Pool) Release() Pool {
	p.running--
	return p
}

// live returns the entries whose wants have not expired, sorted by requested window,
// smallest first.
func (p Pool) live(now time.Time) []string {
	names := make([]string, 0, len(p.wants))
	for name, w := range p.wants {
		if now.Before(w.expires) {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(p.wants[a].window, p.wants[b].window), cmp.Compare(a, b))
	})
	return names
}
