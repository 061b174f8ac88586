package elmplanner

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/elmcove/elmcove/internal/forward/elmbelief"
	"github.com/elmcove/elmcove/internal/observe/elmclock"
	"github.com/elmcove/elmcove/internal/observe/elmlog"
	"github.com/elmcove/elmcove/platform"
)

const (
	// plannerKey precedes the name of the service that an entry plans for.
	plannerKey = "planner/"
	// plannerLease is how long a planner stays after it was last heard of.
	plannerLease = 1500 * time.Millisecond
	// keepEvery is the time between two renewals.
	keepEvery = 500 * time.Millisecond
	// candidacySpread spreads the entries that would like to be planner.
	candidacySpread = 300 * time.Millisecond
	// releaseTimeout bounds the giving back of the lease at the end.
	releaseTimeout = 300 * time.Millisecond
)

// leadership is an entry's claim to plan for a group.
type leadership struct {
	store    *platform.Store
	settings platform.Settings
	belief   func() elmbelief.Belief
	service  string
	logger   *elmlog.Logger

	lease int64
	kept  time.Duration
	// free is when the leadership was first seen free.
	free time.Duration
	// patience is how long a free leadership is left to others.
	patience time.Duration
}

func newLeadership(store *platform.Store, settings platform.Settings, belief func() elmbelief.Belief, service string, logger *elmlog.Logger) *leadership {
	return &leadership{
		store: store, settings: settings, belief: belief, service: service, logger: logger,
		patience: time.Duration(rand.Int64N(int64(candidacySpread))),
	}
}

// hold reports whether this entry is the planner, and takes the leadership if it is
// free. An entry that was started again takes its own leadership back at once.
func (l *leadership) hold(ctx context.Context) bool {
	now := elmclock.Now()
	if l.lease != 0 {
		if now-l.kept >= keepEvery {
			l.kept = now
			l.keep(ctx)
		}
		return l.lease != 0
	}
	holder, taken := l.belief().Own(plannerKey)[l.service]
	if taken && holder != l.settings.Instance {
		l.free = 0
		return false
	}
	if l.free == 0 {
		l.free = now
	}
	if !taken && now-l.free < l.patience {
		return false
	}
	return l.take(ctx)
}

// keep renews the lease. While the store does not answer, the planner goes on:
// nobody else can take the leadership from a store that is down.
func (l *leadership) keep(ctx context.Context) {
	if err := l.store.Keep(ctx, l.lease); err != nil {
		l.logger.Event(elmlog.StoreDown, "call", "keep planner", "error", err)
		if errors.Is(err, platform.ErrLease) {
			l.lease = 0
		}
	}
}

func (l *leadership) take(ctx context.Context) bool {
	key := platform.OwnPrefix + plannerKey + l.service
	page, err := l.store.RangeStale(ctx, key, "")
	if err != nil {
		return false
	}
	free := platform.Condition{Key: key}
	if len(page.Items) > 0 {
		if string(page.Items[0].Value) != l.settings.Instance {
			return false
		}
		free.Revision = page.Items[0].Revision
	}
	lease, err := l.store.Lease(ctx, max(plannerLease, l.settings.Lease))
	if err != nil {
		return false
	}
	put := []platform.Put{{Key: key, Value: []byte(l.settings.Instance), Lease: lease}}
	if _, err := l.store.Write(ctx, []platform.Condition{free}, put); err != nil {
		l.end(lease)
		return false
	}
	l.lease, l.kept, l.free = lease, elmclock.Now(), 0
	l.logger.Event(elmlog.PlannerChosen, "service", l.service)
	return true
}

// leave gives the leadership back.
func (l *leadership) leave() {
	if l.lease != 0 {
		l.end(l.lease)
		l.lease = 0
	}
}

// end gives a lease back. It would run out by itself.
func (l *leadership) end(lease int64) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := l.store.End(ctx, lease); err != nil {
		l.logger.Event(elmlog.StoreDown, "call", "end lease", "error", err)
	}
}
