// Package elmgroup polls the ranks of lock-step groups and rolls out expert maps, for
// planners and for agents that repair a group.
//
// Polls and prepare orders go through the agents beside the ranks, because a rank
// answers a local caller without cost. Other orders, for which the group may be
// waiting, go to the ranks directly, so that they depend on no other process.
//
// # Usage
//
//	controller := elmgroup.New("entry-1", port, logger)
//	views, idle := controller.PollSelections(ctx, targets)
//	for _, view := range views {
//		current, ok := controller.CurrentMap(ctx, view, engine)
//		controller.RollOut(ctx, view, current, next)
//	}
package elmgroup

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/elmcove/elmcove/internal/expert/elmrollout"
	"github.com/elmcove/elmcove/internal/model/elmcatalog"
	"github.com/elmcove/elmcove/internal/model/elmrank"
	"github.com/elmcove/elmcove/internal/observe/elmclock"
	"github.com/elmcove/elmcove/internal/observe/elmlog"
	"github.com/elmcove/elmcove/platform"
)

const (
	// callTimeout bounds a call to a rank. A rank answers within a few
	// milliseconds or not at all.
	callTimeout = 250 * time.Millisecond
	// orderTimeout bounds an order for which the group may be waiting. A rank
	// answers it within a few milliseconds or not at all. It is then sent again.
	orderTimeout = 60 * time.Millisecond
	// agentTimeout bounds a call to a rank through its agent. The link can be busy
	// with the answers of all other agents.
	agentTimeout = 400 * time.Millisecond
	// rolloutTimeout bounds a rollout until all ranks are armed.
	rolloutTimeout = 3 * time.Second
	// awaitTimeout bounds the wait for the next pass of the group. It is longer than a
	// pass of a slow group. An idle group needs no other map.
	awaitTimeout = time.Second
	// retryDelay is the delay before a rank is called again.
	retryDelay = 30 * time.Millisecond
	// leadTime is the time between the orders of a rollout and the first pass
	// with the new map. Ranks are armed meanwhile, so that the group does not wait.
	leadTime = 200 * time.Millisecond
	// maxLead and minLead bound the number of passes from the last known one to
	// the first with the new map. The next pass is the first that may not have
	// begun. All planners of a group have the same maxLead, as elmclaim requires.
	maxLead, minLead = 3, 1
	// maxMapCalls is the number of calls with maps at a time. More would delay each
	// other on the link of a small instance until all of them time out.
	maxMapCalls = 16
)

// Controller polls and controls the ranks of a group. It is not safe for concurrent use.
type Controller struct {
	name   string
	ranks  *platform.RankClient
	orders *platform.RankClient
	// viaAgents calls ranks through their agents, and agents the agents themselves.
	viaAgents *platform.RankClient
	agents    *Agents
	logger    *elmlog.Logger
	// turn selects the agents that collect answers.
	turn int
	// mapCalls has one element for each call with a map that is in progress.
	mapCalls chan struct{}

	maps map[int64]elmrank.Map
	// version is the highest version that was used.
	version int64
	// rollouts counts rollouts and repairs. It selects the rank that holds the group
	// in each, so that they take turns.
	rollouts int
	passRate passRate
}

// New returns a Controller for the process with a name, for which agents count
// selections. Agents listen on port of the instances of their ranks.
func New(name string, port int, logger *elmlog.Logger) *Controller {
	return &Controller{
		name: name, ranks: platform.NewRankClient(callTimeout), orders: platform.NewRankClient(orderTimeout), viaAgents: platform.NewAgentClient(agentTimeout),
		agents: NewAgents(port, agentTimeout), logger: logger, mapCalls: make(chan struct{}, maxMapCalls), maps: map[int64]elmrank.Map{},
	}
}

// UpdatePassRate updates the pass rate of the group, which later rollouts use.
func (c *Controller) UpdatePassRate(v View) { c.passRate = c.passRate.update(v, elmclock.Now()) }

// CurrentMap returns the map in use. It is the initial map, a map that this process has
// rolled out, or else the map that the ranks report.
func (c *Controller) CurrentMap(ctx context.Context, v View, e elmcatalog.Engine) (elmrank.Map, bool) {
	if v.Version == 0 {
		return elmrank.InitialMap(e.Sets, e.Experts, len(v.Reports)), true
	}
	if m, ok := c.maps[v.Version]; ok {
		return m, true
	}
	m := make(elmrank.Map, e.Sets)
	for s := range m {
		m[s] = make([][]int, len(v.Reports))
	}
	var failures atomic.Int32
	var wait sync.WaitGroup
	for r, address := range v.Addresses {
		wait.Go(func() {
			c.mapCalls <- struct{}{}
			defer func() { <-c.mapCalls }()
			version, experts, err := c.viaAgents.HeldExperts(ctx, c.agents.Address(address))
			if err != nil || version != v.Version || len(experts) != e.Sets || !elmrank.ValidExperts(experts, e.Experts) {
				c.logger.Event(elmlog.MapUnknown, "rank", r, "version", version, "wanted", v.Version, "error", err)
				failures.Add(1)
				return
			}
			for s := range experts {
				m[s][r] = experts[s]
			}
		})
	}
	wait.Wait()
	if failures.Load() > 0 {
		return nil, false
	}
	c.maps[v.Version] = m
	return m, true
}

// RollOut rolls out a new map.
func (c *Controller) RollOut(ctx context.Context, v View, current, next elmrank.Map) {
	plan := c.newPlan(v, current, next)
	rollout, commands := elmrollout.New(plan, len(v.Reports))
	began := time.Now()
	rollout = c.run(ctx, v, rollout, commands)
	c.version = max(c.version, rollout.Version())
	event := elmlog.MapAbandoned
	if rollout.Committed() {
		event = elmlog.MapRolledOut
		c.maps = map[int64]elmrank.Map{v.Version: current, plan.Version: next}
	}
	c.logger.Event(event, "epoch", v.Epoch, "map", v.Version, "version", rollout.Version(), "step", rollout.HeldPass(),
		"elapsed", time.Since(began))
}

