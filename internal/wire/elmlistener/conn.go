package elmlistener

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/elmcove/elmcove/internal/limit/elmmemory"
)

const (
	// idleMargin is the time beyond the idle limit after which a connection is closed. The
	// peer counts the limit from when it has read the response.
	idleMargin = time.Second
	// firstRequestWait is how long a new connection of a listener that is draining may take
	// to its first request.
	firstRequestWait = time.Second
	// readAheadSize is the number of bytes that net/http reads from a connection while a
	// handler runs.
	readAheadSize = 1
	// lingerTime is how long a connection is read further after its last response. The close of
	// a connection with unread bytes resets it, and the peer then loses what it has not read.
	lingerTime = 500 * time.Millisecond
	// discardSize is the number of bytes that are discarded at once.
	discardSize = 4 << 10
)

// phase is what a connection is doing.
type phase int

const (
	// awaiting means that no byte of the next request was read.
	awaiting phase = iota
	// receiving means that the head of a request is being read.
	receiving
	// serving means that a request is being handled.
	serving
)

// conn is a connection of a server. Its read deadline is the earliest of the server's own,
// the end of the idle time, and the end of the time for a head.
type conn struct {
	*net.TCPConn
	listener *Listener
	accepted time.Time

	mutex sync.Mutex
	phase phase
	// early is set when the first byte of the next request was read while a request was
	// being handled.
	early bool
	// used is set when a request was received.
	used      bool
	idleSince time.Time
	idleLimit time.Duration
	// announced is the idle limit that the response to the current request has announced, or 0.
	announced time.Duration
	// headBuffer is the size of the server's buffer for the heads of requests.
	headBuffer int
	// maxHead is the limit of the head that is being received in bytes, or 0.
	maxHead int
	// headEnd is the deadline for the head that is being received.
	headEnd time.Time
	// serverDeadline is the read deadline that the server has set.
	serverDeadline time.Time
	// reads is the number of calls of Read in progress.
	reads int
	// final is set when the peer has closed the connection, it has failed or it is being closed.
	final bool
	// resets is set while a close resets the connection.
	resets bool
	// holder has the memory that the connection holds beyond its allowance.
	holder *elmmemory.Holder
	// head counts the head that is being received, and ahead what may have been read of it
	// together with the request before.
	head  headCount
	ahead headCount
	// evicted is set when the connection must return its memory, and crowded when it must end if
	// no request comes.
	evicted, crowded bool
	// leaving is set while the connection counts as leaving. The listener's mutex guards it.
	leaving bool
}

// Read reads from the connection. It returns io.EOF if the connection ends between two
// requests.
func (c *conn) Read(p []byte) (int, error) {
	c.beginRead(len(p))
	defer c.endRead()
	for {
		n, err := c.TCPConn.Read(p)
		c.recordError(err)
		if c.isEvicted() {
			return 0, os.ErrDeadlineExceeded
		}
		if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
			if n, err = c.expire(p); n == 0 && err == nil {
				continue
			}
		}
		if n > 0 {
			c.receive(len(p) == readAheadSize)
			if !c.chargeHead(p[:n], len(p)) {
				// net/http takes a line that is cut for a malformed one and would respond with 400.
				_ = c.SetWriteDeadline(past)
				return 0, os.ErrDeadlineExceeded // The server closes the connection.
			}
		}
		return n, err
	}
}

// beginRead records that the server reads into a part of its buffer. If the rest of the buffer
// is in use between two requests, it holds the beginning of the next one, which was read
// together with the last.
func (c *conn) beginRead(size int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.reads++
	if c.headBuffer == 0 {
		c.headBuffer = size
	}
	switch {
	case c.phase != awaiting:
	case size < c.headBuffer:
		c.startHead()
	default: // The server's buffer is empty.
		c.ahead = headCount{}
	}
}

func (c *conn) endRead() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.reads--
}

// recordError records whether nothing more can be read.
func (c *conn) recordError(err error) {
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.final = true
}

// expire handles a deadline that has passed. It returns neither bytes nor an error if the
// connection may be read further.
func (c *conn) expire(p []byte) (int, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Now()
	idle := c.phase == awaiting && !isPast(c.serverDeadline, now)
	draining := c.listener.isDraining()
	if idle {
		c.idleLimit = max(c.idleLimit, c.listener.idleLimit())
		if now.Before(c.idleEnd(draining)) {
			return 0, c.setReadDeadline()
		}
	}
	if c.phase == serving && len(p) == readAheadSize {
		return 0, os.ErrDeadlineExceeded // The server stops reading ahead.
	}
	// A busy process may not have read in time what has arrived.
	n, err := c.readAvailable(p)
	switch {
	case n > 0 || err != nil:
		return n, err
	case !idle:
		return 0, os.ErrDeadlineExceeded
	case draining:
		c.listener.ended(EndedDraining)
	case c.crowded:
		c.listener.ended(EndedCrowded)
	default:
		c.listener.ended(EndedIdle)
	}
	return 0, io.EOF
}

