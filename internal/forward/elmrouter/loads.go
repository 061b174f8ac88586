package elmrouter

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/elmcove/elmcove/internal/forward/elmslow"
	"github.com/elmcove/elmcove/internal/observe/elmclock"
	"github.com/elmcove/elmcove/internal/observe/elmlog"
	"github.com/elmcove/elmcove/internal/wire/elmpeer"
)

const (
	// minReportInterval is the shortest interval between two load reports to the entries
	// of this data centre. A change is reported at once if the last report is older.
	minReportInterval = 25 * time.Millisecond
	// maxReportInterval is the longest interval between two reports, by which entries
	// also know that this one is alive.
	maxReportInterval = 400 * time.Millisecond
	// listInterval is the interval between two reads of the lists of entries and of slow
	// ranks.
	listInterval = 100 * time.Millisecond
	// sumInterval is the interval between two reports to other data centres. Traffic
	// between data centres is billed.
	sumInterval = 200 * time.Millisecond
)

// receiveLoads receives the reports of other entries of loads and shares.
func (r *Router) receiveLoads(ctx context.Context) {
	for ctx.Err() == nil {
		err := r.peers.Run(ctx, r.handleLoads, r.handleShares)
		if err != nil {
			r.logger.Event(elmlog.LinkDown, "error", err)
			elmclock.Wait(ctx, retryDelay)
		}
	}
}

// handleLoads records the load report of another entry, and passes the sums of another
// data centre on to the entries of this one.
func (r *Router) handleLoads(l *elmpeer.Loads) {
	loads := map[uint32]int{}
	for _, e := range l.GetLoads() {
		loads[e.GetEndpoint()] = int(e.GetOpen())
	}
	now := elmclock.Now()
	r.mutex.Lock()
	if l.GetDatacentre() == "" {
		r.placer.SetPeerLoads(l.GetEntry(), loads, now)
		r.relay.Hear(l.GetEntry(), now)
	} else {
		r.placer.SetDatacentreLoads(l.GetDatacentre(), loads, now)
		r.relay.HearDatacentre(l.GetDatacentre(), l.GetEntry(), now)
	}
	r.hearObservations(l, now)
	r.mutex.Unlock()
	r.wakeForLoads(now)
	if l.GetDatacentre() == "" || l.GetDirect() {
		return
	}
	l.Direct = true
	local, _ := r.otherEntries()
	r.sendLoads(l, addressesOf(local))
}

// reportLoads tells the entries of this data centre of changes of this entry's loads, at
// least each maxReportInterval.
func (r *Router) reportLoads(ctx context.Context) {
	var local []string
	nextList, nextReport := time.Duration(0), time.Duration(0)
	for ctx.Err() == nil {
		now := elmclock.Now()
		if now >= nextList {
			local, nextList = r.readLists(now), now+listInterval
		}
		if now >= nextReport {
			r.mutex.Lock()
			message := &elmpeer.Loads{Entry: r.settings.Instance, Loads: addObservations(encodeLoads(r.placer.Loads()), r.placer.Observations(now))}
			r.mutex.Unlock()
			r.sendLoads(message, local)
			nextReport = now + maxReportInterval
		}
		elmclock.Wait(ctx, minReportInterval)
		timer := time.NewTimer(listInterval - minReportInterval)
		select {
		case <-ctx.Done():
		case <-r.loadsChanged:
			nextReport = 0
		case <-timer.C:
		}
		timer.Stop()
	}
}

// readLists reads the lists of entries and of slow ranks from the snapshot, and returns the
// addresses of the other entries of this data centre.
func (r *Router) readLists(now time.Duration) []string {
	local, remote := r.otherEntries()
	addresses := addressesOf(local)
	r.peers.SetAddresses(addresses, addressesOf(remote))
	snapshot := r.follower.Snapshot()
	listed := slices.Collect(maps.Keys(snapshot.SystemKeys(entriesPrefix)))
	slowList := r.slowRanks()
	r.mutex.Lock()
	if snapshot.HasConfig() {
		r.placer.SetEntries(listed, now)
	}
	r.placer.SetSlow(slowList)
	r.mutex.Unlock()
	if len(slowList) > 0 {
		r.leaveSlowRanks(snapshot, now)
	}
	return addresses
}

// reportSums tells other data centres the loads of this one while this entry is its relay.
func (r *Router) reportSums(ctx context.Context) {
	current := ""
	for ctx.Err() == nil {
		elmclock.Wait(ctx, sumInterval)
		now := elmclock.Now()
		r.mutex.Lock()
		if relay := r.relay.Relay(now); relay != current {
			current = relay
			r.logger.Event(elmlog.RelayChanged, "relay", current, "datacentre", r.settings.Datacentre)
		}
		if current != r.settings.Instance {
			r.mutex.Unlock()
			continue
		}
		sums := addObservations(encodeLoads(r.placer.SumLoads(now)), r.placer.SumObservations(now))
		r.mutex.Unlock()
		_, remote := r.otherEntries()
		for datacentre, list := range byDatacentre(remote) {
			r.mutex.Lock()
			targets, direct := r.relay.Targets(datacentre, namesOf(list), now)
			r.mutex.Unlock()
			message := &elmpeer.Loads{Entry: r.settings.Instance, Loads: sums, Datacentre: r.settings.Datacentre, Direct: direct}
			r.sendLoads(message, addressesOf(slices.DeleteFunc(list, func(e entry) bool { return !slices.Contains(targets, e.name) })))
		}
	}
}

// sendLoads sends loads to entries at addresses.
func (r *Router) sendLoads(l *elmpeer.Loads, addresses []string) {
	if err := r.peers.SendLoads(l, addresses); err != nil {
		r.meter.Count("elmcove_tell_failures_total", "entry", r.settings.Instance)
	}
}

// wakeReporter makes reportLoads report a change of this entry's loads.
func (r *Router) wakeReporter() {
	select {
	case r.loadsChanged <- struct{}{}:
	default:
	}
}

func encodeLoads(loads map[uint32]int) []*elmpeer.Load {
	var list []*elmpeer.Load
	for id, open := range loads {
		list = append(list, &elmpeer.Load{Endpoint: id, Open: uint32(open)})
	}
	return list
}

func byDatacentre(list []entry) map[string][]entry {
	groups := map[string][]entry{}
	for _, e := range list {
		groups[e.datacentre] = append(groups[e.datacentre], e)
	}
	return groups
}

func namesOf(list []entry) []string {
	var names []string
	for _, e := range list {
		names = append(names, e.name)
	}
	return names
}

// slowRanks returns the slow ranks of all groups.
func (r *Router) slowRanks() elmslow.List {
	all := elmslow.List{}
	for _, text := range r.follower.Snapshot().SystemKeys(elmslow.KeyPrefix) {
		maps.Copy(all, elmslow.Parse(text))
	}
	return all
}
