package elmrouter

import (
	"context"
	"time"

	"github.com/elmcove/elmcove/internal/forward/elmsnapshot"
	"github.com/elmcove/elmcove/internal/observe/elmclock"
	"github.com/elmcove/elmcove/internal/observe/elmlog"
)

// crashCheckDelay is the time in which all requests of a crashed endpoint have lost
// their responses.
const crashCheckDelay = 50 * time.Millisecond

// lostResponses are the requests that lost their responses at an endpoint, until it is
// known whether the endpoint has crashed.
type lostResponses struct {
	member   elmsnapshot.Member
	requests []lostRequest
}

// lostRequest is a request whose response was lost.
type lostRequest struct {
	attempt  string
	segments []string
}

// recordLostResponse records that the request lost its response, and starts to check
// whether its endpoint has crashed.
func (d *delivery) recordLostResponse() {
	r := d.router
	r.mutex.Lock()
	defer r.mutex.Unlock()
	l, checking := r.lost[d.member.ID]
	if !checking {
		l = &lostResponses{member: d.member}
		r.lost[d.member.ID] = l
		go r.checkCrash(context.WithoutCancel(d.ctx), l)
	}
	l.requests = append(l.requests, lostRequest{attempt: d.requestInfo.Attempt, segments: d.requestInfo.Segments})
}

// checkCrash finds out whether an endpoint that lost responses has crashed: then nothing
// listens at its address.
func (r *Router) checkCrash(ctx context.Context, l *lostResponses) {
	elmclock.Wait(ctx, crashCheckDelay)
	crashed := r.exchange.IsRefused(ctx, l.member.Address)
	r.mutex.Lock()
	delete(r.lost, l.member.ID)
	r.mutex.Unlock()
	if !crashed {
		return
	}
	segments := map[string]int{}
	for _, q := range l.requests {
		for _, s := range q.segments {
			segments[s]++
		}
	}
	r.meter.Count("elmcove_endpoint_crashes_total", "service", l.member.Service)
	r.logger.Event(elmlog.EndpointCrashed, "endpoint", l.member.ID, "service", l.member.Service, "address", l.member.Address,
		"requests", len(l.requests), "segments", segments)
}
