package elmlifecycle_test

import (
	"testing"

	"github.com/elmcove/elmcove/internal/forward/elmlifecycle"
)

type lifecycleCase struct {
	retryable  bool
	attempts   int
	messages   []elmlifecycle.Message
	want       elmlifecycle.Command
	mayHaveRun bool
}

var lifecycleCases = map[string]lifecycleCase{
	"complete response": {
		attempts: 1,
		messages: []elmlifecycle.Message{elmlifecycle.Start{}, placed("a"), elmlifecycle.HeadersReceived{}, elmlifecycle.Ended{}},
		want:     elmlifecycle.Finish{}, mayHaveRun: true,
	},
	"no endpoint available: not run": {
		attempts: 2,
		messages: []elmlifecycle.Message{elmlifecycle.Start{}, elmlifecycle.Unplaced{}},
		want:     elmlifecycle.Refuse{},
	},
	"rejected: retried elsewhere": {
		attempts: 2,
		messages: []elmlifecycle.Message{elmlifecycle.Start{}, placed("a"), elmlifecycle.Rejected{}},
		want:     elmlifecycle.Place{Tried: []string{"a"}},
	},
	"rejected everywhere: not run": {
		attempts: 2,
		messages: []elmlifecycle.Message{elmlifecycle.Start{}, placed("a"), elmlifecycle.Rejected{}, placed("b"), elmlifecycle.Rejected{}},
		want:     elmlifecycle.Refuse{},
	},
	"rejected without retry budget: not run": {
		attempts: 2,
		messages: []elmlifecycle.Message{elmlifecycle.Start{}, placed("a"), elmlifecycle.Rejected{NoRetry: true}},
		want:     elmlifecycle.Refuse{},
	},
	"lost response to a non-idempotent request": {
		attempts: 2,
		messages: []elmlifecycle.Message{elmlifecycle.Start{}, placed("a"), elmlifecycle.ResponseLost{}},
		want:     elmlifecycle.Fail{}, mayHaveRun: true,
	},
	"lost response to an idempotent request": {
		retryable: true, attempts: 2,
		messages: []elmlifecycle.Message{elmlifecycle.Start{}, placed("a"), elmlifecycle.ResponseLost{}},
		want:     elmlifecycle.Place{Tried: []string{"a"}}, mayHaveRun: true,
	},
	"lost, then no endpoint available: may have run": {
		retryable: true, attempts: 2,
		messages: []elmlifecycle.Message{elmlifecycle.Start{}, placed("a"), elmlifecycle.ResponseLost{}, elmlifecycle.Unplaced{}},
		want:     elmlifecycle.Fail{}, mayHaveRun: true,
	},
	"lost, then rejected: may have run": {
		retryable: true, attempts: 2,
		messages: []elmlifecycle.Message{elmlifecycle.Start{}, placed("a"), elmlifecycle.ResponseLost{}, placed("b"), elmlifecycle.Rejected{}},
		want:     elmlifecycle.Fail{}, mayHaveRun: true,
	},
	"deadline before it was sent: not run": {
		attempts: 1,
		messages: []elmlifecycle.Message{elmlifecycle.Start{}, elmlifecycle.Expired{}},
		want:     elmlifecycle.Refuse{},
	},
	"deadline after it was sent: may have run": {
		attempts: 1,
		messages: []elmlifecycle.Message{elmlifecycle.Start{}, placed("a"), elmlifecycle.Expired{Sent: true}},
		want:     elmlifecycle.Fail{DeadlineExceeded: true}, mayHaveRun: true,
	},
	"truncated stream is resumed": {
		retryable: true, attempts: 2,
		messages: []elmlifecycle.Message{elmlifecycle.Start{}, placed("a"), elmlifecycle.HeadersReceived{}, elmlifecycle.Truncated{Resumable: true}, placed("b")},
		want:     elmlifecycle.Send{Endpoint: "b", Resume: true}, mayHaveRun: true,
	},
	"resumed stream continues the response": {
		retryable: true, attempts: 2,
		messages: []elmlifecycle.Message{
			elmlifecycle.Start{}, placed("a"), elmlifecycle.HeadersReceived{}, elmlifecycle.Truncated{Resumable: true}, placed("b"), elmlifecycle.HeadersReceived{},
		},
		want: elmlifecycle.Relay{Resumed: true}, mayHaveRun: true,
	},
	"truncated stream without an endpoint is aborted": {
		retryable: true, attempts: 2,
		messages: []elmlifecycle.Message{
			elmlifecycle.Start{}, placed("a"), elmlifecycle.HeadersReceived{}, elmlifecycle.Truncated{Resumable: true}, elmlifecycle.Unplaced{},
		},
		want: elmlifecycle.Abort{}, mayHaveRun: true,
	},
	"truncated response that can't be resumed is aborted": {
		retryable: true, attempts: 2,
		messages: []elmlifecycle.Message{elmlifecycle.Start{}, placed("a"), elmlifecycle.HeadersReceived{}, elmlifecycle.Truncated{}},
		want:     elmlifecycle.Abort{}, mayHaveRun: true,
	},
	"caller disconnected": {
		attempts: 1,
		messages: []elmlifecycle.Message{elmlifecycle.Start{}, placed("a"), elmlifecycle.Disconnected{}},
		want:     elmlifecycle.Nothing{},
	},
	"message after the end is ignored": {
		attempts: 1,
		messages: []elmlifecycle.Message{elmlifecycle.Start{}, elmlifecycle.Unplaced{}, elmlifecycle.HeadersReceived{}},
		want:     elmlifecycle.Nothing{},
	},
}

