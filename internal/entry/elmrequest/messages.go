package elmrequest

import "github.com/elmcove/elmcove/internal/wire/elmwire"

// Message is an input of a Request.
type Message interface{ message() }

type (
	// Start begins the request.
	Start struct{}
	// Tallied reports the claim record that was read. Version 0 means that
	// the key-value service has no record.
	Tallied struct {
		Version int64
		Tally   *elmwire.Tally
	}
	// StoreFailed reports that a call to the key-value service failed or
	// returned invalid data.
	StoreFailed struct{}
	// Voided reports that the claim was fenced at Version, so that no
	// attempt that expects an older version can start.
	Voided struct{ Version int64 }
	// Placed reports the agent that was selected for the request. Last means
	// that it was the only candidate left.
	Placed struct {
		Agent string
		Last  bool
	}
	// Unplaced reports that no endpoint can accept the request now.
	Unplaced struct{}
	// Headed reports the status and media type of the response.
	Headed struct {
		Attempt string
		Status  uint32
		Media   string
	}
	// Data carries the next part of the response body, which has been
	// verified.
	Data struct {
		Attempt string
		Bytes   []byte
	}
	// Ended reports that the response is complete and its checksum matches.
	Ended struct{ Attempt string }
	// Refused reports that the agent refused the attempt.
	// BudgetExhausted means that the retry budget is exhausted.
	Refused struct {
		Attempt         string
		Refusal         *elmwire.Refusal
		BudgetExhausted bool
	}
	// Broken reports that the response is truncated, corrupt or lost.
	// BudgetExhausted means that the retry budget is exhausted.
	Broken struct {
		Attempt         string
		BudgetExhausted bool
	}
	// Left reports that the caller has disconnected.
	Left struct{}
	// Expired reports that the deadline of the request has passed.
	Expired struct{}
	// Thawed reports that the process resumed after a suspension during which
	// the request was waiting. The caller may have retried it at another
	// entry meanwhile.
	Thawed struct{}
)

// attemptOf returns the attempt that a message belongs to, or "" for a message
// that does not come from an agent.
func attemptOf(m Message) string {
	switch m := m.(type) {
	case Headed:
		return m.Attempt
	case Data:
		return m.Attempt
	case Ended:
		return m.Attempt
	case Refused:
		return m.Attempt
	case Broken:
		return m.Attempt
	}
	return ""
}

func (Start) message()       {}
func (Tallied) message()     {}
func (StoreFailed) message() {}
func (Voided) message()      {}
func (Placed) message()      {}
func (Unplaced) message()    {}
func (Headed) message()      {}
func (Data) message()        {}
func (Ended) message()       {}
func (Refused) message()     {}
func (Broken) message()      {}
func (Left) message()        {}
func (Expired) message()     {}
func (Thawed) message()      {}
