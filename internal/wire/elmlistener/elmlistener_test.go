package elmlistener_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/elmcove/elmcove/internal/wire/elmlistener"
)

const (
	head     = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n"
	body     = "ok"
	idle     = 100 * time.Millisecond
	closedBy = 5 * time.Second
)

// fixture is a server with one connection of a caller.
type fixture struct {
	t        *testing.T
	listener *elmlistener.Listener
	conn     net.Conn
	reader   *bufio.Reader
	limit    atomic.Int64
	// onLimit is called at each call for the idle limit.
	onLimit func()
	ended   chan elmlistener.EndReason
	// block holds handlers until it is closed, if it is set.
	block chan struct{}
	// headOut is set if the head of a response is sent before block holds the handler.
	headOut bool
	// announces is set if responses announce the idle limit.
	announces bool
	// received gets a value when a handler has read a request.
	received chan struct{}
}

func newFixture(t *testing.T, change func(*fixture)) *fixture {
	t.Helper()
	f := &fixture{t: t, ended: make(chan elmlistener.EndReason, 10), onLimit: func() {}, received: make(chan struct{}, 10)}
	f.limit.Store(int64(idle))
	if change != nil {
		change(f)
	}
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f.listener = elmlistener.New(inner, elmlistener.WithIdleLimit(func() time.Duration {
		f.onLimit()
		return time.Duration(f.limit.Load())
	}), elmlistener.WithEnded(func(r elmlistener.EndReason) { f.ended <- r }))
	server := &http.Server{ConnState: f.listener.OnStateChange, ConnContext: elmlistener.ConnContext, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request, _ := io.ReadAll(r.Body)
		if f.announces {
			elmlistener.AnnounceKeepAlive(w.Header(), r)
		}
		f.received <- struct{}{}
		if f.headOut {
			_ = http.NewResponseController(w).Flush()
		}
		if f.block != nil {
			<-f.block
		}
		_, _ = w.Write(request)
	})}
	go func() { _ = server.Serve(f.listener) }()
	t.Cleanup(func() { _ = server.Close() })
	if f.conn, err = net.Dial("tcp4", inner.Addr().String()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = f.conn.Close() })
	f.reader = bufio.NewReader(f.conn)
	return f
}

// send writes bytes to the connection.
func (f *fixture) send(text string) {
	f.t.Helper()
	if _, err := io.WriteString(f.conn, text); err != nil {
		f.t.Fatal(err)
	}
}

// expectAnswer reads a complete answer.
func (f *fixture) expectAnswer() {
	f.t.Helper()
	response, err := http.ReadResponse(f.reader, nil)
	if err == nil && response.StatusCode == http.StatusContinue {
		_ = response.Body.Close()
		response, err = http.ReadResponse(f.reader, nil)
	}
	if err != nil {
		f.t.Fatalf("no answer: %v", err)
	}
	defer response.Body.Close() //nolint:errcheck // The body has been read.
	if got, err := io.ReadAll(response.Body); err != nil || string(got) != body {
		f.t.Fatalf("got %q, %v", got, err)
	}
}

// expectEnd reads the end of the connection, which the listener has ended for a reason.
func (f *fixture) expectEnd(reason elmlistener.EndReason) {
	f.t.Helper()
	_ = f.conn.SetReadDeadline(time.Now().Add(closedBy))
	if _, err := f.reader.ReadByte(); !errors.Is(err, io.EOF) {
		f.t.Fatalf("got %v, want the end of the connection", err)
	}
	if got := <-f.ended; got != reason {
		f.t.Errorf("ended as %s, want %s", got, reason)
	}
}

// exchange sends a request and reads the answer.
func (f *fixture) exchange() {
	f.t.Helper()
	f.send(head + body)
	f.expectAnswer()
}

