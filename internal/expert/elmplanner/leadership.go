package elmplanner

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/elmcove/elmcove/internal/forward/elmsnapshot"
	"github.com/elmcove/elmcove/internal/observe/elmclock"
	"github.com/elmcove/elmcove/internal/observe/elmlog"
	"github.com/elmcove/elmcove/platform"
)

const (
	// plannerKeyPrefix and the name of a service form the key of its leadership.
	plannerKeyPrefix = "planner/"
	// plannerLeaseTTL is the lifetime of the leadership lease after its last renewal.
	plannerLeaseTTL = 1500 * time.Millisecond
	// leaseRenewInterval is the time between two renewals of the lease.
	leaseRenewInterval = 500 * time.Millisecond
	// lateRenewInterval is the time between two renewals during a rollout. Most rollouts
	// are over before.
	lateRenewInterval = 2 * leaseRenewInterval
	// maxTakeoverDelay bounds the random delay before an entry takes a free
	// leadership, so that entries do not all try at once.
	maxTakeoverDelay = 300 * time.Millisecond
	// releaseTimeout bounds the call that ends the lease.
	releaseTimeout = 300 * time.Millisecond
)

// leadership manages an entry's leadership lease for a service. Only the leader plans
// the service's expert maps.
type leadership struct {
	store    *platform.Store
	snapshot func() elmsnapshot.Snapshot
	service  string
	logger   *elmlog.Logger
	term     term
}

func newLeadership(store *platform.Store, settings platform.Settings, snapshot func() elmsnapshot.Snapshot, service string, logger *elmlog.Logger) *leadership {
	return &leadership{
		store: store, snapshot: snapshot, service: service, logger: logger,
		term: term{
			instance: settings.Instance, ttl: max(plannerLeaseTTL, settings.MinLeaseTTL),
			takeoverDelay: time.Duration(rand.Int64N(int64(maxTakeoverDelay))),
		},
	}
}

// hold reports whether this entry is the leader. It acquires the leadership if it is
// free, and renews its own.
func (l *leadership) hold(ctx context.Context) bool {
	current := parseHolder(l.snapshot().SystemKeys(plannerKeyPrefix)[l.service])
	next, due := l.term.next(elmclock.Now(), l.store.Era(), current)
	l.term = next
	switch due {
	case renewLease:
		l.renew(ctx)
	case acquireLeadership:
		if err := l.acquire(ctx); err != nil && !errors.Is(err, platform.ErrConflict) {
			l.logger.Event(elmlog.StoreDown, "call", "acquire planner", "error", err)
		}
	case noAction:
	}
	return l.term.leads(elmclock.Now())
}

func (l *leadership) renew(ctx context.Context) {
	sent := elmclock.Now()
	err := l.store.RenewLease(ctx, l.term.lease)
	if err == nil {
		l.term = l.term.withRenewal(sent)
		return
	}
	l.logger.Event(elmlog.StoreDown, "call", "keep planner", "error", err)
	if errors.Is(err, platform.ErrLeaseEnded) {
		l.term = l.term.withoutLease()
	}
}

// acquire writes the leadership key with a new lease, unless another entry holds the
// key. It returns platform.ErrConflict if another entry changes the key meanwhile.
func (l *leadership) acquire(ctx context.Context) error {
	key := platform.InternalPrefix + plannerKeyPrefix + l.service
	page, err := l.store.RangeStale(ctx, key, "")
	if err != nil {
		return err
	}
	unchanged := platform.Condition{Key: key, Era: page.Era}
	if len(page.Items) > 0 {
		current := parseHolder(string(page.Items[0].Value))
		if current.instance != l.term.instance && current.era == page.Era {
			return nil
		}
		unchanged.Revision = page.Items[0].Revision
	}
	sent := elmclock.Now()
	lease, err := l.store.GrantLease(ctx, l.term.ttl)
	if err != nil {
		return err
	}
	value := holder{l.term.instance, lease.Era}.String()
	put := []platform.Put{{Key: key, Value: []byte(value), Lease: lease}}
	if _, err := l.store.Write(ctx, []platform.Condition{unchanged}, put); err != nil {
		l.endLease(lease)
		return err
	}
	l.term = l.term.withLease(lease, sent)
	l.logger.Event(elmlog.PlannerChosen, "service", l.service)
	return nil
}

// release ends the leadership.
func (l *leadership) release() {
	if l.term.held() {
		l.endLease(l.term.lease)
		l.term = l.term.withoutLease()
	}
}

// endLease ends a lease. If the call fails, the lease expires by itself.
func (l *leadership) endLease(lease platform.Lease) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := l.store.RevokeLease(ctx, lease); err != nil {
		l.logger.Event(elmlog.StoreDown, "call", "end lease", "error", err)
	}
}
