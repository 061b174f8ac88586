package elmrouter_test

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
)

// script writes the response to the n-th request that reaches its endpoints, and reports
// whether the connection stays open.
type script func(w io.Writer, n int, attempt string) bool

// addScripted starts endpoints that share a script.
func (f *fixture) addScripted(s script, ids ...string) {
	f.t.Helper()
	var mutex sync.Mutex
	requests := 0
	serve := func(c net.Conn) {
		defer c.Close() //nolint:errcheck // The connection is no longer needed.
		reader := bufio.NewReader(c)
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			mutex.Lock()
			requests++
			open := s(c, requests, r.Header.Get("Attempt-Id"))
			mutex.Unlock()
			if !open {
				return
			}
		}
	}
	for _, id := range ids {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			f.t.Fatal(err)
		}
		f.t.Cleanup(func() { _ = listener.Close() })
		go func() {
			for {
				c, err := listener.Accept()
				if err != nil {
					return
				}
				go serve(c)
			}
		}()
		f.addresses[id] = listener.Addr().String()
		f.listEndpoint(id, "ready")
	}
	f.eventually("listed", func() bool { return strings.Count(f.log.String(), `"endpoint listed"`) >= len(ids) })
}

// responseTo returns a response that names an attempt, with further lines of its head.
func responseTo(attempt, status, body string, lines ...string) string {
	head := "HTTP/1.1 " + status + "\r\nAttempt-Id: " + attempt + "\r\n"
	for _, l := range lines {
		head += l + "\r\n"
	}
	return head + "\r\n" + body
}

const (
	sealLine   = "Response-Seal: seal-e"
	streamLine = "Content-Type: text/event-stream"
	chunkLine  = "Transfer-Encoding: chunked"
	// firstEvents are the events before a stream breaks off.
	firstEvents = "id: 1\ndata: event 1\n\nid: 2\ndata: event 2\n\n"
)

// chunk returns a text as one chunk.
func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// brokenStreams are responses of the first endpoint, by how the stream breaks off.
var brokenStreams = map[string]func(attempt string) string{
	"chunk missing": func(attempt string) string {
		return responseTo(attempt, "200 OK", chunk(firstEvents), sealLine, streamLine, chunkLine)
	},
	"inside an event": func(attempt string) string {
		return responseTo(attempt, "200 OK", firstEvents+"id: 3\nda", sealLine, streamLine)
	},
	"shorter than its length": func(attempt string) string {
		return responseTo(attempt, "200 OK", firstEvents, sealLine, streamLine, "Content-Length: 500")
	},
	"followed by a response": func(attempt string) string {
		return responseTo(attempt, "200 OK", firstEvents, sealLine, streamLine) + responseTo(attempt, "500 Internal Server Error", "boom", sealLine, "Content-Length: 4")
	},
	"followed by a text": func(attempt string) string {
		return responseTo(attempt, "200 OK", firstEvents+"engine failed: out of memory\n\n", sealLine, streamLine)
	},
	"response in the place of a chunk": func(attempt string) string {
		return responseTo(attempt, "200 OK", chunk(firstEvents), sealLine, streamLine, chunkLine) + responseTo(attempt, "503 Service Unavailable", "")
	},
	"response as a chunk": func(attempt string) string {
		return responseTo(attempt, "200 OK", chunk(firstEvents)+chunk("HTTP/1.1 503 Service Unavailable\r\n\r\n")+"0\r\n\r\n", sealLine, streamLine, chunkLine)
	},
}

// failedContinuations are responses of the second endpoint, to which the stream moves.
var failedContinuations = map[string]func(attempt string) string{
	"error with length": func(attempt string) string {
		return responseTo(attempt, "500 Internal Server Error", "boom", sealLine, "Content-Length: 4")
	},
	"error in chunks": func(attempt string) string {
		return responseTo(attempt, "502 Bad Gateway", chunk("boom")+"0\r\n\r\n", sealLine, chunkLine)
	},
	"error that its connection ends": func(attempt string) string {
		return responseTo(attempt, "500 Internal Server Error", "boom", sealLine)
	},
	"error as an event stream": func(attempt string) string {
		return responseTo(attempt, "500 Internal Server Error", "id: 3\ndata: boom\n\n", sealLine, streamLine)
	},
	"plain text": func(attempt string) string {
		return responseTo(attempt, "200 OK", "boom", sealLine, "Content-Type: text/plain", "Content-Length: 4")
	},
	"text as an event stream": func(attempt string) string {
		return responseTo(attempt, "200 OK", "engine failed: out of memory\n\n", sealLine, streamLine)
	},
	"stream without a seal": func(attempt string) string { return responseTo(attempt, "200 OK", "id: 3\ndata: boom\n\n", streamLine) },
	"refusal": func(attempt string) string {
		return responseTo(attempt, "503 Service Unavailable", "full", "Not-Executed: 1", "Content-Length: 4")
	},
	"refusal of another attempt": func(string) string {
		return responseTo("other", "503 Service Unavailable", "full", "Not-Executed: 1", "Content-Length: 4")
	},
	"no response": func(string) string { return "engine failed: out of memory\r\n\r\n" },
	"cut head":    func(attempt string) string { return responseTo(attempt, "200 OK", "", sealLine)[:40] },
	"nothing":     func(string) string { return "" },
	"empty stream": func(attempt string) string {
		return responseTo(attempt, "200 OK", "", sealLine, streamLine, "Content-Length: 9")
	},
	"truncated event": func(attempt string) string {
		return responseTo(attempt, "200 OK", "id: 3\ndata: boo", sealLine, streamLine)
	},
}

