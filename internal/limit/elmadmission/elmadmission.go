// Package elmadmission decides which requests of a service are placed while its capacity is
// short: the least urgent ones are refused first, but none of the classes is starved.
//
// The reservation keeps as many slots free as more urgent requests will need until other
// entries' loads are known here. The last slots are for workspaces that are within their shares.
// With WithPressure there is a third measure: the pressure level is the part of the requests that
// is admitted. It falls while callers see late events in a service that is nearly full, and rises
// otherwise (additive increase, multiplicative decrease).
//
// The package does no input or output.
//
// # Usage
//
//	controller := elmadmission.New()
//	controller.SetClasses([]elmadmission.Class{{Priority: 0}, {Priority: 1}})
//	controller.RecordEvent(elmadmission.IsLate(gap, maxGap), now)
//	controller.RecordAsk(class, now)
//	if controller.Decide(elmadmission.Request{Class: class}, capacity, 1, now) != elmadmission.Admit { refuse() }
package elmadmission

import (
	"cmp"
	"slices"
	"time"

	"github.com/elmcove/elmcove/internal/limit/elmwindow"
)

const (
	// interval is the shortest time after which the level changes. It is about two passes of
	// a group at the maximum gap between events.
	interval = 200 * time.Millisecond
	// minSamples is the number of samples from which one late sample is no pressure. An
	// interval with fewer samples lasts longer, up to ageLimit.
	minSamples = 10
	// minLate is the number of late samples that an interval with fewer samples needs.
	minLate = 2
	// lateRatio is the part of late samples above which the level is lowered.
	lateRatio = 0.1
	// crowdedUsage is the part of the capacity in use from which late events count as pressure.
	// Below it passes are long because the demand for experts has shifted or a rank is slow,
	// which refusals do not change. Without it a deployment at 0.67 of its slots whose demand
	// shifts every 3.5 s lost 0.06 and 0.04 of the worth of two days.
	crowdedUsage = 0.7
	// warnRatio is the part of the maximum gap from which a gap counts as late. The streams that
	// run keep the load up for seconds after the level was lowered, so it is lowered before
	// callers lose. In a crowd and a burst of TestValueUnderLoad, 1 earns 0.866 and 0.835 of the
	// value, 0.85 earns 0.935 and 0.923, 0.8 earns 0.921 and 0.909.
	warnRatio = 0.85
	// decrease is the factor by which the level is lowered, and increase the step by which it
	// rises in each interval. DAGOR has 0.95 and 0.01 for intervals of 1 s or 2,000 requests,
	// which earn 0.915 and 0.821. The level is back from its usual minimum of 0.6 within 3 s.
	decrease = 0.85
	increase = 0.03
	// returnedWeight is the part of the fraction of its class with which a request is admitted
	// that was refused before. It is late in any case, and refusals come back as load. With 1,
	// the crowd earns 0.915 and the burst 0.923.
	returnedWeight = 0.5
	// floor is the part of its requests down to which a class is cut. It leaves a margin above
	// the required quarter of what all requests get.
	floor = 0.4
	// ageLimit is the longest time without an admission for a class that has asked. Callers
	// abandon a stream after 2 s without an event.
	ageLimit = 2 * time.Second
	// horizon is the age of other entries' loads, within which more urgent requests at other
	// entries take slots that this entry still considers free.
	horizon = 250 * time.Millisecond
	// maxReservedRatio is the largest part of the slots that is reserved.
	maxReservedRatio = 0.25
	// maxCredit limits the number of requests that are admitted in a row after a time in
	// which a class was not cut.
	maxCredit = 2.0
	// workspaceFloor is the part of the fraction of its class down to which a workspace over its
	// share is cut. It leaves a margin above the required quarter.
	workspaceFloor = 0.3
	// excessWeight is the weight of a new sample in the average excess over the shares.
	excessWeight = 0.1
	// crowdedSlots is the part of the slots that are left from which workspaces over their share
	// are refused. It is small, since slots that are kept from them are used by nobody else.
	crowdedSlots = 0.03
	// placedWeight is the weight of a new decision in the average part of requests that are
	// admitted.
	placedWeight = 0.02
	// minReserved is the smallest reservation in slots that counts.
	minReserved = 0.5
)

