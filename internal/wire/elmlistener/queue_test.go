package elmlistener_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/elmcove/elmcove/internal/wire/elmlistener"
)

// Guards against a drain that resets connections which the kernel has accepted and the server
// has not, with whole requests in them.
func TestDrainServesTheAcceptQueue(t *testing.T) {
	t.Parallel()
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := elmlistener.New(inner)
	conns := make([]net.Conn, 5)
	for i := range conns {
		if conns[i], err = net.Dial("tcp4", inner.Addr().String()); err != nil {
			t.Fatal(err)
		}
		defer conns[i].Close() //nolint:errcheck // The response has been read.
		_, _ = io.WriteString(conns[i], request)
	}
	drained := make(chan error, 1)
	go func() { drained <- listener.Drain(t.Context()) }()
	<-time.After(readTime)                                                                                                             // A busy process accepts nothing while the drain begins.
	server := &http.Server{ConnState: listener.OnStateChange, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { //nolint:gosec // Only the test connects to it.
		_, _ = io.Copy(w, r.Body)
	})}
	go func() { _ = server.Serve(listener) }()
	for i, conn := range conns {
		response, readErr := http.ReadResponse(bufio.NewReader(conn), nil)
		if readErr != nil {
			t.Errorf("connection %d: %v", i, readErr)
			continue
		}
		_ = response.Body.Close()
		_ = conn.Close()
	}
	if err = <-drained; err != nil {
		t.Error(err)
	}
	if _, err = net.Dial("tcp4", inner.Addr().String()); err == nil {
		t.Error("the listener still accepts connections")
	}
}

// Guards against a drain that waits until its limit although no server accepts connections
// any more.
func TestDrainWithoutServer(t *testing.T) {
	t.Parallel()
	for name, accepts := range map[string]int{"never served": 0, "server has ended": 1} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			inner, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			listener := elmlistener.New(inner)
			for range accepts {
				accepted := make(chan net.Conn, 1)
				go func() {
					conn, _ := listener.Accept()
					accepted <- conn
				}()
				conn, dialErr := net.Dial("tcp4", inner.Addr().String())
				if dialErr != nil {
					t.Fatal(dialErr)
				}
				_ = conn.Close()
				_ = (<-accepted).Close()
			}
			ctx, cancel := context.WithTimeout(t.Context(), closedBy)
			defer cancel()
			if err = listener.Drain(ctx); err != nil {
				t.Error(err)
			}
			if _, err = net.Dial("tcp4", inner.Addr().String()); err == nil {
				t.Error("the listener still accepts connections")
			}
		})
	}
}
