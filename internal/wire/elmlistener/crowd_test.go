package elmlistener_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/elmcove/elmcove/internal/limit/elmmemory"
	"github.com/elmcove/elmcove/internal/wire/elmlistener"
)

// startLimited starts a server whose requests to /wait are served until release is closed.
func startLimited(t *testing.T, maxConnections int, limits elmmemory.Limits) (address string, account *elmmemory.Account, release chan struct{}) {
	t.Helper()
	address, account, release, _ = startObserved(t, maxConnections, limits)
	return address, account, release
}

// startObserved is like startLimited, and sends a value each time that a connection has become
// idle for the server.
func startObserved(t *testing.T, maxConnections int, limits elmmemory.Limits) (address string, account *elmmemory.Account, release, idled chan struct{}) {
	t.Helper()
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	account = elmmemory.NewAccount(limits, func(elmmemory.Pool) {})
	listener := elmlistener.New(inner, elmlistener.WithMaxConnections(maxConnections),
		elmlistener.WithAccount(account),
		elmlistener.WithHeadLimits(func() elmlistener.HeadLimits {
			return elmlistener.HeadLimits{Time: time.Minute, Bytes: 16 << 10}
		}))
	release, idled = make(chan struct{}), make(chan struct{}, 16)
	server := &http.Server{
		Handler: elmlistener.ProtectBodies(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			if r.URL.Path == "/wait" {
				<-release
			}
		})),
		ConnState: func(c net.Conn, state http.ConnState) {
			listener.OnStateChange(c, state)
			if state == http.StateIdle {
				select {
				case idled <- struct{}{}:
				default: // The test does not wait for it.
				}
			}
		},
		ConnContext: elmlistener.ConnContext,
	}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return inner.Addr().String(), account, release, idled
}

func dialWith(t *testing.T, address, text string) *bufio.Reader {
	t.Helper()
	conn, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	_, _ = io.WriteString(conn, text) // The server may close.
	return bufio.NewReader(conn)
}

// status returns the status of the next response, or 0 if the connection is closed.
func status(reader *bufio.Reader) int {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode
}

// Guards against a further connection that ends one whose request is being served in place of
// one that is idle or has stopped.
func TestMaxConnections(t *testing.T) {
	address, _, release, idled := startObserved(t, 3, elmmemory.Limits{})
	const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	served := dialWith(t, address, "GET /wait HTTP/1.1\r\nHost: a\r\n\r\n")
	stopped := dialWith(t, address, "GET / HT")
	idle := dialWith(t, address, request)
	if got := status(idle); got != http.StatusOK {
		t.Fatalf("got %d", got)
	}
	awaitIdle(t, idled) // A caller may have the answer before the server has noted its end.
	for range 2 {       // The first one ends the idle one, and the second one the first.
		if got := status(dialWith(t, address, request)); got != http.StatusOK {
			t.Errorf("further connection: got %d", got)
		}
		awaitIdle(t, idled)
	}
	if _, err := idle.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("idle connection: %v", err)
	}
	close(release)
	if got := status(served); got != http.StatusOK {
		t.Errorf("connection that was serving: %d", got)
	}
	_ = stopped
}

// Guards against heads that take more than the pool, and legal ones that are ended.
func TestHeadMemory(t *testing.T) {
	address, account, _ := startLimited(t, 0, elmmemory.Limits{Heads: 1 << 20})
	lines := func(n int) string { return "GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("a:\r\n", n) }
	if got := status(dialWith(t, address, lines(4000)+"\r\n")); got != http.StatusOK {
		t.Errorf("legal head: %d", got)
	}
	awaitUsed(t, account, func(used int64) bool { return used == 0 }) // The first request has ended.
	_ = dialWith(t, address, lines(4000))                             // It holds most of the pool.
	awaitUsed(t, account, func(used int64) bool { return used >= 600<<10 })
	if got := status(dialWith(t, address, lines(4000)+"\r\n")); got != 0 {
		t.Errorf("head without memory: %d", got)
	}
	if got := status(dialWith(t, address, lines(20)+"\r\n")); got != http.StatusOK {
		t.Errorf("ordinary head beside it: %d", got)
	}
	time.Sleep(elmmemory.StallTime)
	if got := status(dialWith(t, address, lines(4000)+"\r\n")); got != http.StatusOK {
		t.Errorf("head after the other one has stalled: %d", got)
	}
	awaitUsed(t, account, func(used int64) bool { return used == 0 })
	if got := status(dialWith(t, address, lines(8000))); got != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("head over the limit: %d", got)
	}
}

// awaitIdle waits until a connection has become idle.
func awaitIdle(t *testing.T, idled <-chan struct{}) {
	t.Helper()
	select {
	case <-idled:
	case <-time.After(10 * time.Second):
		t.Fatal("no connection has become idle")
	}
}

// awaitUsed waits until the memory that heads hold meets a condition.
func awaitUsed(t *testing.T, account *elmmemory.Account, met func(used int64) bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !met(account.Used(elmmemory.Heads)); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("heads hold %d bytes", account.Used(elmmemory.Heads))
		}
	}
}