// Class is the rank of a request. Lower values are more urgent.
type Class struct {
	// Priority is the workspace's priority, or the route's if that has none.
	Priority int
	// RoutePriority decides among requests of equal Priority.
	RoutePriority int
}

// Compare returns a negative number if c is more urgent than other, and 0 if they are equal.
func (c Class) Compare(other Class) int {
	return cmp.Or(cmp.Compare(c.Priority, other.Priority), cmp.Compare(c.RoutePriority, other.RoutePriority))
}

// Request describes a request that has an endpoint with a free slot.
type Request struct {
	Class Class
	// Returned means that the caller has been refused before.
	Returned bool
	// Waiting means that the request was decided before and has waited since.
	Waiting bool
	// Overtakes means that a more urgent request waits for a slot.
	Overtakes bool
}

// Capacity is the capacity of all endpoints of the service together.
type Capacity struct {
	// Used is the number of requests of all entries, and Limit that from which the service
	// is full.
	Used, Limit float64
	// Entries is the number of entries.
	Entries int
}

// Verdict is the decision on a request.
type Verdict int

const (
	// Admit means that the request is placed.
	Admit Verdict = iota
	// Pressure means that it is refused because callers see late events.
	Pressure
	// Reserved means that it is refused because more urgent requests need the free slots.
	Reserved
	// Queued means that it is refused because a more urgent request waits.
	Queued
	// OverShare means that it is refused because its workspace has had more than its share, and
	// others need the last slots.
	OverShare
)

// String returns the name of a verdict for logs and metrics.
func (v Verdict) String() string {
	return [...]string{"admit", "pressure", "reserved", "queued", "share"}[v]
}

// class is the state of a class.
type class struct {
	Class
	asks *elmwindow.Counter
	// fraction is the part of its requests that is admitted at the current level.
	fraction float64
	// credits are the numbers of requests that may be admitted of workspaces within and over
	// their shares. Each request adds its fraction.
	credits [2]float64
	// floorCredit is the number of requests within their shares that are admitted in any case.
	floorCredit float64
	// shareCredit is the number of requests over their shares that are admitted while the last
	// slots are taken.
	shareCredit float64
	// excess is the average part of its requests that is over the shares of their workspaces.
	excess float64
	// refused holds, for workspaces within and over their shares, the time of the first refusal
	// since the last admission, or 0.
	refused [2]time.Duration
}

// Controller decides on the requests of one service. It is not safe for concurrent use.
type Controller struct {
	// classes are sorted, the most urgent first.
	classes []*class
	level   float64
	// began is the begin of the interval, if it has one.
	began          time.Duration
	hasBegan       bool
	samples, lates int
	// usage is the part of the capacity that was in use at the last decision.
	usage float64
	// placed is the average part of the requests that are admitted.
	placed float64
	// pressure means that late events lower the level.
	pressure bool
}

// Option configures New.
type Option func(*Controller)

// WithPressure makes late events lower the level. Without it only the reservation, the queue and
// the shares of workspaces decide, which apply where a request has to be refused in any case.
func WithPressure() Option { return func(c *Controller) { c.pressure = true } }

// New returns a Controller at full admission, for a service that is not ranked.
func New(options ...Option) *Controller {
	c := &Controller{level: 1, placed: 1}
	for _, option := range options {
		option(c)
	}
	return c
}

// SetClasses sets the classes of the service. With fewer than two, every request is admitted.
func (c *Controller) SetClasses(classes []Class) {
	known := c.classes
	c.classes = nil
	for _, wanted := range classes {
		i := slices.IndexFunc(known, func(k *class) bool { return k.Class == wanted })
		if i >= 0 {
			c.classes = append(c.classes, known[i])
			continue
		}
		c.classes = append(c.classes, &class{Class: wanted, asks: elmwindow.New(ageLimit), fraction: 1, credits: [2]float64{1, 1}})
	}
	slices.SortFunc(c.classes, func(a, b *class) int { return a.Compare(b.Class) })
	c.classes = slices.CompactFunc(c.classes, func(a, b *class) bool { return a.Class == b.Class })
	if !c.IsRanked() {
		c.level, c.samples, c.lates = 1, 0, 0
	}
}

