// Package elmfollower keeps a process's belief of the platform in step with the
// platform's store, or with a neighbour that reaches it.
//
// # Usage
//
//	follower := elmfollower.New(store, logger, elmfollower.WithNeighbours(ask))
//	go follower.Run(ctx)
//	belief := follower.Belief()
package elmfollower

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/elmcove/elmcove/internal/forward/elmbelief"
	"github.com/elmcove/elmcove/internal/observe/elmclock"
	"github.com/elmcove/elmcove/internal/observe/elmlog"
	"github.com/elmcove/elmcove/internal/wire/elmpeer"
	"github.com/elmcove/elmcove/platform"
)

const (
	// pace is the time between the sending of two watches. Each costs a call,
	// and the endpoints' heartbeats end most of them at once.
	pace = 600 * time.Millisecond
	// watchWait is how long a watch waits: an answer proves that nothing has
	// changed, so that the age of the belief stays low.
	watchWait = 1200 * time.Millisecond
	// wholeEvery is the time after which all is read again, in case a watch
	// has missed a change.
	wholeEvery = 15 * time.Second
	// retryPause is the pause after a call that failed.
	retryPause = 250 * time.Millisecond
	// sharedPace is the time between two questions to the entry that reads for
	// this one.
	sharedPace = 300 * time.Millisecond
	// sharedAge is the age from which this process reads itself: a little more
	// than two watches take.
	sharedAge = 2800 * time.Millisecond
	// neighbourAge is the age of the belief at which neighbours are asked.
	neighbourAge = 1500 * time.Millisecond
)

// Neighbours asks other entries for what they have read after a revision.
type Neighbours func(ctx context.Context, after int64) []*elmpeer.Snapshot

// Follower follows the platform's store. It is safe for concurrent use.
type Follower struct {
	store      *platform.Store
	logger     *elmlog.Logger
	neighbours Neighbours
	reader     Reader
	belief     atomic.Pointer[elmbelief.Belief]

	mutex sync.Mutex
	items map[string]platform.Item
}

// Reader asks the entry that reads the store for this one for what it has read
// after a revision. It returns false where this process has to read itself.
type Reader func(ctx context.Context, after int64) (*elmpeer.Snapshot, bool)

// Option changes a Follower.
type Option func(*Follower)

// WithNeighbours sets whom to ask while the store does not answer.
func WithNeighbours(ask Neighbours) Option {
	return func(f *Follower) { f.neighbours = ask }
}

// WithReader sets who reads the store for this process while that works.
func WithReader(read Reader) Option {
	return func(f *Follower) { f.reader = read }
}

// WithGrace sets for how long endpoints that leave, and data centres that were
// withdrawn, may be sent work that no other can take.
func WithGrace(leave, move time.Duration) Option {
	return func(f *Follower) {
		belief := f.Belief().WithGrace(leave, move)
		f.belief.Store(&belief)
	}
}

// New returns a Follower that knows nothing.
func New(store *platform.Store, logger *elmlog.Logger, options ...Option) *Follower {
	f := &Follower{
		store: store, logger: logger, items: map[string]platform.Item{},
		neighbours: func(context.Context, int64) []*elmpeer.Snapshot { return nil },
		reader:     func(context.Context, int64) (*elmpeer.Snapshot, bool) { return nil, false },
	}
	belief := elmbelief.New()
	f.belief.Store(&belief)
	for _, option := range options {
		option(f)
	}
	return f
}

// Belief returns what is believed now.
func (f *Follower) Belief() elmbelief.Belief { return *f.belief.Load() }

