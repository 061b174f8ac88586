// Package elmstore is the client of the platform's key-value service and
// instance list.
//
// After a write whose reply was lost, the client reads the value back. The write
// took effect if the stored value is the written one at the next version. If the
// outcome is still unknown, the error is ErrUnavailable.
//
// # Usage
//
//	store, err := elmstore.New("http://127.0.0.1:9000")
//	value, err := store.Read(ctx, "config:granite")
//	result, err := store.Swap(ctx, "config:granite", value.Version, data)
package elmstore

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/elmcove/elmcove/internal/wire/elmbounded"
	"github.com/elmcove/elmcove/internal/wire/elmkvapi"
)

const (
	// callTimeout limits one call. A watch adds its wait.
	callTimeout = 500 * time.Millisecond
	// maxHeadBytes and maxBodyBytes limit each response, and budgetBytes limits the
	// bodies that are read at the same time.
	maxHeadBytes = 64 << 10
	maxBodyBytes = 16 << 20
	budgetBytes  = 8 << 20
)

// ErrUnavailable reports that the service gave no usable response. A write may
// or may not have taken effect.
var ErrUnavailable = errors.New("key-value service is unavailable")

// Value is the data of a key and its version. Version 0 means that the key does
// not exist.
type Value struct {
	Version int64
	Data    []byte
}

// Result reports whether a write took effect, and the value that is now stored.
type Result struct {
	Won   bool
	Value Value
}

// List is a version of the platform's instance list.
type List struct {
	Version   int64
	Instances []elmkvapi.Instance
}

// Store is a client of the platform. It is safe for concurrent use.
type Store struct {
	client *elmkvapi.Client

	grants singleflight.Group
	mutex  sync.Mutex
	leases map[int64]string
}

// Option configures New.
type Option func(*rosterTransport)

// WithOmitted sets a function that is called for each document in the instance list that is
// left out because it does not match the schema of an instance.
func WithOmitted(omitted func(instance string, err error)) Option {
	return func(t *rosterTransport) { t.omitted = omitted }
}

// WithBudget sets the budget for the bodies of responses, which the process may share with
// those of other clients.
func WithBudget(budget *elmbounded.Budget) Option {
	return func(t *rosterTransport) { t.next = t.next.WithBudget(budget) }
}

// New returns a client for the platform at an HTTP address.
func New(address string, options ...Option) (*Store, error) {
	bounded := elmbounded.NewTransport(&http.Transport{}, maxHeadBytes, maxBodyBytes)
	transport := rosterTransport{
		next:    bounded.WithBudget(elmbounded.NewBudget(budgetBytes)),
		omitted: func(string, error) {},
	}
	for _, option := range options {
		option(&transport)
	}
	client, err := elmkvapi.NewClient(address, elmkvapi.WithClient(&http.Client{Transport: transport}))
	if err != nil {
		return nil, fmt.Errorf("platform address %q: %w", address, err)
	}
	return &Store{client: client, leases: map[int64]string{}}, nil
}

// Read returns the value of a key.
func (s *Store) Read(ctx context.Context, key string) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.read(ctx, elmkvapi.ReadValueParams{Key: key})
}

// Watch waits until the version of a key exceeds after, or the wait is over, and
// returns the current value.
func (s *Store) Watch(ctx context.Context, key string, after int64, wait time.Duration) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	return s.read(ctx, elmkvapi.ReadValueParams{
		Key:   key,
		After: elmkvapi.NewOptInt64(after),
		Wait:  elmkvapi.NewOptInt64(wait.Milliseconds()),
	})
}

// Swap writes a value if the current version of the key is expect.
func (s *Store) Swap(ctx context.Context, key string, expect int64, data []byte) (Result, error) {
	return s.swap(ctx, key, expect, data, elmkvapi.OptString{})
}

// SwapWithLease is like Swap for a value that expires. The value is attached to a lease
// whose duration is ttl. All values of one hour, counted from the Unix epoch,
// share a lease.
func (s *Store) SwapWithLease(ctx context.Context, key string, expect int64, data []byte, hour int64, ttl time.Duration) (Result, error) {
	lease, err := s.lease(ctx, hour, ttl)
	if err != nil {
		return Result{}, err
	}
	result, err := s.swap(ctx, key, expect, data, elmkvapi.NewOptString(lease))
	if err != nil {
		s.dropLease(hour, lease)
	}
	return result, err
}

// dropLease forgets the lease of an hour, which the service may have lost.
func (s *Store) dropLease(hour int64, lease string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.leases[hour] == lease {
		delete(s.leases, hour)
	}
}

