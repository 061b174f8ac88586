package elmpilot

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"time"

	"github.com/elmcove/elmcove/internal/forward/elmcatalog"
	"github.com/elmcove/elmcove/internal/forward/elmslow"
	"github.com/elmcove/elmcove/internal/observe/elmclock"
	"github.com/elmcove/elmcove/internal/observe/elmlog"
	"github.com/elmcove/elmcove/platform"
)

const (
	// plannerKey precedes the name of the service that an agent plans for.
	plannerKey = "planner/"
	// plannerLease is how long a planner stays after it was last heard of.
	plannerLease = 3 * time.Second
	// keepEvery is the time between two renewals, or two looks for a planner.
	keepEvery = time.Second
	// candidacySpread spreads the agents that would like to be planner.
	candidacySpread = 600 * time.Millisecond
	// listEvery is the time between two reads of the list of ranks.
	listEvery = 2 * time.Second
	// catalogEvery is the time between two reads of the engine's layout, which
	// rarely changes.
	catalogEvery = 15 * time.Second
	// slowPace is the pace from which entries avoid a rank.
	slowPace = 1.5
	// releaseTimeout bounds the giving back of the lease at the end.
	releaseTimeout = 300 * time.Millisecond
)

// seat is an agent's claim to plan for its group, and what a planner knows of
// the platform. All but the claim itself is read at the lower price of answers
// that may be seconds old.
type seat struct {
	store    *platform.Store
	settings platform.Settings
	logger   *elmlog.Logger

	lease   int64
	looked  time.Duration
	wait    time.Duration
	listed  time.Duration
	ranks   []string
	read    time.Duration
	catalog elmcatalog.Catalog
	// slow is the list of slow ranks that was written last.
	slow string
}

func newSeat(store *platform.Store, settings platform.Settings, logger *elmlog.Logger) *seat {
	return &seat{store: store, settings: settings, logger: logger, listed: -listEvery, read: -catalogEvery}
}

// hold reports whether this agent is the planner, and takes the seat if it is
// free.
func (s *seat) hold(ctx context.Context) bool {
	now := elmclock.Now()
	if now-s.looked < keepEvery+s.wait {
		return s.lease != 0
	}
	s.looked, s.wait = now, 0
	if s.lease != 0 {
		return s.keep(ctx)
	}
	key := platform.OwnPrefix + plannerKey + s.settings.Service
	page, err := s.store.RangeStale(ctx, key, "")
	if err != nil {
		return false
	}
	free := platform.Condition{Key: key}
	if len(page.Items) > 0 {
		// An agent that was started again takes its own seat back at once.
		if string(page.Items[0].Value) != s.settings.Instance {
			return false
		}
		free.Revision = page.Items[0].Revision
	} else {
		wait(ctx, time.Duration(rand.Int64N(int64(candidacySpread))))
	}
	return s.take(ctx, free)
}

// keep renews the lease. While the store does not answer, the planner goes on:
// nobody else can take the seat from a store that is down.
func (s *seat) keep(ctx context.Context) bool {
	if err := s.store.Keep(ctx, s.lease); errors.Is(err, platform.ErrLease) {
		s.lease = 0
		return false
	}
	return true
}

func (s *seat) take(ctx context.Context, free platform.Condition) bool {
	lease, err := s.store.Lease(ctx, max(plannerLease, s.settings.Lease))
	if err != nil {
		return false
	}
	put := []platform.Put{{Key: free.Key, Value: []byte(s.settings.Instance), Lease: lease}}
	if _, err := s.store.Write(ctx, []platform.Condition{free}, put); err != nil {
		s.end(lease)
		return false
	}
	s.lease, s.slow = lease, ""
	s.logger.Event(elmlog.PlannerChosen, "service", s.settings.Service)
	return true
}

// publish tells the entries which ranks are slow, when that changes. The key
// ends with the planner's lease.
func (s *seat) publish(ctx context.Context, v view, paces []float64) {
	slow := elmslow.List{}
	for r, pace := range paces {
		if pace >= slowPace {
			slow[v.ranks[r]] = math.Round(pace)
		}
	}
	value := slow.String()
	if value == s.slow || s.lease == 0 {
		return
	}
	key := platform.OwnPrefix + elmslow.Key + s.settings.Service
	if _, err := s.store.Write(ctx, nil, []platform.Put{{Key: key, Value: []byte(value), Lease: s.lease}}); err != nil {
		s.logger.Event(elmlog.StoreDown, "call", "publish slow ranks", "error", err)
		return
	}
	s.logger.Event(elmlog.RanksSlow, "service", s.settings.Service, "ranks", value)
	s.slow = value
}

// leave gives the seat back.
func (s *seat) leave() {
	if s.lease != 0 {
		s.end(s.lease)
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

// members returns the addresses of the group's ranks.
func (s *seat) members(ctx context.Context) []string {
	now := elmclock.Now()
	if now-s.listed < listEvery {
		return s.ranks
	}
	s.listed = now
	var found []string
	for after, more := "", true; more; {
		page, err := s.store.RangeStale(ctx, platform.EndpointPrefix, after)
		if err != nil {
			return s.ranks
		}
		for _, i := range page.Items {
			_, id := platform.ClassifyKey(i.Key)
			e, err := platform.DecodeEndpoint(id, i.Value)
			if err == nil && e.Service == s.settings.Service {
				found = append(found, e.Address)
			}
			after = i.Key
		}
		more = page.More && len(page.Items) > 0
	}
	s.ranks = found
	return found
}

// service returns the service that the rank beside this agent belongs to.
func (s *seat) service(ctx context.Context) (elmcatalog.Service, bool) {
	now := elmclock.Now()
	if now-s.read >= catalogEvery || s.catalog.Version() == 0 {
		if page, err := s.store.RangeStale(ctx, platform.ConfigKey, ""); err == nil && len(page.Items) > 0 {
			if catalog, err := platform.DecodeCatalog(page.Items[0].Value); err == nil {
				s.catalog, s.read = catalog, now
			}
		}
	}
	return s.catalog.Service(s.settings.Service)
}

func wait(ctx context.Context, rest time.Duration) {
	timer := time.NewTimer(rest)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
