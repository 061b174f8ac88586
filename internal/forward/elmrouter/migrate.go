package elmrouter

import (
	"context"
	"errors"
	"time"

	"github.com/elmcove/elmcove/internal/forward/elmplace"
	"github.com/elmcove/elmcove/internal/forward/elmsnapshot"
	"github.com/elmcove/elmcove/internal/observe/elmclock"
)

// errStreamMigrated is the cause with which an attempt ends that continues at another
// endpoint.
var errStreamMigrated = errors.New("stream moved away from a slow rank")

// attempt is one attempt of a stream at an endpoint that may continue elsewhere. The
// router's mutex guards it.
type attempt struct {
	member elmsnapshot.Member
	query  elmplace.Query
	cancel context.CancelCauseFunc
	// pinned means that what the caller has got can't be continued elsewhere.
	pinned bool
	// reserved is the endpoint whose slot was taken to continue there, if any.
	reserved *elmsnapshot.Member
}

// beginAttempt returns the context of the attempt that is being sent. If the stream may
// continue elsewhere, the attempt is registered for that.
func (d *delivery) beginAttempt() context.Context {
	ctx, cancel := context.WithCancelCause(d.ctx)
	d.cancelAttempt = cancel
	if !d.route.Resumable || len(d.lifecycle.Tried()) >= d.route.Attempts {
		return ctx
	}
	d.attempt = &attempt{member: d.member, query: d.query(d.lifecycle.Tried()), cancel: cancel}
	d.router.mutex.Lock()
	defer d.router.mutex.Unlock()
	d.router.attempts[d.attempt] = struct{}{}
	return ctx
}

// endAttempt ends the current attempt. The slot that was taken to continue it elsewhere
// is returned, or nil if there is none.
func (d *delivery) endAttempt() *elmsnapshot.Member {
	if d.cancelAttempt != nil {
		d.cancelAttempt(nil)
	}
	if d.attempt == nil {
		return nil
	}
	ended := d.attempt
	d.attempt = nil
	d.router.mutex.Lock()
	defer d.router.mutex.Unlock()
	delete(d.router.attempts, ended)
	return ended.reserved
}

// migrate moves the request to the endpoint whose slot was taken for it, and reports
// whether there is one.
func (d *delivery) migrate() bool {
	member := d.endAttempt()
	if member == nil {
		return false
	}
	d.release(elmplace.Ignored)
	d.member, d.slotHeld, d.reserved, d.sentAt = *member, true, true, elmclock.Now()
	d.cause = errStreamMigrated
	return true
}

// pin keeps the current attempt at its endpoint, and reports whether it is still there.
func (d *delivery) pin() bool {
	if d.attempt == nil {
		return true
	}
	d.router.mutex.Lock()
	defer d.router.mutex.Unlock()
	d.attempt.pinned = true
	return d.attempt.reserved == nil
}

// leaveSlowRanks moves streams from slow ranks to other endpoints, within the retry
// budget. In each forward pass all ranks of a group wait for the slow rank's own part,
// which it has only while it has requests.
func (r *Router) leaveSlowRanks(snapshot elmsnapshot.Snapshot, now time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for a := range r.attempts {
		if a.pinned || a.reserved != nil || !r.placer.IsSlow(a.member) {
			continue
		}
		if member, ok := r.reserve(a.query, snapshot.Members(a.query.Service.Name, now), now); ok {
			a.reserved = &member
			a.cancel(errStreamMigrated)
		}
	}
}

// reserve takes a slot at an endpoint that is not slow, and one retry from the retry
// budget.
func (r *Router) reserve(q elmplace.Query, members []elmsnapshot.Member, now time.Duration) (elmsnapshot.Member, bool) {
	member, verdict := r.placer.Pick(q, members, now)
	if verdict != elmplace.Placed || r.placer.IsSlow(member) || !r.placer.TakeRetry(q.Service.Name, now) {
		return member, false
	}
	r.placer.Begin(member.ID, now)
	return member, true
}
