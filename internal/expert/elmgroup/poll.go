package elmgroup

import (
	"context"
	"maps"
	"slices"
	"sync"

	"github.com/elmcove/elmcove/internal/model/elmrank"
	"github.com/elmcove/elmcove/internal/observe/elmlog"
	"github.com/elmcove/elmcove/internal/wire/elmpeer"
	"github.com/elmcove/elmcove/platform"
)

// Target is a rank to poll, and its data centre.
type Target struct{ Address, Datacentre string }

// rankAnswer is the answer of one rank to a poll.
type rankAnswer struct {
	address string
	// viaAgent means that the rank's agent has answered.
	viaAgent bool
	report   elmrank.Report
	err      error
}

// poll gathers the answers of ranks. It is safe for concurrent use.
type poll struct {
	mutex   sync.Mutex
	answers []rankAnswer
	// selections holds the sums over the ranks of each group.
	selections map[groupEpoch][]float64
}

type groupEpoch struct {
	group string
	epoch int64
}

func (p *poll) add(a rankAnswer) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.answers = append(p.answers, a)
}

func (p *poll) addSelections(groups []*elmpeer.GroupSelections) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, g := range groups {
		key := groupEpoch{g.GetGroup(), g.GetEpoch()}
		if p.selections[key] == nil {
			p.selections[key] = make([]float64, len(g.GetSelections()))
		}
		if sums := p.selections[key]; len(sums) == len(g.GetSelections()) {
			for i, n := range g.GetSelections() {
				sums[i] += float64(n)
			}
		}
	}
}

// Poll fetches the reports of ranks. It returns views of the complete open groups, sorted
// by name, and the addresses of the ranks that answered but belong to no open group.
func (c *Controller) Poll(ctx context.Context, addresses []string) (views []View, idle []string) {
	var p poll
	var wait sync.WaitGroup
	for _, address := range addresses {
		wait.Go(func() { p.add(c.pollRank(ctx, address)) })
	}
	wait.Wait()
	return p.views()
}

// PollSelections does the same as Poll, and fetches how often requests have selected each
// expert since the last call. In each data centre one agent after the other collects the
// answers, so that they cross between data centres as sums.
func (c *Controller) PollSelections(ctx context.Context, targets []Target) (views []View, idle []string) {
	byDatacentre := map[string][]string{}
	for _, t := range targets {
		byDatacentre[t.Datacentre] = append(byDatacentre[t.Datacentre], t.Address)
	}
	c.turn++
	p := poll{selections: map[groupEpoch][]float64{}}
	var wait sync.WaitGroup
	for _, list := range byDatacentre {
		for chunk := range slices.Chunk(list, MaxCollected) {
			wait.Go(func() { c.pollChunk(ctx, &p, chunk) })
		}
	}
	wait.Wait()
	return p.views()
}

// pollChunk polls ranks of a data centre through the agent of one of them. Ranks that it
// gets no answer from are polled directly.
func (c *Controller) pollChunk(ctx context.Context, p *poll, ranks []string) {
	collector := ranks[c.turn%len(ranks)]
	states, err := c.agents.Collect(ctx, collector, c.name, ranks)
	if err != nil {
		c.logger.Event(elmlog.CountsMissing, "rank", collector, "error", err)
	}
	p.addSelections(states.GetGroups())
	answered := map[string]bool{}
	for _, r := range states.GetReports() {
		report, err := platform.DecodeReport(r.GetReport())
		if err == nil && slices.Contains(ranks, r.GetAddress()) && !answered[r.GetAddress()] {
			answered[r.GetAddress()] = true
			p.add(rankAnswer{address: r.GetAddress(), viaAgent: true, report: report})
		}
	}
	var wait sync.WaitGroup
	for _, address := range ranks {
		if !answered[address] {
			wait.Go(func() { p.add(c.pollRank(ctx, address)) })
		}
	}
	wait.Wait()
}

// pollRank polls one rank through its agent, or directly if the agent does not answer.
func (c *Controller) pollRank(ctx context.Context, address string) rankAnswer {
	a := rankAnswer{address: address, viaAgent: true}
	if a.report, a.err = c.viaAgents.Report(ctx, c.agents.Address(address)); a.err != nil {
		a.viaAgent = false
		a.report, a.err = c.ranks.Report(ctx, address)
	}
	return a
}

// views returns the complete open groups and the addresses of ranks in none.
func (p *poll) views() (views []View, idle []string) {
	found := map[string][]rankAnswer{}
	for _, a := range p.answers {
		switch {
		case a.err != nil:
		case a.report.Open && a.report.Group != "":
			found[a.report.Group] = append(found[a.report.Group], a)
		default:
			idle = append(idle, a.address)
		}
	}
	slices.Sort(idle)
	for _, name := range slices.Sorted(maps.Keys(found)) {
		if v, complete := newView(name, found[name]); complete {
			v.Selections = p.selections[groupEpoch{name, v.Epoch}]
			views = append(views, v)
		}
	}
	return views, idle
}
