// Package elmfollower keeps a process's snapshot of the platform state synchronized
// with the platform's store, or with a peer that can reach the store.
//
// # Usage
//
//	follower := elmfollower.New(store, logger, elmfollower.WithPeers(fetch))
//	go follower.Run(ctx)
//	snapshot := follower.Snapshot()
package elmfollower

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/elmcove/elmcove/internal/forward/elmsnapshot"
	"github.com/elmcove/elmcove/internal/observe/elmclock"
	"github.com/elmcove/elmcove/internal/observe/elmlog"
	"github.com/elmcove/elmcove/internal/wire/elmbounded"
	"github.com/elmcove/elmcove/internal/wire/elmpeer"
	"github.com/elmcove/elmcove/platform"
)

const (
	// watchInterval is the time between the start of two watches. Each watch costs
	// a store call, and most return at once because of the endpoints' heartbeats.
	watchInterval = 600 * time.Millisecond
	// urgentWatchInterval is the time between the start of two reads while changes are
	// urgent.
	urgentWatchInterval = 50 * time.Millisecond
	// watchTimeout is how long a watch waits for a change. An empty response shows
	// that nothing has changed, which keeps the age of the snapshot low.
	watchTimeout = 1200 * time.Millisecond
	// relayedWatchTimeout is the watchTimeout of a process that reads the store for others,
	// which learn of a cut between it and the store from the age of its snapshot only.
	relayedWatchTimeout = 600 * time.Millisecond
	// relayingTime is how long a process counts as one that reads the store for others
	// after one of them has fetched its snapshot.
	relayingTime = time.Second
	// fullReadInterval is the time after which all keys are read again, in case a
	// watch has missed a change.
	fullReadInterval = 15 * time.Second
	// retryDelay is the delay after a failed store call.
	retryDelay = 250 * time.Millisecond
	// sharedReadInterval is the time between two fetches from the entry that reads
	// the store for this one.
	sharedReadInterval = 300 * time.Millisecond
	// maxSharedAge is the age of the other entry's snapshot from which on this process reads
	// the store itself: a little more than the duration of two of the other's watches.
	maxSharedAge = 1500 * time.Millisecond
	// ownReadReserve is the time for a read of the store by this process.
	ownReadReserve = 250 * time.Millisecond
	// MaxSharedDelay is the time after a change within which a process that reads the store
	// through another one knows the change, also if the other one is cut from the store.
	MaxSharedDelay = maxSharedAge + sharedReadInterval + ownReadReserve
	// maxReadDelay bounds the random delay before all keys are read again, since all
	// entries lose their position in the store's history at once.
	maxReadDelay = 200 * time.Millisecond
	// firstEra is the era of a store that has not returned from a copy.
	firstEra = 1
	// peerFetchAge is the snapshot age from which on peers are asked for theirs.
	peerFetchAge = 1500 * time.Millisecond
)

// PeersFunc fetches from other entries what they have read after a position.
type PeersFunc func(ctx context.Context, after elmsnapshot.Position) []*elmpeer.Snapshot

// Follower keeps a snapshot of the platform state up to date. It is safe for
// concurrent use.
type Follower struct {
	store    *platform.Store
	logger   *elmlog.Logger
	peers    PeersFunc
	reader   SharedReaderFunc
	urgent   func() bool
	changed  func()
	snapshot atomic.Pointer[elmsnapshot.Snapshot]

	// relayedAt is the last time at which another process fetched the snapshot.
	relayedAt atomic.Int64

	// document is the configuration in force.
	document platform.Document
	build    build
	// newest is the newest configuration that the store is known to have.
	newest newestConfig
	// refused is the hash of the last configuration that could not be decoded.
	refused uint64
	// failedAt is when the last call to the store that failed was sent, or 0 if this process
	// or a peer is known to have read it since.
	failedAt time.Duration

	// mutex guards items and newest, which only Run writes, together with the snapshot.
	mutex sync.Mutex
	items map[string]platform.Item
}

// SharedReaderFunc fetches what another entry has read from the store after a position. It
// returns false if this process must read the store itself.
type SharedReaderFunc func(ctx context.Context, after elmsnapshot.Position) (*elmpeer.Snapshot, bool)

// Option configures a Follower.
type Option func(*Follower)

// WithPeers sets how to fetch from peers while the store is unreachable.
func WithPeers(fetch PeersFunc) Option {
	return func(f *Follower) { f.peers = fetch }
}

// WithSharedReader sets how to fetch from the entry that reads the store for this process.
func WithSharedReader(fetch SharedReaderFunc) Option {
	return func(f *Follower) { f.reader = fetch }
}

// WithGrace sets how long leaving endpoints and withdrawn data centres may still get
// requests that no other can take.
func WithGrace(leave, withdraw time.Duration) Option {
	return func(f *Follower) {
		snapshot := f.Snapshot().WithGrace(leave, withdraw)
		f.snapshot.Store(&snapshot)
	}
}

// WithOptionalWorkspaces sets whether a configuration without a list of workspaces opens all
// routes.
func WithOptionalWorkspaces(optional bool) Option {
	return func(f *Follower) { f.document = f.document.WithOptionalWorkspaces(optional) }
}

// WithUrgency sets a function that reports whether changes must be known as soon as they
// are made, whatever the calls to the store cost.
func WithUrgency(urgent func() bool) Option {
	return func(f *Follower) { f.urgent = urgent }
}

