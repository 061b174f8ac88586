package elmrouter

import (
	"time"

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
	d.recordRateLimit(info, now)
	if leaving {
		d.router.post(leavingKey+incarnation(d.member), leavingNotice{}, leavingTTL)
		d.logAnnouncement(elmlog.LeavingAnnounced)
	}
	if pauseBegins {
		d.router.sharePause(d.member, info.Pause)
		d.logAnnouncement(elmlog.PauseAnnounced, "pause", info.Pause)
	}
	if pauseEnds {
		d.logAnnouncement(elmlog.PauseEnded)
	}
	if info.InvalidPause != "" {
		d.logAnnouncement(elmlog.PauseInvalid, "value", info.InvalidPause)
	}
}

// recordRateLimit records whether the endpoint announced a rate limit, and shares what
// has changed.
func (d *delivery) recordRateLimit(info platform.ResponseInfo, now time.Duration) {
	r := d.router
	began, ended := false, false
	r.mutex.Lock()
	switch {
	case info.HasRateLimit:
		began = r.placer.SetRateLimit(d.member.ID, d.member.Started, info.RateLimit, now)
	case info.InvalidRateLimit == "":
		ended = r.placer.EndRateLimit(d.member.ID, d.member.Started)
	}
	r.mutex.Unlock()
	key := rateLimitKey + incarnation(d.member)
	switch {
	case info.HasRateLimit:
		r.post(key, rateLimitNotice{PerSecond: &info.RateLimit}, rateLimitTTL)
		if began {
			d.logAnnouncement(elmlog.RateLimitAnnounced, "perSecond", info.RateLimit)
		}
	case ended:
		r.post(key, rateLimitNotice{}, rateLimitTTL)
		d.logAnnouncement(elmlog.RateLimitEnded)
	case info.InvalidRateLimit != "":
		d.logAnnouncement(elmlog.RateLimitInvalid, "value", info.InvalidRateLimit)
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
