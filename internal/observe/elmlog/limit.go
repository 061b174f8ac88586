package elmlog

import (
	"sync"
	"time"
)

// perSecond is the number of lines of one event that are written in a second.
// Each entry has a tenth of that on a busy day.
const perSecond = 200

// limiter bounds the lines of each event. What is left out is counted.
type limiter struct {
	mutex sync.Mutex
	rows  map[Event]*row
}

type row struct {
	second  int64
	written int
	omitted int
}

// allow reports whether a line may be written, and how many lines of the event
// were left out before it.
func (l *limiter) allow(e Event, now time.Time) (allowed bool, omitted int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	r, ok := l.rows[e]
	if !ok {
		r = &row{}
		l.rows[e] = r
	}
	if second := now.Unix(); second != r.second {
		r.second, r.written = second, 0
	}
	if r.written >= perSecond {
		r.omitted++
		return false, 0
	}
	r.written++
	omitted, r.omitted = r.omitted, 0
	return true, omitted
}
