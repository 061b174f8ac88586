// Package elmrouter runs the entry process on the users' platform: it takes
// callers' requests, sends each to an endpoint of its route's service, and
// passes the answer back unchanged.
//
// Decisions are made elsewhere: elmbelief decides what holds, elmplace where
// work goes, elmflight what becomes of a request.
//
// # Usage
//
//	router := elmrouter.New(settings, logger)
//	err := router.Run(ctx) // Drains when ctx ends.
package elmrouter

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/elmcove/elmcove/internal/expert/elmplanner"
	"github.com/elmcove/elmcove/internal/forward/elmexchange"
	"github.com/elmcove/elmcove/internal/forward/elmfollower"
	"github.com/elmcove/elmcove/internal/forward/elmpeers"
	"github.com/elmcove/elmcove/internal/forward/elmplace"
	"github.com/elmcove/elmcove/internal/observe/elmclock"
	"github.com/elmcove/elmcove/internal/observe/elmlog"
	"github.com/elmcove/elmcove/internal/observe/elmmeter"
	"github.com/elmcove/elmcove/internal/wire/elmpeer"
	"github.com/elmcove/elmcove/platform"
)

// ErrRouter reports that the router can't run.
var ErrRouter = errors.New("router")

const (
	// headerBytes bounds headers before a configuration is known.
	headerBytes = 64 << 10
	// headerTimeout and idleTimeout are longer than those of configurations.
	headerTimeout = 15 * time.Second
	idleTimeout   = 60 * time.Second
	// leaveTime is how long new connections are still taken after the signal
	// to stop: the platform notices after two probes, a second apart.
	leaveTime = 2500 * time.Millisecond
	// graceMargin is left of the grace for the end of the process.
	graceMargin = 400 * time.Millisecond
	// revokeMargin is the part of the time for revocations after which beliefs
	// are too old for requests with a credential.
	revokeMargin = 0.9
	// readyAge is the part of that time after which this entry asks for no new
	// connections: others may know better.
	readyAge = 0.6
	// tellEvery is the time between two messages to the other entries.
	tellEvery = 100 * time.Millisecond
	// tidyEvery is the time between two clean-ups.
	tidyEvery = time.Second
)

// Router is an entry process on the users' platform.
type Router struct {
	settings platform.Settings
	logger   *elmlog.Logger
	meter    *elmmeter.Meter
	store    *platform.Store
	ranks    *platform.Ranks
	follower *elmfollower.Follower
	peers    *elmpeers.Peers
	exchange *elmexchange.Exchange
	draining atomic.Bool
	ready    atomic.Bool

	mutex   sync.Mutex
	placer  *elmplace.Placer
	polling map[string]bool
	// longest is the longest time that callers had on each route.
	longest map[string]time.Duration
}

