package elmflight_test

import (
	"testing"

	"github.com/elmcove/elmcove/internal/forward/elmflight"
)

type lifecycleCase struct {
	retryable  bool
	attempts   int
	messages   []elmflight.Message
	want       elmflight.Command
	mayHaveRun bool
}

var lifecycleCases = map[string]lifecycleCase{
	"complete response": {
		attempts: 1,
		messages: []elmflight.Message{elmflight.Start{}, placed("a"), elmflight.HeadersReceived{}, elmflight.Ended{}},
		want:     elmflight.Finish{}, mayHaveRun: true,
	},
	"no endpoint available: not run": {
		attempts: 2,
		messages: []elmflight.Message{elmflight.Start{}, elmflight.Unplaced{}},
		want:     elmflight.Refuse{},
	},
	"rejected: retried elsewhere": {
		attempts: 2,
		messages: []elmflight.Message{elmflight.Start{}, placed("a"), elmflight.Rejected{}},
		want:     elmflight.Place{Tried: []string{"a"}},
	},
	"rejected everywhere: not run": {
		attempts: 2,
		messages: []elmflight.Message{elmflight.Start{}, placed("a"), elmflight.Rejected{}, placed("b"), elmflight.Rejected{}},
		want:     elmflight.Refuse{},
	},
	"rejected without retry budget: not run": {
		attempts: 2,
		messages: []elmflight.Message{elmflight.Start{}, placed("a"), elmflight.Rejected{NoRetry: true}},
		want:     elmflight.Refuse{},
	},
	"lost response to a non-idempotent request": {
		attempts: 2,
		messages: []elmflight.Message{elmflight.Start{}, placed("a"), elmflight.ResponseLost{}},
		want:     elmflight.Fail{}, mayHaveRun: true,
	},
	"lost response to an idempotent request": {
		retryable: true, attempts: 2,
		messages: []elmflight.Message{elmflight.Start{}, placed("a"), elmflight.ResponseLost{}},
		want:     elmflight.Place{Tried: []string{"a"}}, mayHaveRun: true,
	},
	"lost, then no endpoint available: may have run": {
		retryable: true, attempts: 2,
		messages: []elmflight.Message{elmflight.Start{}, placed("a"), elmflight.ResponseLost{}, elmflight.Unplaced{}},
		want:     elmflight.Fail{}, mayHaveRun: true,
	},
	"lost, then rejected: may have run": {
		retryable: true, attempts: 2,
		messages: []elmflight.Message{elmflight.Start{}, placed("a"), elmflight.ResponseLost{}, placed("b"), elmflight.Rejected{}},
		want:     elmflight.Fail{}, mayHaveRun: true,
	},
	"deadline before it was sent: not run": {
		attempts: 1,
		messages: []elmflight.Message{elmflight.Start{}, elmflight.Expired{}},
		want:     elmflight.Refuse{},
	},
	"deadline after it was sent: may have run": {
		attempts: 1,
		messages: []elmflight.Message{elmflight.Start{}, placed("a"), elmflight.Expired{Sent: true}},
		want:     elmflight.Fail{DeadlineExceeded: true}, mayHaveRun: true,
	},
	"truncated stream is resumed": {
		retryable: true, attempts: 2,
		messages: []elmflight.Message{elmflight.Start{}, placed("a"), elmflight.HeadersReceived{}, elmflight.Truncated{Resumable: true}, placed("b")},
		want:     elmflight.Send{Endpoint: "b", Resume: true}, mayHaveRun: true,
	},
	"resumed stream continues the response": {
		retryable: true, attempts: 2,
		messages: []elmflight.Message{
			elmflight.Start{}, placed("a"), elmflight.HeadersReceived{}, elmflight.Truncated{Resumable: true}, placed("b"), elmflight.HeadersReceived{},
		},
		want: elmflight.Relay{Resumed: true}, mayHaveRun: true,
	},
	"truncated stream without an endpoint is aborted": {
		retryable: true, attempts: 2,
		messages: []elmflight.Message{
			elmflight.Start{}, placed("a"), elmflight.HeadersReceived{}, elmflight.Truncated{Resumable: true}, elmflight.Unplaced{},
		},
		want: elmflight.Abort{}, mayHaveRun: true,
	},
	"truncated response that can't be resumed is aborted": {
		retryable: true, attempts: 2,
		messages: []elmflight.Message{elmflight.Start{}, placed("a"), elmflight.HeadersReceived{}, elmflight.Truncated{}},
		want:     elmflight.Abort{}, mayHaveRun: true,
	},
	"caller disconnected": {
		attempts: 1,
		messages: []elmflight.Message{elmflight.Start{}, placed("a"), elmflight.Disconnected{}},
		want:     elmflight.Nothing{},
	},
	"message after the end is ignored": {
		attempts: 1,
		messages: []elmflight.Message{elmflight.Start{}, elmflight.Unplaced{}, elmflight.HeadersReceived{}},
		want:     elmflight.Nothing{},
	},
}

