package elmrouter_test

import (
	"testing"

	"github.com/elmcove/elmcove/internal/stand/elmscript"
)

// malformed are responses with an invalid head.
var malformed = map[string]string{
	"status 000":               elmscript.Response("000 None", "failed", attemptLine, sealLine, "Content-Length: 6"),
	"status 000 that promises": elmscript.Response("000 None", "failed", attemptLine, sealLine, "Not-Executed: 1", "Content-Length: 6"),
	"space after a name":       elmscript.Response("200 OK", firstEvents+"id: 3", attemptLine, sealLine, streamLine, "Content-Length : 44"),
	"space before a name":      elmscript.Response("200 OK", "failed", attemptLine, sealLine, "X: y", " Content-Length: 3"),
	"space in a name":          elmscript.Response("200 OK", "failed", attemptLine, sealLine, "X Y: z", "Content-Length: 6"),
	"space in a promise":       elmscript.Response("503 Service Unavailable", "failed", attemptLine, sealLine, "Not-Executed: 1", "X Y: z", "Content-Length: 6"),
	"control byte in a name":   elmscript.Response("200 OK", "failed", attemptLine, sealLine, "X\x01: z", "Content-Length: 6"),
	"status 000, as a stream":  elmscript.Response("000 None", firstEvents, attemptLine, sealLine, streamLine),
}

// Guards against a response whose head is malformed and that reaches the caller as an answer,
// or that counts as the promise that the request has not run.
func TestMalformedHeadIsNoAnswer(t *testing.T) {
	const served = "id: 1\ndata: served\n\n"
	for name, response := range malformed {
		for route, want := range map[string]int{"/once/": 502, "/single/": 502, "/again/": 200, "/stream/": 200} {
			t.Run(route+" "+name, func(t *testing.T) {
				t.Parallel()
				f := newFixture(t, 0, nil)
				attempts := 0
				f.addScripted(func(x elmscript.Exchange) bool {
					if attempts = x.Number; attempts == 1 {
						respond(x, response)
					} else {
						respond(x, stream(served))
					}
					return false
				}, "e0", "e1")
				got := f.call(t.Context(), "POST", route+"a", "", nil)
				if got.err != nil || got.status != want || want == 200 && got.body != served || want == 502 && attempts != 1 {
					t.Errorf("got %d, %q, %v after %d attempts; log:\n%s", got.status, got.body, got.err, attempts, f.log)
				}
			})
		}
		t.Run("resumed, "+name, func(t *testing.T) {
			t.Parallel()
			got := streamFrom(t, brokenStreams["shorter than its length"], response)
			if got.err == nil || got.body != firstEvents {
				t.Errorf("error %v, body %q", got.err, got.body)
			}
		})
	}
}
