package elmrouter

import (
	"slices"
	"time"

	"github.com/elmcove/elmcove/internal/forward/elmlifecycle"
	"github.com/elmcove/elmcove/internal/forward/elmplace"
	"github.com/elmcove/elmcove/internal/forward/elmretryafter"
	"github.com/elmcove/elmcove/internal/forward/elmsnapshot"
	"github.com/elmcove/elmcove/internal/limit/elmadmission"
	"github.com/elmcove/elmcove/internal/observe/elmclock"
)

// place chooses an endpoint. A caller retries only once, so its retry waits for a
// limited time until a group opens again or a slot becomes free. So does a request that has
// lost a response, since nobody else can still give it one.
func (d *delivery) place(c elmlifecycle.Place) elmlifecycle.Message {
	until := time.Duration(0)
	switch {
	case d.callerRetry:
		until = d.began + min(elmretryafter.MaxWait, d.timeLimit-executionReserve)
	case d.lifecycle.MayHaveRun():
		until = elmclock.Now() + min(elmretryafter.MaxWait, d.remaining()-executionReserve)
	}
	message := d.tryPlace(c)
	if d.isSettled(message, until) {
		return message
	}
	return d.wait(c, until)
}

// isSettled reports whether a message is the end of a placement that waits until a time.
func (d *delivery) isSettled(m elmlifecycle.Message, until time.Duration) bool {
	now := elmclock.Now()
	_, unplaced := m.(elmlifecycle.Unplaced)
	return !unplaced || now >= until || d.isHopeless(until-now)
}

// isHopeless reports whether no endpoint will accept the request within a time.
func (d *delivery) isHopeless(within time.Duration) bool {
	switch d.verdict {
	case elmplace.Full:
		return d.cut == elmadmission.Pressure && d.admission.recovery(elmclock.Now()) > within
	case elmplace.Leaving, elmplace.Quarantined:
		return true
	case elmplace.NoEndpoint:
		return !d.callerRetry
	case elmplace.Paused:
		return d.pause >= within
	}
	return false
}

// queuePriority returns the position of the request in an endpoint's queue, 0
// being the first. Requests are ordered by priority; within a priority, those
// that can still meet their latency objective come first.
func (d *delivery) queuePriority() int {
	position := min(2*max(d.priority, 0), maxQueuePriority-1)
	if d.callerRetry {
		position++
	}
	return position
}

// isCallerRetry reports whether the caller has sent this request before: its
// deadline is clearly shorter than others on the route, or it names the last event
// of an interrupted stream.
func (d *delivery) isCallerRetry() bool {
	if d.requestInfo.LastEventID != "" {
		return true
	}
	return d.requestInfo.Deadline < time.Duration(retryDeadlineRatio*float64(d.router.recordDeadline(d.route.Name, d.requestInfo.Deadline)))
}

// tryPlace tries once to take a slot of an endpoint.
func (d *delivery) tryPlace(c elmlifecycle.Place) elmlifecycle.Message {
	if m := d.contextEnded(false); m != nil {
		return m
	}
	if d.remaining() < minRemaining {
		return elmlifecycle.Expired{}
	}
	if d.reserved {
		d.reserved = false
		return elmlifecycle.Placed{Endpoint: d.member.ID}
	}
	now := elmclock.Now()
	if d.waits && d.cut == elmadmission.Pressure && d.admission.isCut(d.class, now) {
		return elmlifecycle.Unplaced{}
	}
	d.cut = elmadmission.Admit
	snapshot := d.router.follower.Snapshot()
	d.router.mutex.Lock()
	defer d.router.mutex.Unlock()
	var members []elmsnapshot.Member
	d.member, members, d.verdict = d.router.pick(d.query(c.Tried), snapshot, now)
	if d.verdict == elmplace.NoEndpoint && d.unconnected != "" {
		// It may be sound and slow to accept, and it has got no byte of the request.
		tried := slices.DeleteFunc(slices.Clone(c.Tried), func(id string) bool { return id == d.unconnected })
		d.member, members, d.verdict = d.router.pick(d.query(tried), snapshot, now)
	}
	switch d.verdict {
	case elmplace.Paused:
		d.pause = d.router.placer.PauseRemaining(members, now)
	case elmplace.Quarantined:
		d.pause = d.router.placer.QuarantineRemaining(d.signatures, now)
		d.router.recordQuarantined(d.signatures, now)
	}
	d.router.recordStall(d.service.Name, d.verdict == elmplace.Stalled)
	switch {
	case d.verdict != elmplace.Placed:
		return elmlifecycle.Unplaced{}
	case !d.decideAdmission(members, now):
		d.verdict = elmplace.Full
		return elmlifecycle.Unplaced{}
	}
	d.router.placer.Begin(d.member.ID, now)
	d.router.wakeReporter()
	d.slotHeld, d.sentAt = true, now
	if len(c.Tried) == 0 {
		d.router.admitShare(d.admitted, now)
	}
	return elmlifecycle.Placed{Endpoint: d.member.ID}
}

// pick chooses an endpoint among the members, or among those of the last resort if none is
// usable, and returns those as well. The mutex must be held.
func (r *Router) pick(q elmplace.Query, snapshot elmsnapshot.Snapshot, now time.Duration) (elmsnapshot.Member, []elmsnapshot.Member, elmplace.Verdict) {
	members := snapshot.Members(q.Service.Name, now)
	member, verdict := r.placer.Pick(q, members, now)
	switch verdict {
	case elmplace.NoEndpoint, elmplace.Paused, elmplace.Leaving:
		members = snapshot.LastResort(q.Service.Name, now)
		member, verdict = r.placer.Pick(q, members, now)
	}
	return member, members, verdict
}

// query describes the request to the placement.
func (d *delivery) query(tried []string) elmplace.Query {
	return elmplace.Query{Service: d.service, Tried: tried, CallerRetry: d.callerRetry, Signatures: d.signatures}
}

// release closes the response and frees the endpoint's slot.
func (d *delivery) release(outcome elmplace.Outcome) {
	if d.response != nil {
		d.response.Close()
		d.response = nil
	}
	now := elmclock.Now()
	unused := d.endAttempt()
	if !d.slotHeld {
		return
	}
	d.slotHeld = false
	elapsed := now - d.sentAt
	if first := max(d.firstByte, d.progressFrom); first > d.sentAt {
		elapsed = first - d.sentAt
	}
	d.router.mutex.Lock()
	defer d.router.mutex.Unlock()
	if unused != nil {
		d.router.placer.End(unused.ID, elmplace.Ignored, 0, now)
	}
	d.router.placer.End(d.member.ID, outcome, elapsed, now)
	d.learn(outcome, elapsed, now)
	d.router.wakeReporter()
	d.admission.wakeFirst(now)
}

// takeRetry takes one retry from the service's retry budget if the request has attempts
// left, and reports whether there was one.
func (d *delivery) takeRetry() bool {
	if len(d.lifecycle.Tried()) >= d.route.Attempts {
		return false
	}
	d.router.mutex.Lock()
	defer d.router.mutex.Unlock()
	return d.router.placer.TakeRetry(d.service.Name, elmclock.Now())
}