func placed(id string) elmlifecycle.Message { return elmlifecycle.Placed{Endpoint: id} }

func sameCommand(a, b elmlifecycle.Command) bool {
	pa, okA := a.(elmlifecycle.Place)
	pb, okB := b.(elmlifecycle.Place)
	if okA && okB {
		return len(pa.Tried) == len(pb.Tried)
	}
	return !okA && !okB && a == b
}

func TestUpdate(t *testing.T) {
	for name, c := range lifecycleCases {
		t.Run(name, func(t *testing.T) {
			lifecycle := elmlifecycle.New(c.retryable, c.attempts)
			var got elmlifecycle.Command
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
	inputs := []elmlifecycle.Message{
		elmlifecycle.Unplaced{},
		elmlifecycle.Rejected{},
		elmlifecycle.Rejected{NoRetry: true},
		elmlifecycle.ResponseLost{},
		elmlifecycle.HeadersReceived{},
		elmlifecycle.Ended{},
		elmlifecycle.Truncated{},
		elmlifecycle.Expired{Sent: true},
		elmlifecycle.Disconnected{},
	}
	sequences := 0
	var explore func(l elmlifecycle.Lifecycle, command elmlifecycle.Command, mayHaveRun bool, depth int)
	explore = func(l elmlifecycle.Lifecycle, command elmlifecycle.Command, mayHaveRun bool, depth int) {
		sequences++
		switch c := command.(type) {
		case elmlifecycle.Refuse:
			if mayHaveRun {
				t.Fatal("refused as not run, though it may have run")
			}
		case elmlifecycle.Send:
			if mayHaveRun {
				t.Fatalf("sent to %s, though it may have run before", c.Endpoint)
			}
		case elmlifecycle.Place:
			if depth > 0 {
				next, send := l.Update(elmlifecycle.Placed{Endpoint: string(rune('a' + depth))})
				explore(next, send, mayHaveRun, depth-1)
			}
		}
		if depth == 0 || l.Done() {
			return
		}
		for _, m := range inputs {
			next, c := l.Update(m)
			_, broken := m.(elmlifecycle.ResponseLost)
			_, headed := m.(elmlifecycle.HeadersReceived)
			_, expired := m.(elmlifecycle.Expired)
			explore(next, c, mayHaveRun || l.State() == "sent" && (broken || headed || expired), depth-1)
		}
	}
	first, command := elmlifecycle.New(false, 3).Update(elmlifecycle.Start{})
	explore(first, command, false, 7)
	t.Logf("%d sequences", sequences)
}
