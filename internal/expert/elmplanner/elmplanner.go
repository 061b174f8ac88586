// Package elmplanner adapts the expert maps of groups to the demand for experts. Each
// entry runs a planner. For each service, only the planner with the leadership lease
// in the platform's store begins rollouts. The lease avoids duplicate work; safety does not
// depend on it, because no two rollouts use the same pass or version (elmclaim).
//
// Planners run on entries and not beside ranks. If the instance of a rank is
// partitioned or frozen, a planner on it could not release the group.
//
// # Usage
//
//	planner := elmplanner.New(settings, store, follower.Snapshot, logger, guard, meter)
//	go planner.Run(ctx)
package elmplanner

import (
	"context"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/elmcove/elmcove/internal/expert/elmadaptation"
	"github.com/elmcove/elmcove/internal/expert/elmgroup"
	"github.com/elmcove/elmcove/internal/forward/elmslow"
	"github.com/elmcove/elmcove/internal/forward/elmsnapshot"
	"github.com/elmcove/elmcove/internal/model/elmcatalog"
	"github.com/elmcove/elmcove/internal/observe/elmclock"
	"github.com/elmcove/elmcove/internal/observe/elmguard"
	"github.com/elmcove/elmcove/internal/observe/elmlog"
	"github.com/elmcove/elmcove/internal/observe/elmmeter"
	"github.com/elmcove/elmcove/platform"
)

const (
	// slowPace is the pace from which entries avoid a rank.
	slowPace = 1.5
	// finishTimeout is how long a rollout may go on when the planner is stopped, so that
	// it does not leave the group held.
	finishTimeout = 2 * time.Second
	// idlePace is the pace published for ranks outside any open group while other
	// groups are open. It is higher than that of any slow rank.
	idlePace = 1000
)

// Planner plans the expert maps of all services.
type Planner struct {
	settings platform.Settings
	store    *platform.Store
	snapshot func() elmsnapshot.Snapshot
	logger   *elmlog.Logger
	guard    elmguard.Guard
	meter    *elmmeter.Meter
	services map[string]*serviceState
}

// serviceState is the state of a planner for one service.
type serviceState struct {
	leadership *leadership
	poller     *elmgroup.Controller
	// groups holds the groups of the service by name. It is kept while another
	// entry is the leader, for the versions that were used.
	groups map[string]*groupState
	// published is the list of slow ranks that was published last.
	published string
	// nextPoll is the time of the next poll. While polling, it and all other fields but
	// leadership belong to the poll.
	nextPoll time.Duration
	polling  atomic.Bool
}

// reset discards state that is outdated when this entry becomes the leader again.
func (s *serviceState) reset() {
	for _, g := range s.groups {
		g.adaptation.Reset()
	}
	s.published = ""
}

// groupState is the state of a planner for one group.
type groupState struct {
	controller *elmgroup.Controller
	adaptation *elmadaptation.Adaptation
}

// New returns a planner that is not running yet.
func New(settings platform.Settings, store *platform.Store, snapshot func() elmsnapshot.Snapshot, logger *elmlog.Logger, guard elmguard.Guard, meter *elmmeter.Meter) *Planner {
	return &Planner{settings: settings, store: store, snapshot: snapshot, logger: logger, guard: guard, meter: meter, services: map[string]*serviceState{}}
}

// Run runs the planner until the context ends.
func (p *Planner) Run(ctx context.Context) {
	ticker := time.NewTicker(elmadaptation.ShortPollInterval)
	defer ticker.Stop()
	var polls sync.WaitGroup
	for {
		select {
		case <-ctx.Done():
			polls.Wait()
			for _, s := range p.services {
				s.leadership.release()
			}
			return
		case <-ticker.C:
		}
		for _, s := range p.snapshot().Catalog().Services() {
			if s.Engine != nil && s.Engine.Sets > 0 {
				p.guard.Run("plan "+s.Name, func() { p.planService(ctx, s, &polls) })
			}
		}
	}
}

// planService starts a poll of the groups of a service if this entry is its leader and
// the poll is due. A poll lasts as long as its rollouts, during which the lease is renewed.
func (p *Planner) planService(ctx context.Context, s elmcatalog.Service, polls *sync.WaitGroup) {
	state, ok := p.services[s.Name]
	if !ok {
		state = &serviceState{
			leadership: newLeadership(p.store, p.settings, p.snapshot, s.Name, p.logger),
			poller:     p.newController(), groups: map[string]*groupState{},
		}
		p.services[s.Name] = state
	}
	if state.polling.Load() {
		if state.leadership.term.renewalIsLate(elmclock.Now()) {
			state.leadership.hold(ctx)
		}
		return
	}
	if !state.leadership.hold(ctx) {
		if !state.leadership.term.held() {
			state.reset()
		}
		return
	}
	if elmclock.Now() < state.nextPoll {
		return
	}
	state.polling.Store(true)
	lease := state.leadership.term.lease
	polls.Go(func() {
		defer state.polling.Store(false)
		p.guard.Run("poll "+s.Name, func() {
			interval := p.pollService(ctx, s, state, lease)
			state.nextPoll = elmclock.Now() + interval
		})
	})
}

