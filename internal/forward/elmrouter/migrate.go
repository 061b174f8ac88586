package elmrouter

import (
	"context"
	"errors"
	"time"

	"github.com/elmcove/elmcove/internal/forward/elmexchange"
	"github.com/elmcove/elmcove/internal/forward/elmplace"
	"github.com/elmcove/elmcove/internal/forward/elmsnapshot"
	"github.com/elmcove/elmcove/internal/observe/elmclock"
)

// errMigrated is the cause with which an attempt ends that continues at another
// endpoint.
var errMigrated = errors.New("request continues at another endpoint")

const (
	// minSilence is how long an attempt is silent before it is decided whether the request
	// may continue elsewhere, and watchInterval the time until that is decided again. A lost
	// peer is noticed a second after the silence began if both end before the third
	// retransmission, 600 ms after it.
	minSilence    = 300 * time.Millisecond
	watchInterval = 150 * time.Millisecond
	// maxSilence is how long an endpoint is silent before streams leave it: half of the time
	// after which callers give up on a stream.
	maxSilence = time.Second
)

// attempt is one attempt of a request that may continue at another endpoint. The router's
// mutex guards it.
type attempt struct {
	member elmsnapshot.Member
	query  elmplace.Query
	watch  *elmexchange.Watch
	cancel context.CancelCauseFunc
	// resumable means that the request is for a resumable stream.
	resumable bool
	// pinned means that what the caller has got can't be continued elsewhere.
	pinned bool
	// reserved is the endpoint whose slot was taken to continue there, if any.
	reserved *elmsnapshot.Member
	// silent means that the attempt leaves its endpoint because that is silent.
	silent bool
}

// beginAttempt returns the context of the attempt that is being sent, and what observes its
// exchange. If the request may continue elsewhere, the attempt is registered for that.
func (d *delivery) beginAttempt() (context.Context, *elmexchange.Watch) {
	ctx, cancel := context.WithCancelCause(d.ctx)
	d.cancelAttempt = cancel
	watch := &elmexchange.Watch{}
	if !d.route.Retryable() || len(d.lifecycle.Tried()) >= d.route.Attempts {
		return ctx, watch
	}
	d.attempt = &attempt{member: d.member, query: d.query(d.lifecycle.Tried()), watch: watch, cancel: cancel, resumable: d.route.Resumable}
	d.router.mutex.Lock()
	defer d.router.mutex.Unlock()
	d.router.attempts[d.attempt] = struct{}{}
	return ctx, watch
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
// whether there is one. The outcome is that at the endpoint which it leaves.
func (d *delivery) migrate(outcome elmplace.Outcome) bool {
	left := d.attempt
	member := d.endAttempt()
	if member == nil {
		return false
	}
	if left.silent {
		outcome = elmplace.Failed
	}
	d.release(outcome)
	d.member, d.slotHeld, d.reserved, d.sentAt = *member, true, true, elmclock.Now()
	return true
}

// reserve takes a slot at another endpoint and one retry from the retry budget, to continue
// the request there, and reports whether there are both.
func (d *delivery) reserve() bool {
	if d.attempt == nil {
		return false
	}
	r, now := d.router, elmclock.Now()
	snapshot := r.follower.Snapshot()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if d.attempt.reserved != nil {
		return true
	}
	member, _, verdict := r.pick(d.attempt.query, snapshot, now)
	if verdict != elmplace.Placed || !r.placer.TakeRetry(d.service.Name, now) {
		return false
	}
	r.placer.Begin(member.ID, now)
	d.attempt.reserved = &member
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
	d.attempt.watch.SetMovable(false)
	return d.attempt.reserved == nil
}

// watchSilences decides for the attempts at silent endpoints whether they may fail soon:
// only while the request could continue at another endpoint. Otherwise it waits, since a
// sound endpoint may fall silent and go on.
func (r *Router) watchSilences(ctx context.Context) {
	for ctx.Err() == nil {
		elmclock.Wait(ctx, watchInterval)
		snapshot, now := r.follower.Snapshot(), elmclock.Now()
		r.leaveSilentEndpoints(snapshot, now)
		r.decideSilences(snapshot, now)
	}
}

// decideSilences lets as many attempts fail soon as there are retries in the budget of their
// service and slots at other endpoints, since attempts at a silent endpoint fail together.
func (r *Router) decideSilences(snapshot elmsnapshot.Snapshot, now time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	retries := map[string]int{}  // By service.
	nowhere := map[string]bool{} // The endpoints whose requests have no place elsewhere.
	var held []string            // The endpoints at which a slot is held.
	for a := range r.attempts {
		service := a.query.Service.Name
		movable := !a.pinned && a.watch.Silence() >= minSilence && !nowhere[a.member.ID] &&
			r.placer.CanRetry(service, retries[service]+1, now)
		if movable {
			member, _, verdict := r.pick(a.query, snapshot, now)
			if movable = verdict == elmplace.Placed; movable {
				r.placer.Hold(member.ID)
				held = append(held, member.ID)
				retries[service]++
			}
			nowhere[a.member.ID] = !movable
		}
		a.watch.SetMovable(movable)
	}
	for _, id := range held {
		r.placer.Release(id)
	}
}

// leaveSlowRanks moves streams from slow ranks to other endpoints, within the retry
// budget. In each forward pass all ranks of a group wait for the slow rank's own part,
// which it has only while it has requests.
func (r *Router) leaveSlowRanks(snapshot elmsnapshot.Snapshot, now time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for a := range r.attempts {
		if !a.resumable || a.pinned || a.reserved != nil || !r.placer.IsSlow(a.member) {
			continue
		}
		if member, ok := r.reserve(a.query, snapshot.Members(a.query.Service.Name, now), now); ok {
			a.reserved = &member
			a.cancel(errMigrated)
		}
	}
}

// leaveSilentEndpoints moves streams from endpoints that have been silent in all that this entry
// has from them, while others of their service went on making progress for maxSilence, within the
// retry budget. A frozen instance acknowledges what it is sent, and goes on with it when its
// callers have left.
func (r *Router) leaveSilentEndpoints(snapshot elmsnapshot.Snapshot, now time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for a := range r.attempts {
		service := a.query.Service.Name
		if !a.resumable || a.pinned || a.reserved != nil || !a.watch.IsAwaited() ||
			r.placer.ProgressLag(service, a.member.ID, now-a.watch.Silence()) < maxSilence {
			continue
		}
		if member, ok := r.reserve(a.query, snapshot.Members(service, now), now); ok {
			a.reserved, a.silent = &member, true
			a.cancel(errMigrated)
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
