// Package elmgroup looks at a lock-step group of ranks and carries out changes
// of its expert map, for planners and for agents that repair a group.
//
// Questions and copies of maps go through the agents beside the ranks, where
// they cost nothing. Orders on which the group waits go to the ranks themselves,
// so that they depend on no other instance.
//
// # Usage
//
//	group := elmgroup.New("entry-1", port, logger)
//	views, idle := group.Look(ctx, members, true)
//	for _, view := range views {
//		current, ok := group.Map(ctx, view, engine)
//		group.Change(ctx, view, current, next)
//	}
package elmgroup

import (
	"context"
	"maps"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/elmcove/elmcove/internal/expert/elmrank"
	"github.com/elmcove/elmcove/internal/expert/elmshift"
	"github.com/elmcove/elmcove/internal/forward/elmcatalog"
	"github.com/elmcove/elmcove/internal/observe/elmclock"
	"github.com/elmcove/elmcove/internal/observe/elmlog"
	"github.com/elmcove/elmcove/platform"
)

const (
	// callTimeout bounds a call to a rank: it answers within a few milliseconds,
	// or not at all.
	callTimeout = 250 * time.Millisecond
	// orderTimeout bounds an order for which the group may be waiting: it is
	// answered within a few milliseconds, or not at all, and then sent again.
	orderTimeout = 60 * time.Millisecond
	// agentTimeout bounds a call to a rank through its agent, whose link may be
	// busy with the answers of all the others.
	agentTimeout = 400 * time.Millisecond
	// changeTimeout bounds a change up to the point where ranks are armed.
	changeTimeout = 3 * time.Second
	// pauseRest is the pause before a rank is asked again.
	pauseRest = 30 * time.Millisecond
	// leadTime is how long before a change its orders are sent. Ranks are armed
	// meanwhile, so that the group does not wait.
	leadTime = 200 * time.Millisecond
	// mostLead and leastLead bound the passes from the last known one to a
	// change: the next pass is the first that may not have begun.
	mostLead, leastLead = 3, 1
)

// Group speaks with the ranks of a group. It is not safe for concurrent use.
type Group struct {
	planner int64
	port    int
	ranks   *platform.Ranks
	orders  *platform.Ranks
	agents  *platform.Ranks
	logger  *elmlog.Logger

	maps map[int64]elmrank.Map
	// version is the highest that was used, and step the last pass that was
	// held in the epoch.
	version int64
	epoch   int64
	step    int64
	turn    int
	passes  passes
}

// New returns the view of a process by name. Agents listen at port of the
// instances of their ranks.
func New(name string, port int, logger *elmlog.Logger) *Group {
	return &Group{
		planner: int64(xxhash.Sum64String(name) % elmshift.VersionStride), port: port,
		ranks: platform.NewRanks(callTimeout), orders: platform.NewRanks(orderTimeout), agents: platform.NewAgents(agentTimeout),
		logger: logger, maps: map[int64]elmrank.Map{},
	}
}

// rankAnswer is what one rank has answered.
type rankAnswer struct {
	address string
	agent   bool
	report  elmrank.Report
	counts  elmrank.Counts
	err     error
}

