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
func (k *idleCloser) onStateChange(c net.Conn, state http.ConnState) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if timer, ok := k.timers[c]; ok {
		timer.Stop()
		delete(k.timers, c)
	}
	if state == http.StateIdle {
		k.timers[c] = time.AfterFunc(k.limit(), func() { _ = c.Close() })
	}
}
