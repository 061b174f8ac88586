// Package elmconn reports a lost TCP connection to its reader, also if its writer has met the
// loss first.
//
// The kernel reports the error of a lost connection once, to whichever call comes first. If that
// is a write, reads then see the end of the stream, as if the peer had closed the connection in
// order. A response that ends with its connection would count as complete.
//
// # Usage
//
//	dialed, err := dialer.DialContext(ctx, "tcp", address)
//	conn := elmconn.New(dialed)
package elmconn

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/elmcove/elmcove/internal/wire/elmsocket"
)

// Conn is a connection whose reads end with io.EOF only if the peer has closed its side.
type Conn struct {
	net.Conn

	// writing is held during each write.
	writing sync.Mutex
	// lost is the error with which a write has met the loss of the connection, or nil.
	lost atomic.Pointer[error]
}

// New returns a Conn for a connection that is read and written through it only.
func New(inner net.Conn) *Conn { return &Conn{Conn: inner} }

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if isLoss(err) {
		c.lost.Store(&err)
	}
	return n, err //nolint:wrapcheck // As if the connection were not wrapped.
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		if lost := c.lostError(); lost != nil {
			return n, lost
		}
	}
	return n, err //nolint:wrapcheck // As if the connection were not wrapped.
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	inner, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return inner.SyscallConn() //nolint:wrapcheck // As if the connection were not wrapped.
}

// lostError returns the error of a connection whose reads have come to their end, or nil if the
// peer has closed its side.
func (c *Conn) lostError() error {
	if elmsocket.IsClosed(c) {
		c.writing.Lock() // A write in progress fails now, and may be the one that has met the loss.
		defer c.writing.Unlock()
	}
	if lost := c.lost.Load(); lost != nil {
		return *lost
	}
	return nil
}

// isLoss reports whether a write has met the loss of its connection. It fails with EPIPE if
// the peer had closed its side before.
func isLoss(err error) bool {
	var code syscall.Errno
	return errors.As(err, &code) && code != syscall.EPIPE
}