// Look asks ranks for their reports and, if asked to, for their counts. It returns
// the groups among them that are open and complete, in the order of their names, and
// the ranks that answered but belong to none of these.
func (g *Group) Look(ctx context.Context, members []string, counts bool) (views []View, idle []string) {
	answers := make([]rankAnswer, len(members))
	var wait sync.WaitGroup
	for i, address := range members {
		wait.Go(func() { answers[i] = g.askRank(ctx, address, counts) })
	}
	wait.Wait()
	found := map[string][]rankAnswer{}
	for _, a := range answers {
		switch {
		case a.err != nil:
		case a.report.Open && a.report.Group != "":
			found[a.report.Group] = append(found[a.report.Group], a)
		default:
			idle = append(idle, a.address)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(found)) {
		if v, complete := newView(name, found[name]); complete {
			views = append(views, v)
		}
	}
	return views, idle
}

// See takes a view of the group for later changes of its map.
func (g *Group) See(v View) { g.passes = g.passes.seen(v, elmclock.Now()) }

// askRank asks one rank through its agent, or itself if the agent does not answer.
func (g *Group) askRank(ctx context.Context, address string, counts bool) rankAnswer {
	s := rankAnswer{address: address, agent: true}
	if s.report, s.err = g.agents.Report(ctx, g.agentOf(address)); s.err != nil {
		s.agent = false
		s.report, s.err = g.ranks.Report(ctx, address)
		return s
	}
	if !counts {
		return s
	}
	var err error
	if s.counts, err = g.agents.Picked(ctx, g.agentOf(address)); err != nil {
		g.logger.Event(elmlog.CountsMissing, "rank", s.report.Rank, "error", err)
	}
	return s
}

// agentOf returns the address of the agent beside a rank.
func (g *Group) agentOf(rank string) string {
	host, _, err := net.SplitHostPort(rank)
	if err != nil {
		return rank
	}
	return net.JoinHostPort(host, strconv.Itoa(g.port))
}

// Map returns the map in use: the one with which a group opens, one that this
// process has brought into force, or else what the ranks say.
func (g *Group) Map(ctx context.Context, v View, e elmcatalog.Engine) (elmrank.Map, bool) {
	if v.Version == 0 {
		return elmrank.First(e.Sets, e.Experts, len(v.Reports)), true
	}
	if m, ok := g.maps[v.Version]; ok {
		return m, true
	}
	m := make(elmrank.Map, e.Sets)
	for s := range m {
		m[s] = make([][]int, len(v.Reports))
	}
	for r, address := range v.Addresses {
		version, experts, err := g.agents.Held(ctx, g.agentOf(address))
		if err != nil || version != v.Version || len(experts) != e.Sets {
			g.logger.Event(elmlog.MapUnknown, "rank", r, "version", version, "wanted", v.Version, "error", err)
			return nil, false
		}
		for s := range experts {
			m[s][r] = experts[s]
		}
	}
	g.maps[v.Version] = m
	return m, true
}

// Change brings a new map into force.
func (g *Group) Change(ctx context.Context, v View, current, next elmrank.Map) {
	plan := g.plan(v, current, next)
	shift, commands := elmshift.New(plan, v.Reports)
	began := time.Now()
	shift = g.conduct(ctx, v, shift, commands)
	g.remember(v.Epoch, shift)
	event := elmlog.MapAbandoned
	if shift.Changed() {
		event = elmlog.MapChanged
		g.maps = map[int64]elmrank.Map{v.Version: current, plan.Version: next}
	}
	g.logger.Event(event, "epoch", v.Epoch, "map", v.Version, "version", shift.Version(), "step", shift.Step(),
		"elapsed", time.Since(began))
}

// Heal releases a group that a planner has left held before passes that are
// listed by rank.
func (g *Group) Heal(ctx context.Context, v View, current elmrank.Map, held map[int]int64) {
	plan := g.plan(v, current, nil)
	for r := range v.Reports {
		if _, holds := held[plan.Own]; !holds {
			break
		}
		plan.Own = r
	}
	g.logger.Event(elmlog.GroupHeld, "epoch", v.Epoch, "held", held, "own", plan.Own)
	began := time.Now()
	shift, commands := elmshift.Heal(plan, held, v.Reports)
	shift = g.conduct(ctx, v, shift, commands)
	g.remember(v.Epoch, shift)
	g.logger.Event(elmlog.GroupRepaired, "epoch", v.Epoch, "held", held, "elapsed", time.Since(began))
}

func (g *Group) plan(v View, current, next elmrank.Map) elmshift.Plan {
	g.turn++
	after := int64(0)
	if v.Epoch == g.epoch {
		after = g.step
	}
	return elmshift.Plan{
		Version: elmshift.Next(max(v.Highest, g.version), g.planner), Epoch: v.Epoch, Current: current, Next: next,
		Own: g.turn % len(v.Reports), Planner: g.planner, Lead: g.passes.lead(), After: after,
	}
}

// remember keeps what the next change must not use again.
func (g *Group) remember(epoch int64, s elmshift.Shift) {
	g.version = max(g.version, s.Version())
	if epoch != g.epoch {
		g.epoch, g.step = epoch, 0
	}
	g.step = max(g.step, s.Step())
}

// conduct carries out the commands of a change until it ends.
func (g *Group) conduct(ctx context.Context, v View, shift elmshift.Shift, commands []elmshift.Command) elmshift.Shift {
	messages := make(chan elmshift.Message, 4*len(v.Reports)+4)
	expired := time.NewTimer(changeTimeout)
	defer expired.Stop()
	waiting := false
	for !shift.Done() {
		for _, c := range commands {
			switch c := c.(type) {
			case elmshift.Send:
				go func() { messages <- g.send(ctx, v, c) }()
			case elmshift.Ask:
				go func() { messages <- g.ask(ctx, v, c) }()
			case elmshift.Wait:
				if !waiting {
					waiting = true
					time.AfterFunc(pauseRest, func() { messages <- elmshift.Waited{} })
				}
			}
		}
		var message elmshift.Message
		select {
		case message = <-messages:
		case <-expired.C:
			message = elmshift.Expired{}
		case <-ctx.Done():
			return shift // Others repair what is left.
		}
		if _, ok := message.(elmshift.Waited); ok {
			waiting = false
		}
		shift, commands = shift.Update(message)
	}
	return shift
}

func (g *Group) send(ctx context.Context, v View, c elmshift.Send) elmshift.Message {
	address := v.Addresses[c.Rank]
	answered := elmshift.Answered{State: c.State, Rank: c.Rank, Operation: c.Order.Operation}
	switch {
	case c.Order.Operation != elmrank.Prepare:
		answered.Outcome = g.orders.Order(ctx, address, c.Order)
	case v.Agents[c.Rank]:
		answered.Outcome = g.agents.Order(ctx, g.agentOf(address), c.Order)
	default:
		answered.Outcome = g.ranks.Order(ctx, address, c.Order)
	}
	if answered.Outcome != elmrank.Accepted {
		g.logger.Event(elmlog.OrderNotAccepted, "rank", c.Rank, "phase", c.State, "operation", c.Order.Operation.String(),
			"version", c.Order.Version, "step", c.Order.Step, "outcome", answered.Outcome.String())
	}
	return answered
}

// ask prefers the agent's answer, which is fresh.
func (g *Group) ask(ctx context.Context, v View, c elmshift.Ask) elmshift.Message {
	address := v.Addresses[c.Rank]
	ranks, patience := g.ranks, agentTimeout
	if c.Urgent {
		ranks, patience = g.orders, orderTimeout
	}
	quick, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	report, err := g.agents.Report(quick, g.agentOf(address))
	if err != nil {
		report, err = ranks.Report(ctx, address)
	}
	return elmshift.Reported{State: c.State, Rank: c.Rank, Report: report, Failed: err != nil}
}
