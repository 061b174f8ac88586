// Package elmexchange sends requests to endpoints over HTTP/1.1. Unlike net/http's
// client, it reports whether any byte of a request was sent, and it checks whether
// a response belongs to the request.
//
// # Usage
//
//	client := elmexchange.New(elmexchange.WithAttemptOf(attemptOf))
//	response, err := client.Do(ctx, "10.0.0.4:80", request)
//	if errors.Is(err, elmexchange.ErrUnsent) { /* safe to send elsewhere */ }
//	defer response.Close()
package elmexchange

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/elmcove/elmcove/internal/wire/elmconn"
	"github.com/elmcove/elmcove/internal/wire/elmresponse"
	"github.com/elmcove/elmcove/internal/wire/elmsocket"
)

var (
	// ErrUnsent reports that no byte of a request was sent.
	ErrUnsent = errors.New("exchange: not sent")
	// ErrNoResponse reports that a request was sent, at least in part, but has no
	// usable response.
	ErrNoResponse = errors.New("exchange: no usable response")
	// errUnidentified reports a response that may belong to the pending request or to an
	// earlier one on its connection.
	errUnidentified = errors.New("response names no attempt on a reused connection")
)

const (
	// dialTimeout is too short for the retransmission of a lost SYN: endpoints
	// accept connections within milliseconds.
	dialTimeout = 500 * time.Millisecond
	// unackedTimeout is how long the data of a request that can be sent elsewhere may
	// stay unacknowledged before the connection is closed, and how long an idle connection
	// may be unreachable: half of the time after which callers give up on a stream.
	unackedTimeout = time.Second
	// defaultIdleTimeout applies if an endpoint announces no idle timeout.
	defaultIdleTimeout = 3 * time.Second
	// idleMargin is subtracted from an endpoint's idle timeout, so that no request
	// is sent while the endpoint closes the connection.
	idleMargin = time.Second
	// maxIdlePerEndpoint limits the idle connections to an endpoint.
	maxIdlePerEndpoint = 16
	// maxInlineBody is the body size in bytes up to which a request fits the socket
	// buffers of a new connection, so that sending it never blocks on the endpoint.
	maxInlineBody = 16 << 10
	// maxStrayResponses limits the skipped responses to other requests.
	maxStrayResponses = 3
	// maxHeadBytes limits the bytes that are read before the head of the response is
	// complete, with all skipped responses.
	maxHeadBytes = 64 << 10
	// readBufferSize is the read buffer of a connection in bytes.
	readBufferSize = 4 << 10
)

// errHeadTooLong reports a response whose head does not end within maxHeadBytes.
var errHeadTooLong = errors.New("head of the response is too long")

// Request is a request as it is sent to an endpoint.
type Request struct {
	Method string
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// More are the segments of the body that follow Body.
	More [][]byte
	// Attempt identifies the request. Responses to other attempts are skipped.
	Attempt string
	// Watch observes the exchange, unless it is nil.
	Watch *Watch
}

// length returns the length of the body.
func (r Request) length() int {
	length := len(r.Body)
	for _, segment := range r.More {
		length += len(segment)
	}
	return length
}

// Client sends requests and keeps idle connections to endpoints for reuse. It is
// safe for concurrent use.
type Client struct {
	attemptOf func(http.Header) string
	opened    func(address string)

	mutex sync.Mutex
	idle  map[string][]*conn
}

// Option configures New.
type Option func(*Client)

// WithAttemptOf sets the function that reads from the headers of a response the
// attempt that it belongs to. It returns "" if they name none.
func WithAttemptOf(attemptOf func(http.Header) string) Option {
	return func(cl *Client) { cl.attemptOf = attemptOf }
}

// WithOpened sets a function that is called for each new connection.
func WithOpened(opened func(address string)) Option {
	return func(cl *Client) { cl.opened = opened }
}

