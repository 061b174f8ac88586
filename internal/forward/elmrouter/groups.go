package elmrouter

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/elmcove/elmcove/internal/observe/elmclock"
	"github.com/elmcove/elmcove/internal/observe/elmlog"
)

// reportTimeout bounds one poll of a rank for the state of its group.
const reportTimeout = 500 * time.Millisecond

// pollInterval is the interval between two polls.
const pollInterval = 150 * time.Millisecond

// recordProgress records that an endpoint has produced an event of a stream.
func (r *Router) recordProgress(service, endpoint string, now time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.placer.RecordProgress(service, endpoint, now)
}

// attributeFailure records that an endpoint rejected a request because of a failed
// endpoint of its group. The service's group is marked as broken unless other
// endpoints of the service still make progress.
func (r *Router) attributeFailure(service, endpoint, failed string) {
	r.mutex.Lock()
	groupBroken := r.placer.ReportBroken(service, endpoint, elmclock.Now())
	r.mutex.Unlock()
	if groupBroken {
		r.setBroken(service, true, "rejected by "+endpoint+" for "+failed)
		return
	}
	r.logger.Event(elmlog.EndpointBroken, "service", service, "endpoint", endpoint, "blamed", failed)
}

// suspectGroup polls the group of a service that rejects requests and has made no
// progress for a while. An entry that has just started does not know whether it is open.
func (r *Router) suspectGroup(service string) {
	r.mutex.Lock()
	suspected := !r.placer.HasProgress(service, elmclock.Now())
	r.mutex.Unlock()
	if suspected {
		r.startPolling(service)
	}
}

// recordStall logs when a service's group stops or resumes making progress. The caller
// holds the mutex.
func (r *Router) recordStall(service string, stalled bool) {
	if r.stalled[service] == stalled {
		return
	}
	r.stalled[service] = stalled
	event := elmlog.StallEnded
	if stalled {
		event = elmlog.StallBegan
	}
	r.logger.Event(event, "service", service)
}

// startPolling makes pollGroups poll a service's group until that is open.
func (r *Router) startPolling(service string) {
	r.mutex.Lock()
	_, polled := r.broken[service]
	r.broken[service] = struct{}{}
	r.mutex.Unlock()
	if polled {
		return
	}
	select {
	case r.pollWake <- struct{}{}:
	default:
	}
}

// setBroken records whether a group is broken. While it is broken, its ranks are
// polled for its state, a random one at a time.
func (r *Router) setBroken(service string, broken bool, cause string) {
	now := elmclock.Now()
	r.mutex.Lock()
	changed := r.placer.SetBroken(service, broken, now)
	if !broken {
		delete(r.broken, service)
	}
	r.mutex.Unlock()
	if changed {
		event := elmlog.GroupOpen
		if broken {
			event = elmlog.GroupBroken
		}
		r.logger.Event(event, "service", service, "cause", cause)
	}
	if !broken {
		r.wakeService(service)
	}
	if broken {
		r.startPolling(service)
	}
}

// isBroken reports whether a service's group is known to be broken.
func (r *Router) isBroken(service string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.placer.IsBroken(service, elmclock.Now())
}

// pollGroups polls the ranks of broken groups until they report that their group is
// open.
func (r *Router) pollGroups(ctx context.Context) {
	for ctx.Err() == nil {
		r.mutex.Lock()
		services := slices.Sorted(maps.Keys(r.broken))
		r.mutex.Unlock()
		if len(services) == 0 {
			select {
			case <-ctx.Done():
			case <-r.pollWake:
			}
			continue
		}
		elmclock.Wait(ctx, pollInterval)
		var wait sync.WaitGroup
		for _, s := range services {
			wait.Go(func() { r.pollGroup(ctx, s) })
		}
		wait.Wait()
	}
}

// pollGroup polls a random rank of a group, so that entries do not all ask the same one.
func (r *Router) pollGroup(ctx context.Context, service string) {
	members := r.follower.Snapshot().Members(service, elmclock.Now())
	if len(members) == 0 {
		return
	}
	m := members[rand.IntN(len(members))]
	report, err := r.ranks.Report(ctx, m.Address)
	switch {
	case ctx.Err() != nil:
	case err == nil && report.Open:
		r.setBroken(service, false, "reported by "+m.ID)
	case err != nil && !r.isBroken(service):
		// The next rank is asked.
	default:
		r.setBroken(service, true, "still broken")
	}
}
