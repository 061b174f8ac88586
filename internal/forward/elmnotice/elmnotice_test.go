package elmnotice_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/elmcove/elmcove/internal/forward/elmnotice"
	"github.com/elmcove/elmcove/internal/observe/elmclock"
	"github.com/elmcove/elmcove/internal/observe/elmlog"
	"github.com/elmcove/elmcove/platform"
	"github.com/elmcove/elmcove/platform/stand"
)

type fixture struct {
	stand *stand.Store
	store *platform.Store
}

func newFixture(t *testing.T) fixture {
	t.Helper()
	f := fixture{stand: stand.NewStore()}
	server := httptest.NewServer(f.stand)
	t.Cleanup(server.Close)
	f.store = platform.NewStore(strings.TrimPrefix(server.URL, "http://"))
	return f
}

func (f fixture) newBoard(t *testing.T) *elmnotice.Board {
	t.Helper()
	b := elmnotice.New(f.store, time.Second, elmlog.NewJSON("test", io.Discard))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { b.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return b
}

// listed returns the notices in the store by key.
func (f fixture) listed(t *testing.T) map[string]string {
	t.Helper()
	found := map[string]string{}
	for after, more := "", true; more; {
		page, err := f.store.Range(t.Context(), platform.InternalPrefix+elmnotice.KeyPrefix, after)
		if err != nil {
			t.Fatal(err)
		}
		for _, i := range page.Items {
			found[strings.TrimPrefix(i.Key, platform.InternalPrefix+elmnotice.KeyPrefix)] = string(i.Value)
			after = i.Key
		}
		more = page.More && len(page.Items) > 0
	}
	return found
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !holds(); <-time.After(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not %s after 10 s", what)
		}
	}
}

// Guards against knowledge of one entry that the others never get.
func TestNoticesAreShared(t *testing.T) {
	f := newFixture(t)
	b := f.newBoard(t)
	now := elmclock.Now()
	for n := range 100 { // More than a transaction takes.
		b.Post(elmnotice.Notice{Key: fmt.Sprintf("k/%d", n), Value: "v", TTL: time.Minute}, now)
	}
	if got := b.Merge(map[string]string{"other": "x"}, now); len(got) != 101 || got["k/7"] != "v" {
		t.Errorf("%d notices before they are written, want 101", len(got))
	}
	eventually(t, "written", func() bool { return len(f.listed(t)) == 100 })
	b.Post(elmnotice.Notice{Key: "k/7", Value: "w", TTL: time.Minute}, now)
	eventually(t, "changed", func() bool { return f.listed(t)["k/7"] == "w" })
}

// Guards against notices that are lost because the store drops them in an outage.
func TestDroppedNoticeIsWrittenAgain(t *testing.T) {
	f := newFixture(t)
	b := f.newBoard(t)
	now := elmclock.Now()
	b.Post(elmnotice.Notice{Key: "k", Value: "v", TTL: time.Minute}, now)
	eventually(t, "written", func() bool { return f.listed(t)["k"] == "v" })
	f.stand.Delete(platform.InternalPrefix + elmnotice.KeyPrefix + "k")
	if got := b.Merge(map[string]string{}, now+time.Second); got["k"] != "v" {
		t.Errorf("just after the write: %q, want v", got["k"])
	}
	eventually(t, "written again", func() bool {
		b.Merge(map[string]string{}, now+6*time.Second) // The board may not have had the answer to its write yet.
		return f.listed(t)["k"] == "v"
	})
}

// Guards against notices that hold for ever, and against one that hides a later value
// of another entry.
func TestNoticesEnd(t *testing.T) {
	f := newFixture(t)
	b := f.newBoard(t)
	now := elmclock.Now()
	b.Post(elmnotice.Notice{Key: "k", Value: "v", TTL: 30 * time.Second}, now)
	b.Post(elmnotice.Notice{Key: "replaced", Value: "v", TTL: time.Minute}, now)
	eventually(t, "written", func() bool { return len(f.listed(t)) == 2 })
	b.Merge(f.listed(t), now)
	if got := b.Merge(map[string]string{"k": "v", "replaced": "w"}, now+20*time.Second); got["k"] != "v" || got["replaced"] != "w" {
		t.Errorf("got %v", got)
	}
	if got := b.Merge(map[string]string{}, now+40*time.Second); len(got) != 0 {
		t.Errorf("after the end of the notice: %v", got)
	}
}

// Guards against notices that a store which returned from a copy has lost, or holds with
// an earlier value.
func TestNoticesSurviveStoreCopy(t *testing.T) {
	f := newFixture(t)
	b := f.newBoard(t)
	now := elmclock.Now()
	b.Post(elmnotice.Notice{Key: "k/old", Value: "first", TTL: time.Minute}, now)
	eventually(t, "written", func() bool { return f.listed(t)["k/old"] == "first" })
	f.stand.SaveCopy()
	b.Post(elmnotice.Notice{Key: "k/old", Value: "second", TTL: time.Minute}, now)
	b.Post(elmnotice.Notice{Key: "k/new", Value: "v", TTL: time.Minute}, now)
	eventually(t, "changed", func() bool {
		listed := b.Merge(f.listed(t), now)
		return f.listed(t)["k/old"] == "second" && f.listed(t)["k/new"] == "v" && listed["k/old"] == "second"
	})
	f.stand.RestoreCopy()
	eventually(t, "written again", func() bool {
		listed := b.Merge(f.listed(t), elmclock.Now())
		if listed["k/old"] != "second" || listed["k/new"] != "v" {
			t.Fatalf("the entry forgot its own notices: %v", listed)
		}
		return f.listed(t)["k/old"] == "second" && f.listed(t)["k/new"] == "v"
	})
}

// Guards against leases that stay in the store because the write of their notices failed.
func TestFailedWriteEndsItsLease(t *testing.T) {
	f := newFixture(t)
	var ended atomic.Int32
	f.stand.RefuseWhen(func(r *http.Request) bool {
		if strings.Contains(r.URL.Path, "/kv-lease-end/") {
			ended.Add(1)
		}
		return strings.HasSuffix(r.URL.Path, "/kv-txn")
	})
	f.newBoard(t).Post(elmnotice.Notice{Key: "k", Value: "v", TTL: time.Minute}, elmclock.Now())
	eventually(t, "ended", func() bool { return ended.Load() > 0 })
}
