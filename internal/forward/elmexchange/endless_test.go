package elmexchange_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/elmcove/elmcove/internal/forward/elmexchange"
)

// newEndless starts an endpoint that answers with a text and then repeats another one
// until the connection is closed. It reports how many bytes it has sent.
func newEndless(t *testing.T, first, repeated string) (address string, sent <-chan int) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	result := make(chan int, 1)
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		defer c.Close() //nolint:errcheck // The connection is no longer needed.
		if _, err = http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		_, _ = io.WriteString(c, first)
		total := 0
		for block := strings.Repeat(repeated, 1+4096/len(repeated)); err == nil; {
			var n int
			n, err = io.WriteString(c, block)
			total += n
		}
		result <- total
	}()
	return listener.Addr().String(), result
}

// Guards against a process that runs out of memory, or callers who wait, because an
// endpoint sends bytes without end before the head of its response is complete.
func TestEndlessHead(t *testing.T) {
	for name, c := range map[string]struct{ first, repeated string }{
		"status line":                    {"HTTP/1.1 200 ", "x"},
		"header line":                    {"HTTP/1.1 200 OK\r\nA: ", "x"},
		"header lines":                   {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"bytes that are not a response":  {"", "\x00"},
		"informational responses":        {"", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"},
		"body of a response to another":  {responseHead0 + "\r\n", "x"},
		"chunks of a response to others": {responseHead0 + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			opened := 0
			address, sent := newEndless(t, c.first, c.repeated)
			start := time.Now()
			if _, err := newClient(&opened).Do(t.Context(), address, request("1")); !errors.Is(err, elmexchange.ErrNoResponse) {
				t.Fatalf("error %v, want ErrNoResponse", err)
			}
			if elapsed := time.Since(start); elapsed > 2*time.Second {
				t.Errorf("failed after %v", elapsed)
			}
			if n := <-sent; n > 16<<20 { // What the socket buffers take, and some more.
				t.Errorf("the endpoint sent %d bytes", n)
			}
		})
	}
}

const responseHead0 = "HTTP/1.1 200 OK\r\nFor: 0\r\n"

// Guards against callers who wait because a rejection has a body without end, or one
// that stops midway.
func TestDiscard(t *testing.T) {
	for name, c := range map[string]struct{ first, repeated string }{
		"without end":     {"HTTP/1.1 503 Busy\r\nFor: 1\r\n\r\n", "x"},
		"chunks":          {"HTTP/1.1 503 Busy\r\nFor: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"declared longer": {"HTTP/1.1 503 Busy\r\nFor: 1\r\nContent-Length: 99999999999\r\n\r\n", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			opened := 0
			address, sent := newEndless(t, c.first, c.repeated)
			response, err := newClient(&opened).Do(t.Context(), address, request("1"))
			if err != nil {
				t.Fatal(err)
			}
			start := time.Now()
			response.Discard()
			response.Close()
			if elapsed := time.Since(start); elapsed > time.Second {
				t.Errorf("discarded after %v", elapsed)
			}
			<-sent
		})
	}
	t.Run("stops midway", func(t *testing.T) {
		opened := 0
		e := newEndpoint(t, []string{responseHead + "1\r\n\r\nh", ""})
		response, err := newClient(&opened).Do(t.Context(), e.address(), request("1"))
		if err != nil {
			t.Fatal(err)
		}
		start := time.Now()
		response.Discard()
		response.Close()
		if elapsed := time.Since(start); elapsed > time.Second {
			t.Errorf("discarded after %v", elapsed)
		}
	})
}

// Guards against a process that keeps a body without end in memory.
func TestEndlessBodyIsReadInParts(t *testing.T) {
	opened := 0
	address, sent := newEndless(t, "HTTP/1.1 200 OK\r\nFor: 1\r\n\r\n", "x")
	response, err := newClient(&opened).Do(t.Context(), address, request("1"))
	if err != nil {
		t.Fatal(err)
	}
	buffer := make([]byte, 8<<10)
	for read := 0; read < 32<<20; {
		n, err := response.Read(buffer)
		if err != nil {
			t.Fatal(err)
		}
		read += n
	}
	response.Close()
	<-sent
}
