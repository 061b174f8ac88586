package elmexchange_test

import (
	"net/http"
	"strings"
	"testing"
)

// framed are responses with the body "hi", by how they mark its end.
var framed = map[string]string{
	"length":              "HTTP/1.1 200 OK\r\nFor: 1\r\nContent-Length: 2\r\n\r\nhi",
	"length first":        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nFor: 1\r\n\r\nhi",
	"chunks":              "HTTP/1.1 200 OK\r\nFor: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
	"chunks with trailer": "HTTP/1.1 200 OK\r\nFor: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nX: y\r\n\r\n",
	"close":               "HTTP/1.1 200 OK\r\nFor: 1\r\n\r\nhi",
	"close, HTTP/1.0":     "HTTP/1.0 200 OK\nFor: 1\n\nhi",
}

// Guards against a response that breaks off in its head, or in a body that marks its end,
// and counts as whole.
func TestCutResponseIsNotWhole(t *testing.T) {
	for name, response := range framed {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			head := strings.Index(response, "hi")
			for n := range response {
				if n >= head && strings.HasPrefix(name, "close") {
					continue // The end of the connection is the end of the body.
				}
				opened := 0
				e := newEndpoint(t, []string{response[:n]})
				got := exchange(t, newClient(&opened), e.address(), request("1"))
				if got.err == nil {
					t.Errorf("whole after %d bytes: %q: %+v", n, response[:n], got)
				}
			}
			opened := 0
			e := newEndpoint(t, []string{response})
			if got := exchange(t, newClient(&opened), e.address(), request("1")); got.status != http.StatusOK || got.body != "hi" || got.err != nil {
				t.Errorf("the whole response: %+v", got)
			}
		})
	}
}