func (p *Planner) newController() *elmgroup.Controller {
	return elmgroup.New(p.settings.Instance, p.settings.Ports[0], p.logger)
}

// pollService polls all ranks of a service, publishes the slow ones, and updates the
// map of each group. It returns the time until the next poll.
func (p *Planner) pollService(ctx context.Context, s elmcatalog.Service, state *serviceState, lease platform.Lease) time.Duration {
	views, idle := state.poller.PollSelections(ctx, targets(p.snapshot().AllMembers(s.Name)))
	if len(views) == 0 {
		return elmadaptation.ShortPollInterval
	}
	slow := elmslow.List{}
	for _, address := range idle {
		slow[address] = idlePace
	}
	for _, v := range views {
		for r, pace := range v.Paces() {
			if pace >= slowPace {
				slow[v.Addresses[r]] = math.Round(pace)
			}
		}
	}
	p.publish(ctx, s.Name, state, slow, lease)
	gap := p.snapshot().Catalog().ShortestEventGap(s.Name)
	intervals := make([]time.Duration, len(views))
	var wait sync.WaitGroup
	for i, v := range views {
		g, ok := state.groups[v.Name]
		if !ok {
			g = &groupState{controller: p.newController(), adaptation: elmadaptation.New()}
			state.groups[v.Name] = g
		}
		wait.Go(func() {
			intervals[i] = elmadaptation.ShortPollInterval
			p.guard.Run("update map of "+v.Name, func() { intervals[i] = p.updateMap(ctx, s, g, v, gap) })
		})
	}
	wait.Wait()
	return slices.Min(intervals)
}

// updateMap rolls out a new map to a group if that is worthwhile. Gap is the shortest
// maximum gap of the service's stream routes, or 0. It returns the time until the next poll.
func (p *Planner) updateMap(ctx context.Context, s elmcatalog.Service, g *groupState, view elmgroup.View, gap time.Duration) time.Duration {
	g.controller.UpdatePassRate(view)
	current, ok := g.controller.CurrentMap(ctx, view, *s.Engine)
	if !ok {
		return elmadaptation.PollInterval
	}
	decision := g.adaptation.Decide(elmadaptation.Poll{
		Engine: *s.Engine, MaxEventGap: gap, Epoch: view.Epoch, Pass: view.Pass(), Current: current, Version: view.Version,
		Selections: view.Selections, Paces: view.Paces(), SlotUsage: view.SlotUsage(s.Engine.Slots),
		Changing: view.Armed() || len(view.HeldPasses()) > 0,
	}, elmclock.Now())
	if decision.Next == nil {
		return decision.Interval
	}
	p.recordPlan(s.Name, view, decision, gap)
	finishing, cancel := finishingContext(ctx)
	defer cancel()
	g.controller.RollOut(finishing, view, current, decision.Next)
	return decision.Interval
}

// recordPlan logs and counts a planned map.
func (p *Planner) recordPlan(service string, view elmgroup.View, d elmadaptation.Decision, gap time.Duration) {
	p.logger.Event(elmlog.MapPlanned, "service", service, "group", view.Name, "epoch", view.Epoch, "map", view.Version, "peak", d.Before, "planned", d.After)
	reason := "usual"
	if d.Need.Urgent {
		reason = "urgent"
		p.logger.Event(elmlog.MapUrgent, "service", service, "group", view.Name, "epoch", view.Epoch, "map", view.Version,
			"passTime", d.PassTime, "gap", gap, "peak", d.Before, "target", d.Need.Aim.Peak)
	}
	p.meter.Count(elmmeter.MapPlans, "reason", reason)
}

// finishingContext returns a context that ends finishTimeout after ctx.
func finishingContext(ctx context.Context) (context.Context, context.CancelFunc) {
	finishing, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() { time.AfterFunc(finishTimeout, cancel) })
	return finishing, func() {
		stop()
		cancel()
	}
}

func targets(members []elmsnapshot.Member) []elmgroup.Target {
	var list []elmgroup.Target
	for _, m := range members {
		list = append(list, elmgroup.Target{Address: m.Address, Datacentre: m.Datacentre})
	}
	return list
}

// publish writes the list of slow ranks, which entries avoid, to the store when it
// changes. The key expires with the planner's lease.
func (p *Planner) publish(ctx context.Context, service string, state *serviceState, slow elmslow.List, lease platform.Lease) {
	value := slow.String()
	if value == state.published {
		return
	}
	key := platform.InternalPrefix + elmslow.KeyPrefix + service
	if _, err := p.store.Write(ctx, nil, []platform.Put{{Key: key, Value: []byte(value), Lease: lease}}); err != nil {
		p.logger.Event(elmlog.StoreDown, "call", "publish slow ranks", "error", err)
		return
	}
	p.logger.Event(elmlog.RanksSlow, "service", service, "ranks", value)
	state.published = value
}
