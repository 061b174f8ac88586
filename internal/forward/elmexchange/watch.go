package elmexchange

import (
	"context"
	"sync"
	"time"
)

// Watch observes an exchange while it runs, so that how long it waits for a silent endpoint
// can be decided during the silence. The zero value is ready to use, for one exchange.
type Watch struct {
	mutex sync.Mutex
	// conn is the connection of the exchange while it runs, or nil.
	conn *conn
	// patience is the time until the end of the exchange's context, from its start.
	patience time.Duration
}

// Silence returns the time since bytes of the response last arrived, or since the start of
// the exchange. It is 0 while the request has no connection.
func (w *Watch) Silence() time.Duration {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.conn == nil {
		return 0
	}
	return time.Since(processStart) - time.Duration(w.conn.heardAt.Load())
}

// IsAwaited reports whether the response is being read, so that a silence is the endpoint's and
// not that of a caller who does not take what has arrived.
func (w *Watch) IsAwaited() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.conn != nil && w.conn.reading.Load()
}

// SetMovable sets whether the request may be sent to another endpoint now. It then counts
// as failed soon if the endpoint can't be reached, or does not read. Otherwise it waits
// until its context ends, as it does at first.
func (w *Watch) SetMovable(movable bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	switch {
	case w.conn == nil:
	case movable:
		w.conn.limitUnacked(unackedTimeout)
	default:
		w.conn.limitUnacked(w.patience)
	}
}

// begin starts to observe the exchange on a connection.
func (w *Watch) begin(ctx context.Context, c *conn) {
	c.heard()
	patience := unackedTimeout
	if deadline, ok := ctx.Deadline(); ok {
		patience = max(unackedTimeout, time.Until(deadline))
	}
	w.mutex.Lock()
	w.conn, w.patience = c, patience
	w.mutex.Unlock()
	w.SetMovable(false)
}

// end ends the observation: the connection may carry other exchanges next.
func (w *Watch) end() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.conn = nil
}

// processStart is the origin of the times at which bytes arrived.
var processStart = time.Now()

// heard records that bytes have arrived.
func (c *conn) heard() { c.heardAt.Store(int64(time.Since(processStart))) }
