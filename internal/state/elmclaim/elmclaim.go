// Package elmclaim validates idempotency keys and names the claim records of the
// requests that have one.
//
// Keys are version 7 UUIDs, which contain their creation time. A key is refused
// once it is older than MaxAge. A claim record outlives MaxAge, so that a request
// that is retried after its record has expired is refused and not run again.
//
// # Usage
//
//	key, err := elmclaim.Parse("north", header, time.Now())
//	record := key.RecordKey()
package elmclaim

import (
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"
)

const (
	// MaxAge is the maximum age of an accepted key.
	MaxAge = 12 * time.Hour
	// LeaseTTL is the lifetime of the leases that claim records are attached to. New
	// records are attached to a lease for one hour, so that each record outlives
	// MaxAge.
	LeaseTTL = MaxAge + 2*time.Hour

	maxClockSkew = 10 * time.Minute
	uuidVersion  = 7
)

var (
	// ErrKey reports a key that is not a version 7 UUID.
	ErrKey = errors.New("idempotency key must be a version 7 UUID")
	// ErrAge reports a key that is older than MaxAge or from the future.
	ErrAge = errors.New("idempotency key is not from the last 12 hours")
)

// Key is the idempotency key of a request in its workspace.
type Key struct {
	workspace string
	id        uuid.UUID
}

// Parse parses and validates a key that a workspace sent.
func Parse(workspace, text string, now time.Time) (Key, error) {
	id, err := uuid.Parse(text)
	if err != nil || id.Version() != uuidVersion {
		return Key{}, fmt.Errorf("%w: got %q", ErrKey, text)
	}
	seconds, nanos := id.Time().UnixTime()
	created := time.Unix(seconds, nanos)
	if now.Sub(created) > MaxAge || created.Sub(now) > maxClockSkew {
		return Key{}, fmt.Errorf("%w: made at %s", ErrAge, created.UTC().Format(time.RFC3339))
	}
	return Key{workspace: workspace, id: id}, nil
}

// RecordKey returns the key of the claim record in the key-value service.
func (k Key) RecordKey() string {
	return "claim:" + k.workspace + ":" + k.id.String()
}

// HoursSinceEpoch returns the number of whole hours from the Unix epoch to a time.
func HoursSinceEpoch(now time.Time) int64 {
	return now.Unix() / int64(time.Hour/time.Second)
}