// IsRanked reports whether the service has requests of different urgency.
func (c *Controller) IsRanked() bool { return len(c.classes) > 1 }

// IsLate reports whether a gap between two events is about to be, or is, longer than the
// maximum of its route.
func IsLate(gap, maxGap time.Duration) bool {
	return maxGap > 0 && float64(gap) > warnRatio*float64(maxGap)
}

// RecordEvent records an event of a stream, and whether the gap before it was late.
func (c *Controller) RecordEvent(late bool, now time.Duration) { c.record(late, now) }

// RecordFirst records the first event of a stream or a response, and whether it was late.
func (c *Controller) RecordFirst(late bool, now time.Duration) { c.record(late, now) }

func (c *Controller) record(late bool, now time.Duration) {
	if !c.pressure || !c.IsRanked() {
		return
	}
	c.advance(now)
	c.samples++
	if late {
		c.lates++
	}
}

// RecordAsk records that a caller has asked for the first time, whether or not there is a slot.
func (c *Controller) RecordAsk(wanted Class, now time.Duration) {
	if c.IsRanked() {
		c.classes[c.indexOf(wanted)].asks.Add(now)
	}
}

// Level returns the part of the requests that is admitted.
func (c *Controller) Level(now time.Duration) float64 {
	if c.IsRanked() {
		c.advance(now)
	}
	return c.level
}

// IsCut reports whether requests of a class that wait are refused because of the level.
func (c *Controller) IsCut(wanted Class, now time.Duration) bool {
	if !c.IsRanked() {
		return false
	}
	c.advance(now)
	return c.classes[c.indexOf(wanted)].fraction < 1
}

// Recovery returns the time after which all requests are admitted again, if no further events
// are late.
func (c *Controller) Recovery(now time.Duration) time.Duration {
	return time.Duration((1 - c.Level(now)) / increase * float64(interval))
}

// advance ends the interval if it is over.
func (c *Controller) advance(now time.Duration) {
	if !c.hasBegan {
		c.began, c.hasBegan = now, true
	}
	elapsed := now - c.began
	if elapsed < interval || c.samples > 0 && c.samples < minSamples && elapsed < ageLimit {
		return
	}
	pressed := c.usage >= crowdedUsage && float64(c.lates) > lateRatio*float64(c.samples) && (c.samples >= minSamples || c.lates >= minLate)
	before := c.level
	if pressed {
		c.level = max(c.level*decrease, c.minLevel(now))
	} else {
		c.level = min(c.level+increase*float64(elapsed/interval), 1)
	}
	c.began, c.samples, c.lates = now, 0, 0
	if before < 1 || c.level < 1 {
		c.divide(now)
	}
}

// minLevel returns the level at which all classes but the most urgent are at their floor.
func (c *Controller) minLevel(now time.Duration) float64 {
	all, lesser := 0, 0
	for i, cl := range c.classes {
		n := cl.asks.Sum(now)
		all += n
		if i > 0 {
			lesser += n
		}
	}
	if all == 0 {
		return c.level
	}
	return 1 - (1-floor)*float64(lesser)/float64(all)
}

// divide sets the fractions so that the requests that are refused at the current level are
// those of the least urgent classes.
func (c *Controller) divide(now time.Duration) {
	all := 0
	for _, cl := range c.classes {
		all += cl.asks.Sum(now)
	}
	cut := (1 - c.level) * float64(all)
	for i := len(c.classes) - 1; i > 0; i-- {
		cl := c.classes[i]
		asked := float64(cl.asks.Sum(now))
		part := min(cut, (1-floor)*asked)
		cut -= part
		switch {
		case c.level >= 1:
			cl.fraction = 1
		case asked > 0:
			cl.fraction = 1 - part/asked
		}
	}
}

// indexOf returns the index of a class. One that is not known counts as its neighbour: the
// configuration may have changed since the request was read.
func (c *Controller) indexOf(wanted Class) int {
	i, _ := slices.BinarySearchFunc(c.classes, wanted, func(cl *class, wanted Class) int { return cl.Compare(wanted) })
	return min(i, len(c.classes)-1)
}