// New returns a router that is not running yet.
func New(settings platform.Settings, logger *elmlog.Logger) *Router {
	r := &Router{
		settings: settings, logger: logger, meter: elmmeter.New(),
		store:   platform.NewStore(settings.Store),
		ranks:   platform.NewRanks(reportTimeout),
		polling: map[string]bool{},
		longest: map[string]time.Duration{},
		placer: elmplace.New(elmplace.Settings{
			Datacentre:  settings.Datacentre,
			RepeatShare: settings.Bounds.RepeatShare, RepeatBurst: settings.Bounds.RepeatBurst,
			RepeatWindow: settings.Bounds.RepeatWindow,
			ColdFactor:   settings.Bounds.ColdFactor, ColdSlack: settings.Bounds.ColdSlack,
		}, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
	}
	r.peers = elmpeers.New(r.internal(), settings.Seeds)
	r.follower = elmfollower.New(r.store, logger, elmfollower.WithNeighbours(r.peers.Ask), elmfollower.WithReader(r.readFrom),
		elmfollower.WithGrace(settings.Bounds.Leave, settings.Bounds.Withdraw))
	r.exchange = elmexchange.New(elmexchange.WithAnswerTo(func(h http.Header) string {
		return platform.ReadVerdict(http.StatusOK, h).Attempt
	}), elmexchange.WithOpened(func(string) { r.meter.Count("elmcove_connections_total", "to", "endpoint") }))
	return r
}

// readFrom asks the entry that reads the store for this one.
func (r *Router) readFrom(ctx context.Context, after int64) (*elmpeer.Snapshot, bool) {
	address := r.reader()
	if address == "" {
		return nil, false
	}
	s, err := r.peers.AskOne(ctx, address, after)
	return s, err == nil
}

// internal is the address that other processes of the system use.
func (r *Router) internal() string {
	return net.JoinHostPort(r.settings.IP, strconv.Itoa(r.settings.Ports[0]))
}

// Run serves callers until the context ends and then drains: it asks for no new
// connections, serves those that still come, and finishes what it has taken.
func (r *Router) Run(ctx context.Context) error {
	base, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	callers := r.callerServer(base)
	failures := make(chan error, 5)
	servers := []struct {
		address string
		server  *http.Server
	}{
		{r.settings.Callers, callers},
		{r.settings.Readiness, r.plainServer(base, r.readiness())},
		{r.settings.Control, r.plainServer(base, r.control())},
		{r.internal(), r.plainServer(base, r.control())},
		{r.settings.Metrics, r.plainServer(base, r.control())},
	}
	for _, s := range servers {
		if s.address == "" {
			continue
		}
		listener, err := new(net.ListenConfig).Listen(ctx, "tcp4", s.address)
		if err != nil {
			return fmt.Errorf("%w: %w", ErrRouter, err)
		}
		go func() { failures <- s.server.Serve(listener) }()
	}
	r.logger.Event(elmlog.Started, "callers", r.settings.Callers, "datacentre", r.settings.Datacentre)
	go r.follower.Run(base)
	go r.receive(base)
	go r.register(base)
	go r.tell(base)
	go r.tidy(base)
	planning, endPlanning := context.WithCancel(base)
	defer endPlanning()
	go elmplanner.New(r.settings, r.store, r.follower.Belief, r.logger).Run(planning)
	select {
	case err := <-failures:
		return fmt.Errorf("%w: %w", ErrRouter, err)
	case <-ctx.Done():
	}
	endPlanning()
	r.drain(callers)
	r.logger.Event(elmlog.Stopped)
	return nil
}

// drain finishes what was taken within the grace that the platform gives.
func (r *Router) drain(callers *http.Server) {
	r.draining.Store(true)
	r.logger.Event(elmlog.Stopping, "grace", r.settings.Bounds.Grace)
	ctx, cancel := context.WithTimeout(context.Background(), r.settings.Bounds.Grace-graceMargin)
	defer cancel()
	timer := time.NewTimer(leaveTime)
	defer timer.Stop()
	<-timer.C
	if err := callers.Shutdown(ctx); err != nil {
		r.logger.Event(elmlog.Failed, "error", fmt.Errorf("%w: requests were still open: %w", ErrRouter, err))
	}
}

// usual returns the longest time that callers had on a route.
func (r *Router) usual(route string, deadline time.Duration) time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.longest[route] = max(r.longest[route], deadline)
	return r.longest[route]
}

func (r *Router) callerServer(base context.Context) *http.Server {
	keeper := newKeeper(func() time.Duration {
		if limit := r.follower.Belief().Catalog().Limits().Idle; limit > 0 {
			return limit
		}
		return idleTimeout
	})
	return &http.Server{
		Handler:           http.HandlerFunc(r.serve),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       0,
		MaxHeaderBytes:    headerBytes,
		ConnState:         keeper.watch,
		BaseContext:       func(net.Listener) context.Context { return base },
		ErrorLog:          r.logger.Standard(),
	}
}

func (r *Router) plainServer(base context.Context, handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerBytes,
		BaseContext: func(net.Listener) context.Context { return base }, ErrorLog: r.logger.Standard(),
	}
}

// readiness answers the platform's probes.
func (r *Router) readiness() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		b := r.follower.Belief()
		age := b.Age(elmclock.Now())
		limit := time.Duration(float64(r.settings.Bounds.Revoke) * readyAge)
		ready := !r.draining.Load() && b.Known() && age < limit
		if r.ready.Swap(ready) != ready {
			r.logger.Event(elmlog.ReadinessChanged, "ready", ready, "draining", r.draining.Load(), "version", b.Catalog().Version(), "age", age)
		}
		if !ready {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

// control answers the other processes of the system and the metrics collector.
func (r *Router) control() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(elmpeers.SnapshotPath, elmpeers.Handler(r.follower.Snapshot))
	mux.Handle("/metrics", r.meter.Handler())
	return mux
}

// tidy closes connections that were idle too long and forgets endpoints that
// are gone.
func (r *Router) tidy(ctx context.Context) {
	ticker := time.NewTicker(tidyEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		r.exchange.Prune()
		listed := map[string]bool{}
		b := r.follower.Belief()
		for _, s := range b.Catalog().Services() {
			for _, m := range b.Ranks(s.Name) {
				listed[m.ID] = true
			}
		}
		r.mutex.Lock()
		r.placer.Forget(func(id string) bool { return listed[id] })
		r.mutex.Unlock()
	}
}
