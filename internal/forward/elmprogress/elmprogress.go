// Package elmprogress holds what an entry knows of the state of one service: whether its
// group makes progress, whether it is broken, and whether it stands still.
//
// The package does no input or output.
//
// # Usage
//
//	state := elmprogress.New()
//	state.Begin(now)
//	state.RecordProgress(now)
//	if state.IsStalled(now) { ... }
package elmprogress

import "time"

const (
	// progressWindow is how recently an endpoint must have made progress for its
	// service to count as alive. It is shorter than the time for which the ranks of
	// a broken group stall.
	progressWindow = time.Second
	// BrokenTTL is the time after which a broken group is tried again if no report
	// says that it is open.
	BrokenTTL = 2 * time.Second
	// stallWindow is the time without progress after which a group counts as stalled. It
	// is several times the longest pass, and shorter than callers wait for an event.
	stallWindow = 1200 * time.Millisecond
	// stallProbes is the number of requests that a stalled group may have from an entry,
	// which show that it makes progress again.
	stallProbes = 2
	// interruption is the time without progress after which a service counts as having begun
	// anew. It is several times the longest pass, and half of the silence for which streams
	// leave an endpoint.
	interruption = 500 * time.Millisecond
)

// State is the state of a service. It is not safe for concurrent use.
type State struct {
	// brokenSetAt is when isBroken was last set.
	brokenSetAt time.Duration
	isBroken    bool
	// progressAt is when an endpoint last made progress, and steadySince when one did first
	// after the last interruption.
	progressAt  time.Duration
	steadySince time.Duration
	hasProgress bool
	// open is the number of this entry's requests, and openSince when it was last 0.
	open      int
	openSince time.Duration
}

// New returns the state of a service that has had no request yet.
func New() *State { return &State{} }

// Begin counts one more request.
func (s *State) Begin(now time.Duration) {
	if s.open == 0 {
		s.openSince = now
	}
	s.open++
}

// End counts one request less.
func (s *State) End() { s.open-- }

// IsStalled reports whether a service that has made progress before has had requests from
// this entry for stallWindow without any. A group can report that it is open and be held by
// a planner that has crashed.
func (s *State) IsStalled(now time.Duration) bool {
	return s.hasProgress && s.open >= stallProbes && now-max(s.openSince, s.progressAt) >= stallWindow
}

// SetBroken sets whether the group of the service is broken, and reports whether that
// changed.
func (s *State) SetBroken(broken bool, now time.Duration) bool {
	changed := s.isBroken != broken
	s.isBroken, s.brokenSetAt = broken, now
	return changed
}

// IsBroken reports whether the group of the service is known to be broken.
func (s *State) IsBroken(now time.Duration) bool { return s.isBroken && now-s.brokenSetAt < BrokenTTL }

// RecordProgress records that an endpoint has made progress, such as an event of a stream.
func (s *State) RecordProgress(now time.Duration) {
	if !s.hasProgress || now-s.progressAt >= interruption {
		s.steadySince = now
	}
	s.progressAt, s.hasProgress = now, true
}

// ProgressSince returns how long after a time the service has made progress without an
// interruption. After an interruption its endpoints need not go on at the same time.
func (s *State) ProgressSince(since time.Duration) time.Duration {
	return s.progressAt - max(s.steadySince, since)
}

// HasProgress reports whether an endpoint of the service has made progress lately.
func (s *State) HasProgress(now time.Duration) bool {
	return s.hasProgress && now-s.progressAt < progressWindow
}
