// Package elmrouter runs the entry process on the users' platform: it accepts
// callers' requests, forwards each to an endpoint of its route's service, and
// returns the response unchanged.
//
// Other packages make the decisions: elmsnapshot holds the entry's snapshot of the
// platform state, elmplace chooses endpoints, and elmlifecycle controls the request
// lifecycle.
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
	"github.com/elmcove/elmcove/internal/forward/elmcrash"
	"github.com/elmcove/elmcove/internal/forward/elmexchange"
	"github.com/elmcove/elmcove/internal/forward/elmexplain"
	"github.com/elmcove/elmcove/internal/forward/elmfollower"
	"github.com/elmcove/elmcove/internal/forward/elmnotice"
	"github.com/elmcove/elmcove/internal/forward/elmpeers"
	"github.com/elmcove/elmcove/internal/forward/elmplace"
	"github.com/elmcove/elmcove/internal/forward/elmrelay"
	"github.com/elmcove/elmcove/internal/forward/elmsignature"
	"github.com/elmcove/elmcove/internal/forward/elmsnapshot"
	"github.com/elmcove/elmcove/internal/limit/elmcrowd"
	"github.com/elmcove/elmcove/internal/limit/elmmemory"
	"github.com/elmcove/elmcove/internal/observe/elmclock"
	"github.com/elmcove/elmcove/internal/observe/elmguard"
	"github.com/elmcove/elmcove/internal/observe/elmlog"
	"github.com/elmcove/elmcove/internal/observe/elmmeter"
	"github.com/elmcove/elmcove/internal/wire/elmabort"
	"github.com/elmcove/elmcove/internal/wire/elmlistener"
	"github.com/elmcove/elmcove/internal/wire/elmpeer"
	"github.com/elmcove/elmcove/platform"
)

// ErrRouter reports that the router can't start, serve or shut down cleanly.
var ErrRouter = errors.New("router")

const (
	// headerBytes is the header limit before a configuration is known.
	headerBytes = 64 << 10
	// headerTimeout and idleTimeout are longer than the configured timeouts.
	headerTimeout = 15 * time.Second
	idleTimeout   = 60 * time.Second
	// shutdownDelay is how long the router accepts new connections after the
	// signal to stop: the platform needs two readiness probes, one second apart,
	// to notice that the entry is not ready.
	shutdownDelay = 2500 * time.Millisecond
	// graceMargin is the part of the grace period reserved for the exit of the
	// process, and lastResponseTime the part of it in which requests in flight get
	// a response.
	graceMargin      = 400 * time.Millisecond
	lastResponseTime = 200 * time.Millisecond
	// lastBodyTime is the part of the grace period before that in which requests whose body is
	// still coming in are refused, and closeTime the part of it in which net/http and
	// elmlistener close their connections, so that callers read the refusals.
	lastBodyTime = 1200 * time.Millisecond
	closeTime    = 600 * time.Millisecond
	// credentialAgeRatio is the share of the revocation limit beyond which a
	// snapshot is too old to accept credentials.
	credentialAgeRatio = 0.9
	// readyAgeRatio is the share of the revocation limit beyond which this entry
	// reports not ready: other entries may have a newer snapshot.
	readyAgeRatio = 0.6
	// cleanUpInterval is the interval between two clean-ups.
	cleanUpInterval = time.Second
)