// Run follows the store until the context ends.
func (f *Follower) Run(ctx context.Context) {
	whole := time.Duration(-1)
	down := false
	for ctx.Err() == nil {
		if f.readShared(ctx) {
			whole = -1
			elmclock.Wait(ctx, sharedPace)
			continue
		}
		sent := elmclock.Now()
		var err error
		if whole < 0 || sent-whole > wholeEvery {
			if err = f.readAll(ctx, sent); err == nil {
				whole = sent
			}
		} else {
			err = f.watch(ctx, sent)
		}
		if errors.Is(err, platform.ErrHistory) {
			whole = -1
			continue
		}
		down = f.noteDependency(down, err)
		rest := pace - (elmclock.Now() - sent)
		if err != nil {
			f.askNeighbours(ctx)
			rest = retryPause
		}
		elmclock.Wait(ctx, rest)
	}
}

// readShared takes what another entry has read, unless it is too old.
func (f *Follower) readShared(ctx context.Context) bool {
	before := f.Belief()
	if !before.Known() {
		return false
	}
	asked := elmclock.Now()
	s, ok := f.reader(ctx, before.Revision())
	if !ok || s.GetRevision() < before.Revision() {
		return false
	}
	sent := asked - time.Duration(s.GetAgeMs())*time.Millisecond
	if sent > before.Sent() {
		f.takeSnapshot(s, sent, before.Revision())
	}
	return f.Belief().Age(elmclock.Now()) < sharedAge
}

func (f *Follower) noteDependency(down bool, err error) bool {
	if err != nil && !down {
		f.logger.Event(elmlog.StoreDown, "error", err, "age", f.Belief().Age(elmclock.Now()))
	}
	if err == nil && down {
		f.logger.Event(elmlog.StoreBack, "revision", f.Belief().Revision())
	}
	return err != nil
}

// readAll reads all keys. Pages are no snapshot, so the changes since the first
// page are watched for.
func (f *Follower) readAll(ctx context.Context, sent time.Duration) error {
	var items []platform.Item
	revision := int64(0)
	for after, more := "", true; more; {
		page, err := f.store.Range(ctx, "", after)
		if err != nil {
			return err
		}
		if revision == 0 {
			revision = page.Revision
		}
		items = append(items, page.Items...)
		more = page.More && len(page.Items) > 0
		if more {
			after = page.Items[len(page.Items)-1].Key
		}
	}
	f.take(sent, revision, items, true)
	return nil
}

func (f *Follower) watch(ctx context.Context, sent time.Duration) error {
	page, err := f.store.Watch(ctx, "", f.Belief().Revision(), watchWait)
	if err != nil {
		return err
	}
	f.take(sent, page.Revision, page.Items, false)
	return nil
}

// take brings the belief up to a revision.
func (f *Follower) take(sent time.Duration, revision int64, items []platform.Item, whole bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	belief := f.Belief()
	if revision < belief.Revision() {
		return
	}
	if whole {
		f.items = map[string]platform.Item{}
	}
	for _, i := range items {
		if i.Deleted {
			delete(f.items, i.Key)
			continue
		}
		f.items[i.Key] = i
	}
	next, notices := belief.Update(elmbelief.Read{
		Sent: sent, Got: elmclock.Now(), Revision: revision, Whole: whole, Changes: f.changes(items),
	})
	f.belief.Store(&next)
	for _, n := range notices {
		f.log(n, next)
	}
}

// changes decodes items. Entries that can't be read name no endpoint.
func (f *Follower) changes(items []platform.Item) []elmbelief.Change {
	var list []elmbelief.Change
	for _, i := range items {
		kind, name := platform.ClassifyKey(i.Key)
		switch kind {
		case platform.KeyCatalog:
			if i.Deleted {
				continue
			}
			catalog, err := platform.DecodeCatalog(i.Value)
			if err != nil {
				f.logger.Event(elmlog.ConfigRefused, "revision", i.Revision, "error", err)
				continue
			}
			list = append(list, elmbelief.Configured{Catalog: catalog})
		case platform.KeyWithdrawn:
			list = append(list, elmbelief.Withdrawn{Datacentre: name, Withdrawn: !i.Deleted})
		case platform.KeyEndpoint:
			list = append(list, f.endpoint(name, i))
		case platform.KeyOwn:
			if i.Deleted {
				list = append(list, elmbelief.Disowned{Name: name})
				continue
			}
			list = append(list, elmbelief.Owned{Name: name, Value: string(i.Value)})
		}
	}
	return list
}

