// Package elmrankagent runs the agent process of a rank. The agent runs beside a rank
// of a lock-step group on the same instance. It forwards planners' polls and orders to
// the rank, and repairs the group if a planner has left it held.
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
	"github.com/elmcove/elmcove/internal/expert/elmmaps"
	"github.com/elmcove/elmcove/internal/limit/elmcrowd"
	"github.com/elmcove/elmcove/internal/limit/elmmemory"
	"github.com/elmcove/elmcove/internal/model/elmrank"
	"github.com/elmcove/elmcove/internal/observe/elmclock"
	"github.com/elmcove/elmcove/internal/observe/elmguard"
	"github.com/elmcove/elmcove/internal/observe/elmlog"
	"github.com/elmcove/elmcove/internal/observe/elmmeter"
	"github.com/elmcove/elmcove/internal/wire/elmlistener"
	"github.com/elmcove/elmcove/platform"
)

// ErrAgent means that the agent can't run.
var ErrAgent = errors.New("rank agent")

// errNoConfiguration means that the store has no configuration.
var errNoConfiguration = fmt.Errorf("%w: no configuration", ErrAgent)

const (
	// callTimeout bounds a call to the agent's rank.
	callTimeout = 250 * time.Millisecond
	// orderTimeout bounds an order to the agent's rank, for which the group may be
	// waiting.
	orderTimeout = 60 * time.Millisecond
	// serverTimeout bounds the time in which a caller sends its request, and answerTimeout
	// that until it has read the answer.
	serverTimeout = 5 * time.Second
	answerTimeout = 10 * time.Second
	idleTimeout   = time.Minute
	// maxHeadBytes limits the head of a request, which may name MaxCollected ranks.
	maxHeadBytes = 16 << 10
	// pollInterval is the time between two polls of the agent's rank.
	pollInterval = 125 * time.Millisecond
	// stallTimeout is the time without a pass after which a group with requests
	// counts as stalled. It is several times the longest pass.
	stallTimeout = 500 * time.Millisecond
	// stallStagger is the time by which agents act after one another, so that only one
	// acts. It is about as long as a repair takes.
	stallStagger = 150 * time.Millisecond
	// staggeredAgents is the number of agents that act so far apart. The others act
	// lateStagger apart, in case the instances of the first ones are down.
	staggeredAgents = 16
	lateStagger     = 30 * time.Millisecond
	// repairTimeout is the time that an agent gives another one for a repair.
	repairTimeout = 800 * time.Millisecond
)

// Agent is the agent process of a rank.
type Agent struct {
	settings   platform.Settings
	logger     *elmlog.Logger
	meter      *elmmeter.Meter
	guard      elmguard.Guard
	store      *platform.Store
	ranks      *platform.RankClient
	orders     *platform.RankClient
	controller *elmgroup.Controller
	stall      stall
	// maps holds the maps that the rank has had last.
	maps elmmaps.Cache
	// baselines holds the counts as of the last answer to each planner.
	baselines baselines
	// others calls the agents of the data centre.
	others *elmgroup.Agents
}

// New returns an agent that is not running yet.
func New(settings platform.Settings, logger *elmlog.Logger) *Agent {
	meter := elmmeter.New()
	return &Agent{
		settings: settings, logger: logger, meter: meter, guard: elmguard.New(logger, meter),
		store: platform.NewStore(settings.Store), ranks: platform.NewRankClient(callTimeout), orders: platform.NewRankClient(orderTimeout),
		others:     elmgroup.NewAgents(settings.Ports[0], collectTimeout),
		controller: elmgroup.New(settings.Instance, settings.Ports[0], logger),
	}
}

// Run serves planners and watches the rank until the context ends.
func (a *Agent) Run(ctx context.Context) error {
	address := net.JoinHostPort(a.settings.IP, strconv.Itoa(a.settings.Ports[0]))
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp4", address)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrAgent, err)
	}
	limited := a.limit(listener)
	server := a.server(elmlistener.ProtectBodies(a.handler()))
	server.ErrorLog, server.ConnState, server.ConnContext = a.logger.Standard(), limited.OnStateChange, elmlistener.ConnContext
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(limited) }()
	a.logger.Event(elmlog.Started, "beside", a.settings.EndpointAddress, "service", a.settings.Service)
	go a.watch(ctx)
	select {
	case err = <-failed:
		return fmt.Errorf("%w: %w", ErrAgent, err)
	case <-ctx.Done():
	}
	a.logger.Event(elmlog.Stopping)
	_ = server.Close() // Callers fall back to the rank.
	a.logger.Event(elmlog.Stopped)
	return nil
}