func placed(id string) elmflight.Message { return elmflight.Placed{Endpoint: id} }

func sameCommand(a, b elmflight.Command) bool {
	pa, okA := a.(elmflight.Place)
	pb, okB := b.(elmflight.Place)
	if okA && okB {
		return len(pa.Tried) == len(pb.Tried)
	}
	return !okA && !okB && a == b
}

func TestUpdate(t *testing.T) {
	for name, c := range lifecycleCases {
		t.Run(name, func(t *testing.T) {
			lifecycle := elmflight.New(c.retryable, c.attempts)
			var got elmflight.Command
			for _, m := range c.messages {
				lifecycle, got = lifecycle.Update(m)
			}
			if !sameCommand(got, c.want) {
				t.Errorf("got %#v, want %#v", got, c.want)
			}
			if lifecycle.MayHaveRun() != c.mayHaveRun {
				t.Errorf("may have run %v, want %v", lifecycle.MayHaveRun(), c.mayHaveRun)
			}
		})
	}
}

// TestNeverTwice checks all message sequences of a non-idempotent request up to a
// fixed depth: it is sent again only after a rejection, and it is refused as not run
// only if no endpoint can have run it.
func TestNeverTwice(t *testing.T) {
	inputs := []elmflight.Message{
		elmflight.Unplaced{},
		elmflight.Rejected{},
		elmflight.Rejected{NoRetry: true},
		elmflight.ResponseLost{},
		elmflight.HeadersReceived{},
		elmflight.Ended{},
		elmflight.Truncated{},
		elmflight.Expired{Sent: true},
		elmflight.Disconnected{},
	}
	sequences := 0
	var explore func(l elmflight.Lifecycle, command elmflight.Command, mayHaveRun bool, depth int)
	explore = func(l elmflight.Lifecycle, command elmflight.Command, mayHaveRun bool, depth int) {
		sequences++
		switch c := command.(type) {
		case elmflight.Refuse:
			if mayHaveRun {
				t.Fatal("refused as not run, though it may have run")
			}
		case elmflight.Send:
			if mayHaveRun {
				t.Fatalf("sent to %s, though it may have run before", c.Endpoint)
			}
		case elmflight.Place:
			if depth > 0 {
				next, send := l.Update(elmflight.Placed{Endpoint: string(rune('a' + depth))})
				explore(next, send, mayHaveRun, depth-1)
			}
		}
		if depth == 0 || l.Done() {
			return
		}
		for _, m := range inputs {
			next, c := l.Update(m)
			_, broken := m.(elmflight.ResponseLost)
			_, headed := m.(elmflight.HeadersReceived)
			_, expired := m.(elmflight.Expired)
			explore(next, c, mayHaveRun || l.State() == "sent" && (broken || headed || expired), depth-1)
		}
	}
	first, command := elmflight.New(false, 3).Update(elmflight.Start{})
	explore(first, command, false, 7)
	t.Logf("%d sequences", sequences)
}
