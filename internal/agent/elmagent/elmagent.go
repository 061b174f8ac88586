// Package elmagent runs the agent process of one endpoint, on the same instance.
// The agent has the final decision on what its endpoint runs. It admits requests
// up to the endpoint's current capacity, writes the claim record of a keyed
// request before running it, and refuses new requests once the endpoint is
// leaving.
//
// # Usage
//
//	agent, err := elmagent.New(settings, elmagent.WithLogger(logger))
//	err = agent.Run(ctx) // Drains when ctx ends.
package elmagent

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/quic-go/quic-go"

	"github.com/elmcove/elmcove/internal/agent/elmendpointclient"
	"github.com/elmcove/elmcove/internal/config/elmholder"
	"github.com/elmcove/elmcove/internal/config/elmsettings"
	"github.com/elmcove/elmcove/internal/limit/elmconcurrency"
	"github.com/elmcove/elmcove/internal/limit/elmcrowd"
	"github.com/elmcove/elmcove/internal/limit/elmgate"
	"github.com/elmcove/elmcove/internal/limit/elmmemory"
	"github.com/elmcove/elmcove/internal/observe/elmlog"
	"github.com/elmcove/elmcove/internal/observe/elmmeter"
	"github.com/elmcove/elmcove/internal/observe/elmtrace"
	"github.com/elmcove/elmcove/internal/registry/elmstore"
	"github.com/elmcove/elmcove/internal/wire/elmbounded"
	"github.com/elmcove/elmcove/internal/wire/elmkeys"
	"github.com/elmcove/elmcove/internal/wire/elmlink"
	"github.com/elmcove/elmcove/internal/wire/elmlistener"
	"github.com/elmcove/elmcove/internal/wire/elmwire"
)

const (
	loadInterval = 250 * time.Millisecond
	// drainTimeout limits the wait for jobs, and after it the wait for links.
	drainTimeout = 2 * time.Minute
	// seenMargin is how long an attempt is remembered after its deadline.
	seenMargin = time.Minute
	// budgetBytes limits the response bodies that are kept at the same time, of the
	// endpoint and of the key-value service.
	budgetBytes = 24 << 20
)

// ErrAgent reports that the agent can't run.
var ErrAgent = errors.New("agent")

// Agent is the agent process of one endpoint.
type Agent struct {
	settings    elmsettings.Settings
	incarnation string
	keys        *elmkeys.Keys
	store       *elmstore.Store
	client      *elmendpointclient.Client
	logger      *elmlog.Logger
	tracer      *elmtrace.Tracer
	meter       *elmmeter.Meter
	holder      *elmholder.Holder
	gate        *elmgate.Gate
	jobs        sync.WaitGroup
	links       sync.WaitGroup

	mutex   sync.Mutex
	limit   elmconcurrency.Limit
	leaving bool
	seen    map[string]time.Time
	sweepAt int
	peers   map[*elmlink.Link]struct{}
}

// New returns an agent that is not running yet.
func New(settings elmsettings.Settings, options ...Option) (*Agent, error) {
	keys, err := elmkeys.Load(settings.Keys)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrAgent, err)
	}
	budget := elmbounded.NewBudget(budgetBytes)
	store, err := elmstore.New(settings.Platform, elmstore.WithBudget(budget))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrAgent, err)
	}
	a := &Agent{
		settings:    settings,
		incarnation: uuid.NewString(),
		keys:        keys,
		store:       store,
		client:      elmendpointclient.New(settings.Endpoint).WithBudget(budget),
		logger:      elmlog.Discard(),
		tracer:      elmtrace.Discard(),
		meter:       elmmeter.New(),
		holder:      elmholder.New(),
		gate:        elmgate.New(1),
		limit:       elmconcurrency.New(time.Duration(settings.Step)*time.Millisecond, settings.MaxConcurrency, time.Now()),
		seen:        map[string]time.Time{},
		peers:       map[*elmlink.Link]struct{}{},
	}
	for _, option := range options {
		option(a)
	}
	return a, nil
}

// Run serves entries until the context ends, and then drains: it refuses new
// requests, finishes running ones, and waits for entries to read the last
// responses.
func (a *Agent) Run(ctx context.Context) error {
	listener, err := quic.ListenAddr(a.settings.Link, a.keys.ServerConfig(), elmlink.QUICConfig())
	if err != nil {
		return fmt.Errorf("%w: listen %s: %w", ErrAgent, a.settings.Link, err)
	}
	defer func() { _ = listener.Close() }() // The process is ending.
	server, err := a.serveHTTP(ctx)
	if err != nil {
		return err
	}
	defer func() { _ = server.Close() }() // No caller depends on these pages.
	a.logger.Event(elmlog.Started, "link", a.settings.Link, "http", a.settings.HTTP, "incarnation", a.incarnation)
	base, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go a.accept(base, listener)
	go a.pollLoads(base)
	<-ctx.Done()
	a.drain()
	a.client.Close()
	a.logger.Event(elmlog.Stopped)
	return nil
}

