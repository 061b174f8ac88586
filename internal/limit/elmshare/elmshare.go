// Package elmshare divides limits that all entries keep together into whole units, so
// that no unit is lost to rounding however many entries there are.
//
// Each limit has a key. Rendezvous hashing ranks the entries for a key, and the units
// are dealt to them in that order, one each until none is left. A limit with fewer
// units than entries belongs to a few of them, and different limits to different ones.
//
// The shares of all entries add up to at most the limit while they disagree on who they
// are, because an entry only ever counts too many others: it keeps counting those that
// are no longer listed, and uses no share until it has been listed itself for so long
// that all others count it. They count an entry already that is listed when it starts.
//
// An entry that was partitioned for longer than entryTTL uses a third of a share that others
// have taken over, and one that has restarted uses a third of one that may be used up, so
// users of the package leave a quarter of a limit unused.
//
// The package does no input or output.
//
// # Usage
//
//	ledger := elmshare.New("entry-1")
//	ledger.Update(listed, now)
//	if used < ledger.Share("cold/e-1", limit, window, now) { send() }
package elmshare

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// entryTTL is how long an entry that is no longer listed keeps its shares. It is
	// several times the time in which an entry lists itself again after the store has
	// lost its key.
	entryTTL = 15 * time.Second
	// settleDelay is how long an entry must be listed before it uses its shares. It is
	// longer than the others take to learn of it.
	settleDelay = 2 * time.Second
	// reducedRatio is the part of a share that an entry uses while another process may use
	// the whole share: in its first window, the process that ran under its name before, and
	// while it is not listed, the other entries.
	reducedRatio = 1.0 / 3
)

// Ledger computes an entry's shares. It is not safe for concurrent use.
type Ledger struct {
	self string
	// seen is when each entry was last listed.
	seen map[string]time.Duration
	// names are the entries that hold shares, sorted.
	names []string
	// startedAt is the time of the first Update, if any.
	started   bool
	startedAt time.Duration
	// listed is set once this entry has been listed, and settledAt is when all others
	// count it.
	listed    bool
	settledAt time.Duration
	// listedAt is when this entry was last listed, and replaced is set once the others no
	// longer count it.
	listedAt time.Duration
	replaced bool
	// positions caches this entry's position among names, by key.
	positions map[string]int
}

// New returns the Ledger of the entry self. It grants no share before Update.
func New(self string) *Ledger {
	return &Ledger{self: self, seen: map[string]time.Duration{}, positions: map[string]int{}}
}

// Update sets the entries that are listed now.
func (l *Ledger) Update(listed []string, now time.Duration) {
	for _, name := range listed {
		l.seen[name] = now
	}
	l.updateSelf(slices.Contains(listed, l.self), now)
	l.replaced = l.listed && now-l.listedAt > entryTTL
	if !l.started {
		l.started, l.startedAt = true, now
	}
	if !l.listed || l.listedAt == now { // Others may be missing for the same reason as this entry.
		maps.DeleteFunc(l.seen, func(_ string, at time.Duration) bool { return now-at > entryTTL })
	}
	if l.unchanged() {
		return
	}
	l.names = slices.Sorted(maps.Keys(l.seen))
	clear(l.positions)
}

// updateSelf records whether this entry is listed.
func (l *Ledger) updateSelf(listed bool, now time.Duration) {
	if !listed {
		return
	}
	l.listedAt = now
	if l.listed {
		return
	}
	l.listed, l.settledAt = true, now+settleDelay
	if !l.started { // The others know the process that ran under this name before.
		l.settledAt = now
	}
}

// unchanged reports whether names are the entries in seen.
func (l *Ledger) unchanged() bool {
	return len(l.names) == len(l.seen) && !slices.ContainsFunc(l.names, func(name string) bool {
		_, ok := l.seen[name]
		return !ok
	})
}

// Count returns the number of entries that hold shares, at least 1.
func (l *Ledger) Count() int { return max(len(l.names), 1) }

// IsSettled reports whether all entries count this one, so that it may use its shares.
func (l *Ledger) IsSettled(now time.Duration) bool {
	return l.listed && now >= l.settledAt
}

// Share returns how many units of a limit per window this entry may use.
func (l *Ledger) Share(key string, limit float64, window, now time.Duration) int {
	if !l.IsSettled(now) {
		return 0
	}
	if now-l.startedAt < window || l.replaced {
		limit *= reducedRatio
	}
	position, units := l.Position(key), int(limit)
	if units <= position {
		return 0
	}
	return (units-position-1)/l.Count() + 1
}

// Position returns the position of this entry among the entries for a key, 0 being the
// first.
func (l *Ledger) Position(key string) int {
	if position, ok := l.positions[key]; ok {
		return position
	}
	own, position := hash(key, l.self), 0
	for _, name := range l.names {
		if h := hash(key, name); h > own || h == own && strings.Compare(name, l.self) > 0 {
			position++
		}
	}
	l.positions[key] = position
	return position
}

// Forget drops the cached positions of keys that are no longer used.
func (l *Ledger) Forget(used func(key string) bool) {
	maps.DeleteFunc(l.positions, func(key string, _ int) bool { return !used(key) })
}

func hash(key, entry string) uint64 { return xxhash.Sum64String(key + "/" + entry) }
