package elmrouter_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"github.com/elmcove/elmcove/platform"
)

// Guards against retries that are taken from the budget by requests without attempts
// left, and are missing where they could have been used.
func TestRetriesAreTakenOnlyWithAttemptsLeft(t *testing.T) {
	t.Parallel()
	const burst, usable, attempts = 8, 6, 2 // A share of the burst is usable.
	f := newFixture(t, attempts*usable, func(s *platform.Settings) { s.Bounds.RetryRatio, s.Bounds.RetryBurst = 0, burst })
	for _, h := range f.hosts {
		h.Crash()
	}
	for range usable {
		if got := f.call(t.Context(), "POST", "/once/a", "", nil); got.status != http.StatusServiceUnavailable {
			t.Errorf("got %+v", got)
		}
	}
	sent := 0
	for line := range strings.Lines(f.log.String()) {
		var l struct {
			Event int
			Tried []string
		}
		if json.Unmarshal([]byte(line), &l) == nil && l.Event == 1401 {
			sent += len(l.Tried)
		}
	}
	if sent != attempts*usable {
		t.Errorf("%d attempts of %d requests, want %d", sent, usable, attempts*usable)
	}
}
