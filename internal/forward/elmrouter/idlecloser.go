package elmrouter

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleCloser closes callers' connections that stay idle for longer than a limit.
// The limit may change at run time; a connection gets the value that is in effect
// when it becomes idle.
type idleCloser struct {
	limit func() time.Duration

	mutex  sync.Mutex
	timers map[net.Conn]*time.Timer
}

func newIdleCloser(limit func() time.Duration) *idleCloser {
	return &idleCloser{limit: limit, timers: map[net.Conn]*time.Timer{}}
}

// onStateChange is the server's ConnState hook. It starts the timer of a connection
// that becomes idle and stops it at the next change.
func (ic *idleCloser) onStateChange(c net.Conn, state http.ConnState) {
	ic.mutex.Lock()
	defer ic.mutex.Unlock()
	if timer, ok := ic.timers[c]; ok {
		timer.Stop()
		delete(ic.timers, c)
	}
	if state == http.StateIdle {
		_ = c.SetWriteDeadline(time.Time{}) // That of the last request does not hold for the next one.
		ic.timers[c] = time.AfterFunc(ic.limit(), func() { _ = c.Close() })
	}
}
