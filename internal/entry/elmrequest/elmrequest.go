// Package elmrequest implements the state machine by which an entry process
// handles one request of a caller: when to read its claim, when to send or
// retry it, and which outcome to report if it has no complete response.
//
// The state machine performs no I/O. Update takes a message and returns the
// next Request and the commands that the runtime executes. The transitions
// are defined in request.json.
//
// # Usage
//
//	request := elmrequest.New("r1", elmrequest.Idempotent)
//	request, commands := request.Update(elmrequest.Start{})
//	// commands is []Command{Place{}}
package elmrequest

import (
	_ "embed" // The state chart is embedded.
	"fmt"
	"slices"
	"time"

	"github.com/elmcove/elmcove/internal/state/elmchart"
	"github.com/elmcove/elmcove/internal/wire/elmwire"
)

// maxAttempts is the maximum number of agents that a request is sent to.
const maxAttempts = 4

// lastMaxWait is the maximum time that the last attempt may queue for a free
// slot at its agent.
const lastMaxWait = 700 * time.Millisecond

const stateDone = "done"

//go:embed request.json
var document []byte

var chart = elmchart.MustParse(document)

// Kind states how often a request may run.
type Kind int

const (
	// Idempotent marks a request that may run more than once.
	Idempotent Kind = iota
	// NonIdempotent marks a non-idempotent request without an idempotency key. It is
	// sent to another agent only after proof that it has not run.
	NonIdempotent
	// Keyed marks a non-idempotent request with an idempotency key, with which
	// callers may retry it through any entry.
	Keyed
)

// Outcome states whether a refused request has run.
type Outcome string

const (
	// NotRun means that the request has not run and will not run.
	NotRun Outcome = "not-run"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
)

// Cause states why a request is refused.
type Cause int

const (
	// CauseCapacity means that no endpoint could accept the request.
	CauseCapacity Cause = iota
	// CauseUnknownOutcome means that it is unknown whether the request ran.
	CauseUnknownOutcome
	// CauseKeyReused means that the idempotency key was used with another body.
	CauseKeyReused
)

// Request is the state of one request in an entry process. It is immutable.
type Request struct {
	id       string
	kind     Kind
	key      string
	digest   []byte
	state    string
	version  int64
	attempts int
	tried    []string
	tally    *elmwire.Tally
	// mayHaveRun is true once an attempt without a claim may have run.
	mayHaveRun bool
}

// New returns a request that has not started.
func New(id string, kind Kind) Request {
	return Request{id: id, kind: kind, state: chart.Initial()}
}

// WithKey returns a copy with an idempotency key and the digest of the body.
func (r Request) WithKey(key string, digest []byte) Request {
	r.key = key
	r.digest = digest
	return r
}

// ID returns the identifier of the request.
func (r Request) ID() string { return r.id }

// State returns the name of the current state.
func (r Request) State() string { return r.state }

// Done reports whether the request has ended.
func (r Request) Done() bool { return r.state == stateDone }

// Kind returns how often the request may run.
func (r Request) Kind() Kind { return r.kind }

// Attempts returns the number of agents that the request was sent to.
func (r Request) Attempts() int { return r.attempts }

// Update applies a message and returns the next state and the commands to
// execute. It ignores messages that the current state does not accept and
// messages of earlier attempts.
func (r Request) Update(m Message) (Request, []Command) {
	if attempt := attemptOf(m); attempt != "" && attempt != r.attempt() {
		return r, nil
	}
	step, ok := chart.Step(r.state, r.event(m))
	if !ok {
		return r, nil
	}
	next := r.withMessage(m)
	next.state = step.Next
	return next.commandsFor(step.Action, m)
}

// event returns the state chart's name for the message.
func (r Request) event(m Message) string {
	switch m := m.(type) {
	case Start:
		return r.suffixKeyed("start")
	case Tallied:
		return r.claimEvent(m.Tally)
	case StoreFailed:
		return "store-failed"
	case Voided:
		return r.suffixLast("void-won")
	case Placed:
		return "placed"
	case Unplaced:
		return r.suffixKeyed("unplaced")
	case Headed:
		return "headed"
	case Data:
		return "data"
	case Ended:
		return "ended"
	case Refused:
		return r.refusedEvent(m)
	case Broken:
		return r.brokenEvent(m)
	case Left:
		return r.leftEvent()
	case Expired:
		return r.suffixKeyed("expired")
	case Thawed:
		return r.thawedEvent()
	}
	return ""
}

func (r Request) suffixKeyed(event string) string {
	if r.kind == Keyed {
		return event + "-keyed"
	}
	return event
}

func (r Request) suffixLast(event string) string {
	if r.attempts >= maxAttempts {
		return event + "-last"
	}
	return event
}