// Router is an entry process on the users' platform.
type Router struct {
	settings platform.Settings
	logger   *elmlog.Logger
	meter    *elmmeter.Meter
	guard    elmguard.Guard
	store    *platform.Store
	ranks    *platform.RankClient
	follower *elmfollower.Follower
	peers    *elmpeers.Peers
	exchange *elmexchange.Client
	board    *elmnotice.Board
	// limits are the limits of callers, and account the memory that they make the process hold.
	limits  elmcrowd.Limits
	account *elmmemory.Account
	// pollWake is sent to when a group was found broken.
	pollWake chan struct{}
	// loadsChanged is sent to when this entry's loads have changed.
	loadsChanged chan struct{}
	// shares is what the entry knows of the shares of workspaces.
	shares   *shareState
	draining atomic.Bool
	// lateAfter is when a draining router starts to refuse requests that it can't finish
	// before stopsAt. Both are 0 while it is not draining.
	lateAfter, stopsAt atomic.Int64
	// serving ends when the router starts to drain.
	serving  context.Context //nolint:containedctx // It lives as long as the router.
	endServe context.CancelFunc
	ready    atomic.Bool
	// hostileAt is when the router last logged that callers hold too much, in Unix nanoseconds.
	hostileAt atomic.Int64
	// informed is set when the notices of a first snapshot have been applied.
	informed atomic.Bool

	mutex  sync.Mutex
	placer *elmplace.Placer
	relay  *elmrelay.Relay
	// attempts holds the attempts of requests that may continue at another endpoint.
	attempts map[*attempt]struct{}
	// broken holds the services whose groups are polled because they are broken.
	broken map[string]struct{}
	// stalled holds the services whose groups make no progress.
	stalled map[string]bool
	// lost holds the endpoints that are being checked for a crash, by ID.
	lost map[string]*lostResponses
	// crashMarks holds the last crashes of endpoints, by ID.
	crashMarks map[string]crashMark
	detector   *elmcrash.Detector
	// applied holds the notices on endpoints that were applied, by key. Only
	// watchNotices uses it.
	applied map[string]string
	// quarantined holds the signatures in quarantine, with its end.
	quarantined map[elmsignature.Signature]time.Duration
	// quarantinedAt is when a request was last refused for a signature in quarantine.
	quarantinedAt map[elmsignature.Signature]time.Duration
	// explaining is held while a question to explain is answered.
	explaining sync.Mutex
	// admissions is the admission by priority, with a mutex of its own.
	admissions *admissions
	// clearedAt is when this entry last shared its clearances of a signature.
	clearedAt map[elmsignature.Signature]time.Duration
	// longestDeadline is the longest deadline seen on each route.
	longestDeadline map[string]time.Duration
	// learns is set if the limits of endpoints are learned.
	learns bool
	// metered holds the endpoints whose limits are in the metrics. Only cleanUp uses it.
	metered map[string]bool
}

