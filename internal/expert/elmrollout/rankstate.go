package elmrollout

import "github.com/elmcove/elmcove/internal/model/elmrank"

// call is the call to a rank that is in progress.
type call int

const (
	idle call = iota
	sendingOrder
	fetchingReport
	waitingToRetry
)

// rankState is the state of one rank in the current phase.
type rankState struct {
	call call
	// done means that the rank has reached the state that the phase requires.
	done bool
	// needsReport means that the next call fetches a report.
	needsReport bool
	attempts    int
	lastOutcome elmrank.Outcome
	// disarmVersion is the version to disarm in the undoing phase, or 0.
	disarmVersion int64
}
