// Package elmexchange sends requests to endpoints over HTTP/1.1 and tells apart
// what net/http's client hides: whether any byte of a request was sent, and
// whether an answer belongs to it.
//
// # Usage
//
//	exchange := elmexchange.New(elmexchange.WithAnswerTo(attemptOf))
//	answer, err := exchange.Do(ctx, "10.0.0.4:80", request)
//	if errors.Is(err, elmexchange.ErrUnsent) { /* safe to send elsewhere */ }
//	defer answer.Close()
package elmexchange

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/elmcove/elmcove/internal/wire/elmsocket"
)

var (
	// ErrUnsent reports a request of which no byte was sent.
	ErrUnsent = errors.New("exchange: not sent")
	// ErrBroken reports a request that was sent, at least in part, and has no
	// usable answer.
	ErrBroken = errors.New("exchange: no usable answer")
)

const (
	// dialTimeout covers one lost opening packet less: endpoints accept within
	// milliseconds.
	dialTimeout = 500 * time.Millisecond
	// silentTimeout ends a connection whose bytes are not acknowledged, in
	// half of the time after which callers give up on a stream.
	silentTimeout = time.Second
	// defaultIdle is used where an endpoint states no idle timeout.
	defaultIdle = 3 * time.Second
	// idleMargin is taken off an endpoint's idle timeout, so that a request
	// does not cross its close.
	idleMargin = time.Second
	// idlePerEndpoint bounds the kept connections to an endpoint.
	idlePerEndpoint = 16
	// inlineBody is the size up to which a request fits the buffers of a new
	// connection, so that sending it can't wait for the endpoint.
	inlineBody = 16 << 10
	// strayAnswers bounds the answers to others that are passed over.
	strayAnswers = 3
	readBuffer   = 4 << 10
)

// Request is a request as an endpoint gets it.
type Request struct {
	Method string
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Attempt identifies the request. Answers to others are passed over.
	Attempt string
}

// Exchange keeps connections to endpoints. It is safe for concurrent use.
type Exchange struct {
	attemptOf func(http.Header) string
	opened    func(address string)

	mutex sync.Mutex
	idle  map[string][]*conn
}

// Option changes an Exchange.
type Option func(*Exchange)

// WithAnswerTo sets the function that reads the request that an answer belongs
// to. Answers for which it returns "" belong to the request that waits.
func WithAnswerTo(attemptOf func(http.Header) string) Option {
	return func(e *Exchange) { e.attemptOf = attemptOf }
}

// WithOpened sets a function that is told of each new connection.
func WithOpened(opened func(address string)) Option {
	return func(e *Exchange) { e.opened = opened }
}

// New returns an Exchange without connections.
func New(options ...Option) *Exchange {
	e := &Exchange{
		attemptOf: func(http.Header) string { return "" },
		opened:    func(string) {},
		idle:      map[string][]*conn{},
	}
	for _, option := range options {
		option(e)
	}
	return e
}

// conn is a connection that serves one request at a time.
type conn struct {
	net.Conn
	reader  *bufio.Reader
	address string
	expires time.Time
}

// Do sends a request and returns the head of its answer. The context bounds the
// whole exchange, the body of the answer included.
func (e *Exchange) Do(ctx context.Context, address string, r Request) (*Answer, error) {
	c, err := e.connect(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnsent, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	sent := make(chan error, 1)
	if err = send(c, r, sent); err != nil {
		stop()
		_ = c.Close()
		return nil, err
	}
	response, err := e.receive(c, r) //nolint:bodyclose // The Answer owns the connection.
	if err != nil {
		stop()
		_ = c.Close()
		return nil, fmt.Errorf("%w: %w", ErrBroken, err)
	}
	return &Answer{Status: response.StatusCode, Header: response.Header, exchange: e, conn: c, response: response, stop: stop, sent: sent}, nil
}

// send writes the head and body. Long bodies are written beside the reading of
// the answer, since an endpoint may answer before it has read them.
func send(c *conn, r Request, sent chan<- error) error {
	message := head(r)
	if len(r.Body) <= inlineBody {
		n, err := c.Write(append(message, r.Body...))
		sent <- err
		return sendError(n, err)
	}
	n, err := c.Write(message)
	if err != nil {
		return sendError(n, err)
	}
	go func() {
		_, err := c.Write(r.Body)
		sent <- err
	}()
	return nil
}

func sendError(written int, err error) error {
	switch {
	case err == nil:
		return nil
	case written == 0:
		return fmt.Errorf("%w: %w", ErrUnsent, err)
	}
	return fmt.Errorf("%w: %w", ErrBroken, err)
}

func head(r Request) []byte {
	var b bytes.Buffer
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = r.Header.Write(&b) // A bytes.Buffer takes all writes.
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// receive reads the head of the answer that belongs to the request.
func (e *Exchange) receive(c *conn, r Request) (*http.Response, error) {
	for strays := 0; ; {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, fmt.Errorf("read answer: %w", err)
		}
		if response.StatusCode >= 100 && response.StatusCode < 200 {
			continue
		}
		attempt := e.attemptOf(response.Header)
		if attempt == "" || attempt == r.Attempt {
			return response, nil
		}
		strays++
		if strays > strayAnswers {
			return nil, errors.New("only answers to other requests")
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, fmt.Errorf("answer to another request: %w", err)
		}
		c.expires = time.Time{} // Not to be used again.
	}
}

func (e *Exchange) connect(ctx context.Context, address string) (*conn, error) {
	if c := e.takeIdle(address); c != nil {
		return c, nil
	}
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: time.Second, Control: elmsocket.EndSilent(silentTimeout)}
	plain, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("connect: %w", err)
	}
	e.opened(address)
	return &conn{
		Conn: plain, reader: bufio.NewReaderSize(plain, readBuffer),
		address: address, expires: time.Now().Add(defaultIdle),
	}, nil
}

func (e *Exchange) takeIdle(address string) *conn {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for list := e.idle[address]; len(list) > 0; list = e.idle[address] {
		c := list[len(list)-1]
		e.idle[address] = list[:len(list)-1]
		if time.Now().Before(c.expires) && c.quiet() {
			return c
		}
		_ = c.Close()
	}
	return nil
}

func (e *Exchange) keep(c *conn) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	list := e.idle[c.address]
	if len(list) >= idlePerEndpoint {
		_ = list[0].Close()
		list = list[1:]
	}
	e.idle[c.address] = append(list, c)
}

// Prune closes the kept connections that have stayed too long.
func (e *Exchange) Prune() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := time.Now()
	for address, list := range e.idle {
		var kept []*conn
		for _, c := range list {
			if now.Before(c.expires) {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
		}
		e.idle[address] = kept
		if len(kept) == 0 {
			delete(e.idle, address)
		}
	}
}

// quiet reports whether the endpoint has neither closed the connection nor sent
// bytes that belong to no request.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		_, _, failure := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(failure, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// keptFor returns how long an endpoint lets a connection stay idle.
func keptFor(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		if value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if n, err := strconv.Atoi(value); err == nil {
				return time.Duration(n)*time.Second - idleMargin
			}
		}
	}
	return defaultIdle
}