// Decide decides on a request. Share is the part in (0, 1] of what its workspace asks that is
// within the workspace's share.
func (c *Controller) Decide(r Request, capacity Capacity, share float64, now time.Duration) Verdict {
	if !c.IsRanked() {
		return Admit
	}
	c.usage = capacity.Used / max(capacity.Limit, 1)
	c.advance(now)
	i := c.indexOf(r.Class)
	cl := c.classes[i]
	credit, refused := &cl.credits[overShare(share)], &cl.refused[overShare(share)]
	switch {
	case r.Waiting:
	case r.Returned && cl.fraction < 1:
		*credit = min(*credit+returnedWeight*cl.admitted(share), maxCredit)
	default:
		cl.excess += excessWeight * (1 - share - cl.excess)
		*credit = min(*credit+cl.admitted(share), maxCredit)
		if share == 1 {
			cl.floorCredit = min(cl.floorCredit+floor, maxCredit)
		}
	}
	if share < 1 && !r.Waiting {
		cl.shareCredit = min(cl.shareCredit+max(share, workspaceFloor*c.placed), maxCredit)
	}
	verdict := c.verdict(i, r, capacity, share, now)
	c.placed -= placedWeight * c.placed
	if verdict != Admit {
		if *refused == 0 {
			*refused = now
		}
		return verdict
	}
	c.placed += placedWeight
	*refused = 0
	*credit = max(*credit-1, -maxCredit)
	if share < 1 {
		cl.shareCredit = max(cl.shareCredit-1, -maxCredit)
	} else {
		cl.floorCredit = max(cl.floorCredit-1, -maxCredit)
	}
	return Admit
}

// Preview returns the decision that Decide would make, without a change of what later decisions
// depend on.
func (c *Controller) Preview(r Request, capacity Capacity, share float64, now time.Duration) Verdict {
	preview := *c
	preview.classes = make([]*class, len(c.classes))
	for i, cl := range c.classes {
		copied := *cl
		preview.classes[i] = &copied
	}
	return preview.Decide(r, capacity, share, now)
}

// overShare returns the index of the state of workspaces that are within or over their shares.
func overShare(share float64) int {
	if share < 1 {
		return 1
	}
	return 0
}

// verdict returns the decision without its effect on the class. The most urgent class is refused
// only what is over the shares of its workspaces.
func (c *Controller) verdict(i int, r Request, capacity Capacity, share float64, now time.Duration) Verdict {
	cl := c.classes[i]
	state := overShare(share)
	refused := cl.refused[state]
	free := capacity.Limit - capacity.Used
	switch {
	case !r.Waiting && (share == 1 && cl.floorCredit >= 1 || refused != 0 && now-refused >= ageLimit):
		return Admit
	case cl.fraction < 1 && cl.credits[state] < 1:
		return Pressure
	case share < 1 && free <= crowdedSlots*capacity.Limit && cl.shareCredit < 1:
		return OverShare
	case i == 0:
		return Admit
	case r.Overtakes:
		return Queued
	}
	if reserved := c.reserved(i, capacity, now); reserved >= minReserved && free <= reserved {
		return Reserved
	}
	return Admit
}

// reserved returns the slots that the first classes will need within the horizon.
func (c *Controller) reserved(classes int, capacity Capacity, now time.Duration) float64 {
	asks := 0
	for _, cl := range c.classes[:classes] {
		asks += cl.asks.Sum(now)
	}
	perSecond := float64(asks) / ageLimit.Seconds() * float64(max(capacity.Entries, 1))
	return min(perSecond*horizon.Seconds(), maxReservedRatio*capacity.Limit)
}

// admitted returns the part of a workspace's requests that is admitted if a part of them is
// its share. Within a class, what is over the shares is refused first.
func (cl *class) admitted(share float64) float64 {
	cut := 1 - cl.fraction
	switch {
	case cut == 0:
		return 1
	case cut <= cl.excess:
		return max(1-(1-share)*cut/cl.excess, workspaceFloor*cl.fraction)
	}
	return max(share*cl.fraction/(1-cl.excess), workspaceFloor*cl.fraction)
}
