// Package elmclaim names the claim records of keyed requests and decides which
// idempotency keys are accepted.
//
// Keys are version 7 UUIDs, which bear the time of their making. A key is
// refused once it is older than MaxAge, and a claim record outlives that, so
// that a request repeated after its record has expired is refused and not run
// again.
//
// # Usage
//
//	key, err := elmclaim.Parse("north", header, time.Now())
//	record := key.Record()
package elmclaim

import (
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"
)

const (
	// MaxAge is the age up to which a key is accepted.
	MaxAge = 12 * time.Hour
	// Life is the life of a lease that claim records are bound to. A lease is
	// used for one hour, so that each record outlives MaxAge.
	Life = MaxAge + 2*time.Hour

	maxSkew = 10 * time.Minute
	version = 7
)

var (
	// ErrKey reports a key that is not a version 7 UUID.
	ErrKey = errors.New("idempotency key must be a version 7 UUID")
	// ErrAge reports a key that is too old, or from the future.
	ErrAge = errors.New("idempotency key is not from the last 12 hours")
)

// Key is the idempotency key of a workspace's request.
type Key struct {
	workspace string
	id        uuid.UUID
}

// Parse reads the key that a workspace has sent.
func Parse(workspace, text string, now time.Time) (Key, error) {
	id, err := uuid.Parse(text)
	if err != nil || id.Version() != version {
		return Key{}, fmt.Errorf("%w: got %q", ErrKey, text)
	}
	seconds, nanos := id.Time().UnixTime()
	made := time.Unix(seconds, nanos)
	if now.Sub(made) > MaxAge || made.Sub(now) > maxSkew {
		return Key{}, fmt.Errorf("%w: made at %s", ErrAge, made.UTC().Format(time.RFC3339))
	}
	return Key{workspace: workspace, id: id}, nil
}

// Record returns the name of the claim record in the key-value service.
func (k Key) Record() string {
	return "claim:" + k.workspace + ":" + k.id.String()
}

// Hour returns the hour of a time, counted from the Unix epoch.
func Hour(now time.Time) int64 {
	return now.Unix() / int64(time.Hour/time.Second)
}
