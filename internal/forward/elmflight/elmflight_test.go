package elmflight_test

import (
	"testing"

	"github.com/elmcove/elmcove/internal/forward/elmflight"
)

type flightCase struct {
	repeatable bool
	attempts   int
	messages   []elmflight.Message
	want       elmflight.Command
	exposed    bool
}

var flightCases = map[string]flightCase{
	"whole answer": {
		attempts: 1,
		messages: []elmflight.Message{elmflight.Start{}, placed("a"), elmflight.Headed{}, elmflight.Ended{}},
		want:     elmflight.Finish{}, exposed: true,
	},
	"no place is a promise": {
		attempts: 2,
		messages: []elmflight.Message{elmflight.Start{}, elmflight.Unplaced{}},
		want:     elmflight.Refuse{},
	},
	"rejected goes elsewhere": {
		attempts: 2,
		messages: []elmflight.Message{elmflight.Start{}, placed("a"), elmflight.Rejected{}},
		want:     elmflight.Place{Tried: []string{"a"}},
	},
	"rejected everywhere is a promise": {
		attempts: 2,
		messages: []elmflight.Message{elmflight.Start{}, placed("a"), elmflight.Rejected{}, placed("b"), elmflight.Rejected{}},
		want:     elmflight.Refuse{},
	},
	"rejected without budget is a promise": {
		attempts: 2,
		messages: []elmflight.Message{elmflight.Start{}, placed("a"), elmflight.Rejected{Spent: true}},
		want:     elmflight.Refuse{},
	},
	"lost answer of work that runs once": {
		attempts: 2,
		messages: []elmflight.Message{elmflight.Start{}, placed("a"), elmflight.Broken{}},
		want:     elmflight.Fail{}, exposed: true,
	},
	"lost answer of work that may repeat": {
		repeatable: true, attempts: 2,
		messages: []elmflight.Message{elmflight.Start{}, placed("a"), elmflight.Broken{}},
		want:     elmflight.Place{Tried: []string{"a"}}, exposed: true,
	},
	"lost, then no place: it may have run": {
		repeatable: true, attempts: 2,
		messages: []elmflight.Message{elmflight.Start{}, placed("a"), elmflight.Broken{}, elmflight.Unplaced{}},
		want:     elmflight.Fail{}, exposed: true,
	},
	"lost, then rejected: it may have run": {
		repeatable: true, attempts: 2,
		messages: []elmflight.Message{elmflight.Start{}, placed("a"), elmflight.Broken{}, placed("b"), elmflight.Rejected{}},
		want:     elmflight.Fail{}, exposed: true,
	},
	"time over before it was sent is a promise": {
		attempts: 1,
		messages: []elmflight.Message{elmflight.Start{}, elmflight.Expired{}},
		want:     elmflight.Refuse{},
	},
	"time over at an endpoint promises nothing": {
		attempts: 1,
		messages: []elmflight.Message{elmflight.Start{}, placed("a"), elmflight.Expired{Sent: true}},
		want:     elmflight.Fail{Late: true}, exposed: true,
	},
	"cut stream is resumed": {
		repeatable: true, attempts: 2,
		messages: []elmflight.Message{elmflight.Start{}, placed("a"), elmflight.Headed{}, elmflight.Cut{Resumable: true}, placed("b")},
		want:     elmflight.Send{Endpoint: "b", Resume: true}, exposed: true,
	},
	"cut stream that is resumed goes on": {
		repeatable: true, attempts: 2,
		messages: []elmflight.Message{
			elmflight.Start{}, placed("a"), elmflight.Headed{}, elmflight.Cut{Resumable: true}, placed("b"), elmflight.Headed{},
		},
		want: elmflight.Relay{Resumed: true}, exposed: true,
	},
	"cut stream without a place never looks whole": {
		repeatable: true, attempts: 2,
		messages: []elmflight.Message{
			elmflight.Start{}, placed("a"), elmflight.Headed{}, elmflight.Cut{Resumable: true}, elmflight.Unplaced{},
		},
		want: elmflight.Abort{}, exposed: true,
	},
	"cut answer that can't be resumed never looks whole": {
		repeatable: true, attempts: 2,
		messages: []elmflight.Message{elmflight.Start{}, placed("a"), elmflight.Headed{}, elmflight.Cut{}},
		want:     elmflight.Abort{}, exposed: true,
	},
	"caller left": {
		attempts: 1,
		messages: []elmflight.Message{elmflight.Start{}, placed("a"), elmflight.Left{}},
		want:     elmflight.Nothing{},
	},
	"late message changes nothing": {
		attempts: 1,
		messages: []elmflight.Message{elmflight.Start{}, elmflight.Unplaced{}, elmflight.Headed{}},
		want:     elmflight.Nothing{},
	},
}

func placed(id string) elmflight.Message { return elmflight.Placed{Endpoint: id} }

func same(a, b elmflight.Command) bool {
	pa, okA := a.(elmflight.Place)
	pb, okB := b.(elmflight.Place)
	if okA && okB {
		return len(pa.Tried) == len(pb.Tried)
	}
	return !okA && !okB && a == b
}

func TestUpdate(t *testing.T) {
	for name, c := range flightCases {
		t.Run(name, func(t *testing.T) {
			flight := elmflight.New(c.repeatable, c.attempts)
			var got elmflight.Command
			for _, m := range c.messages {
				flight, got = flight.Update(m)
			}
			if !same(got, c.want) {
				t.Errorf("got %#v, want %#v", got, c.want)
			}
			if flight.Exposed() != c.exposed {
				t.Errorf("exposed %v, want %v", flight.Exposed(), c.exposed)
			}
		})
	}
}

// TestNeverTwice proves over all short runs that work that runs once is sent
// again only after a rejection, and that a promise is only made if no endpoint
// can have run it.
func TestNeverTwice(t *testing.T) {
	inputs := []elmflight.Message{
		elmflight.Unplaced{},
		elmflight.Rejected{},
		elmflight.Rejected{Spent: true},
		elmflight.Broken{},
		elmflight.Headed{},
		elmflight.Ended{},
		elmflight.Cut{},
		elmflight.Expired{Sent: true},
		elmflight.Left{},
	}
	runs := 0
	var walk func(f elmflight.Flight, command elmflight.Command, mayHaveRun bool, depth int)
	walk = func(f elmflight.Flight, command elmflight.Command, mayHaveRun bool, depth int) {
		runs++
		switch c := command.(type) {
		case elmflight.Refuse:
			if mayHaveRun {
				t.Fatal("promised not to have run, though it may have")
			}
		case elmflight.Send:
			if mayHaveRun {
				t.Fatalf("sent to %s though it may have run before", c.Endpoint)
			}
		case elmflight.Place:
			if depth > 0 {
				next, send := f.Update(elmflight.Placed{Endpoint: string(rune('a' + depth))})
				walk(next, send, mayHaveRun, depth-1)
			}
		}
		if depth == 0 || f.Done() {
			return
		}
		for _, m := range inputs {
			next, c := f.Update(m)
			_, broken := m.(elmflight.Broken)
			_, headed := m.(elmflight.Headed)
			_, expired := m.(elmflight.Expired)
			walk(next, c, mayHaveRun || f.State() == "sent" && (broken || headed || expired), depth-1)
		}
	}
	first, command := elmflight.New(false, 3).Update(elmflight.Start{})
	walk(first, command, false, 7)
	t.Logf("%d runs", runs)
}
