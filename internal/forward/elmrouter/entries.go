package elmrouter

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/elmcove/elmcove/internal/forward/elmslow"
	"github.com/elmcove/elmcove/internal/observe/elmclock"
	"github.com/elmcove/elmcove/internal/observe/elmlog"
	"github.com/elmcove/elmcove/internal/wire/elmpeer"
	"github.com/elmcove/elmcove/platform"
)

const (
	// entriesPrefix is the store key prefix of entry names.
	entriesPrefix = "entries/"
	// entryLeaseTTL is how long an entry stays listed after its last renewal.
	entryLeaseTTL = 10 * time.Second
	// leaseRenewInterval is the interval between two lease renewals.
	leaseRenewInterval = 3 * time.Second
	// localReportsPerRemote is the number of load reports per report that also
	// goes to other data centres, since traffic between data centres is billed.
	localReportsPerRemote = 4
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

// receiveLoads receives the load reports of other entries.
func (r *Router) receiveLoads(ctx context.Context) {
	for ctx.Err() == nil {
		err := r.peers.Run(ctx, r.handleLoads)
		if err != nil {
			r.logger.Event(elmlog.LinkDown, "error", err)
			elmclock.Wait(ctx, retryDelay)
		}
	}
}

// handleLoads records the load report of another entry.
func (r *Router) handleLoads(l *elmpeer.Loads) {
	loads := map[uint32]int{}
	for _, e := range l.GetLoads() {
		loads[e.GetEndpoint()] = int(e.GetOpen())
	}
	now := elmclock.Now()
	r.mutex.Lock()
	r.placer.SetPeerLoads(l.GetEntry(), loads, now)
	r.mutex.Unlock()
}

// reportLoads periodically sends the other entries the number of this entry's
// requests at each endpoint. An empty report is sent once, to all.
func (r *Router) reportLoads(ctx context.Context) {
	lastEmpty := false
	for turn := 0; ctx.Err() == nil; turn++ {
		elmclock.Wait(ctx, loadReportInterval)
		local, remote := r.otherEntries()
		listed := slices.Collect(maps.Keys(r.follower.Snapshot().SystemKeys(entriesPrefix)))
		r.peers.SetAddresses(addressesOf(local), addressesOf(remote))
		message := &elmpeer.Loads{Entry: r.settings.Instance}
		slowList, now := r.slowRanks(), elmclock.Now()
		r.mutex.Lock()
		r.placer.SetEntries(listed, now)
		r.placer.SetSlow(slowList)
		for id, open := range r.placer.Loads() {
			message.Loads = append(message.Loads, &elmpeer.Load{Endpoint: id, Open: uint32(open)})
		}
		r.mutex.Unlock()
		if len(message.Loads) == 0 && lastEmpty {
			continue
		}
		lastEmpty = len(message.Loads) == 0
		if err := r.peers.SendLoads(message, lastEmpty || turn%localReportsPerRemote == 0); err != nil {
			r.meter.Count("elmcove_tell_failures_total", "entry", r.settings.Instance)
		}
	}
}

// entry is another entry process listed in the store.
type entry struct{ name, address string }

// otherEntries returns the other entries sorted by name: local ones are in this
// data centre, remote ones in others.
func (r *Router) otherEntries() (local, remote []entry) {
	listed := r.follower.Snapshot().SystemKeys(entriesPrefix)
	for _, name := range slices.Sorted(maps.Keys(listed)) {
		address, datacentre, _ := strings.Cut(listed[name], " ")
		switch {
		case name == r.settings.Instance:
		case datacentre == r.settings.Datacentre:
			local = append(local, entry{name, address})
		default:
			remote = append(remote, entry{name, address})
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
// entries, the first by name reads for all.
func (r *Router) storeReader() string {
	local, _ := r.otherEntries()
	if len(local)+1 < minSharedReadEntries || local[0].name > r.settings.Instance {
		return ""
	}
	return local[0].address
}

// slowRanks returns the slow ranks of all groups.
func (r *Router) slowRanks() elmslow.List {
	all := elmslow.List{}
	for _, text := range r.follower.Snapshot().SystemKeys(elmslow.KeyPrefix) {
		maps.Copy(all, elmslow.Parse(text))
	}
	return all
}
