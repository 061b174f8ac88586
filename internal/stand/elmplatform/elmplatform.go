// Package elmplatform is a small stand-in for the platform's key-value service
// and instance list. It keeps its data in memory, counts calls, and injects
// faults.
//
// # Usage
//
//	platform := elmplatform.New()
//	server := httptest.NewServer(platform.Handler())
//	platform.SetFault(elmplatform.FaultDown)
package elmplatform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/elmcove/elmcove/internal/stand/elmbody"
	"github.com/elmcove/elmcove/internal/wire/elmkvapi"
)

// Fault is an injected failure mode.
type Fault string

const (
	// FaultNone injects no failure.
	FaultNone Fault = "none"
	// FaultDown makes all calls fail without effect.
	FaultDown Fault = "down"
	// FaultSlow delays all calls by slowDelay.
	FaultSlow Fault = "slow"
	// FaultLostReplies applies writes and then fails them, as if replies were lost.
	FaultLostReplies Fault = "lost"
	// FaultEndless answers all calls with a document without end.
	FaultEndless Fault = "endless"
)

const slowDelay = 2 * time.Second

var errFault = errors.New("fault injected")

// Counts holds the number of calls by operation.
type Counts struct {
	Reads  int `json:"reads"`
	Writes int `json:"writes"`
	Leases int `json:"leases"`
	Lists  int `json:"lists"`
}

type entry struct {
	version int64
	data    []byte
	expires time.Time
}

// Platform is the stand-in for the platform. It is safe for concurrent use.
type Platform struct {
	mutex     sync.Mutex
	values    map[string]entry
	leases    map[string]time.Time
	instances []elmkvapi.Instance
	// listVersion is the version of the instance list.
	listVersion int64
	counts      Counts
	fault       Fault
	// changed is closed and replaced at each change.
	changed chan struct{}
}

// New returns a Platform without values or instances.
func New() *Platform {
	return &Platform{
		values:  map[string]entry{},
		leases:  map[string]time.Time{},
		fault:   FaultNone,
		changed: make(chan struct{}),
	}
}

// Handler returns a handler for the API of the platform and the control API of the
// stand-in below /control/.
func (p *Platform) Handler() http.Handler {
	server, err := elmkvapi.NewServer(p)
	if err != nil {
		panic(err) // NewServer fails only on invalid options.
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		if p.currentFault() == FaultEndless {
			elmbody.WriteEndless(w, "document")
			return
		}
		server.ServeHTTP(w, r)
	})
	mux.HandleFunc("POST /control/fault", p.handleFault)
	mux.HandleFunc("PUT /control/instances", p.handleInstances)
	mux.HandleFunc("GET /control/counts", p.handleCounts)
	return mux
}

// SetFault sets the injected failure mode.
func (p *Platform) SetFault(fault Fault) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.fault = fault
}

// SetInstances replaces the instance list.
func (p *Platform) SetInstances(instances []elmkvapi.Instance) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.instances = instances
	p.listVersion++
	p.notify()
}

// Counts returns the number of calls so far by operation.
func (p *Platform) Counts() Counts {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.counts
}

