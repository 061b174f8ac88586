package elmrouter_test

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

// loseWrites returns the store to its copy, after enough writes that the revisions of
// the copy are behind what the entries know.
func (f *fixture) loseWrites(change func()) {
	f.t.Helper()
	f.store.SaveCopy()
	change()
	for range 50 {
		f.listEndpoint("unused", "leaving")
	}
	f.eventually("up to date", func() bool { return strings.Contains(f.log.String(), `"endpoint":"unused"`) })
	f.store.RestoreCopy()
}

// Guards against an entry that ignores a store whose revisions have gone back, so that
// new endpoints stay unknown and removed ones get requests.
func TestRevisionsGoBack(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 1, nil)
	f.loseWrites(func() {})
	f.addEndpoint("e1")
	f.store.Delete("servers/e0")
	f.eventually("sent to the new endpoint only", func() bool {
		for range 20 {
			if f.call(t.Context(), "POST", "/once/a", "", nil).body != "answer of e1" {
				return false
			}
		}
		return true
	})
}

// Guards against a configuration that goes back to the version of the store's copy, and
// with it a revoked credential that is accepted again, also by an entry that starts
// after the store's return.
func TestRevokedCredentialStaysRevoked(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 1, nil)
	rejected := func(f *fixture) bool {
		return f.call(t.Context(), "POST", "/once/a", "", nil).status == http.StatusUnauthorized
	}
	f.loseWrites(func() {
		f.store.Put("op/config", configuration(2, "other"))
		f.eventually("revoked", func() bool { return rejected(f) })
	})
	f.eventually("informed", func() bool { return strings.Contains(f.log.String(), "store returned from a copy") })
	settings := f.settings
	settings.Seeds = []string{net.JoinHostPort(f.settings.IP, strconv.Itoa(peerPort))}
	starter := *f
	starter.settings = settings
	late := starter.addEntry("entry-2")
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); <-time.After(50 * time.Millisecond) {
		if !rejected(f) || !rejected(late) {
			t.Fatal("a revoked credential is accepted after the store's return")
		}
	}
	f.store.RewriteLost("elmcove/")
	f.store.Put("op/config", configuration(3, credential))
	f.eventually("accepted again by the operator's next version", func() bool { return !rejected(f) && !rejected(late) })
}

// Guards against requests for a data centre whose withdrawal the store's copy lacks,
// before the operator writes it again.
func TestWithdrawnDatacentreStaysEmpty(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 1, nil)
	refused := func() bool {
		return f.call(t.Context(), "POST", "/once/a", "", nil).status == http.StatusServiceUnavailable
	}
	f.loseWrites(func() {
		f.store.Put("op/evacuate/home", []byte("{}"))
		f.eventually("withdrawn", refused)
	})
	for range 100 { // The revisions pass those that the entry knows.
		f.listEndpoint("unused", "leaving")
	}
	f.store.CompactHistory() // All keys are read again.
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); <-time.After(50 * time.Millisecond) {
		if !refused() {
			t.Fatal("the withdrawn data centre gets requests after the store's return")
		}
	}
	f.store.RewriteLost("elmcove/")
	<-time.After(time.Second)
	f.store.Delete("op/evacuate/home")
	f.eventually("returned", func() bool { return !refused() })
}

// Guards against an entry that others no longer find, because the store lost its lease
// or gave the lease's ID to another owner.
func TestEntryIsListedAgain(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 1, nil)
	f.eventually("registered", func() bool { return f.store.Value("elmcove/entries/entry-1") != "" })
	f.store.RestoreCopy() // The copy is from before the entry started.
	f.store.Put("op/config", configuration(1, credential))
	if f.store.Value("elmcove/entries/entry-1") != "" {
		t.Fatal("the store's copy is too new")
	}
	f.eventually("registered again", func() bool { return f.store.Value("elmcove/entries/entry-1") != "" })
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	for ctx.Err() == nil && !strings.Contains(f.log.String(), "store returned from a copy") {
		<-time.After(10 * time.Millisecond)
	}
	if ctx.Err() != nil {
		t.Error("the return of the store is not logged")
	}
}