// Guards against the text of an error, or the head of another response, that reaches a
// caller in the middle of a stream which broke off, and against such a stream that ends as
// if it were whole.
func TestErrorIsNoPartOfStream(t *testing.T) {
	ways := slices.Sorted(maps.Keys(brokenStreams))
	for i, second := range slices.Sorted(maps.Keys(failedContinuations)) {
		first := ways[i%len(ways)]
		t.Run(first+", then "+second, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, 0, nil)
			f.addScripted(func(w io.Writer, n int, attempt string) bool {
				response := failedContinuations[second]
				if n == 1 {
					response = brokenStreams[first]
				}
				_, _ = io.WriteString(w, response(attempt))
				return false
			}, "e0", "e1")
			got := f.call(t.Context(), "POST", "/stream/a", "", map[string]string{"Deadline-Ms": "5000"})
			if got.err == nil || got.body != firstEvents {
				t.Errorf("error %v, body %q; log:\n%s", got.err, got.body, f.log)
			}
		})
	}
}

// Guards against a stream that a response of another kind follows on its connection and
// that is not continued at the next endpoint.
func TestBrokenStreamIsContinued(t *testing.T) {
	const rest = "id: 3\ndata: event 3\n\n"
	for first, broken := range brokenStreams {
		t.Run(first, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, 0, nil)
			f.addScripted(func(w io.Writer, n int, attempt string) bool {
				response := responseTo(attempt, "200 OK", chunk(rest)+"0\r\n\r\n", sealLine, streamLine, chunkLine)
				if n == 1 {
					response = broken(attempt)
				}
				_, _ = io.WriteString(w, response)
				return false
			}, "e0", "e1")
			got := f.call(t.Context(), "POST", "/stream/a", "", map[string]string{"Deadline-Ms": "5000"})
			if got.err != nil || got.body != firstEvents+rest {
				t.Errorf("error %v, body %q; log:\n%s", got.err, got.body, f.log)
			}
		})
	}
}

// Guards against a refusal that tells the caller that its request has not run, although an
// endpoint that wrote an earlier refusal once more runs it.
func TestEarlierRefusalRefusesNothing(t *testing.T) {
	for name, c := range map[string]struct{ repeated, attempt string }{
		"names no attempt":                                {attempt: "second"},
		"names no attempt, the attempt comes again":       {attempt: "first"},
		"names the earlier attempt":                       {repeated: "first", attempt: "second"},
		"names the pending attempt, which came before":    {repeated: "first", attempt: "first"},
		"names the earlier attempt, a caller gives no ID": {repeated: "first"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, 0, nil)
			refusal := func(attempt string) string {
				return responseTo(attempt, "503 Service Unavailable", "", "Not-Executed: 1", "Content-Length: 0")
			}
			var refused io.Writer
			f.addScripted(func(w io.Writer, n int, attempt string) bool {
				switch {
				case n == 1:
					refused = w
					_, _ = io.WriteString(w, refusal(attempt))
					return true
				case w == refused:
					_, _ = io.WriteString(w, refusal(c.repeated))
				}
				_, _ = io.WriteString(w, responseTo(attempt, "200 OK", "ran", sealLine, "Content-Length: 3"))
				return true
			}, "e0")
			if got := f.call(t.Context(), "POST", "/once/a", "", map[string]string{"Attempt-Id": "first"}); got.status != http.StatusServiceUnavailable {
				t.Fatalf("got %+v", got)
			}
			got := f.call(t.Context(), "POST", "/once/a", "", map[string]string{"Attempt-Id": c.attempt})
			if got.status != http.StatusOK && got.status != http.StatusBadGateway {
				t.Errorf("got %+v; log:\n%s", got, f.log)
			}
		})
	}
}