// ReadValue implements elmkvapi.Handler. With a version to wait for, it is a long
// poll.
func (p *Platform) ReadValue(ctx context.Context, params elmkvapi.ReadValueParams) (*elmkvapi.Value, error) {
	if err := p.injectFault(ctx); err != nil {
		return nil, err
	}
	deadline := time.NewTimer(time.Duration(params.Wait.Or(0)) * time.Millisecond)
	defer deadline.Stop()
	p.count(func(c *Counts) { c.Reads++ })
	for {
		value, changed := p.value(params.Key)
		if !params.After.Set || value.Version > params.After.Value {
			return value, nil
		}
		select {
		case <-changed:
		case <-deadline.C:
			return value, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// SwapValue implements elmkvapi.Handler. It is a compare-and-swap on the version
// of a value.
func (p *Platform) SwapValue(ctx context.Context, req *elmkvapi.Value, params elmkvapi.SwapValueParams) (elmkvapi.SwapValueRes, error) {
	if err := p.injectFault(ctx); err != nil {
		return nil, err
	}
	p.count(func(c *Counts) { c.Writes++ })
	value, swapped, err := p.swap(req.Data, params)
	if err != nil {
		return nil, err
	}
	if !swapped {
		conflict := elmkvapi.SwapValueConflict(*value)
		return &conflict, nil
	}
	ok := elmkvapi.SwapValueOK(*value)
	return &ok, nil
}

// LoseLeases forgets all leases. Values that are bound to them stay until they expire.
func (p *Platform) LoseLeases() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	clear(p.leases)
}

// GrantLease implements elmkvapi.Handler.
func (p *Platform) GrantLease(ctx context.Context, params elmkvapi.GrantLeaseParams) (*elmkvapi.Lease, error) {
	if err := p.injectFault(ctx); err != nil {
		return nil, err
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.counts.Leases++
	id := "lease-" + strconv.Itoa(len(p.leases)+1)
	p.leases[id] = time.Now().Add(time.Duration(params.TTL) * time.Millisecond)
	return &elmkvapi.Lease{ID: id, TTL: params.TTL}, nil
}

// RenewLease implements elmkvapi.Handler. A renewal does not extend a lease of
// the stand-in, and returns the remaining time.
func (p *Platform) RenewLease(ctx context.Context, params elmkvapi.RenewLeaseParams) (*elmkvapi.Lease, error) {
	if err := p.injectFault(ctx); err != nil {
		return nil, err
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.counts.Leases++
	remaining := time.Until(p.leases[params.ID])
	if remaining <= 0 {
		return nil, fmt.Errorf("lease %q has expired", params.ID)
	}
	return &elmkvapi.Lease{ID: params.ID, TTL: remaining.Milliseconds()}, nil
}

// ListInstances implements elmkvapi.Handler. With a version to wait for, it is a
// long poll.
func (p *Platform) ListInstances(ctx context.Context, params elmkvapi.ListInstancesParams) (*elmkvapi.Roster, error) {
	if err := p.injectFault(ctx); err != nil {
		return nil, err
	}
	deadline := time.NewTimer(time.Duration(params.Wait.Or(0)) * time.Millisecond)
	defer deadline.Stop()
	p.count(func(c *Counts) { c.Lists++ })
	for {
		roster, changed := p.roster(params.Datacentre)
		if !params.After.Set || roster.Version > params.After.Value {
			return roster, nil
		}
		select {
		case <-changed:
		case <-deadline.C:
			return &elmkvapi.Roster{Version: roster.Version}, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// NewError implements elmkvapi.Handler.
func (p *Platform) NewError(_ context.Context, err error) *elmkvapi.FailureStatusCode {
	return &elmkvapi.FailureStatusCode{
		StatusCode: http.StatusServiceUnavailable,
		Response:   elmkvapi.Failure{Message: err.Error()},
	}
}

// injectFault fails or delays a call before it takes effect.
func (p *Platform) injectFault(ctx context.Context) error {
	switch p.currentFault() {
	case FaultDown:
		return errFault
	case FaultSlow:
		select {
		case <-time.After(slowDelay):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

func (p *Platform) currentFault() Fault {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.fault
}

func (p *Platform) count(add func(*Counts)) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	add(&p.counts)
}

// notify wakes the calls that wait for a change. The caller holds the mutex.
func (p *Platform) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// roster returns the instances in the given data centres, or all instances if
// there are none. The channel is closed at the next change.
func (p *Platform) roster(datacentres []string) (*elmkvapi.Roster, <-chan struct{}) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	roster := &elmkvapi.Roster{Version: p.listVersion}
	for _, i := range p.instances {
		if len(datacentres) == 0 || slices.Contains(datacentres, i.Datacentre) {
			roster.Instances = append(roster.Instances, i)
		}
	}
	return roster, p.changed
}

// value returns the value of a key. The channel is closed at the next change.
func (p *Platform) value(key string) (*elmkvapi.Value, <-chan struct{}) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	e := p.live(key)
	return &elmkvapi.Value{Version: e.version, Data: e.data}, p.changed
}

// live returns the entry of a key, and deletes it if its lease has expired. The
// caller holds the mutex.
func (p *Platform) live(key string) entry {
	e := p.values[key]
	if !e.expires.IsZero() && time.Now().After(e.expires) {
		delete(p.values, key)
		return entry{}
	}
	return e
}

// swap replaces the value of a key if its version is the expected one. It returns
// the current value, and whether it was replaced.
func (p *Platform) swap(data []byte, params elmkvapi.SwapValueParams) (*elmkvapi.Value, bool, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	e := p.live(params.Key)
	if e.version != params.Expect {
		return &elmkvapi.Value{Version: e.version, Data: e.data}, false, nil
	}
	e = entry{version: e.version + 1, data: data}
	if params.Lease.Set {
		expires, ok := p.leases[params.Lease.Value]
		if !ok {
			return nil, false, fmt.Errorf("no lease %q", params.Lease.Value)
		}
		e.expires = expires
	}
	p.values[params.Key] = e
	p.notify()
	if p.fault == FaultLostReplies {
		return nil, false, errFault
	}
	return &elmkvapi.Value{Version: e.version, Data: e.data}, true, nil
}

func (p *Platform) handleFault(w http.ResponseWriter, r *http.Request) {
	fault := Fault(r.URL.Query().Get("kind"))
	switch fault {
	case FaultNone, FaultDown, FaultSlow, FaultLostReplies, FaultEndless:
		p.SetFault(fault)
	default:
		http.Error(w, "kind must be one of none, down, slow, lost, endless", http.StatusBadRequest)
	}
}

func (p *Platform) handleInstances(w http.ResponseWriter, r *http.Request) {
	var instances []elmkvapi.Instance
	if err := json.NewDecoder(r.Body).Decode(&instances); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetInstances(instances)
}

func (p *Platform) handleCounts(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(p.Counts()) // The caller may have disconnected.
}
