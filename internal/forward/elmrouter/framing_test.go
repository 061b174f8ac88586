package elmrouter_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/elmcove/elmcove/platform/stand"
)

// framingCase is a response whose endpoint does not announce where its body ends, or
// announces a wrong end.
type framingCase struct {
	target    string
	behaviour stand.Behaviour
	// want is the body that the caller gets. complete is set if it is framed as
	// complete.
	want     string
	complete bool
	runs     int
	// lost is set if the caller gets the router's answer that the response was lost.
	lost bool
}

// truncatedStreams are streams that end inside an event.
var truncatedStreams = map[string]framingCase{
	"connection closed, not resumable": {target: "/single/a?stream=1", behaviour: stand.CloseInsideEvent, want: wholeStream[:42], runs: 1},
	"connection closed, resumed":       {target: "/stream/a?stream=1", behaviour: stand.CloseInsideEvent, want: wholeStream, complete: true, runs: 2},
	"last chunk sent, not resumable":   {target: "/single/a?stream=1", behaviour: stand.EndChunksInsideEvent, want: wholeStream[:42], runs: 1},
	"media type with capitals":         {target: "/single/a?stream=1&media=Text/Event-Stream%3Bcharset=utf-8", behaviour: stand.CloseInsideEvent, want: wholeStream[:42], runs: 1},
	"stream on an idempotent route":    {target: "/again/a?stream=1", behaviour: stand.CloseInsideEvent, want: wholeStream[:42], runs: 1},
	"last chunk sent, resumed":         {target: "/stream/a?stream=1", behaviour: stand.EndChunksInsideEvent, want: wholeStream, complete: true, runs: 2},
}

// Guards against a stream that ends inside an event reaching its caller as complete.
func TestTruncatedStreamIsNotComplete(t *testing.T) {
	for name, c := range truncatedStreams {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c.check(t)
		})
	}
}

// unframedResponses are responses that end with their connection.
var unframedResponses = map[string]framingCase{
	"complete stream":                       {target: "/single/a?stream=1", behaviour: stand.CloseAfterResponse, want: wholeStream, complete: true, runs: 1},
	"complete body":                         {target: "/once/a", behaviour: stand.CloseAfterResponse, want: "answer of e0", complete: true, runs: 1},
	"stream reset between events":           {target: "/single/a?stream=1", behaviour: stand.ResetBetweenEvents, want: wholeStream[:42], runs: 1},
	"resumable stream reset between events": {target: "/stream/a?stream=1", behaviour: stand.ResetBetweenEvents, want: wholeStream, complete: true, runs: 2},
	"body reset":                            {target: "/once/a", behaviour: stand.ResetInsideBody, runs: 1, lost: true},
	"stream reset inside an event":          {target: "/single/a?stream=1", behaviour: stand.ResetInsideBody, want: wholeStream[:42], runs: 1},
}

// Guards against a response without length or chunks being forwarded as complete after
// a reset, or as truncated after its proper end.
func TestUnframedResponses(t *testing.T) {
	for name, c := range unframedResponses {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c.check(t)
		})
	}
}

// check sends the request to two endpoints, of which the first to get it has the
// behaviour.
func (c framingCase) check(t *testing.T) {
	t.Helper()
	f := newFixture(t, 2, nil)
	f.endpoints[1].ShareBehaviours(f.endpoints[0])
	f.endpoints[0].QueueBehaviours(c.behaviour)
	got := f.call(t.Context(), "POST", c.target, "", nil)
	body := strings.ReplaceAll(got.body, "of e1", "of e0")
	if c.lost {
		if got.err != nil || got.status != http.StatusBadGateway || !strings.Contains(body, "unknown") {
			t.Errorf("status %d, error %v, body %q; want 502; log:\n%s", got.status, got.err, got.body, f.log)
		}
	} else if (got.err == nil) != c.complete || body != c.want || c.complete && got.status != http.StatusOK {
		t.Errorf("status %d, error %v, body %q; want %q; log:\n%s", got.status, got.err, got.body, c.want, f.log)
	}
	if n := countRan(f.runs()); n != c.runs {
		t.Errorf("ran %d times, want %d", n, c.runs)
	}
}

// Guards against a resumed stream reaching its caller as complete although the second
// endpoint's response is no continuation of it.
func TestResumedByFailure(t *testing.T) {
	for name, second := range map[string]stand.Behaviour{
		"failure of the endpoint": stand.ServerError,
		"lost response":           stand.LoseResponse,
		"rejection":               stand.Reject,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, 2, nil)
			f.endpoints[1].ShareBehaviours(f.endpoints[0])
			f.endpoints[0].QueueBehaviours(stand.CloseInsideEvent, second)
			got := f.call(t.Context(), "POST", "/stream/a?stream=1", "", nil)
			if got.err == nil || got.body != wholeStream[:42] {
				t.Errorf("error %v, body %q; log:\n%s", got.err, got.body, f.log)
			}
		})
	}
}

// Guards against a truncated stream reaching an HTTP/1.0 caller as complete, for whom
// the end of the connection is the end of the response.
func TestTruncatedStreamOverHTTP10(t *testing.T) {
	for name, c := range map[string]framingCase{
		"truncated": {behaviour: stand.CloseInsideEvent, want: wholeStream[:42]},
		"complete":  {behaviour: stand.CloseAfterResponse, want: wholeStream, complete: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, 1, nil)
			f.next(c.behaviour)
			conn, err := net.Dial("tcp", f.settings.Callers)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close() //nolint:errcheck // The response has been read.
			_, _ = fmt.Fprintf(conn, "GET /single/a?stream=1 HTTP/1.0\r\nHost: %s\r\nAttempt-Id: attempt-1\r\nCredential: %s\r\n\r\n", host, credential)
			response, err := io.ReadAll(conn)
			if (err == nil) != c.complete || !strings.HasSuffix(string(response), "\r\n\r\n"+c.want) {
				t.Errorf("error %v, response %q", err, response)
			}
		})
	}
}