// drain starts draining and returns the channel for its result.
func (f *fixture) drain(limit time.Duration) <-chan error {
	done := make(chan error, 1)
	ctx, cancel := context.WithTimeout(f.t.Context(), limit)
	f.t.Cleanup(cancel)
	go func() { done <- f.listener.Drain(ctx) }()
	for { // The listening socket is closed first.
		conn, err := net.Dial("tcp4", f.listener.Addr().String())
		if err != nil {
			return done
		}
		_ = conn.Close()
	}
}

// Guards against a connection that is closed under a request: as idle, and while the process
// is stopping (review/1).
func TestConnections(t *testing.T) {
	t.Parallel()
	for name, run := range map[string]func(*testing.T){
		"closed when idle": func(t *testing.T) {
			f := newFixture(t, nil)
			f.exchange()
			f.expectEnd(elmlistener.EndedIdle)
		},
		"closed without a request": func(t *testing.T) {
			newFixture(t, nil).expectEnd(elmlistener.EndedIdle)
		},
		"head is being read at the idle limit": func(t *testing.T) {
			f := newFixture(t, nil)
			f.exchange()
			f.send(head[:10])
			<-time.After(idle + 1500*time.Millisecond)
			f.send(head[10:] + body)
			f.expectAnswer()
		},
		"request arrives as the idle limit passes": func(t *testing.T) {
			var f *fixture
			var calls atomic.Int32
			f = newFixture(t, func(f *fixture) {
				f.onLimit = func() {
					if calls.Add(1) == 3 { // After accept and the end of the first request.
						f.send(head + body)
					}
				}
			})
			f.exchange()
			f.expectAnswer()
		},
		"limit is raised while idle": func(t *testing.T) {
			f := newFixture(t, nil)
			f.exchange()
			f.limit.Store(int64(time.Minute))
			<-time.After(idle + 1500*time.Millisecond)
			f.exchange()
		},
		"idle at a drain": func(t *testing.T) {
			f := newFixture(t, func(f *fixture) { f.limit.Store(int64(time.Minute)) })
			f.exchange()
			done := f.drain(closedBy)
			f.expectEnd(elmlistener.EndedDraining)
			if err := <-done; err != nil {
				t.Error(err)
			}
		},
		"head is being read at a drain": func(t *testing.T) {
			f := newFixture(t, nil)
			f.exchange()
			f.send(head[:10])
			<-time.After(50 * time.Millisecond)
			done := f.drain(closedBy)
			f.send(head[10:] + body)
			f.expectAnswer()
			if err := <-done; err != nil {
				t.Error(err)
			}
		},
		"request follows on one that a drain waits for": func(t *testing.T) {
			f := newFixture(t, func(f *fixture) { f.block = make(chan struct{}) })
			f.send(head + body)
			<-f.received
			f.send(head[:1])
			<-time.After(50 * time.Millisecond)
			done := f.drain(closedBy)
			close(f.block)
			f.expectAnswer()
			f.send(head[1:] + body)
			f.expectAnswer()
			if err := <-done; err != nil {
				t.Error(err)
			}
		},
		"new connection at a drain": func(t *testing.T) {
			f := newFixture(t, nil)
			f.exchange() // The connection of a caller that dials next is accepted after this one.
			next, err := net.Dial("tcp4", f.listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer next.Close() //nolint:errcheck // The answer has been read.
			<-time.After(50 * time.Millisecond)
			f.drain(closedBy)
			if _, err = io.WriteString(next, head+body); err != nil {
				t.Fatal(err)
			}
			answer, err := io.ReadAll(next)
			if err != nil || !strings.HasSuffix(string(answer), body) {
				t.Errorf("got %q, %v", answer, err)
			}
		},
		"drain ends before a request": func(t *testing.T) {
			f := newFixture(t, func(f *fixture) { f.block = make(chan struct{}) })
			t.Cleanup(func() { close(f.block) })
			f.send(head + body)
			<-f.received
			if err := <-f.drain(200 * time.Millisecond); !errors.Is(err, elmlistener.ErrListener) {
				t.Errorf("got %v", err)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			run(t)
		})
	}
}
