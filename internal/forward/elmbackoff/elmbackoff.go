// Package elmbackoff keeps what endpoints announced in their responses: that they are
// leaving, or that they want no requests for some time. An announcement holds for one
// incarnation of an endpoint, whatever the platform's store says of it.
//
// # Usage
//
//	list := elmbackoff.New()
//	changed := list.SetLeaving("e-1", started)
//	verdict := list.Check("e-1", started, inFlight, now)
package elmbackoff

import (
	"time"

	"github.com/elmcove/elmcove/internal/limit/elmabsence"
)

// Verdict tells whether an endpoint may receive a request.
type Verdict int

const (
	// Allowed means that nothing speaks against a request.
	Allowed Verdict = iota
	// Leaving means that the endpoint accepts no more requests.
	Leaving
	// Paused means that the endpoint wants no requests until its pause ends.
	Paused
	// Recovering means that the pause has ended, and that the one request that tests
	// the endpoint has no response yet.
	Recovering
)

// List holds the announcements of endpoints. It is not safe for concurrent use.
type List struct {
	records map[string]record
}

// record holds the announcements of one incarnation of an endpoint.
type record struct {
	// started is the time at which the incarnation started, in Unix milliseconds.
	started     int64
	leaving     bool
	pausedUntil time.Duration
	// recovering is set from the begin of a pause until a request was served after it.
	recovering bool
	absence    elmabsence.Absence
}

// New returns an empty List.
func New() *List { return &List{records: map[string]record{}} }

// IsEmpty reports whether there are no announcements.
func (l *List) IsEmpty() bool { return len(l.records) == 0 }

// SetLeaving records that an incarnation is leaving, and reports whether that is new.
func (l *List) SetLeaving(id string, started int64) bool {
	r, current := l.record(id, started)
	if !current || r.leaving {
		return false
	}
	r.leaving = true
	l.records[id] = r
	return true
}

// SetPause records that an incarnation wants no requests until a time, and reports
// whether it was not paused before. A pause is never shortened.
func (l *List) SetPause(id string, started int64, until, now time.Duration) bool {
	r, current := l.record(id, started)
	if !current || until <= max(r.pausedUntil, now) {
		return false
	}
	begins := now >= r.pausedUntil
	r.pausedUntil, r.recovering = until, true
	l.records[id] = r
	return begins
}

// Served records that an endpoint has run a request that was sent at a time, and
// reports whether that ends its recovery from a pause.
func (l *List) Served(id string, sentAt time.Duration) bool {
	r, ok := l.records[id]
	if !ok || !r.recovering || sentAt < r.pausedUntil {
		return false
	}
	r.recovering = false
	l.records[id] = r
	return true
}

// Check tells whether an incarnation may receive a request while it has a number of
// requests in flight.
func (l *List) Check(id string, started int64, inFlight int, now time.Duration) Verdict {
	r, ok := l.records[id]
	switch {
	case !ok || started > r.started:
		return Allowed
	case r.leaving:
		return Leaving
	case now < r.pausedUntil:
		return Paused
	case r.recovering && inFlight > 0:
		return Recovering
	}
	return Allowed
}

// PausedUntil returns when the pause of an endpoint ends, or 0.
func (l *List) PausedUntil(id string) time.Duration { return l.records[id].pausedUntil }

// Forget drops the records of endpoints that have not been listed for a long time.
func (l *List) Forget(listed func(id string) bool, now time.Duration) {
	for id, r := range l.records {
		if r.absence = r.absence.Update(listed(id), now); r.absence.Long(now) {
			delete(l.records, id)
			continue
		}
		l.records[id] = r
	}
}

// record returns the record of an incarnation. It reports false if a later incarnation
// is known.
func (l *List) record(id string, started int64) (record, bool) {
	r, ok := l.records[id]
	if !ok || started > r.started {
		return record{started: started}, true
	}
	return r, started == r.started
}