// readAvailable reads the bytes that have arrived, without waiting. The mutex must be held.
func (c *conn) readAvailable(p []byte) (int, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	if err = c.TCPConn.SetReadDeadline(time.Time{}); err != nil { // No read succeeds after a deadline.
		return 0, err
	}
	n := 0
	var readErr error
	err = raw.Read(func(fd uintptr) bool {
		n, readErr = syscall.Read(int(fd), p)
		return true
	})
	switch {
	case err != nil:
		return 0, err
	case errors.Is(readErr, syscall.EAGAIN):
		n = 0
	case readErr != nil:
		return 0, readErr
	case n == 0:
		c.final = true
		return 0, io.EOF
	}
	return n, c.setReadDeadline()
}

// receive records that bytes were read, ahead or as the server needed them.
func (c *conn) receive(ahead bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	switch c.phase {
	case awaiting:
		c.startHead()
	case serving:
		c.early = c.early || ahead
	case receiving:
	}
}

// startHead starts the time for the head of a request. The mutex must be held.
func (c *conn) startHead() {
	c.phase, c.used, c.early = receiving, true, false
	c.head, c.ahead = c.ahead, headCount{}
	limits := c.listener.headLimit()
	c.maxHead = limits.Bytes
	now := time.Now()
	c.headEnd = now.Add(limits.Time)
	c.holder.Begin(now)
	c.stay()
	_ = c.setReadDeadline() // It fails only on a closed connection.
}

// begin records that the head of a request was read.
func (c *conn) begin() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.phase, c.used, c.headEnd, c.announced = serving, true, time.Time{}, 0
	c.holder.Begin(time.Now())
	c.stay()                // The request may have come together with the one before.
	_ = c.setReadDeadline() // It fails only on a closed connection.
}

// await records that a request has been handled.
func (c *conn) await() {
	c.holder.Reset(time.Now())
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.early {
		c.startHead()
		return
	}
	c.phase, c.headEnd = awaiting, time.Time{}
	c.idleSince, c.idleLimit = time.Now(), max(c.announced, c.listener.idleLimit())
	_ = c.setReadDeadline() // It fails only on a closed connection.
}

// refresh applies a change of the listener to the pending read.
func (c *conn) refresh() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	_ = c.setReadDeadline() // It fails only on a closed connection.
}

// SetReadDeadline sets the server's own deadline.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.serverDeadline = t
	return c.setReadDeadline()
}

// SetLinger sets what happens to unsent data at the close. With 0 the connection is reset.
func (c *conn) SetLinger(seconds int) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.resets = seconds == 0
	return c.TCPConn.SetLinger(seconds)
}

// Close ends the sent data and reads until the peer has closed the connection as well, for a
// limited time, before it closes the connection.
func (c *conn) Close() error {
	if c.startClosing() && c.CloseWrite() == nil {
		c.holder.Close() // What is discarded takes no memory.
		c.discard()
	}
	c.listener.remove(c)
	c.holder.Close()
	return c.TCPConn.Close()
}

// startClosing reports whether the connection may linger: the peer may still send, the server's
// reader has ended, and the last response may still be on its way. A request that comes after
// that must stay unread, since the peer may send one that was not read again.
func (c *conn) startClosing() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	responding := c.phase != awaiting || time.Since(c.idleSince) < lingerTime
	linger := !c.final && !c.resets && c.reads == 0 && responding
	c.final = true
	return linger
}

// discard reads until the peer closes the connection or the time has passed.
func (c *conn) discard() {
	if c.TCPConn.SetReadDeadline(time.Now().Add(lingerTime)) != nil {
		return
	}
	buffer := make([]byte, discardSize)
	for {
		if _, err := c.TCPConn.Read(buffer); err != nil {
			return
		}
	}
}

// setReadDeadline sets the earliest deadline that applies. The mutex must be held.
func (c *conn) setReadDeadline() error {
	if c.final {
		return nil // The deadline of discard holds.
	}
	if c.evicted {
		return c.TCPConn.SetReadDeadline(past)
	}
	deadline := earliest(c.serverDeadline, c.headEnd)
	if c.phase == awaiting {
		deadline = earliest(deadline, c.idleEnd(c.listener.isDraining()))
	}
	return c.TCPConn.SetReadDeadline(deadline)
}

// idleEnd returns when the connection ends if no request comes. The mutex must be held.
func (c *conn) idleEnd(draining bool) time.Time {
	switch {
	case c.crowded:
		return c.idleSince
	case !draining:
		return c.idleSince.Add(c.idleLimit + idleMargin)
	case c.used:
		return c.idleSince
	}
	return c.accepted.Add(firstRequestWait)
}

// earliest returns the earlier of two deadlines, where the zero time means none.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// isPast reports whether a deadline has passed.
func isPast(deadline, now time.Time) bool { return !deadline.IsZero() && !now.Before(deadline) }