// New returns a Router. Run starts it.
func New(settings platform.Settings, logger *elmlog.Logger, options ...Option) *Router {
	r := &Router{
		settings: settings, logger: logger, meter: elmmeter.New(),
		store:           platform.NewStore(settings.Store),
		ranks:           platform.NewRankClient(reportTimeout),
		attempts:        map[*attempt]struct{}{},
		broken:          map[string]struct{}{},
		pollWake:        make(chan struct{}, 1),
		loadsChanged:    make(chan struct{}, 1),
		relay:           elmrelay.New(settings.Instance),
		shares:          newShareState(settings.Instance),
		stalled:         map[string]bool{},
		lost:            map[string]*lostResponses{},
		crashMarks:      map[string]crashMark{},
		detector:        elmcrash.New(time.Now().UnixMilli()),
		applied:         map[string]string{},
		quarantinedAt:   map[elmsignature.Signature]time.Duration{},
		clearedAt:       map[elmsignature.Signature]time.Duration{},
		longestDeadline: map[string]time.Duration{},
		admissions:      newAdmissions(),
		placer: elmplace.New(elmplace.Settings{
			Entry: settings.Instance, Datacentre: settings.Datacentre,
			RetryRatio: settings.Bounds.RetryRatio, RetryBurst: settings.Bounds.RetryBurst,
			RetryWindow: settings.Bounds.RetryWindow,
			ColdFactor:  settings.Bounds.ColdFactor, ColdSlack: settings.Bounds.ColdSlack,
		}, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
	}
	r.admissions.share = r.share
	r.guard = elmguard.New(logger, r.meter)
	r.limits.MemoryLimit = settings.MemoryLimit
	for _, option := range options {
		option(r)
	}
	r.account = elmmemory.NewAccount(r.limits.Pools(), r.countEnded)
	for _, p := range elmmemory.Pools() {
		r.meter.Gauge("elmcove_held_bytes", "pool", p.String(), func() float64 { return float64(r.account.Used(p)) })
	}
	r.board = elmnotice.New(r.store, settings.MinLeaseTTL, logger)
	r.peers = elmpeers.New(r.internalAddress(), settings.Seeds)
	r.follower = elmfollower.New(r.store, logger, elmfollower.WithPeers(r.peers.FetchSnapshots), elmfollower.WithSharedReader(r.readFromEntry),
		elmfollower.WithGrace(settings.Bounds.LeaveDelay, settings.Bounds.WithdrawDelay), elmfollower.WithUrgency(r.exceedsColdLimit), elmfollower.WithChanged(r.wakeAll),
		elmfollower.WithOptionalWorkspaces(settings.OptionalWorkspaces))
	r.exchange = elmexchange.New(elmexchange.WithAttemptOf(func(h http.Header) string {
		return platform.ReadResponseInfo(http.StatusOK, h).Attempt
	}), elmexchange.WithOpened(func(string) { r.meter.Count("elmcove_connections_total", "to", "endpoint") }))
	return r
}

// readFromEntry fetches a snapshot from the entry that reads the store for this one.
// It returns false if there is no such entry or the request fails.
func (r *Router) readFromEntry(ctx context.Context, after elmsnapshot.Position) (*elmpeer.Snapshot, bool) {
	address := r.storeReader()
	if address == "" {
		return nil, false
	}
	snapshot, err := r.peers.FetchSnapshot(ctx, address, after)
	return snapshot, err == nil
}

// internalAddress returns the address for other processes of the system.
func (r *Router) internalAddress() string {
	return net.JoinHostPort(r.settings.IP, strconv.Itoa(r.settings.Ports[0]))
}

// Run serves callers until the context ends and then drains: it reports not ready,
// serves requests that still arrive, and finishes those in flight.
func (r *Router) Run(ctx context.Context) error {
	base, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	callers, err := r.callerListener(ctx)
	if err != nil {
		return err
	}
	r.serving, r.endServe = context.WithCancel(base)
	defer r.endServe()
	failures := make(chan error, 5)
	requests, endRequests := context.WithCancelCause(base)
	defer endRequests(nil)
	go func() { failures <- r.callerServer(requests, callers).Serve(callers) }()
	for _, s := range []struct {
		address string
		handler http.Handler
	}{
		{r.settings.Readiness, r.readiness()},
		{r.settings.Control, r.control()},
		{r.internalAddress(), r.control()},
		{r.settings.Metrics, r.control()},
	} {
		if s.address == "" {
			continue
		}
		listener, err := listen(ctx, s.address)
		if err != nil {
			return err
		}
		auxiliary := r.auxiliaryListener(listener)
		go func() { failures <- r.auxiliaryServer(base, auxiliary, s.handler).Serve(auxiliary) }()
	}
	r.logger.Event(elmlog.Started, "callers", r.settings.Callers, "datacentre", r.settings.Datacentre)
	go r.follower.Run(base)
	go r.receiveLoads(base)
	go r.register(base)
	go r.reportLoads(base)
	go r.reportSums(base)
	go r.reportShares(base)
	go r.cleanUp(base)
	go r.board.Run(base)
	go r.watchNotices(base)
	go r.pollGroups(base)
	go r.watchSilences(base)
	planning, endPlanning := context.WithCancel(base)
	defer endPlanning()
	go elmplanner.New(r.settings, r.store, r.follower.Snapshot, r.logger, r.guard, r.meter).Run(planning)
	select {
	case err := <-failures:
		return fmt.Errorf("%w: %w", ErrRouter, err)
	case <-ctx.Done():
	}
	endPlanning()
	r.drain(callers, endRequests)
	r.logger.Event(elmlog.Stopped)
	return nil
}

// drain finishes the requests in flight within the platform's grace period. At its end,
// requests without a response get one.
func (r *Router) drain(callers *elmlistener.Listener, endRequests context.CancelCauseFunc) {
	grace := r.settings.Bounds.Grace - graceMargin
	now := elmclock.Now()
	r.stopsAt.Store(int64(now + grace))
	r.lateAfter.Store(int64(now + shutdownDelay))
	r.draining.Store(true)
	r.endServe()
	r.logger.Event(elmlog.Stopping, "grace", r.settings.Bounds.Grace)
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	elmclock.Wait(ctx, shutdownDelay)
	err := callers.Drain(ctx)
	if err == nil {
		return
	}
	r.logger.Event(elmlog.Failed, "error", fmt.Errorf("%w: requests still in flight: %w", ErrRouter, err))
	endRequests(errStopping)
	last, cancelLast := context.WithTimeout(context.Background(), lastResponseTime)
	defer cancelLast()
	_ = callers.Drain(last) // The process ends in any case.
}

// isLate reports whether a request can't be finished before the router stops. Callers
// are sent to other entries only after a while, so that their first requests are taken.
func (r *Router) isLate(a admitted, now time.Duration) bool {
	if !r.draining.Load() || now < time.Duration(r.lateAfter.Load()) {
		return false
	}
	return a.began+a.timeLimit > time.Duration(r.stopsAt.Load())
}

// discardTime returns how long the rest of a refused request's body may come in.
func (r *Router) discardTime() time.Duration {
	if !r.draining.Load() {
		return refusedBodyTime
	}
	return min(refusedBodyTime, time.Duration(r.stopsAt.Load())-elmclock.Now()-closeTime)
}

// recordDeadline records a deadline on a route and returns the longest one so far.
func (r *Router) recordDeadline(route string, deadline time.Duration) time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.longestDeadline[route] = max(r.longestDeadline[route], deadline)
	return r.longestDeadline[route]
}

