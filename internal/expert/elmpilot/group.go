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
)

// view is what a round has seen of a group: one entry for each rank.
type view struct {
	epoch   int64
	version int64
	// highest is the highest version that a rank has.
	highest int64
	own     int
	// addresses are where each rank is asked: at its agent, or itself.
	addresses []string
	// ranks are the ranks' own addresses.
	ranks   []string
	reports []elmrank.Report
	counts  []elmrank.Counts
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

// look asks all ranks for their reports and counts, through their agents where
// they answer. It returns false unless the group is open and complete.
func (p *Pilot) look(ctx context.Context) (view, bool) {
	members := p.seat.members(ctx)
	type answer struct {
		address string
		report  elmrank.Report
		counts  elmrank.Counts
		err     error
	}
	answers := make([]answer, len(members))
	var wait sync.WaitGroup
	for i, m := range members {
		wait.Go(func() {
			a := &answers[i]
			a.address = p.agentOf(m)
			if a.report, a.err = p.ranks.Report(ctx, a.address); a.err != nil {
				a.address = m
				a.report, a.err = p.ranks.Report(ctx, a.address)
				return
			}
			// Without counts the last ones stand.
			a.counts, _ = p.ranks.Picked(ctx, a.address)
		})
	}
	wait.Wait()
	v := view{own: -1}
	for i, a := range answers {
		if a.err != nil || !a.report.Open || a.report.Group == "" {
			continue
		}
		if v.reports == nil {
			v.epoch, v.version = a.report.Epoch, a.report.Map
			n := a.report.Size
			v.addresses, v.ranks = make([]string, n), make([]string, n)
			v.reports, v.counts = make([]elmrank.Report, n), make([]elmrank.Counts, n)
		}
		if r := a.report.Rank; r < 0 || r >= len(v.reports) || a.report.Epoch != v.epoch || a.report.Map != v.version {
			return v, false
		}
		r := a.report.Rank
		v.addresses[r], v.ranks[r], v.reports[r], v.counts[r] = a.address, members[i], a.report, a.counts
		v.highest = max(v.highest, a.report.Map, a.report.Prepared, a.report.Armed)
		if members[i] == p.settings.Beside {
			v.own = r
		}
	}
	for _, address := range v.addresses {
		if address == "" {
			return v, false
		}
	}
	return v, len(v.reports) > 0 && v.own >= 0
}

// agentOf returns the address of the agent beside a rank.
func (p *Pilot) agentOf(rank string) string {
	host, _, err := net.SplitHostPort(rank)
	if err != nil {
		return rank
	}
	return net.JoinHostPort(host, strconv.Itoa(p.settings.Ports[0]))
}

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
	total := 0.0
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
	for _, w := range g.weights[0] {
		total += w
	}
	if total == 0 {
		return nil
	}
	return g.weights
}
