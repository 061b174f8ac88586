package elmexchange_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/elmcove/elmcove/internal/forward/elmexchange"
)

// endpoint serves each connection with a script: it reads one request before it
// writes each part, and closes the connection after the last part.
type endpoint struct {
	listener net.Listener
	requests chan string
}

// newEndpoint starts an endpoint that serves one connection for each script.
func newEndpoint(t *testing.T, scripts ...[]string) *endpoint {
	t.Helper()
	return newEndpointAfter(t, 0, scripts...)
}

// newEndpointAfter starts an endpoint that reads nothing from a connection for a time.
func newEndpointAfter(t *testing.T, silence time.Duration, scripts ...[]string) *endpoint {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &endpoint{listener: listener, requests: make(chan string, 16)}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for _, script := range scripts {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			<-time.After(silence)
			e.play(c, script)
		}
	}()
	return e
}

func (e *endpoint) play(c net.Conn, script []string) {
	defer c.Close() //nolint:errcheck // The connection is no longer needed.
	reader := bufio.NewReader(c)
	for _, part := range script {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(request.Body)
		e.requests <- request.Method + " " + request.RequestURI + " " + string(body)
		_, _ = io.WriteString(c, part)
	}
}

func (e *endpoint) address() string { return e.listener.Addr().String() }

func newClient(opened *int) *elmexchange.Client {
	return elmexchange.New(
		elmexchange.WithAttemptOf(func(h http.Header) string { return h.Get("For") }),
		elmexchange.WithOpened(func(string) { *opened++ }),
	)
}

func request(id string) elmexchange.Request {
	return elmexchange.Request{
		Method: "POST", Target: "/a%20b?q=1", Host: "h.example", Header: http.Header{"X": {"y"}}, Body: []byte("body"), Attempt: id,
	}
}

const responseHead = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=5\r\nFor: "

func responseText(id, body string) string { return responseHead + id + "\r\n\r\n" + body }

type exchangeCase struct {
	script []string
	// doErr is the error of Do. readFails is set if reading the body fails.
	doErr     error
	readFails bool
	body      string
	// reused is set if a second request uses the same connection.
	reused bool
}

var exchangeCases = map[string]exchangeCase{
	"complete response": {
		script: []string{responseText("1", "hi"), responseText("2", "hi")}, body: "hi", reused: true,
	},
	"response to another request comes first": {
		script: []string{responseText("0", "no") + responseText("1", "hi")}, body: "hi",
	},
	"a second response follows": {
		script: []string{responseText("1", "hi") + responseText("1", "hi")}, body: "hi",
	},
	"response without an attempt": {
		script: []string{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"}, body: "hi",
	},
	"informational response": {
		script: []string{"HTTP/1.1 103 Early Hints\r\n\r\n" + responseText("1", "hi"), responseText("2", "hi")}, body: "hi", reused: true,
	},
	"no response": {
		script: []string{""}, doErr: elmexchange.ErrNoResponse,
	},
	"bytes that are not a response": {
		script: []string{"what?\r\n\r\n"}, doErr: elmexchange.ErrNoResponse,
	},
	"body ends early": {
		script: []string{responseText("1", "h")}, body: "h", readFails: true,
	},
	"chunks end early": {
		script: []string{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nFor: 1\r\n\r\n2\r\nhi\r\n"}, body: "hi", readFails: true,
	},
	"body that ends with the connection": {
		script: []string{"HTTP/1.1 200 OK\r\nFor: 1\r\n\r\nhi"}, body: "hi",
	},
	"endpoint closes after its response": {
		script: []string{"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\nFor: 1\r\n\r\nhi"}, body: "hi",
	},
}

func TestDo(t *testing.T) {
	for name, c := range exchangeCases {
		t.Run(name, func(t *testing.T) {
			opened := 0
			e := newEndpoint(t, c.script, []string{responseText("2", "hi")})
			x := newClient(&opened)
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			a, err := x.Do(ctx, e.address(), request("1"))
			if !errors.Is(err, c.doErr) {
				t.Fatalf("error %v, want %v", err, c.doErr)
			}
			if err != nil {
				return
			}
			body, err := io.ReadAll(a)
			if string(body) != c.body || (err != nil) != c.readFails {
				t.Errorf("body %q, error %v", body, err)
			}
			a.Close()
			b, err := x.Do(ctx, e.address(), request("2"))
			if err != nil {
				t.Fatal(err)
			}
			b.Close()
			if reused := opened == 1; reused != c.reused {
				t.Errorf("%d connections, want reuse %v", opened, c.reused)
			}
		})
	}
}

func TestRequestIsForwardedByteForByte(t *testing.T) {
	opened := 0
	e := newEndpoint(t, []string{responseText("1", "hi")})
	a, err := newClient(&opened).Do(t.Context(), e.address(), request("1"))
	if err != nil {
		t.Fatal(err)
	}
	a.Close()
	if got := <-e.requests; got != "POST /a%20b?q=1 body" {
		t.Errorf("the endpoint got %q", got)
	}
}

func TestConnectionRefused(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	opened := 0
	if _, err := newClient(&opened).Do(t.Context(), address, request("1")); !errors.Is(err, elmexchange.ErrUnsent) {
		t.Errorf("error %v, want ErrUnsent", err)
	}
}

// TestCallerLeaves checks that the end of the context closes the connection, which
// stops the endpoint's work.
func TestCallerLeaves(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close() //nolint:errcheck // The test is over.
	ctx, cancel := context.WithCancel(t.Context())
	closed := make(chan error, 1)
	go func() {
		c, err := listener.Accept()
		if err != nil {
			closed <- err
			return
		}
		_, _ = http.ReadRequest(bufio.NewReader(c))
		cancel()
		_, err = io.Copy(io.Discard, c)
		closed <- err
	}()
	opened := 0
	if _, err := newClient(&opened).Do(ctx, listener.Addr().String(), request("1")); !errors.Is(err, elmexchange.ErrNoResponse) {
		t.Errorf("error %v", err)
	}
	if err := <-closed; err != nil && !strings.Contains(err.Error(), "reset") {
		t.Errorf("the endpoint saw %v", err)
	}
}

// TestEarlyAnswerToALongBody checks that a response is returned although the
// endpoint has not read the request body, and that the connection is not reused.
func TestEarlyAnswerToALongBody(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close() //nolint:errcheck // The test is over.
	go func() {
		for {
			c, acceptErr := listener.Accept()
			if acceptErr != nil {
				return
			}
			go func() {
				_, _ = bufio.NewReaderSize(c, 16).ReadString('\n')
				_, _ = io.WriteString(c, responseText("1", "no"))
			}()
		}
	}()
	opened := 0
	x := newClient(&opened)
	long := request("1")
	long.Body = bytes.Repeat([]byte("x"), 8<<20)
	a, err := x.Do(t.Context(), listener.Addr().String(), long)
	if err != nil {
		t.Fatal(err)
	}
	if body, readErr := io.ReadAll(a); readErr != nil || string(body) != "no" {
		t.Errorf("body %q, error %v", body, readErr)
	}
	a.Close()
	b, err := x.Do(t.Context(), listener.Addr().String(), request("1"))
	if err != nil {
		t.Fatal(err)
	}
	b.Close()
	if opened != 2 {
		t.Errorf("%d connections, want 2", opened)
	}
}
