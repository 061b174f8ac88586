package elmlistener

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

// Guards against a deadline that ends a request whose bytes have arrived in time: a process
// that was busy or suspended reads them late.
func TestReadAfterDeadline(t *testing.T) {
	t.Parallel()
	const buffer = 4096
	past := time.Now().Add(-time.Second)
	for name, c := range map[string]struct {
		phase   phase
		head    time.Time
		server  time.Time
		size    int
		arrived string
		// want is what is read before the deadline counts.
		want string
	}{
		"head":                       {phase: receiving, head: past, size: buffer, arrived: "rest of the head", want: "rest of the head"},
		"head that has not arrived":  {phase: receiving, head: past, size: buffer},
		"body":                       {phase: serving, server: past, size: buffer, arrived: "body", want: "body"},
		"body that has not arrived":  {phase: serving, server: past, size: buffer},
		"server stops reading ahead": {phase: serving, server: past, size: readAheadSize, arrived: "next request"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			inner, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			listener := New(inner)
			defer listener.Close() //nolint:errcheck // Nothing depends on it.
			peer, err := net.Dial("tcp4", inner.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer peer.Close() //nolint:errcheck // Nothing depends on it.
			accepted, err := listener.Accept()
			if err != nil {
				t.Fatal(err)
			}
			server, _ := accepted.(*conn)
			defer server.Close() //nolint:errcheck // Nothing depends on it.
			_, _ = io.WriteString(peer, c.arrived)
			<-time.After(20 * time.Millisecond)
			server.phase, server.headEnd = c.phase, c.head
			_ = server.SetReadDeadline(c.server)
			got := make([]byte, c.size)
			n, err := server.Read(got)
			if string(got[:n]) != c.want || (c.want == "") != errors.Is(err, os.ErrDeadlineExceeded) {
				t.Fatalf("got %q, %v", got[:n], err)
			}
			if _, err = server.Read(got); !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("the deadline does not hold further: %v", err)
			}
		})
	}
}