// Repair releases a group that a planner has left held. Held lists the held passes by
// rank.
func (c *Controller) Repair(ctx context.Context, v View, current elmrank.Map, held map[int]int64) {
	plan := c.newPlan(v, current, nil)
	for r := range v.Reports {
		if _, holds := held[plan.Holder]; !holds {
			break
		}
		plan.Holder = r
	}
	c.logger.Event(elmlog.GroupHeld, "epoch", v.Epoch, "held", held, "own", plan.Holder)
	began := time.Now()
	rollout, commands := elmrollout.Repair(plan, held, len(v.Reports))
	rollout = c.run(ctx, v, rollout, commands)
	c.version = max(c.version, rollout.Version())
	event := elmlog.GroupNotRepaired
	if rollout.Released() {
		event = elmlog.GroupRepaired
	}
	c.logger.Event(event, "epoch", v.Epoch, "held", held, "elapsed", time.Since(began))
}

func (c *Controller) newPlan(v View, current, next elmrank.Map) elmrollout.Plan {
	c.rollouts++
	tag := rand.Int64N(elmrollout.VersionStride)
	return elmrollout.Plan{
		Version: elmrollout.NextVersion(max(v.HighestVersion, c.version), tag), Epoch: v.Epoch, Current: current, Next: next,
		CurrentVersion: v.Version, Holder: c.rollouts % len(v.Reports), Tag: tag, LeadPasses: c.passRate.lead(), MaxLead: maxLead,
	}
}

// run executes the commands of a rollout until it ends.
func (c *Controller) run(ctx context.Context, v View, rollout elmrollout.Rollout, commands []elmrollout.Command) elmrollout.Rollout {
	messages := make(chan elmrollout.Message, 4*len(v.Reports)+4)
	expired := time.NewTimer(rolloutTimeout)
	defer expired.Stop()
	waiting := false
	var awaitingSince time.Time
	for !rollout.Done() {
		for _, command := range commands {
			switch command := command.(type) {
			case elmrollout.SendOrder:
				go func() { messages <- c.sendOrder(ctx, v, command) }()
			case elmrollout.FetchReport:
				go func() { messages <- c.fetchReport(ctx, v, command) }()
			case elmrollout.Wait:
				if !waiting {
					waiting = true
					time.AfterFunc(retryDelay, func() { messages <- elmrollout.Waited{} })
				}
			}
		}
		var message elmrollout.Message
		select {
		case message = <-messages:
		case <-expired.C:
			message = elmrollout.Expired{}
		case <-ctx.Done():
			return rollout // An agent repairs a group that is still held.
		}
		if _, ok := message.(elmrollout.Waited); ok {
			waiting = false
		}
		switch {
		case !rollout.Awaiting():
			awaitingSince = time.Time{}
		case awaitingSince.IsZero():
			awaitingSince = time.Now()
		case time.Since(awaitingSince) >= awaitTimeout:
			message = elmrollout.Expired{}
		}
		rollout, commands = rollout.Update(message)
	}
	return rollout
}

func (c *Controller) sendOrder(ctx context.Context, v View, command elmrollout.SendOrder) elmrollout.Message {
	address := v.Addresses[command.Rank]
	result := elmrollout.OrderResult{State: command.State, Rank: command.Rank, Operation: command.Order.Operation}
	if command.Order.Operation == elmrank.Prepare {
		result.Outcome = c.sendPrepare(ctx, address, v.ViaAgent[command.Rank], command.Order)
	} else {
		result.Outcome = sendUrgent(ctx, func(limited context.Context) elmrank.Outcome {
			return c.orders.SendOrder(limited, address, command.Order)
		})
	}
	if result.Outcome != elmrank.Accepted {
		c.logger.Event(elmlog.OrderNotAccepted, "rank", command.Rank, "phase", command.State, "operation", command.Order.Operation.String(),
			"version", command.Order.Version, "step", command.Order.Pass, "outcome", result.Outcome.String())
	}
	return result
}

// sendPrepare sends a rank an order to prepare a map. If the rank has had the map before,
// its agent supplies it.
func (c *Controller) sendPrepare(ctx context.Context, address string, viaAgent bool, order elmrank.Order) elmrank.Outcome {
	if viaAgent && order.Reuse {
		if outcome, known := c.agents.Prepare(ctx, address, order); known {
			return outcome
		}
	}
	c.mapCalls <- struct{}{}
	defer func() { <-c.mapCalls }()
	if viaAgent {
		return c.viaAgents.SendOrder(ctx, c.agents.Address(address), order)
	}
	return c.ranks.SendOrder(ctx, address, order)
}

// fetchReport fetches the report of a rank through its agent, because a rank reports
// its current state only to a local caller. If the agent does not answer, it fetches
// the report from the rank.
func (c *Controller) fetchReport(ctx context.Context, v View, command elmrollout.FetchReport) elmrollout.Message {
	address := v.Addresses[command.Rank]
	ranks, timeout := c.ranks, agentTimeout
	if command.Urgent {
		ranks, timeout = c.orders, orderTimeout
	}
	limited, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	report, err := c.viaAgents.Report(limited, c.agents.Address(address))
	stale := err != nil
	if stale {
		report, err = ranks.Report(ctx, address)
	}
	return elmrollout.ReportResult{State: command.State, Rank: command.Rank, Report: report, Failed: err != nil, Stale: stale}
}