// WithChanged sets a function that is called when the configuration, the endpoints or the
// withdrawals have changed.
func WithChanged(changed func()) Option {
	return func(f *Follower) { f.changed = changed }
}

// New returns a Follower with an empty snapshot.
func New(store *platform.Store, logger *elmlog.Logger, options ...Option) *Follower {
	f := &Follower{
		store: store, logger: logger, items: map[string]platform.Item{},
		peers:  func(context.Context, elmsnapshot.Position) []*elmpeer.Snapshot { return nil },
		reader: func(context.Context, elmsnapshot.Position) (*elmpeer.Snapshot, bool) { return nil, false },
		urgent: func() bool { return false }, changed: func() {},
	}
	snapshot := elmsnapshot.New()
	f.snapshot.Store(&snapshot)
	for _, option := range options {
		option(f)
	}
	return f
}

// Snapshot returns the current snapshot of the platform state.
func (f *Follower) Snapshot() elmsnapshot.Snapshot { return *f.snapshot.Load() }

// Run keeps the snapshot up to date until the context ends. It reads the store
// itself, unless another entry reads it for this process. While the store does not
// respond, it fetches from peers.
func (f *Follower) Run(ctx context.Context) {
	lastFullRead := time.Duration(-1)
	down, shared := false, false
	for ctx.Err() == nil {
		before := f.Snapshot()
		if was := shared; f.readShared(ctx) != was {
			shared = !was
			f.logSource(shared, before)
		}
		if shared {
			lastFullRead = -1
			elmclock.Wait(ctx, f.interval(sharedReadInterval))
			continue
		}
		sent := elmclock.Now()
		var err error
		if lastFullRead < 0 || sent-lastFullRead > fullReadInterval {
			if err = f.readAll(ctx, sent); err == nil {
				lastFullRead = sent
			}
		} else {
			err = f.watch(ctx, sent)
		}
		if errors.Is(err, platform.ErrCompacted) || errors.Is(err, platform.ErrEra) || errors.Is(err, errWatchTooLong) {
			lastFullRead = -1
			elmclock.Wait(ctx, rand.N(maxReadDelay))
			continue
		}
		down = f.logStoreState(down, err)
		delay := f.interval(watchInterval) - (elmclock.Now() - sent)
		if err != nil {
			f.failedAt = sent
			f.fetchFromPeers(ctx)
			delay = retryDelay
		}
		elmclock.Wait(ctx, delay)
	}
}

// interval returns the time between the start of two reads, of which usual is the one while
// changes are not urgent.
func (f *Follower) interval(usual time.Duration) time.Duration {
	if f.urgent() {
		return urgentWatchInterval
	}
	return usual
}

// logSource logs that this process begins or ends to read through another entry, with
// the age of the snapshot before.
func (f *Follower) logSource(shared bool, before elmsnapshot.Snapshot) {
	source := "store"
	if shared {
		source = "entry"
	}
	f.logger.Event(elmlog.StateSourceChanged, "source", source, "revision", before.Position().Revision, "age", before.Age(elmclock.Now()))
}

// logStoreState logs when the store becomes unreachable or reachable again. It
// returns whether it is unreachable.
func (f *Follower) logStoreState(down bool, err error) bool {
	if err != nil && !down {
		f.logger.Event(elmlog.StoreDown, "error", err, "age", f.Snapshot().Age(elmclock.Now()))
	}
	if err == nil && down {
		f.logger.Event(elmlog.StoreRecovered, "revision", f.Snapshot().Position().Revision, "era", f.Snapshot().Position().Era)
	}
	return err != nil
}

// readAll reads all keys. The pages may show different revisions, so the state gets
// the revision of the first page and the next watch reports the changes since then.
func (f *Follower) readAll(ctx context.Context, sent time.Duration) error {
	page, err := f.store.RangeAll(ctx, "")
	if err != nil {
		return err
	}
	items, position := page.Items, elmsnapshot.Position{Era: page.Era, Revision: page.Revision}
	if !f.Snapshot().HasConfig() && position.Era > firstEra {
		items = slices.Concat(f.peerConfigs(ctx), items)
	}
	f.applyRead(sent, position, items, true)
	return nil
}

// errWatchTooLong reports changes that do not fit a response. A watch from the same position
// would have still more.
var errWatchTooLong = errors.New("too many changes for a watch")

// watch waits for changes after the current position and applies them. It fails in a
// new era, in which the revision means another state.
func (f *Follower) watch(ctx context.Context, sent time.Duration) error {
	position := f.Snapshot().Position()
	page, err := f.store.Watch(ctx, "", position.Revision, f.watchTimeout())
	if errors.Is(err, elmbounded.ErrTooLong) {
		return fmt.Errorf("%w: %w", errWatchTooLong, err)
	}
	if err != nil {
		return err
	}
	if page.Era != position.Era {
		return platform.ErrEra
	}
	position.Revision = page.Revision
	f.applyRead(sent, position, page.Items, false)
	return nil
}

// watchTimeout returns how long the next watch waits for a change.
func (f *Follower) watchTimeout() time.Duration {
	relayedAt := time.Duration(f.relayedAt.Load())
	if relayedAt > 0 && elmclock.Now()-relayedAt < relayingTime {
		return relayedWatchTimeout
	}
	return watchTimeout
}
