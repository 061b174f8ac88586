package elmstore_test

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/elmcove/elmcove/internal/registry/elmstore"
	"github.com/elmcove/elmcove/internal/stand/elmplatform"
)

// TestSwap checks the reported result of a write under each fault of the service,
// and that it matches the value that the service then stores.
func TestSwap(t *testing.T) {
	tests := map[string]struct {
		fault  elmplatform.Fault
		expect int64
		won    bool
		err    error
		holds  string
	}{
		"accepted":                  {elmplatform.FaultNone, 1, true, nil, "new"},
		"conflict":                  {elmplatform.FaultNone, 0, false, nil, "old"},
		"reply lost":                {elmplatform.FaultLostReplies, 1, true, nil, "new"},
		"reply lost, with conflict": {elmplatform.FaultLostReplies, 0, false, nil, "old"},
		"down":                      {elmplatform.FaultDown, 1, false, elmstore.ErrUnavailable, "old"},
	}
	for name, test := range tests {
		Convey(name, t, func() {
			platform := elmplatform.New()
			server := httptest.NewServer(platform.Handler())
			defer server.Close()
			store, err := elmstore.New(server.URL)
			So(err, ShouldBeNil)
			_, err = store.Swap(t.Context(), "key", 0, []byte("old"))
			So(err, ShouldBeNil)
			platform.SetFault(test.fault)
			result, err := store.Swap(t.Context(), "key", test.expect, []byte("new"))
			So(errors.Is(err, test.err), ShouldBeTrue)
			So(result.Won, ShouldEqual, test.won)
			platform.SetFault(elmplatform.FaultNone)
			value, err := store.Read(t.Context(), "key")
			So(err, ShouldBeNil)
			So(string(value.Data), ShouldEqual, test.holds)
		})
	}
}

func TestLease(t *testing.T) {
	Convey("All values of one hour share a lease", t, func() {
		platform := elmplatform.New()
		server := httptest.NewServer(platform.Handler())
		defer server.Close()
		store, err := elmstore.New(server.URL)
		So(err, ShouldBeNil)
		for _, key := range []string{"a", "b", "c"} {
			_, err = store.SwapWithLease(t.Context(), key, 0, []byte("x"), 1, time.Hour)
			So(err, ShouldBeNil)
		}
		So(platform.Counts().Leases, ShouldEqual, 1)
		_, err = store.SwapWithLease(t.Context(), "d", 0, []byte("x"), 2, time.Hour)
		So(err, ShouldBeNil)
		So(platform.Counts().Leases, ShouldEqual, 2)
	})
}

// newStore returns a stand-in service and a store that uses it.
func newStore(t *testing.T) (*elmplatform.Platform, *elmstore.Store) {
	t.Helper()
	platform := elmplatform.New()
	server := httptest.NewServer(platform.Handler())
	t.Cleanup(server.Close)
	store, err := elmstore.New(server.URL)
	if err != nil {
		t.Fatal(err)
	}
	return platform, store
}

// Guards against a lease for each of the first writes of an hour that come at once.
func TestConcurrentWritesShareLease(t *testing.T) {
	platform, store := newStore(t)
	var wait sync.WaitGroup
	for n := range 16 {
		wait.Go(func() {
			if _, err := store.SwapWithLease(t.Context(), strconv.Itoa(n), 0, []byte("x"), 1, time.Hour); err != nil {
				t.Error(err)
			}
		})
	}
	wait.Wait()
	if n := platform.Counts().Leases; n != 1 {
		t.Errorf("%d leases, want 1", n)
	}
}

// Guards against writes that fail for the rest of an hour because the service has lost
// the hour's lease.
func TestLostLeaseIsReplaced(t *testing.T) {
	platform, store := newStore(t)
	write := func(key string) error {
		_, err := store.SwapWithLease(t.Context(), key, 0, []byte("x"), 1, time.Hour)
		return err
	}
	if err := write("a"); err != nil {
		t.Fatal(err)
	}
	platform.LoseLeases()
	if err := write("b"); !errors.Is(err, elmstore.ErrUnavailable) {
		t.Errorf("a write with a lost lease: %v", err)
	}
	if err := write("b"); err != nil {
		t.Errorf("the next write: %v", err)
	}
}

// Guards against an odd document in the instance list that makes the complete list unusable.
func TestOddInstances(t *testing.T) {
	const sound = `{"name":"a1","role":"agent","datacentre":"worcester","address":"10.0.0.4:80","state":"live"}`
	for name, odd := range map[string]string{
		"unknown role":      strings.Replace(sound, "agent", "proxy", 1),
		"missing field":     `{"name":"a2"}`,
		"other type":        strings.Replace(sound, `"a1"`, "1e400", 1),
		"no object":         `[1]`,
		"deeply nested":     strings.Repeat("[", 5000) + strings.Repeat("]", 5000),
		"null":              `null`,
		"state of no known": strings.Replace(sound, "live", "asleep", 1),
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", "application/json")
				_, _ = io.WriteString(w, `{"version":3,"instances":[`+odd+`,`+sound+`]}`)
			}))
			defer server.Close()
			omitted := 0
			store, err := elmstore.New(server.URL, elmstore.WithOmitted(func(string, error) { omitted++ }))
			if err != nil {
				t.Fatal(err)
			}
			list, err := store.WatchInstances(t.Context(), nil, 2, 0)
			if err != nil || list.Version != 3 || len(list.Instances) != 1 || list.Instances[0].Name != "a1" || omitted != 1 {
				t.Errorf("got %+v with %d left out, %v", list, omitted, err)
			}
		})
	}
}
