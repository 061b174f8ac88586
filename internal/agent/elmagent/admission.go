package elmagent

import (
	"context"
	"time"

	"github.com/elmcove/elmcove/internal/wire/elmwire"
)

// beginLink counts a new link and reports whether it may be served. It returns
// false while the agent is stopping.
func (a *Agent) beginLink() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.leaving {
		return false
	}
	a.links.Add(1)
	return true
}

// acceptsRequests reports whether the endpoint may receive new requests.
func (a *Agent) acceptsRequests() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.acceptsRequestsLocked()
}

func (a *Agent) acceptsRequestsLocked() bool {
	config := a.holder.Config()
	return !a.leaving && config.Revision() > 0 && config.AcceptsNewWork(a.settings.Datacentre, a.settings.Instance)
}

// admit acquires a slot for a request, or returns the reason for its refusal.
func (a *Agent) admit(ctx context.Context, open *elmwire.Open) elmwire.Reason {
	if reason := a.checkAttempt(open, time.Now()); reason != elmwire.Reason_REASON_UNSPECIFIED {
		return reason
	}
	maxWait := time.Duration(open.GetPatienceMs()) * time.Millisecond
	if err := a.gate.Acquire(ctx, maxWait); err != nil {
		return elmwire.Reason_REASON_CAPACITY
	}
	if a.beginJob() {
		return elmwire.Reason_REASON_UNSPECIFIED
	}
	a.gate.Release()
	return elmwire.Reason_REASON_LEAVING
}

// checkAttempt refuses attempts that were seen before, that were sent to an
// earlier incarnation of the agent, or that arrive while the endpoint accepts no
// new requests.
func (a *Agent) checkAttempt(open *elmwire.Open, now time.Time) elmwire.Reason {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.dropExpiredLocked(now)
	if _, ok := a.seen[open.GetAttempt()]; ok || open.GetIncarnation() != a.incarnation {
		return elmwire.Reason_REASON_STALE
	}
	a.seen[open.GetAttempt()] = now.Add(time.Duration(open.GetDeadlineMs())*time.Millisecond + seenMargin)
	if !a.acceptsRequestsLocked() {
		return elmwire.Reason_REASON_LEAVING
	}
	a.limit = a.limit.WithDemand(a.gate.Demand() + 1)
	a.updateLimitLocked()
	return elmwire.Reason_REASON_UNSPECIFIED
}

// beginJob counts a job that holds a slot. It returns false if the endpoint
// stopped accepting requests while the job waited for the slot.
func (a *Agent) beginJob() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if !a.acceptsRequestsLocked() {
		return false
	}
	a.jobs.Add(1)
	return true
}

// dropExpiredLocked removes attempts that are past their deadline by more than
// seenMargin. It scans them only after their number has doubled, so that the
// amortized cost per attempt stays small.
func (a *Agent) dropExpiredLocked(now time.Time) {
	if len(a.seen) < a.sweepAt {
		return
	}
	for attempt, expires := range a.seen {
		if now.After(expires) {
			delete(a.seen, attempt)
		}
	}
	a.sweepAt = max(a.settings.MaxConcurrency, 2*len(a.seen))
}

// release frees the slot of a job. If the response is incomplete, the endpoint may
// still be working on the request, so the slot is freed after cancelGrace.
func (a *Agent) release(complete bool) {
	a.jobs.Done()
	if complete {
		a.gate.Release()
		return
	}
	time.AfterFunc(cancelGrace, a.gate.Release)
}
