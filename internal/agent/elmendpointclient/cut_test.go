package elmendpointclient_test

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/elmcove/elmcove/internal/agent/elmendpointclient"
	"github.com/elmcove/elmcove/internal/stand/elmscript"
	"github.com/elmcove/elmcove/internal/wire/elmwire"
)

// serve starts an endpoint with a script and returns a client for it.
func serve(t *testing.T, script func(elmscript.Exchange) bool) *elmendpointclient.Client {
	t.Helper()
	addresses, err := elmscript.Serve(t.Context(), 1, script)
	if err != nil {
		t.Fatal(err)
	}
	client := elmendpointclient.New("http://" + addresses[0])
	t.Cleanup(client.Close)
	return client
}

// serveText is like serve, for an endpoint that answers each request with a text and closes
// the connection.
func serveText(t *testing.T, text string) *elmendpointclient.Client {
	t.Helper()
	return serve(t, func(x elmscript.Exchange) bool {
		_, _ = io.WriteString(x, text)
		return false
	})
}

// Guards against a response that breaks off in its head, or in a body that marks its end,
// and counts as whole.
func TestCutResponseIsNotWhole(t *testing.T) {
	for name, response := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 2\r\n\r\nhi",
		"chunks": "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
		"close":  "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nhi",
		"stream": "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: hi\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			body := strings.Index(response, "\r\n\r\n") + 4
			for n := range response {
				if n >= body && name == "close" || n == body && name == "stream" {
					continue // The end of the connection is the end of the body.
				}
				client := serveText(t, response[:n])
				var got recorder
				_, err := client.Call(t.Context(), &elmwire.Open{Method: "POST", Path: "/orders", Once: true}, &got)
				if err == nil {
					t.Errorf("whole after %d bytes: %q", n, response[:n])
				}
			}
		})
	}
}

// Guards against the text of an error, or the head of another response, that reaches a
// caller in the middle of a stream.
func TestErrorIsNoPartOfStream(t *testing.T) {
	const head, event = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n", "data: a\n\n"
	for name, response := range map[string]string{
		"response behind a stream that its connection ends": head + "\r\n" + event + "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\nfull",
		"text behind it":                         head + "\r\n" + event + "upstream failed: try again\n\n",
		"text without a blank line":              head + "\r\n" + event + "upstream failed",
		"response in the place of a chunk":       head + "Transfer-Encoding: chunked\r\n\r\n9\r\n" + event + "\r\nHTTP/1.1 503 Service Unavailable\r\n\r\n",
		"response as a chunk":                    head + "Transfer-Encoding: chunked\r\n\r\n9\r\n" + event + "\r\n22\r\nHTTP/1.1 503 Service Unavailable\r\n\r\n\r\n0\r\n\r\n",
		"response within the length of a stream": head + "Content-Length: 43\r\n\r\n" + event + "HTTP/1.1 503 Service Unavailable\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			client := serveText(t, response)
			var got recorder
			_, err := client.Call(t.Context(), &elmwire.Open{Method: "POST", Path: "/log", Once: true}, &got)
			if err == nil || got.body.String() != event {
				t.Errorf("error %v, body %q", err, got.body.String())
			}
		})
	}
}

// Guards against an earlier refusal that an engine writes once more and that counts as the
// response to the next request, or as a request that has not run.
func TestEarlierRefusalReachesNobody(t *testing.T) {
	refusal := "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\nfull"
	client := serveText(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"+refusal)
	for range 5 {
		var got recorder
		reply, err := client.Call(t.Context(), &elmwire.Open{Method: "POST", Path: "/orders", Once: true}, &got)
		if err != nil || reply.Status != http.StatusOK || got.body.String() != "hi" {
			t.Errorf("status %d, error %v, body %q", reply.Status, err, got.body.String())
		}
	}
}

// Guards against a response whose head is malformed and that reaches the caller as an answer.
func TestMalformedHeadIsNoResponse(t *testing.T) {
	for name, head := range map[string]string{
		"status 000":              "HTTP/1.1 000 None\r\n",
		"status 099":              "HTTP/1.1 099 None\r\n",
		"status 600":              "HTTP/1.1 600 None\r\n",
		"status 000 as an answer": "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 None\r\n",
		"space after a name":      "HTTP/1.1 200 OK\r\nContent-Length : 1\r\n",
		"space before a name":     "HTTP/1.1 200 OK\r\nX: y\r\n Content-Length: 1\r\n",
		"space in a name":         "HTTP/1.1 200 OK\r\nX Y: z\r\n",
		"tab after a name":        "HTTP/1.1 200 OK\r\nX\t: y\r\n",
		"control byte in a name":  "HTTP/1.1 200 OK\r\nX\x01: y\r\n",
		"switch of protocols":     "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: a\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			client := serveText(t, head+"Content-Length: 2\r\n\r\nhi")
			for _, once := range []bool{true, false} {
				var got recorder
				_, err := client.Call(t.Context(), &elmwire.Open{Method: "POST", Path: "/orders", Once: once}, &got)
				if !errors.Is(err, elmendpointclient.ErrEndpoint) || got.body.Len() > 0 {
					t.Errorf("once %v: error %v, body %q", once, err, got.body.String())
				}
			}
		})
	}
}
