// Package elmlistener accepts the connections of an HTTP server and closes them only
// between two requests.
//
// A timer, http.Server.Shutdown and http.Server.SetKeepAlivesEnabled close connections
// that the server counts as idle. The server counts a connection as idle until it has read
// the complete head of a request, so that they close connections on which a request is being
// read or has just been read. Here the read of a request's first byte decides: a connection
// ends because it is idle, or because the process is stopping, only if that read finds
// nothing to read. Requests whose first byte was read are handled.
//
// The listener counts the bytes and lines of a head while it is read, before net/http parses
// it, and takes the memory for them from an account. A connection whose memory is taken back is
// closed if it is receiving a head; if its request's body is coming in, the body fails with
// os.ErrDeadlineExceeded. A request that has come in completely is never ended. Handlers are
// wrapped by ProtectBodies, which tells the listener when that is.
//
// A connection that is closed is read for a while after its last response, so that bytes which
// are still coming in do not reset it under a peer that has not read that response yet.
//
// # Usage
//
//	listener := elmlistener.New(inner, elmlistener.WithIdleLimit(limit))
//	server := &http.Server{Handler: handler, ConnState: listener.OnStateChange, ConnContext: elmlistener.ConnContext}
//	go server.Serve(listener)
//	<-ctx.Done()
//	err := listener.Drain(grace) // In place of server.Shutdown.
//
// Handlers call AnnounceKeepAlive before they write the head of a response.
//
// The server must not set IdleTimeout, ReadTimeout or ReadHeaderTimeout.
package elmlistener

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/elmcove/elmcove/internal/limit/elmmemory"
)

// ErrListener reports that connections are still open after a drain.
var ErrListener = errors.New("listener")

// Listener accepts connections for an HTTP server. It is safe for concurrent use.
type Listener struct {
	net.Listener
	idleLimit func() time.Duration
	headLimit func() HeadLimits
	ended     func(EndReason)
	account   *elmmemory.Account
	// maxConnections is the limit of open connections, or 0 for none. The connections that were
	// told to end to make room don't count.
	maxConnections int

	mutex       sync.Mutex
	connections map[*conn]struct{}
	// leaving is the number of connections that were told to end to make room.
	leaving  int
	draining bool
	// stopped is set when the listening socket is closed, after queueAccepted connections.
	stopped       bool
	queueAccepted atomic.Int32
	// acceptCalls is the number of calls of Accept.
	acceptCalls atomic.Int64
	// drained is closed when the listener is draining and has no connections left.
	drained     chan struct{}
	drainedOnce sync.Once
}

// EndReason is the reason for which a connection was closed between two requests.
type EndReason string

const (
	// EndedIdle means that no request came within the idle limit.
	EndedIdle EndReason = "idle"
	// EndedDraining means that the process is stopping.
	EndedDraining EndReason = "draining"
	// EndedCrowded means that the connection was closed so that another one could be accepted.
	EndedCrowded EndReason = "crowded"
	// EndedRefused means that the connection was not accepted, since no other one could be closed.
	EndedRefused EndReason = "refused"
	// EndedHeadSize means that the head of a request exceeded its limit.
	EndedHeadSize EndReason = "head size"
	// EndedHeadMemory means that there was no memory for the head of a request.
	EndedHeadMemory EndReason = "head memory"
)

// HeadLimits are the limits of the head of a request.
type HeadLimits struct {
	// Time is the time from the first byte to the end.
	Time time.Duration
	// Bytes is the limit beyond which the listener ends a head itself, or 0 for none. It refuses
	// a request that exceeds it by more than headMargin.
	Bytes int
}

// Option configures New.
type Option func(*Listener)

// WithIdleLimit sets a function that returns how long a connection may stay idle. It is
// called when a connection becomes idle and again when that time has passed; the longer
// time holds.
func WithIdleLimit(limit func() time.Duration) Option {
	return func(l *Listener) { l.idleLimit = limit }
}

// WithHeadLimit sets the time from the first byte of a request to the end of its head.
func WithHeadLimit(limit time.Duration) Option {
	return func(l *Listener) { l.headLimit = func() HeadLimits { return HeadLimits{Time: limit} } }
}

// WithHeadLimits sets a function that returns the limits of heads. It is called for each head.
func WithHeadLimits(limits func() HeadLimits) Option {
	return func(l *Listener) { l.headLimit = limits }
}

// WithAccount sets the account of the memory that connections hold.
func WithAccount(account *elmmemory.Account) Option {
	return func(l *Listener) { l.account = account }
}

// WithMaxConnections limits the number of connections. To accept a further one, the listener
// closes the one that has been idle for longest, or else one whose request stopped coming in.
func WithMaxConnections(limit int) Option {
	return func(l *Listener) { l.maxConnections = limit }
}

// WithEnded sets a function that is called for each connection that the listener ends.
func WithEnded(ended func(EndReason)) Option {
	return func(l *Listener) { l.ended = ended }
}

