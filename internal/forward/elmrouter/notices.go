package elmrouter

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/elmcove/elmcove/internal/forward/elmnotice"
	"github.com/elmcove/elmcove/internal/forward/elmsnapshot"
	"github.com/elmcove/elmcove/internal/model/elmendpoint"
	"github.com/elmcove/elmcove/internal/observe/elmclock"
)

const (
	// noticeInterval is the time between two evaluations of the notices.
	noticeInterval = 100 * time.Millisecond
	// rateLimitTTL is how long a rate limit holds at entries that send the endpoint no
	// requests. Those that do renew it.
	rateLimitTTL = 30 * time.Second
	// leavingTTL is how long the notice that an incarnation is leaving is kept.
	leavingTTL = 10 * time.Minute
	// minSharedPause is the shortest pause that is shared. Shorter ones are nearly
	// over when others learn of them.
	minSharedPause = time.Second
	// maxSharedPause is the longest lease that the store grants.
	maxSharedPause = 10 * time.Minute
)

// Keys of notices on what endpoints announced. An incarnation follows them.
const (
	rateLimitKey = "limit/"
	leavingKey   = "leaving/"
	pauseKey     = "pause/"
)

// leavingNotice is the value of a notice that an endpoint is leaving.
type leavingNotice struct{}

// pauseNotice is the value of a notice on an endpoint's pause. Until is in Unix
// milliseconds.
type pauseNotice struct {
	Until int64 `json:"until"`
}

// rateLimitNotice is the value of a notice on an endpoint's rate limit. It has no rate
// if the endpoint announces none any more.
type rateLimitNotice struct {
	PerSecond *float64 `json:"rate,omitempty"`
}

// incarnation returns the text that identifies an incarnation of an endpoint in keys.
func incarnation(m elmsnapshot.Member) string {
	return m.ID + "@" + strconv.FormatInt(m.Started, 10)
}

// parseIncarnation is the inverse of incarnation.
func parseIncarnation(text string) (id string, started int64, ok bool) {
	at := strings.LastIndexByte(text, '@')
	if at < 0 {
		return "", 0, false
	}
	started, err := strconv.ParseInt(text[at+1:], 10, 64)
	return text[:at], started, err == nil
}

// post shares a notice with the other entries.
func (r *Router) post(key string, value any, ttl time.Duration) {
	document, err := json.Marshal(value)
	if err != nil {
		return // Notices hold only strings and numbers, which always encode.
	}
	r.board.Post(elmnotice.Notice{Key: key, Value: string(document), TTL: ttl}, elmclock.Now())
}

// decodeNotice decodes the value of a notice. One that can't be decoded says nothing.
func decodeNotice[N any](value string) N {
	var n N
	if json.Unmarshal([]byte(value), &n) != nil {
		var none N
		return none
	}
	return n
}

// watchNotices applies the notices of all entries until the context ends.
func (r *Router) watchNotices(ctx context.Context) {
	for ctx.Err() == nil {
		now, snapshot := elmclock.Now(), r.follower.Snapshot()
		notices := r.board.Merge(snapshot.SystemKeys(elmnotice.KeyPrefix), now)
		r.judgeSignatures(notices, now)
		r.applyAnnouncements(notices, now)
		if snapshot.HasConfig() {
			r.informed.Store(true)
		}
		elmclock.Wait(ctx, noticeInterval)
	}
}

// applyAnnouncements applies the notices on what endpoints announced that are new.
func (r *Router) applyAnnouncements(notices map[string]string, now time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for key, value := range notices {
		if old, ok := r.applied[key]; !ok || old != value {
			r.applyAnnouncement(key, value, now)
			r.applied[key] = value
		}
	}
	for key := range r.applied {
		if _, ok := notices[key]; ok {
			continue
		}
		delete(r.applied, key)
		if strings.HasPrefix(key, rateLimitKey) {
			r.applyAnnouncement(key, "{}", now) // No entry renews it any more.
		}
	}
}

// applyAnnouncement applies a notice on what an endpoint announced. The mutex must be
// held.
func (r *Router) applyAnnouncement(key, value string, now time.Duration) {
	kind, rest, _ := strings.Cut(key, "/")
	id, started, ok := parseIncarnation(rest)
	if !ok {
		return
	}
	m := elmsnapshot.Member{Endpoint: elmendpoint.Endpoint{ID: id, Started: started}}
	switch kind + "/" {
	case rateLimitKey:
		if n := decodeNotice[rateLimitNotice](value); n.PerSecond != nil {
			r.placer.SetRateLimit(id, started, *n.PerSecond, now)
		} else {
			r.placer.EndRateLimit(id, started)
		}
	case leavingKey:
		r.placer.SetLeaving(m)
	case pauseKey:
		remaining := time.Duration(decodeNotice[pauseNotice](value).Until-time.Now().UnixMilli()) * time.Millisecond
		r.placer.SetPause(m, now+min(remaining, maxSharedPause), now)
	}
}

// sharePause shares that an endpoint wants no requests for some time.
func (r *Router) sharePause(m elmsnapshot.Member, pause time.Duration) {
	if pause < minSharedPause {
		return
	}
	until := time.Now().Add(pause).Truncate(minSharedPause / 2)
	r.post(pauseKey+incarnation(m), pauseNotice{Until: until.UnixMilli()}, min(pause, maxSharedPause))
}