func listen(ctx context.Context, address string) (net.Listener, error) {
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp4", address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrRouter, err)
	}
	return listener, nil
}

// callerListener returns the listener for callers. Its idle limit follows the
// configuration.
func (r *Router) callerListener(ctx context.Context) (*elmlistener.Listener, error) {
	listener, err := listen(ctx, r.settings.Callers)
	if err != nil {
		return nil, err
	}
	return elmlistener.New(listener, elmlistener.WithHeadLimits(r.headLimits), elmlistener.WithAccount(r.account),
		elmlistener.WithMaxConnections(r.limits.Connections()),
		elmlistener.WithIdleLimit(func() time.Duration {
			if limit := r.follower.Snapshot().Catalog().Limits().Idle; limit > 0 {
				return limit
			}
			return idleTimeout
		}),
		elmlistener.WithEnded(r.recordEnded),
	), nil
}

// callerServer returns the server for callers.
func (r *Router) callerServer(base context.Context, callers *elmlistener.Listener) *http.Server {
	server := &http.Server{ //nolint:gosec // The listener limits the time for a head.
		Handler:        elmlistener.ProtectBodies(http.HandlerFunc(r.serve)),
		MaxHeaderBytes: headerBytes,
		ConnState:      callers.OnStateChange,
		ConnContext:    elmlistener.ConnContext,
		BaseContext:    func(net.Listener) context.Context { return base },
		ErrorLog:       r.logger.Standard(),
	}
	elmabort.Protect(server)
	return server
}

// readiness handles the platform's readiness probes.
func (r *Router) readiness() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		snapshot := r.follower.Snapshot()
		age := snapshot.Age(elmclock.Now())
		limit := time.Duration(float64(r.settings.Bounds.RevokeDelay) * readyAgeRatio)
		ready := !r.draining.Load() && snapshot.HasConfig() && r.informed.Load() && age < limit
		if r.ready.Swap(ready) != ready {
			r.logger.Event(elmlog.ReadinessChanged, "ready", ready, "draining", r.draining.Load(), "version", snapshot.Catalog().Version(), "age", age)
		}
		if !ready {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

// control handles requests of other processes of the system and of the metrics
// collector.
func (r *Router) control() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(elmpeers.SnapshotPath, elmpeers.Handler(r.follower.PeerSnapshot))
	mux.HandleFunc(elmexplain.Path, r.handleExplain)
	mux.Handle("/metrics", r.meter.Handler())
	return mux
}

// cleanUp closes connections that were idle for too long and discards the state
// of endpoints that are no longer listed.
func (r *Router) cleanUp(ctx context.Context) {
	ticker := time.NewTicker(cleanUpInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		r.exchange.Prune()
		listed := map[string]bool{}
		snapshot := r.follower.Snapshot()
		for _, s := range snapshot.Catalog().Services() {
			for _, m := range snapshot.AllMembers(s.Name) {
				listed[m.ID] = true
			}
		}
		r.mutex.Lock()
		r.placer.Forget(func(id string) bool { return listed[id] }, elmclock.Now())
		r.mutex.Unlock()
		r.reportAdmissions(elmclock.Now())
		r.reportLimits()
	}
}
