package elmrouter

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/elmcove/elmcove/internal/limit/elmfairshare"
	"github.com/elmcove/elmcove/internal/observe/elmclock"
	"github.com/elmcove/elmcove/internal/observe/elmlog"
	"github.com/elmcove/elmcove/internal/observe/elmmeter"
	"github.com/elmcove/elmcove/internal/wire/elmpeer"
)

const (
	// smallestShare is the smallest share of a workspace in each service. It is 1 while the
	// shares do not bind.
	smallestShare elmmeter.Name = "elmcove_smallest_share"
	// sharesSent counts the bytes of shares sent to other entries.
	sharesSent elmmeter.Name = "elmcove_shares_sent_bytes_total"
)

// shareState is what this entry knows of the shares of workspaces. Its mutex may be locked
// while the router's is held, but not the other way round.
type shareState struct {
	mutex  sync.Mutex
	ledger *elmfairshare.Ledger
	// binding holds the services whose shares bind.
	binding map[string]bool
}

func newShareState(entry string) *shareState {
	return &shareState{ledger: elmfairshare.New(entry), binding: map[string]bool{}}
}

// share returns which part of what a workspace asks of a service is its share, in (0, 1]. It
// is 1 for services that are not ranked.
func (r *Router) share(service, workspace string) float64 {
	r.shares.mutex.Lock()
	defer r.shares.mutex.Unlock()
	return r.shares.ledger.Share(service, workspace, elmclock.Now())
}

// askShare records a request of a workspace of a ranked service.
func (r *Router) askShare(a admitted, now time.Duration) {
	if r.countsForShares(a) {
		r.shares.mutex.Lock()
		defer r.shares.mutex.Unlock()
		r.shares.ledger.Ask(a.service.Name, a.workspace, now)
	}
}

// admitShare records that a request got its first endpoint.
func (r *Router) admitShare(a admitted, now time.Duration) {
	if r.countsForShares(a) {
		r.shares.mutex.Lock()
		defer r.shares.mutex.Unlock()
		r.shares.ledger.Admit(a.service.Name, a.workspace, now)
	}
}

// refuseShare records that a request was refused for lack of capacity.
func (r *Router) refuseShare(a admitted, now time.Duration) {
	if r.countsForShares(a) {
		r.shares.mutex.Lock()
		defer r.shares.mutex.Unlock()
		r.shares.ledger.Refuse(a.service.Name, now)
	}
}

// countsForShares reports whether a request belongs to a workspace and its service is ranked.
func (r *Router) countsForShares(a admitted) bool {
	return a.workspace != "" && r.admissions.setting != AdmissionOff && r.follower.Snapshot().Catalog().Ranked(a.service.Name)
}

// handleShares records what other entries know of the demand of workspaces.
func (r *Router) handleShares(message *elmpeer.Shares) {
	now, report := elmclock.Now(), elmfairshare.Decode(message)
	r.shares.mutex.Lock()
	defer r.shares.mutex.Unlock()
	switch report.Datacentre {
	case "":
		r.shares.ledger.Hear(report, now)
	case r.settings.Datacentre: // It counts already.
	default:
		r.shares.ledger.HearDatacentre(report, now)
	}
}

// reportShares tells other entries what workspaces ask of services that are short of capacity.
func (r *Router) reportShares(ctx context.Context) {
	for ctx.Err() == nil {
		elmclock.Wait(ctx, elmfairshare.Interval)
		r.sendReports(elmclock.Now())
	}
}

// sendReports sends this entry's report to the entries of its data centre, and sums to the
// relays of others while it is the relay.
func (r *Router) sendReports(now time.Duration) {
	r.mutex.Lock()
	isRelay := r.relay.IsRelay(now)
	r.mutex.Unlock()
	var sum *elmfairshare.Report
	r.shares.mutex.Lock()
	report := r.shares.ledger.Report(now)
	if isRelay {
		sum = r.shares.ledger.Sum(now)
		if others := r.shares.ledger.Others(now); others != nil {
			report = others
		}
	}
	r.recordBinding(now)
	r.shares.mutex.Unlock()
	if report == nil && sum == nil {
		return
	}
	local, remote := r.otherEntries()
	if report != nil {
		r.sendShares(report, local)
	}
	if sum == nil {
		return
	}
	sum.Datacentre = r.settings.Datacentre
	for datacentre, list := range byDatacentre(remote) {
		r.mutex.Lock()
		targets, unknown := r.relay.Targets(datacentre, namesOf(list), now)
		r.mutex.Unlock()
		if unknown { // Its loads tell within sumInterval who the relay is.
			continue
		}
		r.sendShares(sum, slices.DeleteFunc(list, func(e entry) bool { return !slices.Contains(targets, e.name) }))
	}
}

// sendShares sends a report to other entries.
func (r *Router) sendShares(report *elmfairshare.Report, list []entry) {
	sent, err := r.peers.SendShares(report.Message(), addressesOf(list))
	r.meter.Add(sharesSent, "entry", r.settings.Instance, sent)
	if err != nil {
		r.meter.Count("elmcove_tell_failures_total", "entry", r.settings.Instance)
	}
}

// recordBinding logs when the shares of a service begin and end to bind, and sets the metric
// of the smallest one. The mutex of the shares must be held.
func (r *Router) recordBinding(now time.Duration) {
	binding := map[string]bool{}
	if r.shares.ledger.IsShort(now) {
		catalog := r.follower.Snapshot().Catalog()
		for _, s := range catalog.Services() {
			if catalog.Ranked(s.Name) && r.shares.ledger.Binds(s.Name, now) {
				binding[s.Name] = true
			}
		}
	}
	for service := range binding {
		smallest := r.shares.ledger.Smallest(service, now)
		r.meter.Set(smallestShare, "service", service, smallest)
		if !r.shares.binding[service] {
			r.logger.Event(elmlog.SharesBegan, "service", service, "smallest", smallest)
		}
	}
	for service := range r.shares.binding {
		if !binding[service] {
			r.meter.Set(smallestShare, "service", service, 1)
			r.logger.Event(elmlog.SharesEnded, "service", service)
		}
	}
	r.shares.binding = binding
}
