package elmlocal_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Guards against a request whose body does not come in: it must get an answer, and must not
// hold an entry that is stopping.
func TestBodyThatStops(t *testing.T) {
	t.Parallel()
	const limit = 20 * time.Second
	f := start(t)
	address := strings.TrimPrefix(f.entry(1), "http://")
	var callers sync.WaitGroup
	for name, c := range map[string]struct {
		path, credential string
		status           int
	}{
		"completion":         {"/v1/chat/completions", "curb-secret", http.StatusRequestTimeout},
		"request":            {"/services/dispatch/orders", "curb-secret", http.StatusRequestTimeout},
		"unknown credential": {"/services/dispatch/orders", "guess", http.StatusUnauthorized},
	} {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close() //nolint:errcheck // The answer has been read.
		_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\nContent-Length: 100\r\n\r\n{", c.path, c.credential)
		_ = conn.SetReadDeadline(time.Now().Add(limit))
		callers.Go(func() {
			reader := bufio.NewReader(conn)
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				t.Errorf("%s: %v", name, err)
				return
			}
			_, err = io.Copy(io.Discard, response.Body)
			if err != nil || response.StatusCode != c.status {
				t.Errorf("%s: got %d, %v", name, response.StatusCode, err)
			}
			if _, err = reader.ReadByte(); err != io.EOF { //nolint:errorlint // It is the end of the connection.
				t.Errorf("%s: the connection is still open: %v", name, err)
			}
		})
	}
	sleep(f.ctx, 200*time.Millisecond) // The heads are read.
	f.signal("entry-1", syscall.SIGTERM)
	callers.Wait()
}
