package elmrankagent

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/elmcove/elmcove/internal/expert/elmgroup"
	"github.com/elmcove/elmcove/internal/observe/elmmeter"
	"github.com/elmcove/elmcove/platform"
	"github.com/elmcove/elmcove/platform/stand"
)

// Guards against selections that count twice, or all since the start of a rank at once.
func TestBaselines(t *testing.T) {
	for name, c := range map[string]struct {
		earlier map[string][]int64
		planner string
		counts  []int64
		want    []int64
	}{
		"first poll":         {planner: "p1", counts: []int64{5, 6}},
		"second poll":        {earlier: map[string][]int64{"p1": {5, 6}}, planner: "p1", counts: []int64{7, 6}, want: []int64{2, 0}},
		"another planner":    {earlier: map[string][]int64{"p2": {5, 6}}, planner: "p1", counts: []int64{7, 6}},
		"rank has restarted": {earlier: map[string][]int64{"p1": {5, 6}}, planner: "p1", counts: []int64{1, 9}, want: []int64{1, 3}},
		"other experts":      {earlier: map[string][]int64{"p1": {5}}, planner: "p1", counts: []int64{1, 9}},
	} {
		t.Run(name, func(t *testing.T) {
			var b baselines
			for planner, counts := range c.earlier {
				b.since(planner, counts)
			}
			if got := b.since(c.planner, c.counts); !slices.Equal(got, c.want) {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against the loss of a data centre's answers because one agent does not answer:
// the others are collected, each group's selections by itself, and the planner asks a rank
// directly that has no agent.
func TestCollection(t *testing.T) {
	const ranks, experts, port = 3, 5, 27411
	group, other := stand.NewGroup("g0", ranks, 1, experts), stand.NewGroup("g1", 1, 1, experts)
	var addresses []string
	for i := range ranks + 1 {
		rank := group.Rank(i)
		if i == ranks {
			rank = other.Rank(0)
		}
		address := serve(t, fmt.Sprintf("127.0.2.%d:0", i+1), rank)
		addresses = append(addresses, address)
		if i == 1 {
			continue // This rank has no agent.
		}
		settings := platform.Settings{Instance: fmt.Sprint("agent-", i), EndpointAddress: address}
		a := &Agent{settings: settings, meter: elmmeter.New(), ranks: platform.NewRankClient(time.Second), others: elmgroup.NewAgents(port, time.Second)}
		serve(t, net.JoinHostPort(fmt.Sprintf("127.0.2.%d", i+1), strconv.Itoa(port)), a.handler())
	}
	agents := elmgroup.NewAgents(port, time.Second)
	for round, want := range []uint32{0, 300} {
		states, err := agents.Collect(t.Context(), addresses[0], "entry-1", addresses)
		if err != nil {
			t.Fatal(err)
		}
		if len(states.GetReports()) != ranks {
			t.Errorf("%d reports, want those of the %d ranks with agents", len(states.GetReports()), ranks)
		}
		got := uint32(0)
		for _, g := range states.GetGroups() {
			if g.GetGroup() == "g0" {
				got = g.GetSelections()[2]
			}
		}
		if got != want {
			t.Errorf("round %d: %d selections of the expert, want %d", round, got, want)
		}
		group.AddSelections(2, 300)
	}
	many := strings.Repeat("127.0.2.1:1,", elmgroup.MaxCollected+1)
	if _, err := agents.Collect(t.Context(), addresses[0], "entry-1", strings.Split(many, ",")); err == nil {
		t.Error("an agent collects any number of ranks")
	}
}

// serve serves a handler at an address and returns the one it has got.
func serve(t *testing.T, address string, handler http.Handler) string {
	t.Helper()
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewUnstartedServer(handler)
	server.Listener = listener
	server.Start()
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	return listener.Addr().String()
}
