package elmrouter_test

import (
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/elmcove/elmcove/internal/stand/elmscript"
)

// addScripted starts endpoints that share a script.
func (f *fixture) addScripted(script func(elmscript.Exchange) bool, ids ...string) {
	f.t.Helper()
	addresses, err := elmscript.Serve(f.t.Context(), len(ids), script)
	if err != nil {
		f.t.Fatal(err)
	}
	for i, id := range ids {
		f.addresses[id] = addresses[i]
		f.listEndpoint(id, "ready")
	}
	f.eventually("listed", func() bool { return strings.Count(f.log.String(), `"endpoint listed"`) >= len(ids) })
}

const (
	sealLine   = "Response-Seal: seal-e"
	streamLine = "Content-Type: text/event-stream"
	chunkLine  = "Transfer-Encoding: chunked"
	// firstEvents are the events before a stream breaks off.
	firstEvents = "id: 1\ndata: event 1\n\nid: 2\ndata: event 2\n\n"
	errorText   = "engine failed: out of memory\n\n"
)

// stream returns a response with a stream that has a seal, in chunks or as further lines
// of the head say.
func stream(body string, lines ...string) string {
	return elmscript.Response("200 OK", body, append(lines, attemptLine, sealLine, streamLine)...)
}

// attemptLine stands for the header that names the attempt.
const attemptLine = "Attempt-Id: ATTEMPT"

// refusal is a refusal of the pending attempt.
var refusal = elmscript.Response("503 Service Unavailable", "full", attemptLine, "Not-Executed: 1", "Content-Length: 4")

// brokenStreams are responses of the first endpoint, by how the stream breaks off.
var brokenStreams = map[string]string{
	"chunk missing":                    stream(elmscript.Chunk(firstEvents), chunkLine),
	"inside an event":                  stream(firstEvents + "id: 3\nda"),
	"shorter than its length":          stream(firstEvents, "Content-Length: 500"),
	"followed by a response":           stream(firstEvents) + elmscript.Response("500 Internal Server Error", "boom", attemptLine, sealLine, "Content-Length: 4"),
	"followed by a text":               stream(firstEvents + errorText),
	"response in the place of a chunk": stream(elmscript.Chunk(firstEvents), chunkLine) + refusal,
	"response as a chunk":              stream(elmscript.Chunk(firstEvents)+elmscript.Chunk(refusal)+elmscript.Chunk(""), chunkLine),
}

// failedContinuations are responses of the second endpoint, to which the stream moves.
var failedContinuations = map[string]string{
	"error with length":              elmscript.Response("500 Internal Server Error", "boom", attemptLine, sealLine, "Content-Length: 4"),
	"error in chunks":                elmscript.Response("502 Bad Gateway", elmscript.Chunk("boom")+elmscript.Chunk(""), attemptLine, sealLine, chunkLine),
	"error that its connection ends": elmscript.Response("500 Internal Server Error", "boom", attemptLine, sealLine),
	"error as an event stream":       elmscript.Response("500 Internal Server Error", "id: 3\ndata: boom\n\n", attemptLine, sealLine, streamLine),
	"plain text":                     elmscript.Response("200 OK", "boom", attemptLine, sealLine, "Content-Type: text/plain", "Content-Length: 4"),
	"text as an event stream":        stream(errorText),
	"stream without a seal":          elmscript.Response("200 OK", "id: 3\ndata: boom\n\n", attemptLine, streamLine),
	"refusal":                        refusal,
	"refusal of another attempt":     strings.ReplaceAll(refusal, "ATTEMPT", "other"),
	"no response":                    errorText,
	"cut head":                       stream("")[:60],
	"nothing":                        "",
	"empty stream":                   stream("", "Content-Length: 9"),
	"truncated event":                stream("id: 3\ndata: boo"),
}

// respond writes a response that names the attempt of the request.
func respond(x elmscript.Exchange, response string) {
	_, _ = io.WriteString(x, strings.ReplaceAll(response, "ATTEMPT", x.Request.Header.Get("Attempt-Id")))
}

