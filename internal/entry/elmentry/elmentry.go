// Package elmentry implements the entry process, which accepts the requests of
// callers, sends each through an agent to an endpoint, and returns the
// response.
//
// # Usage
//
//	entry, err := elmentry.New(settings, elmentry.WithLogger(logger))
//	err = entry.Run(ctx) // Drains when ctx ends.
package elmentry

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/elmcove/elmcove/internal/config/elmholder"
	"github.com/elmcove/elmcove/internal/config/elmsettings"
	"github.com/elmcove/elmcove/internal/entry/elmfleet"
	"github.com/elmcove/elmcove/internal/entry/elmledger"
	"github.com/elmcove/elmcove/internal/entry/elmpause"
	"github.com/elmcove/elmcove/internal/limit/elmbudget"
	"github.com/elmcove/elmcove/internal/limit/elmcrowd"
	"github.com/elmcove/elmcove/internal/limit/elmmemory"
	"github.com/elmcove/elmcove/internal/observe/elmlog"
	"github.com/elmcove/elmcove/internal/observe/elmmeter"
	"github.com/elmcove/elmcove/internal/observe/elmtrace"
	"github.com/elmcove/elmcove/internal/registry/elmroster"
	"github.com/elmcove/elmcove/internal/registry/elmstore"
	"github.com/elmcove/elmcove/internal/route/elmpicker"
	"github.com/elmcove/elmcove/internal/wire/elmabort"
	"github.com/elmcove/elmcove/internal/wire/elmkeys"
	"github.com/elmcove/elmcove/internal/wire/elmlink"
	"github.com/elmcove/elmcove/internal/wire/elmlistener"
	"github.com/elmcove/elmcove/internal/wire/elmwire"
)

const (
	ledgerSize     = 4096
	headerTimeout  = 10 * time.Second
	idleTimeout    = 3 * time.Minute
	maxHeaderBytes = 32 << 10
	drainTimeout   = 2 * time.Minute
	// bodyMemory is the memory for the bodies of all open requests. Several forms of a body may
	// be in memory at once.
	bodyMemory = 48 << 20
	// lastResponseTime is the time after a drain in which open requests get a response.
	lastResponseTime = time.Second
)

// ErrEntry reports that the entry can't start, run or drain.
var ErrEntry = errors.New("entry")

// Entry is the state of an entry process.
type Entry struct {
	settings    elmsettings.Settings
	keys        *elmkeys.Keys
	store       *elmstore.Store
	holder      *elmholder.Holder
	fleet       *elmfleet.Fleet
	ledger      *elmledger.Ledger
	pause       *elmpause.Detector
	logger      *elmlog.Logger
	tracer      *elmtrace.Tracer
	meter       *elmmeter.Meter
	incarnation string
	serial      atomic.Uint64
	draining    atomic.Bool
	bodies      elmmemory.Budget
	// ending is closed when open requests must end.
	ending chan struct{}

	mutex        sync.Mutex
	picker       *elmpicker.Picker
	budget       elmbudget.Budget
	roster       elmroster.Roster
	openRequests map[string]int
}

// New returns an Entry. Run starts it.
func New(settings elmsettings.Settings, options ...Option) (*Entry, error) {
	keys, err := elmkeys.Load(settings.Keys)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrEntry, err)
	}
	e := &Entry{
		settings:     settings,
		keys:         keys,
		holder:       elmholder.New(),
		ledger:       elmledger.New(ledgerSize),
		pause:        elmpause.New(),
		logger:       elmlog.Discard(),
		tracer:       elmtrace.Discard(),
		meter:        elmmeter.New(),
		bodies:       elmmemory.New(bodyMemory),
		incarnation:  uuid.NewString(),
		picker:       elmpicker.New(settings.Datacentre, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		budget:       elmbudget.New(),
		openRequests: map[string]int{},
		ending:       make(chan struct{}),
	}
	for _, option := range options {
		option(e)
	}
	if e.store, err = elmstore.New(settings.Platform, elmstore.WithOmitted(e.reportOmitted)); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrEntry, err)
	}
	hello := &elmwire.Hello{Instance: settings.Instance, Datacentre: settings.Datacentre, Incarnation: e.incarnation}
	host, _, err := net.SplitHostPort(settings.HTTP)
	if err != nil {
		return nil, fmt.Errorf("%w: http address %q: %w", ErrEntry, settings.HTTP, err)
	}
	dialer, err := elmlink.NewDialer(host, keys.ClientConfig())
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrEntry, err)
	}
	e.fleet = elmfleet.New(hello, dialer, e, e.logger)
	return e, nil
}

// Run serves callers until the context ends, and then drains: it reports that
// it is not ready, so that the platform's balancer stops sending requests,
// serves those that arrive within the balancer's lag, and completes all open
// requests.
func (e *Entry) Run(ctx context.Context) error {
	base, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer e.fleet.Wait()
	defer stop()
	go e.pause.Run(base, e.reportSuspension)
	go e.followRoster(base)
	go e.followConfig(base)
	listener, err := e.listen(ctx)
	if err != nil {
		return err
	}
	e.logger.Event(elmlog.Started, "http", e.settings.HTTP, "incarnation", e.incarnation)
	<-ctx.Done()
	return e.drain(base, listener)
}

