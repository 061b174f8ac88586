package elmrouter

import (
	"github.com/elmcove/elmcove/internal/observe/elmclock"
	"github.com/elmcove/elmcove/internal/observe/elmlog"
	"github.com/elmcove/elmcove/platform"
)

// recordAnnouncements records what the endpoint announced of itself in the head of its
// response: that it is leaving, or that it wants no requests for some time.
func (d *delivery) recordAnnouncements(info platform.ResponseInfo) {
	if info.AddressReassigned || !info.Sealed && !info.NotRun {
		return // The response is not the endpoint's own.
	}
	now := elmclock.Now()
	d.router.mutex.Lock()
	leaving := info.Leaving && d.router.placer.SetLeaving(d.member)
	pauseBegins := info.NotRun && info.Pause > 0 && d.router.placer.SetPause(d.member, now+info.Pause, now)
	pauseEnds := info.Sealed && d.router.placer.EndPause(d.member.ID, d.sentAt)
	d.router.mutex.Unlock()
	d.logRateLimit(info)
	if leaving {
		d.logAnnouncement(elmlog.LeavingAnnounced)
	}
	if pauseBegins {
		d.logAnnouncement(elmlog.PauseAnnounced, "pause", info.Pause)
	}
	if pauseEnds {
		d.logAnnouncement(elmlog.PauseEnded)
	}
	if info.InvalidPause != "" {
		d.logAnnouncement(elmlog.PauseInvalid, "value", info.InvalidPause)
	}
}

// logRateLimit logs a rate limit that the endpoint announced, if it is new.
func (d *delivery) logRateLimit(info platform.ResponseInfo) {
	r := d.router
	r.mutex.Lock()
	before, known := r.rateLimits[d.member.ID]
	switch {
	case info.HasRateLimit:
		r.rateLimits[d.member.ID] = info.RateLimit
	case known:
		delete(r.rateLimits, d.member.ID)
	}
	r.mutex.Unlock()
	switch {
	case info.InvalidRateLimit != "":
		d.logAnnouncement(elmlog.RateLimitInvalid, "value", info.InvalidRateLimit)
	case info.HasRateLimit && (!known || before != info.RateLimit):
		d.logAnnouncement(elmlog.RateLimitAnnounced, "perSecond", info.RateLimit)
	case known && !info.HasRateLimit:
		d.logAnnouncement(elmlog.RateLimitEnded)
	}
}

// logAnnouncement logs an event about the endpoint of the request. The field age is the
// time since the request was sent there.
func (d *delivery) logAnnouncement(event elmlog.Event, more ...any) {
	fields := []any{
		"endpoint", d.member.ID, "service", d.service.Name, "address", d.member.Address, "attempt", d.requestInfo.Attempt,
		"age", elmclock.Now() - d.sentAt,
	}
	d.router.logger.Event(event, append(fields, more...)...)
}
