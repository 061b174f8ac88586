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
	// worthwhile is the least gain of a new map, as a part of the mean load.
	// Below it, copying experts costs callers more than the shorter passes give.
	worthwhile = 0.35
	// worthwhileBusy is the same for ranks that have little room left, where
	// longer passes make callers wait.
	worthwhileBusy = 0.15
	// goal is the load of the most loaded rank at which planning stops. Closer
	// plans follow chance in the demand and copy more than they bring.
	goal = 1.25
	// slowPace is the pace from which entries avoid a rank.
	slowPace = 1.5
)

// Planner plans for the groups of all services.
type Planner struct {
	settings platform.Settings
	store    *platform.Store
	belief   func() elmbelief.Belief
	logger   *elmlog.Logger
	groups   map[string]*groupState
}

// groupState is what a planner keeps for one service.
type groupState struct {
	leadership *leadership
	group      *elmgroup.Group
	// demand is nil while another entry plans.
	demand *elmdemand.Demand
	slow   string
	// next is the time of the next look.
	next time.Duration
}

// New returns a planner that is not running yet.
func New(settings platform.Settings, store *platform.Store, belief func() elmbelief.Belief, logger *elmlog.Logger) *Planner {
	return &Planner{settings: settings, store: store, belief: belief, logger: logger, groups: map[string]*groupState{}}
}

// Run plans until the context ends.
func (p *Planner) Run(ctx context.Context) {
	ticker := time.NewTicker(soonEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			for _, g := range p.groups {
				g.leadership.leave()
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

// tend looks at the group of a service if this entry plans for it.
func (p *Planner) tend(ctx context.Context, s elmcatalog.Service) {
	g, ok := p.groups[s.Name]
	if !ok {
		g = &groupState{
			leadership: newLeadership(p.store, p.settings, p.belief, s.Name, p.logger),
			group:      elmgroup.New(p.settings.Instance, p.settings.Ports[0], p.logger),
		}
		p.groups[s.Name] = g
	}
	if !g.leadership.hold(ctx) {
		g.demand, g.slow = nil, ""
		return
	}
	if elmclock.Now() < g.next {
		return
	}
	rest := soonEvery
	if p.round(ctx, s, g) {
		rest = roundEvery
	}
	g.next = elmclock.Now() + rest
}

// round looks at all ranks and changes their map if that is worthwhile. It returns
// false while the group is not open or still has the map with which it opened.
func (p *Planner) round(ctx context.Context, s elmcatalog.Service, g *groupState) bool {
	members := addresses(p.belief().Ranks(s.Name))
	view, ok := g.group.Look(ctx, members, true)
	if !ok {
		return false
	}
	current, ok := g.group.Map(ctx, view, *s.Engine)
	if !ok {
		return true
	}
	if g.demand == nil {
		g.demand = elmdemand.New(s.Engine.Sets, s.Engine.Experts)
	}
	weights := g.demand.Add(view.Counts, elmclock.Now())
	paces := view.Paces()
	p.publish(ctx, s.Name, g, view, paces)
	if weights == nil || view.Armed() || len(view.Held()) > 0 {
		return view.Version != 0
	}
	least := worthwhile
	if view.Busy(s.Engine.Slots) {
		least = worthwhileBusy
	}
	planner := elmplan.New(s.Engine.Places, s.Engine.Spare).WithTarget(goal).WithPaces(paces)
	next := planner.Improve(current, weights)
	before, after := planner.Peak(current, weights), planner.Peak(next, weights)
	if before-after < least {
		return true
	}
	p.logger.Event(elmlog.MapPlanned, "service", s.Name, "epoch", view.Epoch, "map", view.Version, "peak", before, "planned", after)
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

// publish tells the entries which ranks are slow, when that changes. The key
// ends with the planner's lease.
func (p *Planner) publish(ctx context.Context, service string, g *groupState, v elmgroup.View, paces []float64) {
	list := elmslow.List{}
	for r, pace := range paces {
		if pace >= slowPace {
			list[v.Addresses[r]] = math.Round(pace)
		}
	}
	value := list.String()
	if value == g.slow {
		return
	}
	key := platform.OwnPrefix + elmslow.Key + service
	if _, err := p.store.Write(ctx, nil, []platform.Put{{Key: key, Value: []byte(value), Lease: g.leadership.lease}}); err != nil {
		p.logger.Event(elmlog.StoreDown, "call", "publish slow ranks", "error", err)
		return
	}
	p.logger.Event(elmlog.RanksSlow, "service", service, "ranks", value)
	g.slow = value
}