// New returns a ready Client without connections.
func New(options ...Option) *Client {
	cl := &Client{
		attemptOf: func(http.Header) string { return "" },
		opened:    func(string) {},
		idle:      map[string][]*conn{},
	}
	for _, option := range options {
		option(cl)
	}
	return cl
}

// conn is a connection that carries one request at a time. It may be reused until
// expires; a zero time forbids reuse.
type conn struct {
	*elmconn.Conn
	reader *elmresponse.Reader
	// headBytes is the number of bytes that may still be read, while inHead is set.
	headBytes int
	inHead    bool
	address   string
	expires   time.Time
	// unacked is the TCP_USER_TIMEOUT of the connection.
	unacked time.Duration
	// carried holds the attempts of all requests that were sent on the connection.
	carried []string
	// heardAt is when bytes last arrived, or the exchange began, since processStart.
	heardAt atomic.Int64
	// reading is set while bytes are waited for.
	reading atomic.Bool
}

// Read reads from the connection, with a limit while a head is read.
func (c *conn) Read(p []byte) (int, error) {
	if c.inHead {
		p = p[:min(len(p), c.headBytes)]
		if len(p) == 0 {
			return 0, errHeadTooLong
		}
	}
	c.reading.Store(true)
	n, err := c.Conn.Read(p)
	c.reading.Store(false)
	c.heard()
	if c.inHead {
		c.headBytes -= n
	}
	return n, err
}

// Do sends a request and reads the head of its response. The context bounds the
// complete exchange, including the body of the response.
func (cl *Client) Do(ctx context.Context, address string, r Request) (*Response, error) {
	c, err := cl.idleOrDial(ctx, address, r.Attempt)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnsent, err)
	}
	c.carried = append(c.carried, r.Attempt)
	watch := r.Watch
	if watch == nil {
		watch = &Watch{}
	}
	watch.begin(ctx, c)
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	sent := make(chan error, 1)
	if err = send(c, r, sent); err != nil {
		stop()
		watch.end()
		_ = c.Close()
		return nil, err
	}
	response, err := cl.readResponse(c, r) //nolint:bodyclose // The returned value owns the connection.
	if err != nil {
		stop()
		watch.end()
		_ = c.Close()
		return nil, fmt.Errorf("%w: %w", ErrNoResponse, err)
	}
	return &Response{
		Status: response.StatusCode, Header: response.Header,
		client: cl, conn: c, watch: watch, response: response, stop: stop, sent: sent,
	}, nil
}

// limitUnacked sets how long data may stay unacknowledged.
func (c *conn) limitUnacked(limit time.Duration) {
	if limit == c.unacked {
		return
	}
	_ = elmsocket.SetUserTimeout(c, limit) // It fails only on a closed connection.
	c.unacked = limit
}

// send writes the head and body. Long bodies are written concurrently with reading
// the response, since an endpoint may respond before it has read them.
func send(c *conn, r Request, sent chan<- error) error {
	message := encodeHead(r)
	if r.length() <= maxInlineBody {
		n, err := c.Write(append(append(message, r.Body...), bytes.Join(r.More, nil)...))
		sent <- err
		return sendError(n, err)
	}
	n, err := c.Write(message)
	if err != nil {
		return sendError(n, err)
	}
	go func() {
		_, err := c.Write(r.Body)
		for i := 0; err == nil && i < len(r.More); i++ {
			_, err = c.Write(r.More[i])
		}
		sent <- err
	}()
	return nil
}

// sendError wraps a write error according to whether bytes were written.
func sendError(written int, err error) error {
	switch {
	case err == nil:
		return nil
	case written == 0:
		return fmt.Errorf("%w: %w", ErrUnsent, err)
	}
	return fmt.Errorf("%w: %w", ErrNoResponse, err)
}

