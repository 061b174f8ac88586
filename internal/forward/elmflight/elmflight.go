// Package elmflight decides how the router handles one request: when to place
// it, when to send it to another endpoint, and what may be said of one that has
// no whole answer.
//
// The decisions are pure. Update takes a message and returns the next Flight and
// the command that the router carries out; its result is the next message. The
// transitions are kept in flight.json.
//
// # Usage
//
//	flight := elmflight.New(route.Repeats(), route.Attempts)
//	flight, command := flight.Update(elmflight.Start{})
//	// command is Place{}
package elmflight

import (
	_ "embed" // The state chart is embedded.
	"slices"

	"github.com/elmcove/elmcove/internal/state/elmchart"
)

const stateDone = "done"

//go:embed flight.json
var document []byte

var chart = elmchart.MustParse(document)

// Flight is the state of one request in the router. It is immutable.
type Flight struct {
	state      string
	repeatable bool
	attempts   int
	tried      []string
	// exposed means that an endpoint may have run the request.
	exposed bool
}

// New returns a request that has not started. Repeatable requests may run more
// than once; attempts bounds the endpoints that it is sent to.
func New(repeatable bool, attempts int) Flight {
	return Flight{state: chart.Initial(), repeatable: repeatable, attempts: attempts}
}

// Done reports whether the request has ended.
func (f Flight) Done() bool { return f.state == stateDone }

// State returns the name of the present state.
func (f Flight) State() string { return f.state }

// Tried returns the endpoints that the request was sent to.
func (f Flight) Tried() []string { return f.tried }

// Exposed reports whether an endpoint may have run the request.
func (f Flight) Exposed() bool { return f.exposed }

// Update applies a message. A message that the present state does not accept
// changes nothing.
func (f Flight) Update(m Message) (Flight, Command) {
	step, ok := chart.Step(f.state, f.event(m))
	if !ok {
		return f, Nothing{}
	}
	f.state = step.Next
	switch m := m.(type) {
	case Placed:
		f.tried = append(slices.Clone(f.tried), m.Endpoint)
	case Broken, Headed:
		f.exposed = true
	case Expired:
		f.exposed = f.exposed || m.Sent
	}
	return f, f.command(step.Action)
}

func (f Flight) event(m Message) string {
	switch m := m.(type) {
	case Start:
		return "start"
	case Placed:
		return "placed"
	case Unplaced:
		return "unplaced"
	case Rejected:
		if m.Spent || len(f.tried) >= f.attempts {
			return "rejected-last"
		}
		return "rejected"
	case Broken:
		if f.repeatable && !m.Spent && len(f.tried) < f.attempts {
			return "broken-repeatable"
		}
		return "broken"
	case Headed:
		return "headed"
	case Ended:
		return "ended"
	case Cut:
		if m.Resumable && !m.Spent && len(f.tried) < f.attempts {
			return "cut-resumable"
		}
		return "cut"
	case Expired:
		return "expired"
	case Left:
		return "left"
	}
	return ""
}

func (f Flight) command(action string) Command {
	switch action {
	case "place":
		return Place{Tried: f.tried}
	case "send":
		return Send{Endpoint: f.tried[len(f.tried)-1]}
	case "resume":
		return Send{Endpoint: f.tried[len(f.tried)-1], Resume: true}
	case "begin":
		return Relay{}
	case "continue":
		return Relay{Resumed: true}
	case "refuse":
		if f.exposed {
			return Fail{}
		}
		return Refuse{}
	case "fail":
		return Fail{}
	case "expire":
		return Fail{Late: true}
	case "finish":
		return Finish{}
	case "abort":
		return Abort{}
	}
	return Nothing{}
}