func (a *Agent) accept(ctx context.Context, listener *quic.Listener) {
	for {
		conn, err := listener.Accept(ctx)
		if err != nil {
			return
		}
		if !a.beginLink() {
			_ = conn.CloseWithError(1, "leaving") // The entry may have disconnected.
			continue
		}
		go func() {
			defer a.links.Done()
			a.serveLink(ctx, conn)
		}()
	}
}

// drain refuses new requests. It waits until all jobs have ended and the entries
// have closed their links, which they do after reading all responses.
func (a *Agent) drain() {
	a.logger.Event(elmlog.Stopping)
	a.mutex.Lock()
	a.leaving = true
	peers := a.peerList()
	a.mutex.Unlock()
	for _, p := range peers {
		a.grant(p)
	}
	await(&a.jobs, drainTimeout)
	await(&a.links, drainTimeout)
}

func await(group *sync.WaitGroup, timeout time.Duration) {
	done := make(chan struct{})
	go func() {
		group.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(timeout):
	}
}

const (
	// pageTime is the time in which the request of an operator's page comes in, pageIdleTime that
	// between two of them, and pageHeadBytes the limit of their heads. Collectors ask every
	// 15 to 60 s.
	pageTime     = time.Second
	pageIdleTime = 3 * time.Minute
	// pageWriteTime bounds the time in which a page is read. A caller that does not read would
	// otherwise keep its connection, of which there are few.
	pageWriteTime = 10 * time.Second
	pageHeadBytes = 16 << 10
)

func (a *Agent) serveHTTP(ctx context.Context) (*http.Server, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", a.settings.HTTP)
	if err != nil {
		return nil, fmt.Errorf("%w: listen %s: %w", ErrAgent, a.settings.HTTP, err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET /readyz", a.handleReady)
	mux.Handle("GET /metrics", a.meter.Handler())
	limits := elmcrowd.Limits{MemoryLimit: a.settings.MemoryLimit(), MaxConnections: a.settings.MaxConnections}
	account := elmmemory.NewAccount(limits.Pools(), func(p elmmemory.Pool) {
		a.meter.Count("elmcove_memory_refusals_total", "pool", p.String())
	})
	limited := elmlistener.New(listener, elmlistener.WithAccount(account), elmlistener.WithMaxConnections(limits.OtherConnections()),
		elmlistener.WithIdleLimit(func() time.Duration { return pageIdleTime }),
		elmlistener.WithHeadLimits(func() elmlistener.HeadLimits {
			return elmlistener.HeadLimits{Time: pageTime, Bytes: pageHeadBytes}
		}))
	server := &http.Server{
		Handler: elmlistener.ProtectBodies(mux), ReadTimeout: pageTime, WriteTimeout: pageWriteTime, MaxHeaderBytes: pageHeadBytes,
		ConnState: limited.OnStateChange, ConnContext: elmlistener.ConnContext,
	}
	go func() { _ = server.Serve(limited) }() // Returns when the server is closed.
	return server, nil
}

func (a *Agent) handleReady(w http.ResponseWriter, _ *http.Request) {
	if !a.acceptsRequests() {
		http.Error(w, "not taking new work", http.StatusServiceUnavailable)
	}
}

// adopt applies a configuration update that is newer than the current revision.
func (a *Agent) adopt(update *elmwire.Update) {
	adopted, err := a.holder.Adopt(update)
	if errors.Is(err, elmholder.ErrGap) {
		return // The next grant reports the current revision, and the entry sends what is missing.
	}
	if err != nil {
		a.logger.Event(elmlog.ConfigRefused, "revision", update.GetRevision(), "error", err)
		return
	}
	if !adopted {
		return
	}
	a.mutex.Lock()
	a.updateLimitLocked()
	a.mutex.Unlock()
	a.logger.Event(elmlog.ConfigAdopted, "revision", update.GetRevision())
}

func (a *Agent) peerList() []*elmlink.Link {
	peers := make([]*elmlink.Link, 0, len(a.peers))
	for p := range a.peers {
		peers = append(peers, p)
	}
	return peers
}
