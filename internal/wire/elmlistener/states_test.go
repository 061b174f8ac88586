package elmlistener_test

import (
	"testing"
	"time"

	"github.com/elmcove/elmcove/internal/wire/elmlistener"
)

const (
	request   = head + body
	expecting = "POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n"
	kept10    = "POST / HTTP/1.0\r\nConnection: keep-alive\r\nContent-Length: 2\r\n\r\n"
	readTime  = 50 * time.Millisecond
	pastLimit = idle + 1300*time.Millisecond // The listener adds a second.
)

// state is how far a connection has come when an event happens.
type state struct {
	// before are the segments that are sent before the event, and after is sent after it.
	before []string
	after  string
	// blocked holds the first request in its handler until the event has happened, with the
	// head of its response out if headOut is set.
	blocked, headOut bool
	// answers is the number of requests that must be answered.
	answers int
}

// event may end a connection.
type event struct {
	limit  time.Duration
	happen func(*fixture)
	// pause is the time after the event, in which the connection might be ended.
	pause time.Duration
	// kept is set if a connection without a request stays open.
	kept   bool
	reason elmlistener.EndReason
}

// Guards against a close under a request of which a byte has been read: each event in each
// state of a connection leaves whole answers and then a clean end.
func TestEventsInStates(t *testing.T) {
	t.Parallel()
	events := map[string]event{
		"idle limit": {limit: idle, happen: func(*fixture) { <-time.After(pastLimit) }, pause: pastLimit, reason: elmlistener.EndedIdle},
		"limit is lowered": {
			limit: time.Minute, happen: func(f *fixture) { f.limit.Store(int64(idle)) }, pause: readTime, kept: true, reason: elmlistener.EndedIdle,
		},
		"drain": {limit: time.Minute, happen: func(f *fixture) { f.drain(closedBy) }, pause: readTime, reason: elmlistener.EndedDraining},
		"drain is over": {
			limit: time.Minute, pause: readTime, reason: elmlistener.EndedDraining,
			happen: func(f *fixture) { <-f.drain(readTime) }, //nolint:errcheck // Some states keep the connection open.
		},
	}
	for name, s := range map[string]state{
		"nothing is read":                       {},
		"head is read in part":                  {before: []string{head[:10]}, after: head[10:] + body, answers: 1},
		"body is read in part":                  {before: []string{head + body[:1]}, after: body[1:], answers: 1},
		"request is handled":                    {before: []string{request}, blocked: true, answers: 1},
		"head of the response is out":           {before: []string{request}, blocked: true, headOut: true, answers: 1},
		"body is asked for":                     {before: []string{expecting}, after: body, answers: 1},
		"head of HTTP/1.0 is read in part":      {before: []string{kept10 + body, kept10[:10]}, after: kept10[10:] + body, blocked: true, answers: 2},
		"between two requests of HTTP/1.0":      {before: []string{kept10 + body}, answers: 1},
		"between two requests":                  {before: []string{request}, answers: 1},
		"second request is read":                {before: []string{request + request}, blocked: true, answers: 2},
		"second request follows":                {before: []string{request, request}, blocked: true, answers: 2},
		"second request is read in part":        {before: []string{request + head[:10]}, after: head[10:] + body, blocked: true, answers: 2},
		"second request is read by a few bytes": {before: []string{request + head[:2]}, after: head[2:] + body, blocked: true, answers: 2},
		"second request follows in part":        {before: []string{request, head[:10]}, after: head[10:] + body, blocked: true, answers: 2},
	} {
		for at, e := range events {
			t.Run(name+" at "+at, func(t *testing.T) {
				t.Parallel()
				s.run(t, e)
			})
		}
	}
}

// run brings a connection into the state and lets the event happen.
func (s state) run(t *testing.T, e event) {
	t.Helper()
	f := newFixture(t, func(f *fixture) {
		f.limit.Store(int64(e.limit))
		f.headOut = s.headOut
		if s.blocked {
			f.block = make(chan struct{})
		}
	})
	for _, segment := range s.before {
		f.send(segment)
		<-time.After(readTime)
	}
	answers := s.answers
	whole := s.after == "" && !s.blocked
	if whole && answers > 0 {
		f.expectAnswer()
		answers--
	}
	e.happen(f)
	if s.blocked {
		close(f.block)
	}
	if whole && !e.kept {
		f.expectEnd(e.reason)
		return
	}
	<-time.After(e.pause)
	after := s.after
	if whole { // The connection is still open for a request.
		after, answers = request, 1
	}
	f.send(after)
	for range answers {
		f.expectAnswer()
	}
	f.expectEnd(e.reason)
}