const (
	// defaultIdleLimit and defaultHeadLimit apply without an option.
	defaultIdleLimit = time.Minute
	defaultHeadLimit = 15 * time.Second
	// acceptTime is the time to accept a queued connection.
	acceptTime = 100 * time.Millisecond
	// acceptWait is longer than net/http waits after a temporary error before it accepts again.
	acceptWait = 2 * time.Second
	// maxQueue is the size of the largest accept queue. Callers that connect all the time must
	// not keep a drain from ending.
	maxQueue = 4096
)

// New returns a Listener that accepts the TCP connections of another listener.
func New(inner net.Listener, options ...Option) *Listener {
	l := &Listener{
		Listener:    inner,
		idleLimit:   func() time.Duration { return defaultIdleLimit },
		headLimit:   func() HeadLimits { return HeadLimits{Time: defaultHeadLimit} },
		ended:       func(EndReason) {},
		connections: map[*conn]struct{}{},
		drained:     make(chan struct{}),
	}
	for _, option := range options {
		option(l)
	}
	return l
}

// Accept implements net.Listener. During a drain it returns the connections that are in the
// accept queue, and then closes the listening socket.
func (l *Listener) Accept() (net.Conn, error) {
	l.acceptCalls.Add(1)
	for {
		if l.isDraining() && !l.acceptQueued() {
			_ = l.Close() // It fails only if the listener is closed already.
			return nil, net.ErrClosed
		}
		accepted, err := l.Listener.Accept()
		if err == nil && !l.makeRoom(time.Now()) {
			_ = accepted.Close() // Nothing was read or written.
			l.ended(EndedRefused)
			continue
		}
		if err == nil {
			return l.track(accepted), nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, err //nolint:wrapcheck // The server accepts again after temporary errors.
		}
	}
}

// track returns an accepted connection as one of the listener's.
func (l *Listener) track(accepted net.Conn) net.Conn {
	tcp, ok := accepted.(*net.TCPConn)
	if !ok {
		return accepted
	}
	now := time.Now()
	c := &conn{TCPConn: tcp, listener: l, accepted: now, idleSince: now, idleLimit: l.idleLimit()}
	c.holder = l.account.Open(now, c.evict)
	l.add(c)
	c.refresh()
	return c
}

// acceptQueued reports whether a connection is in the accept queue and may be accepted.
func (l *Listener) acceptQueued() bool {
	tcp, ok := l.Listener.(*net.TCPListener)
	if !ok || l.queueAccepted.Add(1) > maxQueue {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	queued := 0
	err = raw.Control(func(fd uintptr) {
		queued, _ = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0) //nolint:gosec // Descriptors are small.
	})
	return err == nil && queued > 0 && tcp.SetDeadline(time.Now().Add(acceptTime)) == nil
}

// interruptAccept ends a call of Accept that waits, which then finds the queue.
func (l *Listener) interruptAccept() {
	tcp, ok := l.Listener.(*net.TCPListener)
	if !ok || tcp.SetDeadline(time.Now()) != nil {
		_ = l.Close()
	}
}

// Close closes the listening socket.
func (l *Listener) Close() error {
	err := l.Listener.Close()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.stopped = true
	l.checkDrained()
	return err //nolint:wrapcheck // It is the error of the net package.
}

func (l *Listener) add(c *conn) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.connections[c] = struct{}{}
}

// OnStateChange is the server's ConnState hook.
func (l *Listener) OnStateChange(c net.Conn, state http.ConnState) {
	own, ok := c.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		own.begin()
	case http.StateIdle:
		own.await()
	case http.StateNew, http.StateHijacked, http.StateClosed:
	}
}

// Drain stops accepting connections, except those in the accept queue, and closes each open
// one between two requests. It waits until all are closed or the context ends.
func (l *Listener) Drain(ctx context.Context) error {
	open := l.startDraining()
	l.interruptAccept()
	for _, c := range open {
		c.refresh()
	}
	ticker := time.NewTicker(acceptWait / 2)
	defer ticker.Stop()
	for calls, silent := l.acceptCalls.Load(), 0; ; {
		select {
		case <-l.drained:
			return nil
		case <-ticker.C:
			if now := l.acceptCalls.Load(); now != calls {
				calls, silent = now, 0
			} else if silent++; silent == 2 {
				_ = l.Close() // No server accepts connections.
			}
		case <-ctx.Done():
			_ = l.Close()
			return fmt.Errorf("%w: %d connections are still open: %w", ErrListener, l.open(), context.Cause(ctx))
		}
	}
}

// startDraining returns the connections that are open.
func (l *Listener) startDraining() []*conn {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.draining {
		return nil
	}
	l.draining = true
	open := make([]*conn, 0, len(l.connections))
	for c := range l.connections {
		open = append(open, c)
	}
	return open
}

func (l *Listener) isDraining() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.draining
}

func (l *Listener) open() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.connections)
}

// remove forgets a connection that is closed.
func (l *Listener) remove(c *conn) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if _, ok := l.connections[c]; !ok {
		return
	}
	delete(l.connections, c)
	if c.leaving {
		l.leaving--
	}
	l.checkDrained()
}

// checkDrained closes drained if nothing is left to wait for. The mutex must be held.
func (l *Listener) checkDrained() {
	if l.draining && l.stopped && len(l.connections) == 0 {
		l.drainedOnce.Do(func() { close(l.drained) })
	}
}