// streamFrom returns what the caller of a resumable stream gets from two endpoints.
func streamFrom(t *testing.T, first, second string) result {
	t.Helper()
	f := newFixture(t, 0, nil)
	f.addScripted(func(x elmscript.Exchange) bool {
		response := second
		if x.Number == 1 {
			response = first
		}
		respond(x, response)
		return false
	}, "e0", "e1")
	return f.call(t.Context(), "POST", "/stream/a", "", map[string]string{"Deadline-Ms": "5000"})
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
			if got := streamFrom(t, brokenStreams[first], failedContinuations[second]); got.err == nil || got.body != firstEvents {
				t.Errorf("error %v, body %q", got.err, got.body)
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
			got := streamFrom(t, broken, stream(elmscript.Chunk(rest)+elmscript.Chunk(""), chunkLine))
			if got.err != nil || got.body != firstEvents+rest {
				t.Errorf("error %v, body %q", got.err, got.body)
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
			var refused io.Writer
			f.addScripted(func(x elmscript.Exchange) bool {
				if x.Number == 1 {
					refused = x.Writer
					respond(x, refusal)
					return true
				}
				if x.Writer == refused {
					respond(x, strings.ReplaceAll(refusal, "ATTEMPT", c.repeated))
				}
				respond(x, elmscript.Response("200 OK", "ran", attemptLine, sealLine, "Content-Length: 3"))
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

// Guards against a response that breaks off before anything of it has left the router and
// ends its caller's connection without an answer.
func TestBreakBeforeTheFirstByteIsTold(t *testing.T) {
	const whole = "first event"
	retried := elmscript.Response("200 OK", whole, attemptLine, sealLine, "Content-Length: 11")
	for name, broken := range map[string]string{
		"after the head":             elmscript.Response("200 OK", "", attemptLine, sealLine, "Content-Length: 11"),
		"after the head, chunks":     elmscript.Response("200 OK", "", attemptLine, sealLine, chunkLine),
		"inside a short body":        elmscript.Response("200 OK", whole[:6], attemptLine, sealLine, "Content-Length: 11"),
		"before the first event":     stream("", "Content-Length: 50"),
		"inside the first event":     stream("id: 1\nda", "Content-Length: 50"),
		"text as a stream of events": stream(errorText),
	} {
		for route, want := range map[string]int{"/once/": 502, "/single/": 502, "/again/": 200, "/stream/": 200} {
			t.Run(route+" "+name, func(t *testing.T) {
				t.Parallel()
				f := newFixture(t, 0, nil)
				f.addScripted(func(x elmscript.Exchange) bool {
					response := retried
					if x.Number == 1 {
						response = broken
					}
					respond(x, response)
					return false
				}, "e0", "e1")
				got := f.call(t.Context(), "POST", route+"a", "", nil)
				if got.err != nil || got.status != want || want == 200 && got.body != whole {
					t.Errorf("got %d, %q, %v; log:\n%s", got.status, got.body, got.err, f.log)
				}
			})
		}
	}
}

// Guards against events that a caller gets twice, because a stream whose events have no
// identifier is started anew at another endpoint.
func TestStreamWithoutIdentifiersIsNotResumed(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 0, nil)
	var runs atomic.Int32
	for _, id := range []string{"e0", "e1"} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			runs.Add(1)
			w.Header().Set("Content-Type", "text/event-stream")
			w.Header().Set("Response-Seal", "seal")
			w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
			_, _ = io.WriteString(w, "data: event 1\n\ndata: event 2\n\n")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}))
		t.Cleanup(server.Close)
		f.addresses[id] = server.Listener.Addr().String()
		f.listEndpoint(id, "ready")
	}
	f.eventually("listed", func() bool { return strings.Count(f.log.String(), `"endpoint listed"`) >= 2 })
	<-time.After(settleTime + time.Second) // The entry uses its share of the budget.
	got := f.call(t.Context(), "POST", "/stream/a?stream=1", "", nil)
	if got.err == nil || strings.Count(got.body, "event 1") != 1 || runs.Load() != 1 {
		t.Errorf("got %+v after %d runs; log:\n%s", got, runs.Load(), f.log)
	}
}
