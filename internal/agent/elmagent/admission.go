package elmagent

import (
	"context"
	"time"

	"github.com/elmcove/elmcove/internal/wire/elmwire"
)

// beginLink counts a link, unless the agent is stopping.
func (a *Agent) beginLink() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.leaving {
		return false
	}
	a.links.Add(1)
	return true
}

// takes reports whether the endpoint may receive new work.
func (a *Agent) takes() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.takesLocked()
}

func (a *Agent) takesLocked() bool {
	config := a.holder.Config()
	return !a.leaving && config.Revision() > 0 && config.Takes(a.settings.Datacentre, a.settings.Instance)
}

// admit takes a place for a request, or tells why there is none.
func (a *Agent) admit(ctx context.Context, open *elmwire.Open) elmwire.Reason {
	if reason := a.vet(open, time.Now()); reason != elmwire.Reason_REASON_UNSPECIFIED {
		return reason
	}
	patience := time.Duration(open.GetPatienceMs()) * time.Millisecond
	if err := a.gate.Enter(ctx, patience); err != nil {
		return elmwire.Reason_REASON_CAPACITY
	}
	if a.begin() {
		return elmwire.Reason_REASON_UNSPECIFIED
	}
	a.gate.Leave()
	return elmwire.Reason_REASON_LEAVING
}

// vet refuses attempts that are repeated, that are meant for an earlier
// incarnation, or that come while the endpoint takes no new work.
func (a *Agent) vet(open *elmwire.Open, now time.Time) elmwire.Reason {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.forgetLocked(now)
	if _, ok := a.seen[open.GetAttempt()]; ok || open.GetIncarnation() != a.incarnation {
		return elmwire.Reason_REASON_STALE
	}
	a.seen[open.GetAttempt()] = now.Add(time.Duration(open.GetDeadlineMs())*time.Millisecond + seenMargin)
	if !a.takesLocked() {
		return elmwire.Reason_REASON_LEAVING
	}
	a.warmth = a.warmth.WithDemand(a.gate.Demand() + 1)
	a.resizeLocked()
	return elmwire.Reason_REASON_UNSPECIFIED
}

// begin counts a job that has a place, unless the endpoint has stopped taking
// work while it waited.
func (a *Agent) begin() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if !a.takesLocked() {
		return false
	}
	a.jobs.Add(1)
	return true
}

// forgetLocked drops attempts that are past their deadline. It goes through them
// only when their number has doubled, so that the cost for each stays small.
func (a *Agent) forgetLocked(now time.Time) {
	if len(a.seen) < a.sweepAt {
		return
	}
	for attempt, expires := range a.seen {
		if now.After(expires) {
			delete(a.seen, attempt)
		}
	}
	a.sweepAt = max(a.settings.Ceiling, 2*len(a.seen))
}

// release returns the place of a job. The endpoint may not have let go yet of
// one that it has not answered in full.
func (a *Agent) release(whole bool) {
	a.jobs.Done()
	if whole {
		a.gate.Leave()
		return
	}
	time.AfterFunc(cancelGrace, a.gate.Leave)
}
