// Package elmrankagent runs the agent process on the users' platform. It stands
// beside a rank of a lock-step group, passes planners' questions and orders on to
// it, and watches it: a group that a planner has left held is released.
//
// # Usage
//
//	agent := elmrankagent.New(settings, logger)
//	err := agent.Run(ctx)
package elmrankagent

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

// ErrAgent reports that the agent can't run.
var ErrAgent = errors.New("rank agent")

const (
	// callTimeout bounds a call to the own rank.
	callTimeout = 250 * time.Millisecond
	// orderTimeout bounds an order to the own rank, for which a group may wait.
	orderTimeout = 60 * time.Millisecond
	// serverTimeout bounds slow callers of the agent.
	serverTimeout = 5 * time.Second
	// watchEvery is the time between two looks at the own rank.
	watchEvery = 125 * time.Millisecond
	// stallPatience is how long a group with work may make no pass before it is
	// looked at: several times the longest pass. Each rank waits longer than the
	// one before, about as long as a repair takes, so that one agent acts.
	stallPatience = 500 * time.Millisecond
	stallSpread   = 150 * time.Millisecond
	// spreadRanks bounds that in large groups.
	spreadRanks = 16
	// repairPatience is how long an agent leaves a group to another that has
	// begun to repair it.
	repairPatience = 800 * time.Millisecond
)

// Agent is the agent process beside a rank.
type Agent struct {
	settings platform.Settings
	logger   *elmlog.Logger
	meter    *elmmeter.Meter
	store    *platform.Store
	ranks    *platform.Ranks
	orders   *platform.Ranks
	group    *elmgroup.Group
	stall    stall
}

// New returns an agent that is not running yet.
func New(settings platform.Settings, logger *elmlog.Logger) *Agent {
	return &Agent{
		settings: settings, logger: logger, meter: elmmeter.New(),
		store: platform.NewStore(settings.Store), ranks: platform.NewRanks(callTimeout), orders: platform.NewRanks(orderTimeout),
		group: elmgroup.New(settings.Instance, settings.Ports[0], logger),
	}
}

// Run serves until the context ends.
func (a *Agent) Run(ctx context.Context) error {
	address := net.JoinHostPort(a.settings.IP, strconv.Itoa(a.settings.Ports[0]))
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp4", address)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrAgent, err)
	}
	server := &http.Server{Handler: a.handler(), ReadHeaderTimeout: serverTimeout, ErrorLog: a.logger.Standard()}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	a.logger.Event(elmlog.Started, "beside", a.settings.Beside, "service", a.settings.Service)
	go a.watch(ctx)
	select {
	case err = <-failed:
		return fmt.Errorf("%w: %w", ErrAgent, err)
	case <-ctx.Done():
	}
	a.logger.Event(elmlog.Stopping)
	_ = server.Close() // Callers ask the rank itself.
	a.logger.Event(elmlog.Stopped)
	return nil
}

// watch looks at the own rank, which costs nothing. If the group makes no passes
// though there is work, a planner may have held it and died.
func (a *Agent) watch(ctx context.Context) {
	ticker := time.NewTicker(watchEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		report, err := a.ranks.Report(ctx, a.settings.Beside)
		if err != nil {
			a.meter.Count("elmcove_report_failures_total", "rank", "own")
			continue
		}
		now := elmclock.Now()
		patience := stallPatience + time.Duration(report.Rank%spreadRanks)*stallSpread
		if a.stall.see(report, now) && now-a.stall.since >= patience && now-a.stall.tried >= patience {
			a.stall.tried = now
			a.release(ctx, report, now-a.stall.since)
		}
	}
}

// release looks at the whole group and releases it if it is held.
func (a *Agent) release(ctx context.Context, own elmrank.Report, since time.Duration) {
	members, err := a.members(ctx)
	if err != nil {
		a.logger.Event(elmlog.StoreDown, "call", "list ranks", "error", err)
		return
	}
	views, _ := a.group.Look(ctx, members, false)
	view, complete := elmgroup.Find(views, own.Group)
	held := view.Held()
	a.logger.Event(elmlog.GroupStalled, "epoch", own.Epoch, "step", own.Step, "since", since, "complete", complete, "held", held)
	if !complete || len(held) == 0 || a.stall.repaired(held, elmclock.Now()) {
		return
	}
	page, err := a.store.RangeStale(ctx, platform.ConfigKey, "")
	if err != nil || len(page.Items) == 0 {
		a.logger.Event(elmlog.StoreDown, "call", "read configuration", "error", err)
		return
	}
	catalog, err := platform.DecodeCatalog(page.Items[0].Value)
	if err != nil {
		a.logger.Event(elmlog.ConfigRefused, "error", err)
		return
	}
	service, known := catalog.Service(a.settings.Service)
	if !known || service.Engine == nil {
		return
	}
	if current, known := a.group.Map(ctx, view, *service.Engine); known {
		a.group.Heal(ctx, view, current, held)
	}
}

// members returns the addresses of the group's ranks, from an answer of the store
// that may be seconds old.
func (a *Agent) members(ctx context.Context) ([]string, error) {
	var found []string
	for after, more := "", true; more; {
		page, err := a.store.RangeStale(ctx, platform.EndpointPrefix, after)
		if err != nil {
			return nil, err
		}
		for _, i := range page.Items {
			_, id := platform.ClassifyKey(i.Key)
			if e, err := platform.DecodeEndpoint(id, i.Value); err == nil && e.Service == a.settings.Service {
				found = append(found, e.Address)
			}
			after = i.Key
		}
		more = page.More && len(page.Items) > 0
	}
	return found, nil
}
