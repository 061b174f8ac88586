package elmrankagent

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/elmcove/elmcove/internal/expert/elmgroup"
	"github.com/elmcove/elmcove/internal/expert/elmlevels"
	"github.com/elmcove/elmcove/internal/model/elmrank"
	"github.com/elmcove/elmcove/internal/wire/elmpeer"
	"github.com/elmcove/elmcove/platform"
)

const (
	// collectTimeout bounds the calls to the other agents of a data centre, so that the
	// planner still gets an answer if one of them is frozen.
	collectTimeout = 200 * time.Millisecond
	// collectCalls is the number of these calls at a time.
	collectCalls = 8
	// maxPlanners is the number of planners whose baselines are kept.
	maxPlanners = 4
	// maxSums limits the sums over the ranks of all groups of a collection.
	maxSums = 1 << 18
)

// baselines holds the selections of the agent's rank as of the last answer to each
// planner. The zero value is empty. It is safe for concurrent use.
type baselines struct {
	mutex sync.Mutex
	list  []baseline
}

type baseline struct {
	planner string
	counts  []int64
}

// since returns the selections since the last call for a planner, or nil at the first.
func (b *baselines) since(planner string, counts []int64) []int64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var added []int64
	for _, old := range b.list {
		if old.planner == planner && len(old.counts) == len(counts) {
			added = slices.Clone(counts)
			for i, n := range old.counts {
				if n <= counts[i] { // A lower count means that the rank has restarted.
					added[i] -= n
				}
			}
		}
	}
	b.list = slices.DeleteFunc(b.list, func(old baseline) bool { return old.planner == planner })
	b.list = append(b.list, baseline{planner, counts})
	b.list = b.list[max(len(b.list)-maxPlanners, 0):]
	return added
}

// state returns the state of the agent's rank for a planner.
func (a *Agent) state(ctx context.Context, planner string) (*elmpeer.RankState, error) {
	status, report, err := a.ranks.Forward(ctx, http.MethodGet, a.settings.EndpointAddress, platform.ReportPath, nil)
	if err != nil {
		return nil, fmt.Errorf("%w: report: %w", ErrAgent, err)
	}
	if status != http.StatusOK {
		return nil, fmt.Errorf("%w: report: status %d", ErrAgent, status)
	}
	state := &elmpeer.RankState{Report: report}
	counts, err := a.ranks.ExpertCounts(ctx, a.settings.EndpointAddress)
	if err != nil {
		a.meter.Count("elmcove_report_failures_total", "rank", "own")
		return state, nil
	}
	levels := elmlevels.Encode(a.baselines.since(planner, counts.Counts), rand.Float64)
	state.Selections = &elmpeer.Selections{Levels: levels.Packed, Unit: levels.Unit, Count: uint32(len(counts.Counts))}
	return state, nil
}

// serveState serves the state of the agent's rank.
func (a *Agent) serveState(w http.ResponseWriter, r *http.Request) {
	state, err := a.state(r.Context(), r.URL.Query().Get("for"))
	if err != nil {
		http.Error(w, "rank does not answer", http.StatusGatewayTimeout)
		return
	}
	respond(w, state)
}

// serveStates collects the states of ranks of the data centre. It leaves out those that
// do not answer.
func (a *Agent) serveStates(w http.ResponseWriter, r *http.Request) {
	planner, ranks := r.URL.Query().Get("for"), r.URL.Query()["rank"]
	if len(ranks) > elmgroup.MaxCollected {
		http.Error(w, "too many ranks", http.StatusBadRequest)
		return
	}
	var c collection
	var wait sync.WaitGroup
	calls := make(chan struct{}, collectCalls)
	for _, rank := range ranks {
		wait.Go(func() {
			calls <- struct{}{}
			defer func() { <-calls }()
			if state, err := a.others.State(r.Context(), rank, planner); err == nil {
				c.add(rank, state)
			}
		})
	}
	wait.Wait()
	respond(w, c.states())
}

func respond(w http.ResponseWriter, message proto.Message) {
	document, err := proto.Marshal(message)
	if err != nil {
		http.Error(w, "state can't be encoded", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/protobuf")
	w.Header().Set("Content-Length", strconv.Itoa(len(document)))
	_, _ = w.Write(document) // The caller detects an incomplete answer.
}

// collection adds up the states of ranks. It is safe for concurrent use.
type collection struct {
	mutex   sync.Mutex
	reports []*elmpeer.RankReport
	groups  []groupSums
}

type groupSums struct {
	group string
	epoch int64
	sums  []float64
}

func (c *collection) add(rank string, state *elmpeer.RankState) {
	report, err := platform.DecodeReport(state.GetReport())
	if err != nil {
		return
	}
	levels := elmlevels.Levels{Packed: state.GetSelections().GetLevels(), Unit: state.GetSelections().GetUnit()}
	n := levels.Len(int(state.GetSelections().GetCount()))
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.reports = append(c.reports, &elmpeer.RankReport{Address: rank, Report: state.GetReport()})
	if n > 0 {
		levels.AddTo(c.sumsOf(report, n))
	}
}

// sumsOf returns the n sums over the ranks of a group, or none if there is no room for them.
func (c *collection) sumsOf(report elmrank.Report, n int) []float64 {
	total := n
	for _, g := range c.groups {
		if g.group == report.Group && g.epoch == report.Epoch && len(g.sums) == n {
			return g.sums
		}
		total += len(g.sums)
	}
	if total > maxSums {
		return nil
	}
	c.groups = append(c.groups, groupSums{report.Group, report.Epoch, make([]float64, n)})
	return c.groups[len(c.groups)-1].sums
}

// states returns what was collected.
func (c *collection) states() *elmpeer.RankStates {
	states := &elmpeer.RankStates{Reports: c.reports}
	for _, g := range c.groups {
		selections := make([]uint32, len(g.sums))
		for i, n := range g.sums {
			selections[i] = uint32(n + 0.5)
		}
		states.Groups = append(states.Groups, &elmpeer.GroupSelections{Group: g.group, Epoch: g.epoch, Selections: selections})
	}
	return states
}
