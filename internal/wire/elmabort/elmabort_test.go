package elmabort_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/elmcove/elmcove/internal/wire/elmabort"
)

// Guards against an aborted response reaching an HTTP/1.0 caller as complete.
func TestProtect(t *testing.T) {
	for name, c := range map[string]struct {
		aborted bool
		length  string
	}{
		"complete":               {},
		"aborted":                {aborted: true},
		"aborted with a length":  {aborted: true, length: "8"},
		"complete with a length": {length: "4"},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if c.length != "" {
					w.Header().Set("Content-Length", c.length)
				}
				_, _ = io.WriteString(w, "part")
				_ = http.NewResponseController(w).Flush()
				if c.aborted {
					panic(http.ErrAbortHandler)
				}
			}))
			elmabort.Protect(server.Config)
			server.Start()
			defer server.Close()
			conn, err := net.Dial("tcp", strings.TrimPrefix(server.URL, "http://"))
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close() //nolint:errcheck // The response has been read.
			_, _ = io.WriteString(conn, "GET / HTTP/1.0\r\n\r\n")
			response, err := io.ReadAll(conn)
			if (err != nil) != c.aborted || !strings.HasSuffix(string(response), "\r\n\r\npart") {
				t.Errorf("error %v, response %q", err, response)
			}
		})
	}
}