// limit returns a listener that limits the connections of callers and the memory for heads. The
// server has its own timeouts as well: callers send a request again if it was not answered.
func (a *Agent) limit(inner net.Listener) *elmlistener.Listener {
	limits := elmcrowd.Limits{MemoryLimit: a.settings.MemoryLimit}
	account := elmmemory.NewAccount(limits.Pools(), func(p elmmemory.Pool) {
		a.meter.Count("elmcove_memory_refusals_total", "pool", p.String())
	})
	return elmlistener.New(inner, elmlistener.WithAccount(account), elmlistener.WithMaxConnections(limits.Connections()),
		elmlistener.WithHeadLimits(func() elmlistener.HeadLimits {
			return elmlistener.HeadLimits{Time: serverTimeout, Bytes: maxHeadBytes}
		}),
		elmlistener.WithIdleLimit(func() time.Duration { return idleTimeout }),
		elmlistener.WithEnded(func(reason elmlistener.EndReason) {
			a.meter.Count("elmcove_caller_connections_ended_total", "reason", string(reason))
		}))
}

// server returns the server for planners and other agents.
func (a *Agent) server(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadTimeout: serverTimeout, WriteTimeout: answerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeadBytes,
	}
}

// watch polls the agent's rank, which is free of cost for a local caller. If the group
// has requests but runs no passes, a planner may have crashed while it held the group.
func (a *Agent) watch(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		report, err := a.ranks.Report(ctx, a.settings.EndpointAddress)
		if err != nil {
			a.meter.Count("elmcove_report_failures_total", "rank", "own")
			continue
		}
		now := elmclock.Now()
		timeout := actionDelay(report)
		if a.stall.update(report, now) && now-a.stall.since >= timeout && now-a.stall.attemptedAt >= timeout {
			a.stall.attemptedAt = now
			a.guard.Run("repair group", func() { a.repairGroup(ctx, report, now-a.stall.since) })
		}
	}
}

// actionDelay returns how long a group must be stalled until the agent of a rank acts.
// Agents take turns in each pass, since the instances of the first ones may be down.
func actionDelay(r elmrank.Report) time.Duration {
	turn := time.Duration((int64(r.Rank) + r.Pass) % int64(max(r.Size, 1)))
	return stallTimeout + min(turn, staggeredAgents)*stallStagger + max(turn-staggeredAgents, 0)*lateStagger
}

// repairGroup polls all ranks of a stalled group and releases the group if it is held.
func (a *Agent) repairGroup(ctx context.Context, own elmrank.Report, since time.Duration) {
	addresses, err := a.rankAddresses(ctx)
	if err != nil {
		a.logger.Event(elmlog.StoreDown, "call", "list ranks", "error", err)
		return
	}
	views, _ := a.controller.Poll(ctx, addresses)
	view, complete := elmgroup.FindView(views, own.Group)
	held := view.HeldPasses()
	a.logger.Event(elmlog.GroupStalled, "epoch", own.Epoch, "step", own.Pass, "since", since, "complete", complete, "held", held)
	if !complete || len(held) == 0 || a.stall.repairUnderway(held, elmclock.Now()) {
		return
	}
	page, err := a.store.RangeStale(ctx, platform.ConfigKey, "")
	if err == nil && len(page.Items) == 0 {
		err = errNoConfiguration
	}
	if err != nil {
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
	if current, known := a.controller.CurrentMap(ctx, view, *service.Engine); known {
		a.controller.Repair(ctx, view, current, held)
	}
}

// rankAddresses returns the addresses of the service's ranks. The store's answer may
// be seconds old.
func (a *Agent) rankAddresses(ctx context.Context) ([]string, error) {
	page, err := a.store.RangeAllStale(ctx, platform.EndpointPrefix)
	if err != nil {
		return nil, err
	}
	var found []string
	for _, i := range page.Items {
		_, id := platform.ClassifyKey(i.Key)
		if e, err := platform.DecodeEndpoint(id, i.Value); err == nil && e.Service == a.settings.Service {
			found = append(found, e.Address)
		}
	}
	return found, nil
}
