// Package elmpilot runs the agent process on the users' platform. It stands
// beside a rank of a lock-step group, passes questions and orders of other
// agents on to it, and, if it is the group's planner, keeps the group's expert
// map fitted to what is in demand.
//
// One agent of each group plans: the one that holds a lease in the platform's
// store. The lease saves work, not safety: two planners at once do no harm, as
// elmshift says.
//
// # Usage
//
//	pilot := elmpilot.New(settings, logger)
//	err := pilot.Run(ctx)
package elmpilot

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/elmcove/elmcove/internal/expert/elmplan"
	"github.com/elmcove/elmcove/internal/expert/elmrank"
	"github.com/elmcove/elmcove/internal/forward/elmcatalog"
	"github.com/elmcove/elmcove/internal/observe/elmclock"
	"github.com/elmcove/elmcove/internal/observe/elmlog"
	"github.com/elmcove/elmcove/internal/observe/elmmeter"
	"github.com/elmcove/elmcove/platform"
)

// ErrPilot reports that the agent can't run.
var ErrPilot = errors.New("pilot")

const (
	// callTimeout bounds a call to a rank or its agent: they answer within a
	// few milliseconds, or not at all.
	callTimeout = 250 * time.Millisecond
	// agentTimeout bounds a call to a rank through its agent, whose link may be
	// busy with the answers of all the others.
	agentTimeout = 400 * time.Millisecond
	// countShare is the number of ranks for which counts are asked for in each
	// round. In larger groups that is done in some rounds only, since they all
	// come over the planner's link.
	countShare = 24
	// roundEvery is the time between two looks at the group.
	roundEvery = 500 * time.Millisecond
	// serverTimeout bounds slow callers of the agent.
	serverTimeout = 5 * time.Second
	// decay is the part of the demand that is remembered after a round. A
	// shift of demand is followed within about two seconds.
	decay = 0.7
	// worthwhile is the least gain of a new map, as a part of the mean load.
	// Below it, copying experts costs callers more than the shorter passes give.
	worthwhile = 0.35
	// worthwhileBusy is the same for ranks that have little room left, where
	// longer passes make callers wait.
	worthwhileBusy = 0.15
	// goal is the load of the most loaded rank at which planning stops. Closer
	// plans follow chance in the demand and copy more than they bring.
	goal = 1.25
	// watchEvery is the time between two looks at the own rank.
	watchEvery = 125 * time.Millisecond
	// stallPatience is how long a group with work may make no pass before it is
	// looked at: several times the longest pass. Each rank waits a little
	// longer than the one before, so that one agent acts.
	stallPatience = 500 * time.Millisecond
	stallSpread   = 60 * time.Millisecond
	// changeTimeout bounds a change up to the point where ranks are armed.
	changeTimeout = 3 * time.Second
	// pauseRest is the pause before a rank is asked again.
	pauseRest = 30 * time.Millisecond
	// lead is the number of passes from the last known one to a change. Ranks
	// are armed meanwhile, so that the group does not wait.
	lead = 3
)

// Pilot is the agent process beside a rank.
type Pilot struct {
	settings platform.Settings
	logger   *elmlog.Logger
	meter    *elmmeter.Meter
	store    *platform.Store
	ranks    *platform.Ranks
	agents   *platform.Ranks
	group    *group
	seat     *seat
	stall    stall
	rounds   int
}

// New returns an agent that is not running yet.
func New(settings platform.Settings, logger *elmlog.Logger) *Pilot {
	store := platform.NewStore(settings.Store)
	return &Pilot{
		settings: settings, logger: logger, meter: elmmeter.New(), store: store,
		ranks: platform.NewRanks(callTimeout), agents: platform.NewAgents(agentTimeout),
		group: newGroup(),
		seat:  newSeat(store, settings, logger),
	}
}

