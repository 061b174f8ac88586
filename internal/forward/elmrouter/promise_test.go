package elmrouter_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/elmcove/elmcove/internal/stand/elmscript"
)

// ranAndRefused returns a sealed response with a status that means that the request has not
// run, of an endpoint that has run it.
func ranAndRefused(status string) string {
	return elmscript.Response(status, "failed", attemptLine, sealLine, "Content-Length: 6")
}

// Guards against a request that has run and whose caller is told that it has not: the
// endpoint's own status says so, without Not-Executed, and is forwarded.
func TestRequestThatRanIsNotRefused(t *testing.T) {
	served := elmscript.Response("200 OK", "served", attemptLine, sealLine, "Content-Length: 6")
	failed := elmscript.Response("500 Internal Server Error", "failed", attemptLine, sealLine, "Content-Length: 6")
	for name, c := range map[string]struct {
		route string
		// responses are those to the first attempt and to the next ones.
		responses  [2]string
		want, runs int
		sealed     bool
	}{
		"503, non-idempotent":           {"/once/", [2]string{ranAndRefused("503 Service Unavailable"), served}, 502, 1, false},
		"503 over HTTP/1.0":             {"/once/", [2]string{strings.Replace(ranAndRefused("503 Service Unavailable"), "1.1", "1.0", 1), served}, 502, 1, false},
		"429, non-idempotent":           {"/once/", [2]string{ranAndRefused("429 Too Many Requests"), served}, 502, 1, false},
		"408, non-idempotent":           {"/once/", [2]string{ranAndRefused("408 Request Timeout"), served}, 502, 1, false},
		"503, stream":                   {"/single/", [2]string{ranAndRefused("503 Service Unavailable"), served}, 502, 1, false},
		"503 as an event stream":        {"/single/", [2]string{elmscript.Response("503 Service Unavailable", "id: 1\ndata: a\n\n", attemptLine, sealLine, streamLine), served}, 502, 1, false},
		"503, resumable stream":         {"/stream/", [2]string{ranAndRefused("503 Service Unavailable"), served}, 200, 2, true},
		"503, idempotent":               {"/again/", [2]string{ranAndRefused("503 Service Unavailable"), served}, 200, 2, true},
		"429, idempotent":               {"/again/", [2]string{ranAndRefused("429 Too Many Requests"), served}, 200, 2, true},
		"503 at both endpoints":         {"/again/", [2]string{ranAndRefused("503 Service Unavailable"), ranAndRefused("503 Service Unavailable")}, 502, 2, false},
		"503, then rejected":            {"/again/", [2]string{ranAndRefused("503 Service Unavailable"), refusal}, 502, 1, false},
		"rejected, then 503":            {"/once/", [2]string{refusal, ranAndRefused("503 Service Unavailable")}, 502, 1, false},
		"another failure is the answer": {"/once/", [2]string{failed, served}, 500, 1, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, 0, nil)
			runs := 0
			f.addScripted(func(x elmscript.Exchange) bool {
				response := c.responses[min(x.Number, 2)-1]
				if response != refusal {
					runs++
				}
				respond(x, response)
				return false
			}, "e0", "e1")
			got := f.call(t.Context(), "POST", c.route+"a", "", nil)
			if got.err != nil || got.status != c.want || runs != c.runs || (got.header.Get("Response-Seal") != "") != c.sealed {
				t.Errorf("got %d, sealed %q, %q, %v after %d runs; log:\n%s", got.status, got.header.Get("Response-Seal"), got.body, got.err, runs, f.log)
			}
			if got.status >= http.StatusBadRequest && got.header.Get("Retry-After") != "" {
				t.Errorf("Retry-After %q with status %d", got.header.Get("Retry-After"), got.status)
			}
		})
	}
}
