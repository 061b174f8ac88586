package elmlistener_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/elmcove/elmcove/internal/wire/elmabort"
	"github.com/elmcove/elmcove/internal/wire/elmlistener"
)

// Guards against a reset that destroys the end of a response because bytes of the caller are
// unread when the connection is closed. Only a response to HTTP/1.0 that is aborted is reset.
func TestCloseWithUnreadBytes(t *testing.T) {
	t.Parallel()
	const size = 6 << 20 // More than both sockets hold.
	large := bytes.Repeat([]byte("a"), size)
	for name, c := range map[string]struct {
		// first is sent at once and later while the response is sent.
		first, later string
		handle       http.HandlerFunc
		// reset is set if the connection must be reset.
		reset bool
		size  int
	}{
		"request after the last response": {
			first: request, later: request + request, size: size,
			handle: func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Connection", "close")
				_, _ = w.Write(large)
			},
		},
		"body of a refused request": {
			first: "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9999999\r\n\r\n", later: string(large),
			handle: func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Connection", "close")
				w.WriteHeader(http.StatusRequestEntityTooLarge)
			},
		},
		"aborted response to HTTP/1.0": {
			first: "GET / HTTP/1.0\r\n\r\n", reset: true, size: 2,
			handle: func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, body)
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			inner, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			listener := elmlistener.New(inner)
			server := &http.Server{Handler: c.handle, ConnState: listener.OnStateChange} //nolint:gosec // Only the test connects to it.
			elmabort.Protect(server)
			go func() { _ = server.Serve(listener) }()
			t.Cleanup(func() { _ = server.Close() })
			conn, err := net.Dial("tcp4", inner.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close() //nolint:errcheck // The response has been read.
			_, _ = io.WriteString(conn, c.first)
			<-time.After(readTime)
			if c.later != "" {
				if _, err = io.WriteString(conn, c.later); err != nil {
					t.Errorf("the caller can't send: %v", err)
				}
			}
			reader := bufio.NewReader(conn)
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				t.Fatal(err)
			}
			defer response.Body.Close() //nolint:errcheck // The body has been read.
			got, err := io.ReadAll(io.LimitReader(response.Body, size/2))
			<-time.After(readTime) // The server has closed the connection when the rest is read.
			rest, restErr := io.ReadAll(response.Body)
			got, err = append(got, rest...), errors.Join(err, restErr)
			if err == nil {
				_, err = reader.ReadByte()
			}
			if reset := errors.Is(err, syscall.ECONNRESET); reset != c.reset || len(got) != c.size {
				t.Errorf("got %d bytes, %v", len(got), err)
			}
		})
	}
}

// Guards against a request that is lost without its caller's knowing: it crosses the close of an
// idle connection, is read and discarded, and the caller does not send it again because it was
// read.
func TestRequestThatCrossesAnIdleCloseIsNotRead(t *testing.T) {
	t.Parallel()
	for name, end := range map[string]func(*fixture) elmlistener.EndReason{
		"idle limit": func(*fixture) elmlistener.EndReason { return elmlistener.EndedIdle },
		"drain": func(f *fixture) elmlistener.EndReason {
			f.limit.Store(int64(time.Minute))
			<-time.After(600 * time.Millisecond)
			go func() { _ = f.listener.Drain(context.Background()) }()
			return elmlistener.EndedDraining
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, nil)
			f.send(head + body)
			f.expectAnswer()
			f.expectEnd(end(f))
			// The first bytes are answered by a reset, which the later ones meet.
			var err error
			for range 20 {
				if _, err = io.WriteString(f.conn, head+body); err != nil {
					break
				}
				<-time.After(10 * time.Millisecond)
			}
			if !errors.Is(err, syscall.EPIPE) && !errors.Is(err, syscall.ECONNRESET) {
				t.Errorf("the request was read: %v", err)
			}
		})
	}
}
