// Package elmpilot runs the agent process on the users' platform. It stands
// beside a rank of a lock-step group, passes planners' questions and orders on to
// it, and watches it: a group that a planner has left held is released.
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

	"github.com/elmcove/elmcove/internal/expert/elmgroup"
	"github.com/elmcove/elmcove/internal/expert/elmrank"
	"github.com/elmcove/elmcove/internal/observe/elmclock"
	"github.com/elmcove/elmcove/internal/observe/elmlog"
	"github.com/elmcove/elmcove/internal/observe/elmmeter"
	"github.com/elmcove/elmcove/platform"
)

// ErrPilot reports that the agent can't run.
var ErrPilot = errors.New("pilot")

const (
	// callTimeout bounds a call to the own rank.
	callTimeout = 250 * time.Millisecond
	// serverTimeout bounds slow callers of the agent.
	serverTimeout = 5 * time.Second
	// watchEvery is the time between two looks at the own rank.
	watchEvery = 125 * time.Millisecond
	// stallPatience is how long a group with work may make no pass before it is
	// looked at: several times the longest pass. Each rank waits a little
	// longer than the one before, so that one agent acts.
	stallPatience = 500 * time.Millisecond
	stallSpread   = 60 * time.Millisecond
)

// Pilot is the agent process beside a rank.
type Pilot struct {
	settings platform.Settings
	logger   *elmlog.Logger
	meter    *elmmeter.Meter
	store    *platform.Store
	ranks    *platform.Ranks
	group    *elmgroup.Group
	stall    stall
}

// New returns an agent that is not running yet.
func New(settings platform.Settings, logger *elmlog.Logger) *Pilot {
	return &Pilot{
		settings: settings, logger: logger, meter: elmmeter.New(),
		store: platform.NewStore(settings.Store), ranks: platform.NewRanks(callTimeout),
		group: elmgroup.New(settings.Instance, settings.Ports[0], logger),
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
	go p.watch(ctx)
	select {
	case err = <-failed:
		return fmt.Errorf("%w: %w", ErrPilot, err)
	case <-ctx.Done():
	}
	p.logger.Event(elmlog.Stopping)
	_ = server.Close() // Callers ask the rank itself.
	p.logger.Event(elmlog.Stopped)
	return nil
}

// watch looks at the own rank, which costs nothing. If the group makes no passes
// though there is work, a planner may have held it and died.
func (p *Pilot) watch(ctx context.Context) {
	ticker := time.NewTicker(watchEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		report, err := p.ranks.Report(ctx, p.settings.Beside)
		if err != nil {
			p.meter.Count("elmcove_report_failures_total", "rank", "own")
			continue
		}
		now := elmclock.Now()
		patience := stallPatience + time.Duration(report.Rank)*stallSpread
		if p.stall.see(report, now) && now-p.stall.since >= patience && now-p.stall.tried >= patience {
			p.stall.tried = now
			p.release(ctx, report, now-p.stall.since)
		}
	}
}

// release looks at the whole group and releases it if it is held.
func (p *Pilot) release(ctx context.Context, own elmrank.Report, since time.Duration) {
	members, err := p.members(ctx)
	if err != nil {
		p.logger.Event(elmlog.StoreDown, "call", "list ranks", "error", err)
		return
	}
	view, ok := p.group.Look(ctx, members, false)
	held := view.Held()
	p.logger.Event(elmlog.GroupStalled, "epoch", own.Epoch, "step", own.Step, "since", since, "complete", ok, "held", held)
	if !ok || len(held) == 0 {
		return
	}
	page, err := p.store.RangeStale(ctx, platform.ConfigKey, "")
	if err != nil || len(page.Items) == 0 {
		p.logger.Event(elmlog.StoreDown, "call", "read configuration", "error", err)
		return
	}
	catalog, err := platform.DecodeCatalog(page.Items[0].Value)
	if err != nil {
		p.logger.Event(elmlog.ConfigRefused, "error", err)
		return
	}
	service, known := catalog.Service(p.settings.Service)
	if !known || service.Engine == nil {
		return
	}
	if current, known := p.group.Map(ctx, view, *service.Engine); known {
		p.group.Heal(ctx, view, current, held)
	}
}

// members returns the addresses of the group's ranks, from an answer of the store
// that may be seconds old.
func (p *Pilot) members(ctx context.Context) ([]string, error) {
	var found []string
	for after, more := "", true; more; {
		page, err := p.store.RangeStale(ctx, platform.EndpointPrefix, after)
		if err != nil {
			return nil, err
		}
		for _, i := range page.Items {
			_, id := platform.ClassifyKey(i.Key)
			if e, err := platform.DecodeEndpoint(id, i.Value); err == nil && e.Service == p.settings.Service {
				found = append(found, e.Address)
			}
			after = i.Key
		}
		more = page.More && len(page.Items) > 0
	}
	return found, nil
}
