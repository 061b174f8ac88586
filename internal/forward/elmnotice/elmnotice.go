// Package elmnotice shares what an entry learns from responses of endpoints with the
// other entries, through the platform's store. Each notice is a key with a lease, so
// that it reaches entries that start later and is removed after its lifetime.
//
// An entry applies its own notices at once. While the store is unavailable they are
// kept, and written when it is available again.
//
// # Usage
//
//	board := elmnotice.New(store, minLeaseTTL, logger)
//	go board.Run(ctx)
//	board.Post(elmnotice.Notice{Key: "crash/e1", Value: text, TTL: time.Minute}, now)
//	all := board.Merge(snapshot.SystemKeys(elmnotice.KeyPrefix), now)
package elmnotice

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/elmcove/elmcove/internal/observe/elmclock"
	"github.com/elmcove/elmcove/internal/observe/elmlog"
	"github.com/elmcove/elmcove/platform"
)

const (
	// KeyPrefix is the prefix of the store keys of notices.
	KeyPrefix = "notices/"
	// batchInterval is the time between two writes. Notices of one cause come
	// together.
	batchInterval = 100 * time.Millisecond
	// retryDelay is the delay after a failed write.
	retryDelay = 500 * time.Millisecond
	// settleTime is how long a written notice may be missing from the snapshot. After
	// that the store has dropped it, such as in an outage, and it is written again.
	settleTime = 5 * time.Second
	// maxRewriteDelay bounds the random delay before the notices are written again in a
	// new era of the store, since all entries write theirs then.
	maxRewriteDelay = time.Second
	// maxBatch is the number of keys that a transaction may write.
	maxBatch = 32
	// maxNotices bounds the notices of this entry. Further ones stay local.
	maxNotices = 1024
)

// Notice is one fact to share. Entries that learn the same fact post the same key.
type Notice struct {
	Key   string
	Value string
	// TTL is the time after which the notice no longer holds.
	TTL time.Duration
}

// record is a notice of this entry.
type record struct {
	Notice
	expiresAt time.Duration
	// writtenAt is when the notice was last written, or 0.
	writtenAt time.Duration
	// listed means that the store has listed the notice, so that another value there
	// is a later one.
	listed bool
}

// Board holds this entry's notices. It is safe for concurrent use.
type Board struct {
	store  *platform.Store
	minTTL time.Duration
	logger *elmlog.Logger
	wake   chan struct{}

	mutex sync.Mutex
	own   map[string]record
	// era is the era of the store that holds the written notices. In a later one they
	// are written again at rewriteAt.
	era       int64
	rewriteAt time.Duration
}

// New returns an empty Board. MinTTL is the shortest lease that the store grants.
func New(store *platform.Store, minTTL time.Duration, logger *elmlog.Logger) *Board {
	return &Board{store: store, minTTL: minTTL, logger: logger, wake: make(chan struct{}, 1), own: map[string]record{}}
}

// Post shares a notice. A notice with the same value is renewed only in the second half
// of its lifetime.
func (b *Board) Post(n Notice, now time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	old, exists := b.own[n.Key]
	if exists && old.Value == n.Value && old.expiresAt-now > n.TTL/2 || !exists && len(b.own) >= maxNotices {
		return
	}
	b.own[n.Key] = record{Notice: n, expiresAt: now + n.TTL}
	b.rewake()
}

// Keep writes a listed notice again if the store loses it, since the entry that shared it
// may have ended.
func (b *Board) Keep(n Notice, now time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if _, exists := b.own[n.Key]; exists || len(b.own) >= maxNotices {
		return
	}
	b.own[n.Key] = record{Notice: n, expiresAt: now + n.TTL, writtenAt: now, listed: true}
}

// Merge returns the values of all notices by key: those listed in the store, and this
// entry's own ones that are not written yet. Written ones that are no longer listed or
// that an earlier era of the store held are written again.
func (b *Board) Merge(listed map[string]string, now time.Duration) map[string]string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.followEra(now)
	for key, r := range b.own {
		if now >= r.expiresAt {
			delete(b.own, key)
			continue
		}
		value, found := listed[key]
		switch {
		case found && value == r.Value:
			r.listed = true
		case found && r.listed:
			delete(b.own, key) // Another entry has written a later value.
			continue
		case !found && r.writtenAt > 0 && now-r.writtenAt > settleTime:
			r.writtenAt, r.listed = 0, false
		}
		b.own[key] = r
		listed[key] = r.Value
	}
	return listed
}

// followEra schedules all own notices to be written again in a new era of the store.
// What the store lists under their keys then is not later than they are.
func (b *Board) followEra(now time.Duration) {
	if era := b.store.Era(); era != b.era {
		b.era, b.rewriteAt = era, now+rand.N(maxRewriteDelay)
		for key, r := range b.own {
			r.listed = false
			b.own[key] = r
		}
	}
	if b.rewriteAt == 0 || now < b.rewriteAt {
		return
	}
	b.rewriteAt = 0
	for key, r := range b.own {
		r.writtenAt = 0
		b.own[key] = r
	}
	b.rewake()
}

// Run writes notices to the store until the context ends.
func (b *Board) Run(ctx context.Context) {
	ticker := time.NewTicker(settleTime)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-b.wake:
		case <-ticker.C:
		}
		delay := batchInterval
		for batch := b.unwritten(); len(batch) > 0 && ctx.Err() == nil; batch = b.unwritten() {
			if err := b.write(ctx, batch); err != nil {
				b.logger.Event(elmlog.StoreDown, "call", "notices", "error", err)
				delay = retryDelay
				b.rewake()
				break
			}
		}
		elmclock.Wait(ctx, delay)
	}
}

func (b *Board) rewake() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// unwritten returns the next notices to write, which all have the same lifetime.
func (b *Board) unwritten() []record {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := elmclock.Now()
	var batch []record
	for _, key := range slices.Sorted(maps.Keys(b.own)) {
		r := b.own[key]
		if r.writtenAt > 0 || now >= r.expiresAt || len(batch) == maxBatch || len(batch) > 0 && r.TTL != batch[0].TTL {
			continue
		}
		batch = append(batch, r)
	}
	return batch
}

// write writes a batch under a lease that ends with the first of its notices.
func (b *Board) write(ctx context.Context, batch []record) error {
	now := elmclock.Now()
	ttl := batch[0].TTL
	for _, r := range batch {
		ttl = min(ttl, r.expiresAt-now)
	}
	lease, err := b.store.GrantLease(ctx, max(ttl, b.minTTL))
	if err != nil {
		return err
	}
	var puts []platform.Put
	for _, r := range batch {
		puts = append(puts, platform.Put{Key: platform.InternalPrefix + KeyPrefix + r.Key, Value: []byte(r.Value), Lease: lease})
	}
	if _, err := b.store.Write(ctx, nil, puts); err != nil {
		return errors.Join(err, b.store.RevokeLease(ctx, lease))
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, r := range batch {
		if current := b.own[r.Key]; current.Value == r.Value && current.expiresAt == r.expiresAt {
			current.writtenAt = now
			b.own[r.Key] = current
		}
	}
	return nil
}