// encodeHead returns the request line and headers.
func encodeHead(r Request) []byte {
	var b bytes.Buffer
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = r.Header.Write(&b) // Writes to a bytes.Buffer never fail.
	length := r.length()
	if length > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(length) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// readResponse reads the head of the response that belongs to the request. It skips
// informational responses and responses to other attempts.
func (cl *Client) readResponse(c *conn, r Request) (*http.Response, error) {
	c.inHead, c.headBytes = true, maxHeadBytes
	defer func() { c.inHead = false }()
	for strays := 0; ; {
		response, err := c.reader.Next(&http.Request{Method: r.Method})
		if err != nil {
			return nil, fmt.Errorf("read response: %w", err)
		}
		if response.StatusCode >= 100 && response.StatusCode < 200 {
			continue
		}
		owner := c.ownerOf(cl.attemptOf(response.Header), r.Attempt)
		if owner != ownerIdentified {
			c.expires = time.Time{} // Another response to this request may follow.
		}
		switch owner {
		case ownerIdentified, ownerOnly:
			return response, nil
		case ownerUnknown:
			return nil, errUnidentified
		}
		strays++
		if strays > maxStrayResponses {
			return nil, errors.New("received only responses to other requests")
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, fmt.Errorf("skip response to another request: %w", err)
		}
	}
}

// idleOrDial returns an idle connection to the address that has not carried the attempt,
// or dials a new one.
func (cl *Client) idleOrDial(ctx context.Context, address, attempt string) (*conn, error) {
	if c := cl.takeIdle(address, attempt); c != nil {
		return c, nil
	}
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: time.Second, Control: elmsocket.UserTimeout(unackedTimeout)}
	dialed, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("connect: %w", err)
	}
	cl.opened(address)
	c := &conn{Conn: elmconn.New(dialed), address: address, expires: time.Now().Add(defaultIdleTimeout), unacked: unackedTimeout}
	c.reader = elmresponse.NewReader(c, readBufferSize)
	return c, nil
}

// IsRefused reports whether an address refuses new connections, so that no process
// listens there. Without an answer it reports false.
func (cl *Client) IsRefused(ctx context.Context, address string) bool {
	dialer := &net.Dialer{Timeout: dialTimeout}
	dialed, err := dialer.DialContext(ctx, "tcp", address)
	if err == nil {
		_ = dialed.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// takeIdle removes and returns a reusable idle connection that has not carried the attempt,
// or nil if there is none.
func (cl *Client) takeIdle(address, attempt string) *conn {
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	for {
		list := cl.idle[address]
		i := lastUsable(list, attempt)
		if i < 0 {
			return nil
		}
		c := list[i]
		cl.idle[address] = slices.Delete(list, i, i+1)
		if time.Now().Before(c.expires) && c.isReusable() {
			return c
		}
		_ = c.Close()
	}
}

// putIdle keeps a connection for reuse. The oldest one is closed if there are too
// many.
func (cl *Client) putIdle(c *conn) {
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	list := cl.idle[c.address]
	if len(list) >= maxIdlePerEndpoint {
		_ = list[0].Close()
		list = list[1:]
	}
	cl.idle[c.address] = append(list, c)
}

// Prune closes the idle connections whose idle timeout has passed.
func (cl *Client) Prune() {
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	now := time.Now()
	for address, list := range cl.idle {
		var kept []*conn
		for _, c := range list {
			if now.Before(c.expires) {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
		}
		cl.idle[address] = kept
		if len(kept) == 0 {
			delete(cl.idle, address)
		}
	}
}

// isReusable reports whether the endpoint has neither closed the connection nor sent
// unexpected bytes.
func (c *conn) isReusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	err = raw.Read(func(fd uintptr) bool {
		_, _, failure := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		reusable = errors.Is(failure, syscall.EAGAIN)
		return true
	})
	return err == nil && reusable
}

// idleTimeout returns how long a connection may stay idle: the timeout that the
// endpoint announces in its Keep-Alive header less a margin, or the default.
func idleTimeout(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		if value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if n, err := strconv.Atoi(value); err == nil {
				return time.Duration(n)*time.Second - idleMargin
			}
		}
	}
	return defaultIdleTimeout
}
