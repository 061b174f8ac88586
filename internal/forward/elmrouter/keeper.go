package elmrouter

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// keeper closes callers' connections that stay idle for longer than the limit
// in force, which may change while they are.
type keeper struct {
	limit func() time.Duration

	mutex  sync.Mutex
	timers map[net.Conn]*time.Timer
}

func newKeeper(limit func() time.Duration) *keeper {
	return &keeper{limit: limit, timers: map[net.Conn]*time.Timer{}}
}

// watch is told of each change of a connection's state.
func (k *keeper) watch(c net.Conn, state http.ConnState) {
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
