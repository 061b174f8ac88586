package elmrouter

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/elmcove/elmcove/internal/forward/elmfollower"
	"github.com/elmcove/elmcove/internal/model/elmcatalog"
	"github.com/elmcove/elmcove/internal/observe/elmclock"
	"github.com/elmcove/elmcove/internal/observe/elmlog"
	"github.com/elmcove/elmcove/platform"
)

const (
	// entriesPrefix is the store key prefix of entry names.
	entriesPrefix = "entries/"
	// entryLeaseTTL is how long an entry stays listed after its last renewal.
	entryLeaseTTL = 10 * time.Second
	// leaseRenewInterval is the interval between two lease renewals.
	leaseRenewInterval = 3 * time.Second
	// minSharedReadEntries is the number of entries in a data centre from which
	// on one entry reads the store for all, since each store call is billed.
	minSharedReadEntries = 5
	// retryDelay is the delay after a failed registration or peer connection.
	retryDelay = time.Second
)

// register keeps this entry's address listed in the store, so that other entries
// find it.
func (r *Router) register(ctx context.Context) {
	var lease platform.Lease
	for ctx.Err() == nil {
		var err error
		if lease == (platform.Lease{}) {
			lease, err = r.createEntry(ctx)
		} else if err = r.store.RenewLease(ctx, lease); errors.Is(err, platform.ErrLeaseEnded) {
			lease = platform.Lease{}
			continue
		}
		delay := leaseRenewInterval
		if err != nil {
			r.logger.Event(elmlog.StoreDown, "call", "register", "error", err)
			delay = retryDelay
		}
		elmclock.Wait(ctx, delay)
	}
}

// createEntry writes this entry's address to the store under a new lease.
func (r *Router) createEntry(ctx context.Context) (platform.Lease, error) {
	lease, err := r.store.GrantLease(ctx, max(entryLeaseTTL, r.settings.MinLeaseTTL))
	if err != nil {
		return platform.Lease{}, err
	}
	key := platform.InternalPrefix + entriesPrefix + r.settings.Instance
	if _, err := r.store.Write(ctx, nil, []platform.Put{{Key: key, Value: []byte(r.internalAddress() + " " + r.settings.Datacentre), Lease: lease}}); err != nil {
		return platform.Lease{}, errors.Join(err, r.store.RevokeLease(ctx, lease))
	}
	return lease, nil
}

// entry is another entry process listed in the store.
type entry struct{ name, address, datacentre string }

// otherEntries returns the other entries sorted by name: local ones are in this
// data centre, remote ones in others.
func (r *Router) otherEntries() (local, remote []entry) {
	listed := r.follower.Snapshot().SystemKeys(entriesPrefix)
	for _, name := range slices.Sorted(maps.Keys(listed)) {
		address, datacentre, _ := strings.Cut(listed[name], " ")
		switch {
		case name == r.settings.Instance:
		case datacentre == r.settings.Datacentre:
			local = append(local, entry{name, address, datacentre})
		default:
			remote = append(remote, entry{name, address, datacentre})
		}
	}
	return local, remote
}

func addressesOf(list []entry) []string {
	var addresses []string
	for _, e := range list {
		addresses = append(addresses, e.address)
	}
	return addresses
}

// storeReader returns the address of the entry that reads the store for this one,
// or "" if this entry reads the store itself. In a data centre with enough
// entries, the first by name reads for all, unless changes would then be known too late.
func (r *Router) storeReader() string {
	if min(r.settings.Bounds.LeaveDelay, r.settings.Bounds.ConfigDelay) <= elmfollower.MaxSharedDelay {
		return ""
	}
	local, _ := r.otherEntries()
	if len(local)+1 < minSharedReadEntries || local[0].name > r.settings.Instance {
		return ""
	}
	return local[0].address
}

// exceedsColdLimit reports whether an endpoint that became cold would get more requests than
// it can take until this entry learns of it.
func (r *Router) exceedsColdLimit() bool {
	snapshot, now := r.follower.Snapshot(), elmclock.Now()
	counts := snapshot.MemberCounts(now)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return slices.ContainsFunc(snapshot.Catalog().Services(), func(s elmcatalog.Service) bool {
		return r.placer.ExceedsColdLimit(s, counts[s.Name], now)
	})
}
