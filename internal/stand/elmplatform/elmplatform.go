// Package elmplatform is a small stand-in for the platform's key-value service
// and instance list. It keeps everything in memory, counts each call, and can
// be made to fail.
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

	"github.com/elmcove/elmcove/internal/wire/elmkvapi"
)

// Fault is a way in which the stand-in fails.
type Fault string

const (
	// FaultNone lets all calls succeed.
	FaultNone Fault = "none"
	// FaultDown lets all calls fail without effect.
	FaultDown Fault = "down"
	// FaultSlow delays all calls by slowDelay.
	FaultSlow Fault = "slow"
	// FaultLost lets writes take effect and then loses their replies.
	FaultLost Fault = "lost"
)

const slowDelay = 2 * time.Second

var errFault = errors.New("fault injected")

// Counts holds the number of calls of each kind.
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

// Platform is the stand-in. It is safe for concurrent use.
type Platform struct {
	mutex     sync.Mutex
	values    map[string]entry
	leases    map[string]time.Time
	instances []elmkvapi.Instance
	listed    int64
	counts    Counts
	fault     Fault
	changed   chan struct{}
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

// Handler serves the platform's interface, and the stand-in's own below
// /control/.
func (p *Platform) Handler() http.Handler {
	server, err := elmkvapi.NewServer(p)
	if err != nil {
		panic(err) // Only invalid options are refused, and none are given.
	}
	mux := http.NewServeMux()
	mux.Handle("/", server)
	mux.HandleFunc("POST /control/fault", p.handleFault)
	mux.HandleFunc("PUT /control/instances", p.handleInstances)
	mux.HandleFunc("GET /control/counts", p.handleCounts)
	return mux
}

// SetFault chooses how the stand-in fails from now on.
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
	p.listed++
	p.notify()
}

// Counts returns the number of calls so far.
func (p *Platform) Counts() Counts {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.counts
}

// ReadValue implements elmkvapi.Handler.
func (p *Platform) ReadValue(ctx context.Context, params elmkvapi.ReadValueParams) (*elmkvapi.Value, error) {
	if err := p.delay(ctx); err != nil {
		return nil, err
	}
	deadline := time.NewTimer(time.Duration(params.Wait.Or(0)) * time.Millisecond)
	defer deadline.Stop()
	p.count(func(c *Counts) { c.Reads++ })
	for {
		value, changed := p.present(params.Key)
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

// SwapValue implements elmkvapi.Handler.
func (p *Platform) SwapValue(ctx context.Context, req *elmkvapi.Value, params elmkvapi.SwapValueParams) (elmkvapi.SwapValueRes, error) {
	if err := p.delay(ctx); err != nil {
		return nil, err
	}
	p.count(func(c *Counts) { c.Writes++ })
	value, won, err := p.swap(req.Data, params)
	if err != nil {
		return nil, err
	}
	if !won {
		conflict := elmkvapi.SwapValueConflict(*value)
		return &conflict, nil
	}
	ok := elmkvapi.SwapValueOK(*value)
	return &ok, nil
}

// GrantLease implements elmkvapi.Handler.
func (p *Platform) GrantLease(ctx context.Context, params elmkvapi.GrantLeaseParams) (*elmkvapi.Lease, error) {
	if err := p.delay(ctx); err != nil {
		return nil, err
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.counts.Leases++
	id := "lease-" + strconv.Itoa(len(p.leases)+1)
	p.leases[id] = time.Now().Add(time.Duration(params.TTL) * time.Millisecond)
	return &elmkvapi.Lease{ID: id, TTL: params.TTL}, nil
}

// RenewLease implements elmkvapi.Handler. Leases of the stand-in keep their
// first expiry.
func (p *Platform) RenewLease(ctx context.Context, params elmkvapi.RenewLeaseParams) (*elmkvapi.Lease, error) {
	if err := p.delay(ctx); err != nil {
		return nil, err
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.counts.Leases++
	left := time.Until(p.leases[params.ID])
	if left <= 0 {
		return nil, fmt.Errorf("lease %q has lapsed", params.ID)
	}
	return &elmkvapi.Lease{ID: params.ID, TTL: left.Milliseconds()}, nil
}

// ListInstances implements elmkvapi.Handler.
func (p *Platform) ListInstances(ctx context.Context, params elmkvapi.ListInstancesParams) (*elmkvapi.Roster, error) {
	if err := p.delay(ctx); err != nil {
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

func (p *Platform) delay(ctx context.Context) error {
	p.mutex.Lock()
	fault := p.fault
	p.mutex.Unlock()
	switch fault {
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

func (p *Platform) count(add func(*Counts)) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	add(&p.counts)
}

// notify wakes the calls that wait for a change.
func (p *Platform) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// roster returns the instances of some data centres, or of all.
func (p *Platform) roster(datacentres []string) (*elmkvapi.Roster, <-chan struct{}) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	roster := &elmkvapi.Roster{Version: p.listed}
	for _, i := range p.instances {
		if len(datacentres) == 0 || slices.Contains(datacentres, i.Datacentre) {
			roster.Instances = append(roster.Instances, i)
		}
	}
	return roster, p.changed
}

func (p *Platform) present(key string) (*elmkvapi.Value, <-chan struct{}) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	e := p.live(key)
	return &elmkvapi.Value{Version: e.version, Data: e.data}, p.changed
}

func (p *Platform) live(key string) entry {
	e := p.values[key]
	if !e.expires.IsZero() && time.Now().After(e.expires) {
		delete(p.values, key)
		return entry{}
	}
	return e
}

func (p *Platform) swap(data []byte, params elmkvapi.SwapValueParams) (*elmkvapi.Value, bool, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	e := p.live(params.Key)
	if e.version != params.Expect {
		return &elmkvapi.Value{Version: e.version, Data: e.data}, false, nil
	}
	e = entry{version: e.version + 1, data: data}
	if params.Lease.Set {
		e.expires = p.leases[params.Lease.Value]
	}
	p.values[params.Key] = e
	p.notify()
	if p.fault == FaultLost {
		return nil, false, errFault
	}
	return &elmkvapi.Value{Version: e.version, Data: e.data}, true, nil
}

func (p *Platform) handleFault(w http.ResponseWriter, r *http.Request) {
	fault := Fault(r.URL.Query().Get("kind"))
	switch fault {
	case FaultNone, FaultDown, FaultSlow, FaultLost:
		p.SetFault(fault)
	default:
		http.Error(w, "kind is one of none, down, slow, lost", http.StatusBadRequest)
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
	_ = json.NewEncoder(w).Encode(p.Counts()) // The caller has gone.
}
