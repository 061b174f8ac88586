package elmentry_test

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/elmcove/elmcove/internal/config/elmconfig"
	"github.com/elmcove/elmcove/internal/config/elmsite"
	"github.com/elmcove/elmcove/internal/stand/elmplatform"
)

// Guards against an entry that runs out of memory because of large request bodies, each of
// which is within its limit, and so ends the requests of all callers.
func TestBodiesOfManyCallers(t *testing.T) {
	const memory, length, callers = 64 << 20, 1 << 20, 80
	server := httptest.NewServer(elmplatform.New().Handler())
	defer server.Close()
	stop := start(t, server.URL)
	defer stop()
	site, err := elmsite.New(server.URL, "granite")
	if err != nil {
		t.Fatal(err)
	}
	config, err := elmconfig.Decode(fmt.Appendf(nil, `{"site":"granite","services":{"dispatch":{"kind":"plain"}},"workspaces":{"curb":{"credential":"sha256:%x"}}}`, sha256.Sum256([]byte("secret"))))
	if err != nil {
		t.Fatal(err)
	}
	edit := func(elmconfig.Config) (elmconfig.Config, error) { return config, nil }
	if _, err := site.Change(t.Context(), elmconfig.Change{ID: "first", Operator: "test"}, edit); err != nil {
		t.Fatal(err)
	}
	var connections []net.Conn
	defer func() {
		for _, c := range connections {
			_ = c.Close()
		}
	}()
	// upload sends a request but for the last bytes of its body, and returns the channel of its
	// status and body.
	upload := func(length, missing int) <-chan string {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { connections = append(connections, conn) }()
		_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
		answer := make(chan string, 1)
		go func() {
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				answer <- err.Error()
				return
			}
			text, _ := io.ReadAll(response.Body)
			answer <- fmt.Sprintf("%s %s %s", response.Status, response.Header.Get("Retry-After"), text)
		}()
		_, _ = fmt.Fprintf(conn, "POST /services/dispatch/orders HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer secret\r\nContent-Length: %d\r\n\r\n", length)
		_, _ = conn.Write(bytes.Repeat([]byte("a"), length-missing)) // The answer may come before.
		return answer
	}
	for started := time.Now(); strings.HasPrefix(<-upload(1, 0), "401"); {
		if time.Since(started) > 10*time.Second {
			t.Fatal("the configuration is not in force")
		}
		_ = connections[len(connections)-1].Close() // So that connections do not reach their limit.
	}
	refused, held := 0, 0
	for range callers {
		select {
		case got := <-upload(length, 1):
			if strings.HasPrefix(got, "503 Service Unavailable 1 ") && strings.Contains(got, "memory for bodies") {
				refused++
			} else {
				t.Errorf("got %s", got)
			}
		case <-time.After(50 * time.Millisecond):
			held++
		}
	}
	if held*length > memory || held == 0 {
		t.Errorf("%d bodies of %d bytes are held, %d refused", held, length, refused)
	}
	if got := <-upload(100, 0); strings.Contains(got, "memory for bodies") {
		t.Errorf("small body beside large ones: %s", got)
	}
}
