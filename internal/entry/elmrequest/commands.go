package elmrequest

import (
	"time"

	"github.com/elmcove/elmcove/internal/wire/elmwire"
)

// Command is an effect that the runtime executes for a Request.
type Command interface{ command() }

type (
	// Read reads the claim record of the request's key.
	Read struct{ Key string }
	// Void fences the claim: it writes the void record Tally if the stored
	// version is still Version.
	Void struct {
		Key     string
		Version int64
		Tally   *elmwire.Tally
	}
	// Place selects an agent that is not in Tried.
	Place struct{ Tried []string }
	// Send sends the request to an agent, where it may queue for a free slot
	// for at most MaxWait. Claim is nil unless the request has an
	// idempotency key.
	Send struct {
		Agent   string
		Attempt string
		MaxWait time.Duration
		Claim   *elmwire.Claim
	}
	// Cancel cancels the current attempt at the agent.
	Cancel struct{}
	// Begin sets the status and media type of the response to the caller.
	Begin struct {
		Status uint32
		Media  string
	}
	// Write sends a part of the response body to the caller.
	Write struct{ Bytes []byte }
	// Finish completes the response.
	Finish struct{}
	// Abort ends a partial response so that the caller can detect that it is
	// incomplete.
	Abort struct{}
	// Refuse answers the caller with an error.
	Refuse struct {
		Outcome Outcome
		Cause   Cause
	}
	// Replay sends the response that an earlier attempt recorded in Tally.
	Replay struct{ Tally *elmwire.Tally }
)

func (Read) command()   {}
func (Void) command()   {}
func (Place) command()  {}
func (Send) command()   {}
func (Cancel) command() {}
func (Begin) command()  {}
func (Write) command()  {}
func (Finish) command() {}
func (Abort) command()  {}
func (Refuse) command() {}
func (Replay) command() {}
