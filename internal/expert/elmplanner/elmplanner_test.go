package elmplanner_test

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/elmcove/elmcove/internal/expert/elmplanner"
	"github.com/elmcove/elmcove/internal/expert/elmrankagent"
	"github.com/elmcove/elmcove/internal/forward/elmfollower"
	"github.com/elmcove/elmcove/internal/observe/elmlog"
	"github.com/elmcove/elmcove/platform"
	"github.com/elmcove/elmcove/platform/stand"
)

const (
	ranks   = 4
	experts = 8
	port    = 27311
)

// world is a group of ranks, each on a loopback address of its own with an agent
// beside it.
type world struct {
	store *stand.Store
	group *stand.Group
	logs  *record
}

type record struct {
	mutex sync.Mutex
	text  strings.Builder
}

func (r *record) Write(line []byte) (int, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.text.Write(line)
}

func (r *record) String() string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.text.String()
}

func newWorld(t *testing.T) *world {
	t.Helper()
	w := &world{store: stand.NewStore(), group: stand.NewGroup("g0", ranks, 2, experts), logs: &record{}}
	server := httptest.NewServer(w.store)
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	document, _ := json.Marshal(map[string]any{
		"version": 1, "services": []any{map[string]any{"name": "draft", "engine": map[string]any{
			"slots": 12, "sets": 2, "experts": experts, "places": 4, "spare": 3, "expertShare": 0.85,
		}}},
	})
	w.store.Put("op/config", document)
	for r := range ranks {
		w.start(t, w.group, r, r, strings.TrimPrefix(server.URL, "http://"))
	}
	return w
}

// plan runs the planner of an entry.
func (w *world) plan(t *testing.T, name string) {
	t.Helper()
	server := httptest.NewServer(w.store)
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	store := platform.NewStore(strings.TrimPrefix(server.URL, "http://"))
	logger := elmlog.NewJSON(name, w.logs)
	follower := elmfollower.New(store, logger)
	settings := platform.Settings{Instance: name, Ports: []int{port}, Lease: time.Second}
	var wait sync.WaitGroup
	wait.Go(func() { follower.Run(t.Context()) })
	wait.Go(func() { elmplanner.New(settings, store, follower.Belief, logger).Run(t.Context()) })
	t.Cleanup(wait.Wait)
}

// start runs a rank of a group and the agent beside it, as the n-th endpoint, on a
// loopback address of its own.
func (w *world) start(t *testing.T, group *stand.Group, r, n int, store string) {
	t.Helper()
	ip := fmt.Sprintf("127.0.1.%d", n+1)
	listener, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewUnstartedServer(group.Rank(r))
	server.Listener = listener
	server.Start()
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	entry, _ := json.Marshal(map[string]any{
		"service": "draft", "address": listener.Addr().String(), "zone": "home", "slots": 12, "state": "ready", "coldLeftMs": 0,
	})
	w.store.Put(fmt.Sprintf("servers/r%d", n), entry)
	agent := elmrankagent.New(platform.Settings{
		Instance: fmt.Sprintf("agent-%d", n), Datacentre: "home", IP: ip, Ports: []int{port},
		Beside: listener.Addr().String(), Service: "draft", Store: store, Lease: time.Second,
	}, elmlog.NewJSON(fmt.Sprintf("agent-%d", n), w.logs))
	done := make(chan error, 1)
	go func() { done <- agent.Run(t.Context()) }()
	t.Cleanup(func() {
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

// eventually makes passes until something holds, for a limited time.
func (w *world) eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for !holds() {
		if time.Now().After(deadline) {
			t.Fatalf("not %s; log:\n%s", what, w.logs)
		}
		w.group.Pass()
		<-time.After(20 * time.Millisecond)
	}
}

// TestExpertShift: an expert that is suddenly in demand gets copies on more
// ranks, and no pass ever mixes two maps.
func TestExpertShift(t *testing.T) {
	w := newWorld(t)
	w.plan(t, "entry-1")
	w.plan(t, "entry-2")
	for _, hot := range []int{2, 5} {
		w.eventually(t, "copied", func() bool {
			w.group.Choose(hot, 200)
			return w.group.Holders(hot) > 1
		})
	}
	if _, mixed := w.group.Version(); mixed {
		t.Error("a pass mixed two maps")
	}
	if planner := w.store.Value("elmcove/planner/draft"); !strings.HasPrefix(planner, "entry-") {
		t.Errorf("planner %q", planner)
	}
}

// TestTwoGroups: a service whose ranks form two groups, and one rank that belongs to
// none: both groups get maps of their own, and no pass of either mixes two.
func TestTwoGroups(t *testing.T) {
	w := newWorld(t)
	server := httptest.NewServer(w.store)
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	other := stand.NewGroup("g1", ranks, 2, experts)
	alone := stand.NewGroup("g2", ranks, 2, experts)
	for r := range ranks {
		w.start(t, other, r, ranks+r, strings.TrimPrefix(server.URL, "http://"))
	}
	alone.Break()
	w.start(t, alone, 0, 2*ranks, strings.TrimPrefix(server.URL, "http://"))
	w.plan(t, "entry-1")
	w.eventually(t, "copied in both groups", func() bool {
		w.group.Choose(2, 200)
		other.Choose(5, 200)
		other.Pass()
		return w.group.Holders(2) > 1 && other.Holders(5) > 1
	})
	w.eventually(t, "told to avoid the rank without a group", func() bool {
		return strings.HasPrefix(w.store.Value("elmcove/slow/draft"), "127.0.1.9:") && strings.HasSuffix(w.store.Value("elmcove/slow/draft"), "=1000")
	})
	for name, g := range map[string]*stand.Group{"g0": w.group, "g1": other, "g2": alone} {
		if _, mixed := g.Version(); mixed {
			t.Errorf("a pass of %s mixed two maps", name)
		}
	}
}

// TestHeldGroup: a group that a planner has left held is released by the agents
// that see no passes.
func TestHeldGroup(t *testing.T) {
	w := newWorld(t)
	w.group.Hold(2)
	if w.group.Pass() {
		t.Fatal("the group is not held")
	}
	w.eventually(t, "released", func() bool { return w.group.Pass() })
	if !strings.Contains(w.logs.String(), "released that an earlier planner had held") {
		t.Error("no line tells of the repair")
	}
}

// TestOrdersWithoutAnswer: a map is changed though ranks leave a third of the
// orders unanswered, and the group does not wait for long.
func TestOrdersWithoutAnswer(t *testing.T) {
	w := newWorld(t)
	w.group.Ignore(3)
	w.plan(t, "entry-1")
	longest := time.Duration(0)
	heldSince := time.Time{}
	for _, hot := range []int{2, 5} {
		w.eventually(t, "copied", func() bool {
			w.group.Choose(hot, 200)
			if w.group.Pass() {
				heldSince = time.Time{}
			} else if heldSince.IsZero() {
				heldSince = time.Now()
			}
			if !heldSince.IsZero() {
				longest = max(longest, time.Since(heldSince))
			}
			return w.group.Holders(hot) > 1
		})
	}
	if longest > 400*time.Millisecond {
		t.Errorf("the group waited for %v", longest)
	}
}
