// Package elmjob is the state machine of one request in an agent. A job with a
// claim runs only after its claim record has been written, and no job runs twice.
//
// The state machine has no side effects. Update takes a message and returns the
// next Job and the commands that the runtime must execute. The transitions are
// defined in job.json.
//
// # Usage
//
//	job := elmjob.New("agent-1/7f", claim)
//	job, commands := job.Update(elmjob.Admitted{})
//	// commands is []Command{Swap{...}}: the claim is written before the run.
package elmjob

import (
	_ "embed" // Required by go:embed.

	"github.com/elmcove/elmcove/internal/state/elmchart"
	"github.com/elmcove/elmcove/internal/wire/elmwire"
)

const (
	// maxSwapAttempts is the maximum number of attempts to write one record.
	maxSwapAttempts = 3
	// maxReplayBytes is the size of the largest response body that is recorded
	// for replay.
	maxReplayBytes = 4096
	// retryMillis is the time after which a refused request may be retried.
	retryMillis = 200
)

//go:embed job.json
var document []byte

var chart = elmchart.MustParse(document)

// Job is the state of one request in an agent process. It is immutable.
type Job struct {
	agent         string
	claim         *elmwire.Claim
	nonIdempotent bool
	state         string
	version       int64
	swapAttempts  int
	reason        elmwire.Reason
	reply         Replied
}

// New returns a job that is neither admitted nor denied. The agent's name includes
// its incarnation. The claim is nil unless the request has an idempotency key.
func New(agent string, claim *elmwire.Claim) Job {
	return Job{agent: agent, claim: claim, version: claim.GetVersion(), state: chart.Initial()}
}

// WithNonIdempotent returns a copy for a non-idempotent request, which is not stopped while
// it runs.
func (j Job) WithNonIdempotent() Job {
	j.nonIdempotent = true
	return j
}

// State returns the name of the current state.
func (j Job) State() string { return j.state }

// Done reports whether the job has ended.
func (j Job) Done() bool { return j.state == "done" }

// Update applies a message. It ignores a message that the current state does not
// accept.
func (j Job) Update(m Message) (Job, []Command) {
	step, ok := chart.Step(j.state, j.event(m))
	if !ok {
		return j, nil
	}
	next := j.withMessage(m)
	if step.Next != j.state {
		next.swapAttempts = 0
	}
	next.state = step.Next
	return next.commandsFor(step.Action)
}

func (j Job) event(m Message) string {
	switch m := m.(type) {
	case Admitted:
		return j.suffixKeyed("admitted")
	case Denied:
		return "denied"
	case Swapped:
		if m.Won {
			return "swap-won"
		}
		return "swap-lost"
	case StoreFailed:
		if j.swapAttempts >= maxSwapAttempts {
			return "store-failed-last"
		}
		return "store-failed"
	case Replied:
		return j.suffixKeyed("replied")
	case EndpointFailed:
		return "endpoint-failed"
	case Cancelled:
		return j.cancelledEvent()
	}
	return ""
}

func (j Job) suffixKeyed(event string) string {
	if j.claim != nil {
		return event + "-keyed"
	}
	return event
}

func (j Job) cancelledEvent() string {
	if j.nonIdempotent || j.claim != nil {
		return "cancelled-once"
	}
	return "cancelled"
}

func (j Job) withMessage(m Message) Job {
	switch m := m.(type) {
	case Denied:
		j.reason = m.Reason
	case Swapped:
		j.version = m.Version
	case StoreFailed:
		j.reason = elmwire.Reason_REASON_STORE
	case Replied:
		j.reply = m
	}
	return j
}

func (j Job) commandsFor(action string) (Job, []Command) {
	switch action {
	case "claim":
		return j.swap(&elmwire.Tally{Phase: elmwire.Phase_PHASE_STARTED})
	case "record":
		return j.swap(j.record())
	case "run":
		return j, []Command{Run{}}
	case "end":
		return j, []Command{End{}}
	case "refuse-unrun":
		return j, []Command{j.refuse(j.reason, true)}
	case "refuse-claimed":
		return j, []Command{j.refuse(elmwire.Reason_REASON_CLAIMED, true)}
	case "refuse-run":
		return j, []Command{j.refuse(elmwire.Reason_REASON_ENDPOINT, false)}
	}
	return j, nil
}

// record returns the claim record of the finished request. It includes the
// response body unless that exceeds maxReplayBytes.
func (j Job) record() *elmwire.Tally {
	tally := &elmwire.Tally{
		Phase:  elmwire.Phase_PHASE_DONE,
		Status: j.reply.Status,
		Media:  j.reply.Media,
	}
	if len(j.reply.Body) <= maxReplayBytes {
		tally.Body = j.reply.Body
		tally.Kept = true
	}
	return tally
}

func (j Job) swap(tally *elmwire.Tally) (Job, []Command) {
	j.swapAttempts++
	tally.Attempt = j.claim.GetAttempt()
	tally.Agent = j.agent
	tally.Digest = j.claim.GetDigest()
	return j, []Command{Swap{Key: j.claim.GetKey(), Version: j.version, Tally: tally}}
}

func (j Job) refuse(reason elmwire.Reason, unrun bool) Refuse {
	return Refuse{Refusal: &elmwire.Refusal{Reason: reason, Unrun: unrun, RetryMs: retryMillis}}
}
