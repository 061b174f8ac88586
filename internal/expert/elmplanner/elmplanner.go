// Package elmplanner keeps the expert maps of groups fitted to what is in
// demand. Each entry has a planner; for each group one of them plans, the one
// that holds a lease in the platform's store. The lease saves work, not safety:
// two planners at once do no harm, as elmshift says.
//
// Planners stand on entries and not beside ranks, because the instance of a rank
// that is cut off or frozen can't be reached to release the group.
//
// # Usage
//
//	planner := elmplanner.New(settings, store, follower.Belief, logger)
//	go planner.Run(ctx)
package elmplanner

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/elmcove/elmcove/internal/expert/elmdemand"
	"github.com/elmcove/elmcove/internal/expert/elmgroup"
	"github.com/elmcove/elmcove/internal/expert/elmplan"
	"github.com/elmcove/elmcove/internal/forward/elmbelief"
	"github.com/elmcove/elmcove/internal/forward/elmcatalog"
	"github.com/elmcove/elmcove/internal/forward/elmslow"
	"github.com/elmcove/elmcove/internal/observe/elmclock"
	"github.com/elmcove/elmcove/internal/observe/elmlog"
	"github.com/elmcove/elmcove/platform"
)

const (
	// roundEvery is the time between two looks at a group, and soonEvery that
	// while the group is not open or has just opened: until its map fits, passes
	// take several times as long.
	roundEvery = 350 * time.Millisecond
	soonEvery  = 125 * time.Millisecond
	// slowPace is the pace from which entries avoid a rank.
	slowPace = 1.5
	// idlePace stands for ranks that serve nothing, since they belong to no open
	// group while others do: higher than that of any slow rank.
	idlePace = 1000
)

// Planner plans for the groups of all services.
type Planner struct {
	settings platform.Settings
	store    *platform.Store
	belief   func() elmbelief.Belief
	logger   *elmlog.Logger
	services map[string]*serviceState
}

// serviceState is what a planner keeps for one service.
type serviceState struct {
	leadership *leadership
	look       *elmgroup.Group
	// groups are those of the service by name. They are kept while another entry
	// plans: no pass may be held twice in an epoch.
	groups map[string]*groupState
	slow   string
	// next is the time of the next look.
	next time.Duration
}

// forget drops what is out of date when this entry plans again.
func (s *serviceState) forget() {
	for _, g := range s.groups {
		g.demand = nil
	}
	s.slow = ""
}

// groupState is what a planner keeps for one group.
type groupState struct {
	group *elmgroup.Group
	// demand is nil until this entry plans.
	demand *elmdemand.Demand
}

// New returns a planner that is not running yet.
func New(settings platform.Settings, store *platform.Store, belief func() elmbelief.Belief, logger *elmlog.Logger) *Planner {
	return &Planner{settings: settings, store: store, belief: belief, logger: logger, services: map[string]*serviceState{}}
}

// Run plans until the context ends.
func (p *Planner) Run(ctx context.Context) {
	ticker := time.NewTicker(soonEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			for _, s := range p.services {
				s.leadership.leave()
			}
			return
		case <-ticker.C:
		}
		for _, s := range p.belief().Catalog().Services() {
			if s.Engine != nil && s.Engine.Sets > 0 {
				p.tend(ctx, s)
			}
		}
	}
}

// tend looks at the groups of a service if this entry plans for it.
func (p *Planner) tend(ctx context.Context, s elmcatalog.Service) {
	state, ok := p.services[s.Name]
	if !ok {
		state = &serviceState{
			leadership: newLeadership(p.store, p.settings, p.belief, s.Name, p.logger),
			look:       p.newGroup(), groups: map[string]*groupState{},
		}
		p.services[s.Name] = state
	}
	if !state.leadership.hold(ctx) {
		state.forget()
		return
	}
	if elmclock.Now() < state.next {
		return
	}
	rest := soonEvery
	if p.round(ctx, s, state) {
		rest = roundEvery
	}
	state.next = elmclock.Now() + rest
}

func (p *Planner) newGroup() *elmgroup.Group {
	return elmgroup.New(p.settings.Instance, p.settings.Ports[0], p.logger)
}

// round looks at all ranks of a service and tends each of its groups. It returns
// false while none is open, or one still has the map with which it opened.
func (p *Planner) round(ctx context.Context, s elmcatalog.Service, state *serviceState) bool {
	views, idle := state.look.Look(ctx, addresses(p.belief().Ranks(s.Name)), true)
	if len(views) == 0 {
		return false
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
	p.publish(ctx, s.Name, state, slow)
	fitted := make([]bool, len(views))
	var wait sync.WaitGroup
	for i, v := range views {
		g, ok := state.groups[v.Name]
		if !ok {
			g = &groupState{group: p.newGroup()}
			state.groups[v.Name] = g
		}
		wait.Go(func() { fitted[i] = p.fit(ctx, s, g, v) })
	}
	wait.Wait()
	return !slices.Contains(fitted, false)
}

// fit changes the map of a group if that is worthwhile. It returns false while the
// group still has the map with which it opened.
func (p *Planner) fit(ctx context.Context, s elmcatalog.Service, g *groupState, view elmgroup.View) bool {
	g.group.See(view)
	current, ok := g.group.Map(ctx, view, *s.Engine)
	if !ok {
		return true
	}
	if g.demand == nil {
		g.demand = elmdemand.New(s.Engine.Sets, s.Engine.Experts)
	}
	weights := g.demand.Add(view.Counts, elmclock.Now())
	if weights == nil || view.Armed() || len(view.Held()) > 0 {
		return view.Version != 0
	}
	planner := elmplan.New(s.Engine.Places, s.Engine.Spare).WithPaces(view.Paces())
	next, before, after, worth := planner.Fit(current, weights, view.Taken(s.Engine.Slots))
	if !worth {
		return true
	}
	p.logger.Event(elmlog.MapPlanned, "service", s.Name, "group", view.Name, "epoch", view.Epoch, "map", view.Version, "peak", before, "planned", after)
	g.group.Change(ctx, view, current, next)
	return true
}

func addresses(members []elmbelief.Member) []string {
	var list []string
	for _, m := range members {
		list = append(list, m.Address)
	}
	return list
}

// publish tells the entries which ranks to avoid, when that changes. The key
// ends with the planner's lease.
func (p *Planner) publish(ctx context.Context, service string, state *serviceState, slow elmslow.List) {
	value := slow.String()
	if value == state.slow {
		return
	}
	key := platform.OwnPrefix + elmslow.Key + service
	if _, err := p.store.Write(ctx, nil, []platform.Put{{Key: key, Value: []byte(value), Lease: state.leadership.lease}}); err != nil {
		p.logger.Event(elmlog.StoreDown, "call", "publish slow ranks", "error", err)
		return
	}
	p.logger.Event(elmlog.RanksSlow, "service", service, "ranks", value)
	state.slow = value
}
