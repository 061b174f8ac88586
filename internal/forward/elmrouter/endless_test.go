package elmrouter_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/elmcove/elmcove/platform/stand"
)

// Guards against callers who wait beyond their time, and entries that run out of memory,
// because an endpoint sends a body or an event without end.
func TestEndlessBody(t *testing.T) {
	for name, c := range map[string]struct {
		target  string
		longest time.Duration
		// status is that of the router's own answer, or 0 if the response breaks off.
		status int
	}{
		"body":  {target: "/once/a", longest: 3 * time.Second}, // The route's timeout is 1.5 s.
		"event": {target: "/single/a?stream=1", longest: 3 * time.Second, status: http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, 1, nil)
			f.next(stand.EndlessBody)
			start := time.Now()
			response, err := f.send(t.Context(), "POST", c.target, "", map[string]string{"Deadline-Ms": "4000"})
			if err == nil {
				defer response.Body.Close() //nolint:errcheck // The body has been read.
				var n int64
				if n, err = io.Copy(io.Discard, response.Body); err == nil && response.StatusCode != c.status {
					t.Errorf("status %d, %d bytes that look complete", response.StatusCode, n)
				}
			}
			if (err == nil) != (c.status != 0) {
				t.Errorf("error %v, want status %d", err, c.status)
			}
			if elapsed := time.Since(start); elapsed > c.longest {
				t.Errorf("ended after %v", elapsed)
			}
		})
	}
}