func (r Request) claimEvent(t *elmwire.Tally) string {
	phase := t.GetPhase()
	switch {
	case phase == elmwire.Phase_PHASE_UNSPECIFIED, phase == elmwire.Phase_PHASE_VOID:
		return "claim-free"
	case !slices.Equal(t.GetDigest(), r.digest):
		return "claim-other-body"
	case phase == elmwire.Phase_PHASE_DONE:
		return "claim-done"
	}
	return "claim-started"
}

func (r Request) refusedEvent(m Refused) string {
	if m.Refusal.GetReason() == elmwire.Reason_REASON_CLAIMED {
		return "refused-claimed"
	}
	if m.Refusal.GetUnrun() {
		if r.attempts >= maxAttempts {
			return r.suffixKeyed("refused-unrun-last")
		}
		return "refused-unrun"
	}
	if r.retryable() && !m.BudgetExhausted {
		return "refused-run-repeatable"
	}
	return "refused-run"
}

func (r Request) brokenEvent(m Broken) string {
	if r.kind == Keyed {
		return "broken-keyed"
	}
	if r.retryable() && !m.BudgetExhausted {
		return "broken-repeatable"
	}
	return "broken"
}

func (r Request) leftEvent() string {
	if r.kind != Idempotent && (r.state == "sent" || r.state == "answering") {
		return "left-once"
	}
	return "left"
}

func (r Request) thawedEvent() string {
	if r.kind == Keyed {
		return "thawed"
	}
	return ""
}

// retryable reports whether the request may run again elsewhere after an
// attempt that may have run.
func (r Request) retryable() bool {
	return r.kind == Idempotent && r.attempts < maxAttempts
}

// withMessage returns a copy that has recorded what a message reports about the
// claim and the attempts.
func (r Request) withMessage(m Message) Request {
	switch m := m.(type) {
	case Tallied:
		r.version = m.Version
		r.tally = m.Tally
	case Voided:
		r.version = m.Version
	case Broken:
		r.mayHaveRun = r.kind != Keyed
	case Refused:
		r.mayHaveRun = r.mayHaveRun || (r.kind != Keyed && !m.Refusal.GetUnrun())
	case Placed:
		r.attempts++
		r.tried = append(slices.Clone(r.tried), m.Agent)
	}
	return r
}

// commandsFor returns the commands for an action of the state chart.
func (r Request) commandsFor(action string, m Message) (Request, []Command) {
	switch action {
	case "read":
		return r, []Command{Read{Key: r.key}}
	case "void":
		return r, []Command{Cancel{}, r.void()}
	case "place":
		return r, []Command{Place{Tried: r.tried}}
	case "send":
		placed, _ := m.(Placed)
		return r, []Command{r.send(placed)}
	case "cancel":
		return r, []Command{Cancel{}}
	case "begin":
		head, _ := m.(Headed)
		return r, []Command{Begin{Status: head.Status, Media: head.Media}}
	case "write":
		data, _ := m.(Data)
		return r, []Command{Write{Bytes: data.Bytes}}
	case "finish":
		return r, []Command{Finish{}}
	case "abort":
		return r, []Command{Abort{}}
	case "cancel-abort":
		return r, []Command{Cancel{}, Abort{}}
	case "replay":
		return r, []Command{Replay{Tally: r.tally}}
	}
	return r, r.refusal(action)
}

func (r Request) refusal(action string) []Command {
	switch action {
	case "refuse-unrun":
		return []Command{r.refuseUnrun()}
	case "refuse-unknown":
		return []Command{Refuse{Outcome: Unknown, Cause: CauseUnknownOutcome}}
	case "cancel-refuse-unknown":
		return []Command{Cancel{}, Refuse{Outcome: Unknown, Cause: CauseUnknownOutcome}}
	case "refuse-reused":
		return []Command{Refuse{Outcome: NotRun, Cause: CauseKeyReused}}
	}
	return nil
}

// refuseUnrun returns the refusal of a request whose last attempt did not run. The
// outcome is Unknown if an earlier attempt may have run.
func (r Request) refuseUnrun() Refuse {
	if r.mayHaveRun {
		return Refuse{Outcome: Unknown, Cause: CauseUnknownOutcome}
	}
	return Refuse{Outcome: NotRun, Cause: CauseCapacity}
}

func (r Request) void() Void {
	return Void{
		Key:     r.key,
		Version: r.version,
		Tally: &elmwire.Tally{
			Phase:   elmwire.Phase_PHASE_VOID,
			Attempt: r.attempt(),
			Digest:  r.digest,
		},
	}
}

func (r Request) send(m Placed) Send {
	send := Send{Agent: m.Agent, Attempt: r.attempt()}
	if m.Last || r.attempts == maxAttempts {
		send.MaxWait = lastMaxWait
	}
	if r.kind == Keyed {
		send.Claim = &elmwire.Claim{
			Key:     r.key,
			Attempt: send.Attempt,
			Version: r.version,
			Digest:  r.digest,
		}
	}
	return send
}

// attempt returns the identifier of the current attempt.
func (r Request) attempt() string {
	return fmt.Sprintf("%s/%d", r.id, r.attempts)
}