// listen serves callers until the returned listener is drained.
func (e *Entry) listen(ctx context.Context) (*elmlistener.Listener, error) {
	inner, err := (&net.ListenConfig{}).Listen(ctx, "tcp", e.settings.HTTP)
	if err != nil {
		return nil, fmt.Errorf("%w: listen %s: %w", ErrEntry, e.settings.HTTP, err)
	}
	handler, err := e.handler()
	if err != nil {
		return nil, err
	}
	limits := elmcrowd.Limits{MemoryLimit: e.settings.MemoryLimit(), MaxConnections: e.settings.MaxConnections}
	account := elmmemory.NewAccount(limits.Pools(), func(p elmmemory.Pool) {
		e.meter.Count("elmcove_memory_refusals_total", "pool", p.String())
	})
	listener := elmlistener.New(inner, elmlistener.WithAccount(account), elmlistener.WithMaxConnections(limits.Connections()),
		elmlistener.WithHeadLimits(func() elmlistener.HeadLimits {
			return elmlistener.HeadLimits{Time: headerTimeout, Bytes: maxHeaderBytes}
		}),
		elmlistener.WithIdleLimit(func() time.Duration { return idleTimeout }),
		elmlistener.WithEnded(func(reason elmlistener.EndReason) {
			e.meter.Count("elmcove_caller_connections_ended_total", "reason", string(reason))
		}))
	server := &http.Server{ //nolint:gosec // The listener limits the time for a head.
		Handler: elmlistener.ProtectBodies(e.announceReuse(limitBodies(handler))), MaxHeaderBytes: maxHeaderBytes, ConnState: listener.OnStateChange, ConnContext: elmlistener.ConnContext,
	}
	elmabort.Protect(server)
	go func() {
		if err := server.Serve(listener); !errors.Is(err, net.ErrClosed) {
			e.logger.Event(elmlog.Failed, "error", err)
		}
	}()
	return listener, nil
}

// announceReuse announces in responses whether their connection can be used again: a draining
// entry closes it.
func (e *Entry) announceReuse(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		elmlistener.AnnounceKeepAlive(w.Header(), r)
		next.ServeHTTP(w, r)
	})
}

func (e *Entry) drain(ctx context.Context, listener *elmlistener.Listener) error {
	e.logger.Event(elmlog.Stopping)
	e.draining.Store(true)
	time.Sleep(time.Duration(e.settings.DrainDelay) * time.Millisecond)
	drain, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	err := listener.Drain(drain)
	if err != nil {
		close(e.ending)
		last, cancelLast := context.WithTimeout(ctx, lastResponseTime)
		defer cancelLast()
		_ = listener.Drain(last) // The error of the first one is reported.
		return fmt.Errorf("%w: drain: %w", ErrEntry, err)
	}
	e.logger.Event(elmlog.Stopped)
	return nil
}

func (e *Entry) reportOmitted(instance string, err error) {
	e.logger.Event(elmlog.InstanceUnreadable, "instance", instance, "error", err)
}

func (e *Entry) reportSuspension(gap time.Duration) {
	e.logger.Event(elmlog.ProcessResumed, "gap", gap)
}

// pick selects an agent for a service and reports whether it is the only
// candidate left. It uses the prefix for the first attempt only. Otherwise all
// entries that an agent refused would retry at the same next agent.
func (e *Entry) pick(service, prefix string, tried []string) (agent string, last, ok bool) {
	candidates := e.allowed(e.fleet.Candidates(service, tried))
	if len(tried) > 0 {
		prefix = ""
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	chosen, ok := e.picker.Pick(candidates, prefix)
	return chosen.Agent, len(candidates) == 1, ok
}

// allowed returns the candidates to which the configuration permits new requests.
func (e *Entry) allowed(candidates []elmpicker.Candidate) []elmpicker.Candidate {
	config := e.holder.Config()
	allowed := make([]elmpicker.Candidate, 0, len(candidates))
	for _, c := range candidates {
		if config.AcceptsNewWork(c.Datacentre, c.Agent) {
			allowed = append(allowed, c)
		}
	}
	return allowed
}

// admit adds an open request to a workspace and reports whether the workspace
// was below its limit. Each admitted request adds to the retry budget.
func (e *Entry) admit(workspace string, limit int) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.openRequests[workspace] >= limit {
		return false
	}
	e.openRequests[workspace]++
	e.budget = e.budget.Deposit()
	return true
}

func (e *Entry) release(workspace string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.openRequests[workspace]--
	if e.openRequests[workspace] == 0 {
		delete(e.openRequests, workspace)
	}
}

// withdrawRetry takes a retry from the budget and reports whether the budget was
// already exhausted.
func (e *Entry) withdrawRetry() (exhausted bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	budget, ok := e.budget.Withdraw()
	e.budget = budget
	return !ok
}

func (e *Entry) newRequestID() string {
	return fmt.Sprintf("%s-%s-%d", e.settings.Instance, e.incarnation[:8], e.serial.Add(1))
}
