package elmlog

import (
	"sync"
	"time"
)

// maxLinesPerSecond is the rate limit of each event. An entry under high load
// writes about a tenth of that.
const maxLinesPerSecond = 200

// limiter limits the rate of each event and counts the lines it drops.
type limiter struct {
	mutex   sync.Mutex
	windows map[Event]*window
}

// window counts the lines of one event in the current second.
type window struct {
	second  int64
	written int
	omitted int
}

// allow reports whether a line may be written, and how many lines of the event
// were dropped since the last written one.
func (l *limiter) allow(e Event, now time.Time) (allowed bool, omitted int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	w, ok := l.windows[e]
	if !ok {
		w = &window{}
		l.windows[e] = w
	}
	if second := now.Unix(); second != w.second {
		w.second, w.written = second, 0
	}
	if w.written >= maxLinesPerSecond {
		w.omitted++
		return false, 0
	}
	w.written++
	omitted, w.omitted = w.omitted, 0
	return true, omitted
}
