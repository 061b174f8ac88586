package elmjob

import "github.com/elmcove/elmcove/internal/wire/elmwire"

// Message is an input of a Job.
type Message interface{ message() }

type (
	// Admitted reports that the job has a slot at the endpoint.
	Admitted struct{}
	// Denied reports that the job was not admitted.
	Denied struct{ Reason elmwire.Reason }
	// Swapped reports whether a claim record was written, and the version of
	// the record that is stored.
	Swapped struct {
		Won     bool
		Version int64
	}
	// StoreFailed reports that the key-value service gave no usable response.
	StoreFailed struct{}
	// Replied reports that the endpoint's response is complete.
	Replied struct {
		Status uint32
		Media  string
		Body   []byte
	}
	// EndpointFailed reports that the endpoint failed before its response was
	// complete.
	EndpointFailed struct{}
	// Cancelled reports that the entry no longer needs the response.
	Cancelled struct{}
)

func (Admitted) message()       {}
func (Denied) message()         {}
func (Swapped) message()        {}
func (StoreFailed) message()    {}
func (Replied) message()        {}
func (EndpointFailed) message() {}
func (Cancelled) message()      {}