// Instances returns the instances known to the platform. The list may be out of
// date.
func (s *Store) Instances(ctx context.Context) ([]elmkvapi.Instance, error) {
	list, err := s.list(ctx, elmkvapi.ListInstancesParams{}, callTimeout)
	return list.Instances, err
}

// WatchInstances waits until the version of the list exceeds after, or the wait
// is over. It returns the instances of the given data centres, or of all if none
// is given. A list whose version is still after has no instances.
func (s *Store) WatchInstances(ctx context.Context, datacentres []string, after int64, wait time.Duration) (List, error) {
	return s.list(ctx, elmkvapi.ListInstancesParams{
		Datacentre: datacentres,
		After:      elmkvapi.NewOptInt64(after),
		Wait:       elmkvapi.NewOptInt64(wait.Milliseconds()),
	}, wait+callTimeout)
}

func (s *Store) list(ctx context.Context, params elmkvapi.ListInstancesParams, timeout time.Duration) (List, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	roster, err := s.client.ListInstances(ctx, params)
	if err != nil {
		return List{}, fmt.Errorf("%w: list instances: %w", ErrUnavailable, err)
	}
	return List{Version: roster.Version, Instances: roster.Instances}, nil
}

func (s *Store) read(ctx context.Context, params elmkvapi.ReadValueParams) (Value, error) {
	value, err := s.client.ReadValue(ctx, params)
	if err != nil {
		return Value{}, fmt.Errorf("%w: read %q: %w", ErrUnavailable, params.Key, err)
	}
	return Value{Version: value.Version, Data: value.Data}, nil
}

func (s *Store) swap(ctx context.Context, key string, expect int64, data []byte, lease elmkvapi.OptString) (Result, error) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	params := elmkvapi.SwapValueParams{Key: key, Expect: expect, Lease: lease}
	response, err := s.client.SwapValue(callCtx, &elmkvapi.Value{Data: data}, params)
	if err != nil {
		return s.resolve(ctx, key, expect, data, err)
	}
	switch r := response.(type) {
	case *elmkvapi.SwapValueOK:
		return Result{Won: true, Value: Value{Version: r.Version, Data: r.Data}}, nil
	case *elmkvapi.SwapValueConflict:
		return swapResult(Value{Version: r.Version, Data: r.Data}, expect, data), nil
	}
	return Result{}, fmt.Errorf("%w: swap %q: unexpected response", ErrUnavailable, key)
}

// resolve determines whether a write without a reply took effect. An unchanged
// version does not settle it, because the write may still arrive.
func (s *Store) resolve(ctx context.Context, key string, expect int64, data []byte, cause error) (Result, error) {
	current, err := s.Read(ctx, key)
	if err != nil {
		return Result{}, fmt.Errorf("swap %q: %w (reading back: %w)", key, cause, err)
	}
	if current.Version == expect {
		return Result{}, fmt.Errorf("%w: swap %q: %w", ErrUnavailable, key, cause)
	}
	return swapResult(current, expect, data), nil
}

// swapResult returns the result of a write from the value that is now stored.
func swapResult(current Value, expect int64, data []byte) Result {
	won := current.Version == expect+1 && bytes.Equal(current.Data, data)
	return Result{Won: won, Value: current}
}

func (s *Store) lease(ctx context.Context, hour int64, ttl time.Duration) (string, error) {
	if id, ok := s.cachedLease(hour); ok {
		return id, nil
	}
	granted := s.grants.DoChan(strconv.FormatInt(hour, 10), func() (any, error) {
		return s.grantLease(context.WithoutCancel(ctx), hour, ttl)
	})
	select {
	case result := <-granted:
		lease, _ := result.Val.(string)
		return lease, result.Err
	case <-ctx.Done():
		return "", fmt.Errorf("%w: grant lease: %w", ErrUnavailable, ctx.Err())
	}
}

// cachedLease returns the lease that the service has granted for an hour, if any.
func (s *Store) cachedLease(hour int64) (string, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	id, ok := s.leases[hour]
	return id, ok
}

// grantLease returns the lease of an hour, which it lets the service grant unless a
// concurrent call has.
func (s *Store) grantLease(ctx context.Context, hour int64, ttl time.Duration) (string, error) {
	if id, ok := s.cachedLease(hour); ok {
		return id, nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	lease, err := s.client.GrantLease(ctx, elmkvapi.GrantLeaseParams{TTL: ttl.Milliseconds()})
	if err != nil {
		return "", fmt.Errorf("%w: grant lease: %w", ErrUnavailable, err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.leases[hour] = lease.ID
	delete(s.leases, hour-2)
	return lease.ID, nil
}