// Run serves until the context ends.
func (p *Pilot) Run(ctx context.Context) error {
	address := net.JoinHostPort(p.settings.IP, strconv.Itoa(p.settings.Ports[0]))
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp4", address)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrPilot, err)
	}
	server := &http.Server{Handler: p.handler(), ReadHeaderTimeout: serverTimeout, ErrorLog: p.logger.Standard()}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	p.logger.Event(elmlog.Started, "beside", p.settings.Beside, "service", p.settings.Service)
	go p.plan(ctx)
	select {
	case err = <-failed:
		return fmt.Errorf("%w: %w", ErrPilot, err)
	case <-ctx.Done():
	}
	p.logger.Event(elmlog.Stopping)
	p.seat.leave()
	_ = server.Close() // Callers ask the rank itself.
	p.logger.Event(elmlog.Stopped)
	return nil
}

// plan looks at the group again and again while this agent is its planner, and
// at its own rank in any case.
func (p *Pilot) plan(ctx context.Context) {
	ticker := time.NewTicker(watchEvery)
	defer ticker.Stop()
	for turn := 0; ; turn++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		p.watch(ctx)
		if turn%int(roundEvery/watchEvery) != 0 {
			continue
		}
		if !p.seat.hold(ctx) {
			p.group.forget()
			continue
		}
		p.round(ctx)
	}
}

// watch looks at the own rank, which costs nothing. If the group makes no passes
// though there is work, a planner may have held it and died.
func (p *Pilot) watch(ctx context.Context) {
	report, err := p.ranks.Report(ctx, p.settings.Beside)
	if err != nil {
		return
	}
	now := elmclock.Now()
	patience := stallPatience + time.Duration(report.Rank)*stallSpread
	if !p.stall.see(report, now) || now-p.stall.since < patience || now-p.stall.tried < patience {
		return
	}
	p.stall.tried = now
	service, ok := p.seat.service(ctx)
	if !ok || service.Engine == nil {
		return
	}
	seen, ok := p.look(ctx, false)
	held := seen.held()
	p.logger.Event(elmlog.GroupStalled, "epoch", report.Epoch, "step", report.Step, "since", now-p.stall.since,
		"complete", ok, "held", held)
	if !ok || len(held) == 0 {
		return
	}
	if current, ok := p.currentMap(ctx, seen, *service.Engine); ok {
		p.heal(ctx, seen, current, held)
	}
}

// round looks at all ranks and acts on what it sees.
func (p *Pilot) round(ctx context.Context) {
	service, ok := p.seat.service(ctx)
	if !ok || service.Engine == nil || service.Engine.Sets == 0 {
		return
	}
	p.rounds++
	seen, ok := p.look(ctx, p.rounds%max(p.group.size()/countShare, 1) == 0)
	if !ok {
		return
	}
	current, ok := p.currentMap(ctx, seen, *service.Engine)
	if !ok {
		return
	}
	weights := p.group.weigh(seen, *service.Engine)
	if weights == nil {
		return
	}
	paces := seen.paces()
	p.seat.publish(ctx, seen, paces)
	least := worthwhile
	if seen.busy(service.Engine.Slots) {
		least = worthwhileBusy
	}
	planner := elmplan.New(service.Engine.Places, service.Engine.Spare).WithTarget(goal).WithPaces(paces)
	next := planner.Improve(current, weights)
	before, after := planner.Peak(current, weights), planner.Peak(next, weights)
	if before-after < least {
		return
	}
	p.logger.Event(elmlog.MapPlanned, "epoch", seen.epoch, "map", seen.version, "peak", before, "planned", after)
	p.change(ctx, seen, current, next)
}

// currentMap returns the map in use: the one with which a group opens, one that
// this agent has planned, or else what the ranks say.
func (p *Pilot) currentMap(ctx context.Context, v view, e elmcatalog.Engine) (elmrank.Map, bool) {
	if v.version == 0 {
		return elmrank.First(e.Sets, e.Experts, len(v.reports)), true
	}
	if m, ok := p.group.maps[v.version]; ok {
		return m, true
	}
	m := make(elmrank.Map, e.Sets)
	for s := range m {
		m[s] = make([][]int, len(v.reports))
	}
	for r, t := range v.targets {
		version, experts, err := t.client.Held(ctx, t.address)
		if err != nil || version != v.version || len(experts) != e.Sets {
			p.logger.Event(elmlog.MapAbandoned, "rank", r, "version", version, "error", err)
			return nil, false
		}
		for s := range experts {
			m[s][r] = experts[s]
		}
	}
	p.group.maps[v.version] = m
	return m, true
}
