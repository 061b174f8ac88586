package elmrouter_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/elmcove/elmcove/platform"
	"github.com/elmcove/elmcove/platform/stand"
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

// Guards against a service that counts as broken because one of its groups is, although
// another one answers, with responses that are no streams.
func TestPlainResponsesAreProgress(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 2, nil)
	document := strings.Replace(string(configuration(2, credential)), `"maxConnections":10`, `"maxConnections":10,"engine":{"slots":4}`, 1)
	f.store.Put("op/config", []byte(document))
	f.eventually("configured", func() bool { return strings.Contains(f.log.String(), `"version":2`) })
	for range 4 {
		if got := f.call(t.Context(), "POST", "/once/a", "", nil); got.status != http.StatusOK {
			t.Fatalf("got %+v", got)
		}
	}
	f.endpoints[0].QueueBehaviours(stand.RejectForFailedRank)
	f.eventually("rejected", func() bool {
		f.call(t.Context(), "POST", "/once/a", "", nil)
		return strings.Contains(f.log.String(), `"event":1532`) || strings.Contains(f.log.String(), `"event":1517`)
	})
	if strings.Contains(f.log.String(), `"event":1517`) {
		t.Error("the service counts as broken")
	}
}

// Guards against leases of an entry that stay in the store because the write of its key
// failed.
func TestFailedRegistrationEndsItsLease(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 1, nil)
	var granted, ended atomic.Int32
	f.store.RefuseWhen(func(r *http.Request) bool {
		switch {
		case strings.HasSuffix(r.URL.Path, "/kv-lease"):
			granted.Add(1)
		case strings.Contains(r.URL.Path, "/kv-lease-end/"):
			ended.Add(1)
		}
		return strings.HasSuffix(r.URL.Path, "/kv-txn")
	})
	f.addEntry("entry-2")
	f.eventually("registered twice in vain", func() bool { return granted.Load() >= 2 })
	f.eventually("ended", func() bool { return ended.Load() >= 1 })
}