func (f *Follower) endpoint(name string, i platform.Item) elmbelief.Change {
	if i.Deleted {
		return elmbelief.Unlisted{ID: name}
	}
	e, err := platform.DecodeEndpoint(name, i.Value)
	if err != nil {
		f.logger.Event(elmlog.EndpointUnreadable, "endpoint", name, "revision", i.Revision, "error", err)
		return elmbelief.Unlisted{ID: name}
	}
	return elmbelief.Listed{Endpoint: e}
}

func (f *Follower) log(n elmbelief.Notice, b elmbelief.Belief) {
	revision := b.Revision()
	switch n := n.(type) {
	case elmbelief.Adopted:
		f.logger.Event(elmlog.ConfigAdopted, "version", n.Version, "revision", revision)
	case elmbelief.Appeared:
		e := n.Endpoint
		f.logger.Event(elmlog.EndpointListed, "endpoint", e.ID, "service", e.Service, "address", e.Address, "cold", e.Cold, "revision", revision)
	case elmbelief.Leaving:
		f.logger.Event(elmlog.EndpointLeaving, "endpoint", n.Endpoint.ID, "revision", revision)
	case elmbelief.Gone:
		f.logger.Event(elmlog.EndpointGone, "endpoint", n.Endpoint.ID, "revision", revision)
	case elmbelief.Moved:
		event := elmlog.DatacentreReturned
		if n.Withdrawn {
			event = elmlog.DatacentreWithdrawn
		}
		f.logger.Event(event, "datacentre", n.Datacentre, "revision", revision)
	}
}

// Snapshot returns what was read after a revision, for neighbours.
func (f *Follower) Snapshot(after int64) *elmpeer.Snapshot {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	b := f.Belief()
	s := &elmpeer.Snapshot{Revision: b.Revision(), AgeMs: b.Age(elmclock.Now()).Milliseconds()}
	if b.Revision() <= after {
		return s
	}
	for _, key := range slices.Sorted(maps.Keys(f.items)) {
		s.Keys = append(s.Keys, key)
		if i := f.items[key]; i.Revision > after {
			s.Items = append(s.Items, &elmpeer.Item{Key: key, Value: i.Value, Revision: i.Revision})
		}
	}
	return s
}

// askNeighbours takes the newest belief of a neighbour, with its age.
func (f *Follower) askNeighbours(ctx context.Context) {
	before := f.Belief()
	if before.Age(elmclock.Now()) < neighbourAge {
		return
	}
	asked := elmclock.Now()
	for _, s := range f.neighbours(ctx, before.Revision()) {
		sent := asked - time.Duration(s.GetAgeMs())*time.Millisecond
		if sent <= f.Belief().Sent() || s.GetRevision() == 0 || s.GetRevision() < f.Belief().Revision() {
			continue
		}
		f.takeSnapshot(s, sent, before.Revision())
		f.logger.Event(elmlog.NeighbourUsed, "revision", s.GetRevision(), "age", elmclock.Now()-sent)
	}
}

func (f *Follower) takeSnapshot(s *elmpeer.Snapshot, sent time.Duration, asked int64) {
	if s.GetRevision() <= asked {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		next, _ := f.Belief().Update(elmbelief.Confirmed{Sent: sent})
		f.belief.Store(&next)
		return
	}
	f.take(sent, s.GetRevision(), f.complete(s), true)
}

// complete adds the keys of a snapshot that have not changed.
func (f *Follower) complete(s *elmpeer.Snapshot) []platform.Item {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	items := maps.Clone(f.items)
	for _, i := range s.GetItems() {
		items[i.GetKey()] = platform.Item{Key: i.GetKey(), Value: i.GetValue(), Revision: i.GetRevision()}
	}
	var list []platform.Item
	for _, key := range s.GetKeys() {
		if i, ok := items[key]; ok {
			list = append(list, i)
		}
	}
	return list
}
