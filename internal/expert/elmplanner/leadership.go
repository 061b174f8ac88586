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
	settings platform.Settings
	snapshot func() elmsnapshot.Snapshot
	service  string
	logger   *elmlog.Logger

	// lease is the lease that this entry holds, or 0.
	lease     int64
	renewedAt time.Duration
	// freeSince is when the leadership was first observed to be free, or 0.
	freeSince time.Duration
	// takeoverDelay is how long this entry leaves a free leadership to others.
	takeoverDelay time.Duration
}

func newLeadership(store *platform.Store, settings platform.Settings, snapshot func() elmsnapshot.Snapshot, service string, logger *elmlog.Logger) *leadership {
	return &leadership{
		store: store, settings: settings, snapshot: snapshot, service: service, logger: logger,
		takeoverDelay: time.Duration(rand.Int64N(int64(maxTakeoverDelay))),
	}
}

// hold reports whether this entry is the leader. It acquires the leadership if it is
// free. An entry that has restarted reacquires its own leadership at once.
func (l *leadership) hold(ctx context.Context) bool {
	now := elmclock.Now()
	if l.lease != 0 {
		if now-l.renewedAt >= leaseRenewInterval {
			l.renewedAt = now
			l.renew(ctx)
		}
		return l.lease != 0
	}
	holder, taken := l.snapshot().SystemKeys(plannerKeyPrefix)[l.service]
	if taken && holder != l.settings.Instance {
		l.freeSince = 0
		return false
	}
	if l.freeSince == 0 {
		l.freeSince = now
	}
	if !taken && now-l.freeSince < l.takeoverDelay {
		return false
	}
	return l.acquire(ctx)
}

// renew renews the lease. While the store does not answer, the planner stays the
// leader, because no other entry can acquire the lease from an unavailable store.
func (l *leadership) renew(ctx context.Context) {
	if err := l.store.RenewLease(ctx, l.lease); err != nil {
		l.logger.Event(elmlog.StoreDown, "call", "keep planner", "error", err)
		if errors.Is(err, platform.ErrLeaseEnded) {
			l.lease = 0
		}
	}
}

// acquire writes the leadership key with a new lease, unless another entry holds the
// key or changes it meanwhile.
func (l *leadership) acquire(ctx context.Context) bool {
	key := platform.InternalPrefix + plannerKeyPrefix + l.service
	page, err := l.store.RangeStale(ctx, key, "")
	if err != nil {
		return false
	}
	unchanged := platform.Condition{Key: key}
	if len(page.Items) > 0 {
		if string(page.Items[0].Value) != l.settings.Instance {
			return false
		}
		unchanged.Revision = page.Items[0].Revision
	}
	lease, err := l.store.GrantLease(ctx, max(plannerLeaseTTL, l.settings.MinLeaseTTL))
	if err != nil {
		return false
	}
	put := []platform.Put{{Key: key, Value: []byte(l.settings.Instance), Lease: lease}}
	if _, err := l.store.Write(ctx, []platform.Condition{unchanged}, put); err != nil {
		l.endLease(lease)
		return false
	}
	l.lease, l.renewedAt, l.freeSince = lease, elmclock.Now(), 0
	l.logger.Event(elmlog.PlannerChosen, "service", l.service)
	return true
}

// release ends the leadership.
func (l *leadership) release() {
	if l.lease != 0 {
		l.endLease(l.lease)
		l.lease = 0
	}
}

// endLease ends a lease. If the call fails, the lease expires by itself.
func (l *leadership) endLease(lease int64) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := l.store.RevokeLease(ctx, lease); err != nil {
		l.logger.Event(elmlog.StoreDown, "call", "end lease", "error", err)
	}
}
