package elmrollout

import "github.com/elmcove/elmcove/internal/model/elmrank"

// Message is an input of a Rollout.
type Message interface{ message() }

type (
	// OrderResult is the outcome of an order that a SendOrder command sent in phase State.
	OrderResult struct {
		State     string
		Rank      int
		Operation elmrank.Operation
		Outcome   elmrank.Outcome
	}
	// ReportResult is the report that a FetchReport command fetched in phase State. Failed
	// means that the rank has not answered, and Stale that the report may show an earlier
	// state than that at the time of the call.
	ReportResult struct {
		State  string
		Rank   int
		Report elmrank.Report
		Failed bool
		Stale  bool
	}
	// Waited means that the delay of a Wait command has passed.
	Waited struct{}
	// Expired means that the rollout has timed out.
	Expired struct{}
)

func (OrderResult) message()  {}
func (ReportResult) message() {}
func (Waited) message()       {}
func (Expired) message()      {}

// Command is a side effect that the caller of a Rollout executes.
type Command interface{ command() }

type (
	// SendOrder sends an order to a rank.
	SendOrder struct {
		State string
		Rank  int
		Order elmrank.Order
	}
	// FetchReport fetches the report of a rank.
	FetchReport struct {
		State string
		Rank  int
		// Urgent means that the group is held during the call.
		Urgent bool
	}
	// Wait requests a Waited message after a short delay.
	Wait struct{}
)

func (SendOrder) command()   {}
func (FetchReport) command() {}
func (Wait) command()        {}
