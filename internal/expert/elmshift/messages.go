package elmshift

import "github.com/elmcove/elmcove/internal/expert/elmrank"

// Message is an input of a Shift.
type Message interface{ message() }

type (
	// Answered reports the outcome of an order that was sent in a phase.
	Answered struct {
		State     string
		Rank      int
		Operation elmrank.Operation
		Outcome   elmrank.Outcome
	}
	// Reported carries a rank's report that was asked for in a phase. Failed
	// means that there was no answer.
	Reported struct {
		State  string
		Rank   int
		Report elmrank.Report
		Failed bool
	}
	// Waited reports that a Wait is over.
	Waited struct{}
	// Expired reports that the time for the change is over.
	Expired struct{}
)

func (Answered) message() {}
func (Reported) message() {}
func (Waited) message()   {}
func (Expired) message()  {}

// Command is an effect that a runtime carries out for a Shift.
type Command interface{ command() }

type (
	// Send gives an order to a rank.
	Send struct {
		State string
		Rank  int
		Order elmrank.Order
	}
	// Ask asks a rank for its report.
	Ask struct {
		State string
		Rank  int
		// Urgent means that the group may be waiting for the answer.
		Urgent bool
	}
	// Wait asks for a Waited after a short time.
	Wait struct{}
)

func (Send) command() {}
func (Ask) command()  {}
func (Wait) command() {}
