package elmpilot

import (
	"context"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/elmcove/elmcove/internal/expert/elmplan"
	"github.com/elmcove/elmcove/internal/expert/elmrank"
	"github.com/elmcove/elmcove/internal/forward/elmcatalog"
	"github.com/elmcove/elmcove/internal/observe/elmlog"
	"github.com/elmcove/elmcove/platform"
)

// view is what a round has seen of a group: one entry for each rank.
type view struct {
	epoch   int64
	version int64
	// highest is the highest version that a rank has.
	highest int64
	own     int
	// targets are where each rank is asked: at its agent, or itself.
	targets []target
	// counted means that the counts of all ranks were asked for.
	counted bool
	// ranks are the ranks' own addresses.
	ranks   []string
	reports []elmrank.Report
	counts  []elmrank.Counts
}

// target is where a rank is asked and given orders.
type target struct {
	address string
	client  *platform.Ranks
}

// group is what is remembered of a group from round to round.
type group struct {
	maps    map[int64]elmrank.Map
	weights elmplan.Weights
	last    []elmrank.Counts
	// version is the highest that was used, and step the last pass that was
	// held in the epoch.
	version int64
	epoch   int64
	step    int64
}

// stall remembers since when the own rank makes no passes.
type stall struct {
	step  int64
	epoch int64
	since time.Duration
	tried time.Duration
}

// see takes a report and returns whether the rank has work and makes no passes.
func (s *stall) see(r elmrank.Report, now time.Duration) bool {
	busy := r.Open && r.Running+r.Waiting > 0
	if !busy || r.Step != s.step || r.Epoch != s.epoch {
		s.step, s.epoch, s.since = r.Step, r.Epoch, now
		return false
	}
	return true
}

// held returns the passes that ranks hold the group from.
func (v view) held() map[int]int64 {
	found := map[int]int64{}
	for r, report := range v.reports {
		if report.Held > report.Step {
			found[r] = report.Held
		}
	}
	return found
}

// busyShare is the part of a group's slots from which it counts as busy.
const busyShare = 0.75

// busy reports whether the ranks have little room left.
func (v view) busy(slots int) bool {
	work := 0
	for _, report := range v.reports {
		work += report.Running + report.Waiting
	}
	return float64(work) > busyShare*float64(slots*len(v.reports))
}

// paces returns how slow each rank is.
func (v view) paces() []float64 {
	list := make([]float64, len(v.reports))
	for r, report := range v.reports {
		list[r] = max(report.Pace, 1)
	}
	return list
}

func newGroup() *group {
	return &group{maps: map[int64]elmrank.Map{}}
}

// forget drops what another planner may change.
func (g *group) forget() {
	if len(g.maps) > 0 || g.weights != nil {
		*g = *newGroup()
	}
}

// sighting is what one rank has answered.
type sighting struct {
	rank   string
	target target
	report elmrank.Report
	counts elmrank.Counts
	err    error
}

// look asks all ranks for their reports and, if asked to, for their counts. It
// returns false unless the group is open and complete.
func (p *Pilot) look(ctx context.Context, counts bool) (view, bool) {
	members := p.seat.members(ctx)
	sightings := make([]sighting, len(members))
	var wait sync.WaitGroup
	for i, m := range members {
		wait.Go(func() { sightings[i] = p.sight(ctx, m, counts) })
	}
	wait.Wait()
	v := view{own: -1, counted: counts}
	for _, s := range sightings {
		if s.err != nil || !s.report.Open || s.report.Group == "" {
			continue
		}
		if !v.add(s) {
			return v, false
		}
		if s.rank == p.settings.Beside {
			v.own = s.report.Rank
		}
	}
	for _, t := range v.targets {
		if t.client == nil {
			return v, false
		}
	}
	return v, len(v.reports) > 0 && v.own >= 0
}

// sight asks one rank through its agent, or itself if the agent does not answer.
func (p *Pilot) sight(ctx context.Context, rank string, counts bool) sighting {
	s := sighting{rank: rank, target: target{p.agentOf(rank), p.agents}}
	if s.report, s.err = s.target.client.Report(ctx, s.target.address); s.err != nil {
		s.target = target{rank, p.ranks}
		s.report, s.err = s.target.client.Report(ctx, s.target.address)
		return s
	}
	if !counts {
		return s
	}
	var err error
	if s.counts, err = s.target.client.Picked(ctx, s.target.address); err != nil {
		p.logger.Event(elmlog.CountsMissing, "rank", s.report.Rank, "error", err)
	}
	return s
}

// add takes a rank into the view, unless it belongs to another epoch or has
// another map.
func (v *view) add(s sighting) bool {
	if v.reports == nil {
		v.epoch, v.version = s.report.Epoch, s.report.Map
		n := s.report.Size
		v.targets, v.ranks = make([]target, n), make([]string, n)
		v.reports, v.counts = make([]elmrank.Report, n), make([]elmrank.Counts, n)
	}
	r := s.report.Rank
	if r < 0 || r >= len(v.reports) || s.report.Epoch != v.epoch || s.report.Map != v.version {
		return false
	}
	v.targets[r], v.ranks[r], v.reports[r], v.counts[r] = s.target, s.rank, s.report, s.counts
	v.highest = max(v.highest, s.report.Map, s.report.Prepared, s.report.Armed)
	return true
}

// agentOf returns the address of the agent beside a rank.
func (p *Pilot) agentOf(rank string) string {
	host, _, err := net.SplitHostPort(rank)
	if err != nil {
		return rank
	}
	return net.JoinHostPort(host, strconv.Itoa(p.settings.Ports[0]))
}

// size returns the number of ranks that were seen last.
func (g *group) size() int { return len(g.last) }

// weigh adds what was chosen since the last round to the demand, or returns nil
// while nothing is known.
func (g *group) weigh(v view, e elmcatalog.Engine) elmplan.Weights {
	if len(g.last) != len(v.counts) {
		g.last = make([]elmrank.Counts, len(v.counts))
	}
	if g.weights == nil {
		g.weights = make(elmplan.Weights, e.Sets)
		for s := range g.weights {
			g.weights[s] = make([]float64, e.Experts)
		}
	}
	if !v.counted {
		return g.known()
	}
	for s := range g.weights {
		for x := range g.weights[s] {
			g.weights[s][x] *= decay
		}
	}
	for r, c := range v.counts {
		if len(c.Counts) != e.Sets*e.Experts {
			continue
		}
		for i, n := range c.Counts {
			if before := g.last[r].Counts; len(before) == len(c.Counts) && before[i] <= n {
				n -= before[i]
			}
			g.weights[i/e.Experts][i%e.Experts] += float64(n)
		}
		g.last[r] = c
	}
	return g.known()
}

// known returns the demand, or nil if none was seen.
func (g *group) known() elmplan.Weights {
	for _, w := range g.weights[0] {
		if w > 0 {
			return g.weights
		}
	}
	return nil
}
