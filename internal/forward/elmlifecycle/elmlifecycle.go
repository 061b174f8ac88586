// Package elmlifecycle implements the lifecycle of one request in the router: when to
// choose an endpoint, when to retry at another one, and what to report to the
// caller of a request without a complete response.
//
// The package does no input or output. Update takes a message and returns the next
// Lifecycle and the command for the router to execute; the result of the command is
// the next message. The transitions are defined in flight.json.
//
// # Usage
//
//	lifecycle := elmlifecycle.New(route.Retryable(), route.Attempts)
//	lifecycle, command := lifecycle.Update(elmlifecycle.Start{})
//	// command is Place{}
package elmlifecycle

import (
	_ "embed" // The state chart is embedded.
	"slices"

	"github.com/elmcove/elmcove/internal/state/elmchart"
)

const stateDone = "done"

//go:embed flight.json
var chartJSON []byte

var chart = elmchart.MustParse(chartJSON)

// Lifecycle is the lifecycle state of one request in the router. It is immutable.
type Lifecycle struct {
	state     string
	retryable bool
	attempts  int
	tried     []string
	// mayHaveRun means that an endpoint may have run the request.
	mayHaveRun bool
}

// New returns the lifecycle of a request that has not started. Retryable requests,
// which are the idempotent ones and resumable streams, may run more than once;
// attempts is the maximum number of endpoints that the request is sent to.
func New(retryable bool, attempts int) Lifecycle {
	return Lifecycle{state: chart.Initial(), retryable: retryable, attempts: attempts}
}

// Done reports whether the request has ended.
func (l Lifecycle) Done() bool { return l.state == stateDone }

// State returns the name of the current state.
func (l Lifecycle) State() string { return l.state }

// Tried returns the endpoints that the request was sent to.
func (l Lifecycle) Tried() []string { return l.tried }

// MayHaveRun reports whether an endpoint may have run the request.
func (l Lifecycle) MayHaveRun() bool { return l.mayHaveRun }

// Update applies a message. A message that the current state does not accept is
// ignored.
func (l Lifecycle) Update(m Message) (Lifecycle, Command) {
	step, ok := chart.Step(l.state, l.event(m))
	if !ok {
		return l, Nothing{}
	}
	l.state = step.Next
	switch m := m.(type) {
	case Placed:
		l.tried = append(slices.Clone(l.tried), m.Endpoint)
	case ResponseLost, HeadersReceived:
		l.mayHaveRun = true
	case Expired:
		l.mayHaveRun = l.mayHaveRun || m.Sent
	}
	return l, l.command(step.Action)
}

func (l Lifecycle) event(m Message) string {
	switch m := m.(type) {
	case Start:
		return "start"
	case Placed:
		return "placed"
	case Unplaced:
		return "unplaced"
	case Rejected:
		if m.NoRetry || len(l.tried) >= l.attempts {
			return "rejected-last"
		}
		return "rejected"
	case ResponseLost:
		if l.retryable && !m.NoRetry && len(l.tried) < l.attempts {
			return "broken-repeatable"
		}
		return "broken"
	case HeadersReceived:
		return "headed"
	case Ended:
		return "ended"
	case Truncated:
		if m.Resumable && !m.NoRetry && len(l.tried) < l.attempts {
			return "cut-resumable"
		}
		return "cut"
	case Expired:
		return "expired"
	case Disconnected:
		return "left"
	}
	return ""
}

func (l Lifecycle) command(action string) Command {
	switch action {
	case "place":
		return Place{Tried: l.tried}
	case "send":
		return Send{Endpoint: l.tried[len(l.tried)-1]}
	case "resume":
		return Send{Endpoint: l.tried[len(l.tried)-1], Resume: true}
	case "begin":
		return Relay{}
	case "continue":
		return Relay{Resumed: true}
	case "refuse":
		if l.mayHaveRun {
			return Fail{}
		}
		return Refuse{}
	case "fail":
		return Fail{}
	case "expire":
		return Fail{DeadlineExceeded: true}
	case "finish":
		return Finish{}
	case "abort":
		return Abort{}
	}
	return Nothing{}
}
