package elmjob

import "github.com/elmcove/elmcove/internal/wire/elmwire"

// Message is an input of a Job.
type Message interface{ message() }

type (
	// Admitted reports that the endpoint has room for the job.
	Admitted struct{}
	// Denied reports that the job can't be taken.
	Denied struct{ Reason elmwire.Reason }
	// Swapped reports whether a claim record was written, and its version.
	Swapped struct {
		Won     bool
		Version int64
	}
	// StoreFailed reports that the key-value service gave no usable answer.
	StoreFailed struct{}
	// Replied reports that the endpoint has answered in full.
	Replied struct {
		Status uint32
		Media  string
		Body   []byte
	}
	// EndpointFailed reports that the endpoint failed before it had answered
	// in full.
	EndpointFailed struct{}
	// Cancelled reports that the entry no longer wants the answer.
	Cancelled struct{}
)

func (Admitted) message()       {}
func (Denied) message()         {}
func (Swapped) message()        {}
func (StoreFailed) message()    {}
func (Replied) message()        {}
func (EndpointFailed) message() {}
func (Cancelled) message()      {}
