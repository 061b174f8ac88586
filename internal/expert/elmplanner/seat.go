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
	plannerLease = 3 * time.Second
	// keepEvery is the time between two renewals.
	keepEvery = time.Second
	// candidacySpread spreads the entries that would like to be planner.
	candidacySpread = 600 * time.Millisecond
	// releaseTimeout bounds the giving back of the lease at the end.
	releaseTimeout = 300 * time.Millisecond
)

// seat is an entry's claim to plan for a group.
type seat struct {
	store    *platform.Store
	settings platform.Settings
	belief   func() elmbelief.Belief
	service  string
	logger   *elmlog.Logger

	lease int64
	kept  time.Duration
	// free is when the seat was first seen free.
	free time.Duration
	// patience is how long a free seat is left to others.
	patience time.Duration
}

func newSeat(store *platform.Store, settings platform.Settings, belief func() elmbelief.Belief, service string, logger *elmlog.Logger) *seat {
	return &seat{
		store: store, settings: settings, belief: belief, service: service, logger: logger,
		patience: time.Duration(rand.Int64N(int64(candidacySpread))),
	}
}

// hold reports whether this entry is the planner, and takes the seat if it is
// free. An entry that was started again takes its own seat back at once.
func (s *seat) hold(ctx context.Context) bool {
	now := elmclock.Now()
	if s.lease != 0 {
		if now-s.kept >= keepEvery {
			s.kept = now
			s.keep(ctx)
		}
		return s.lease != 0
	}
	holder, taken := s.belief().Own(plannerKey)[s.service]
	if taken && holder != s.settings.Instance {
		s.free = 0
		return false
	}
	if s.free == 0 {
		s.free = now
	}
	if !taken && now-s.free < s.patience {
		return false
	}
	return s.take(ctx)
}

// keep renews the lease. While the store does not answer, the planner goes on:
// nobody else can take the seat from a store that is down.
func (s *seat) keep(ctx context.Context) {
	if err := s.store.Keep(ctx, s.lease); err != nil {
		s.logger.Event(elmlog.StoreDown, "call", "keep planner", "error", err)
		if errors.Is(err, platform.ErrLease) {
			s.lease = 0
		}
	}
}

func (s *seat) take(ctx context.Context) bool {
	key := platform.OwnPrefix + plannerKey + s.service
	page, err := s.store.RangeStale(ctx, key, "")
	if err != nil {
		return false
	}
	free := platform.Condition{Key: key}
	if len(page.Items) > 0 {
		if string(page.Items[0].Value) != s.settings.Instance {
			return false
		}
		free.Revision = page.Items[0].Revision
	}
	lease, err := s.store.Lease(ctx, max(plannerLease, s.settings.Lease))
	if err != nil {
		return false
	}
	put := []platform.Put{{Key: key, Value: []byte(s.settings.Instance), Lease: lease}}
	if _, err := s.store.Write(ctx, []platform.Condition{free}, put); err != nil {
		s.end(lease)
		return false
	}
	s.lease, s.kept, s.free = lease, elmclock.Now(), 0
	s.logger.Event(elmlog.PlannerChosen, "service", s.service)
	return true
}

// leave gives the seat back.
func (s *seat) leave() {
	if s.lease != 0 {
		s.end(s.lease)
		s.lease = 0
	}
}

// end gives a lease back. It would run out by itself.
func (s *seat) end(lease int64) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := s.store.End(ctx, lease); err != nil {
		s.logger.Event(elmlog.StoreDown, "call", "end lease", "error", err)
	}
}
