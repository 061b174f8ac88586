package elmrouter

import (
	"context"
	"encoding/json"
	"time"

	"github.com/elmcove/elmcove/internal/forward/elmnotice"
	"github.com/elmcove/elmcove/internal/observe/elmclock"
)

// noticeInterval is the time between two evaluations of the notices.
const noticeInterval = 100 * time.Millisecond

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
		r.judgeSegments(r.board.Merge(snapshot.SystemKeys(elmnotice.KeyPrefix), now), now)
		if snapshot.HasConfig() {
			r.informed.Store(true)
		}
		elmclock.Wait(ctx, noticeInterval)
	}
}
