package elmlifecycle

// Message is an input of a Lifecycle.
type Message interface{ message() }

type (
	// Start begins the request.
	Start struct{}
	// Placed reports the endpoint that was chosen for the request.
	Placed struct{ Endpoint string }
	// Unplaced reports that no endpoint can accept the request now.
	Unplaced struct{}
	// Rejected reports that the endpoint has not run the request and will not
	// run it, or that no byte of it was sent. NoRetry means that no further
	// attempt is allowed.
	Rejected struct{ NoRetry bool }
	// ResponseLost reports that the request was sent and got no usable response. NoRetry
	// means that no further attempt is allowed.
	ResponseLost struct{ NoRetry bool }
	// HeadersReceived reports that the response headers have arrived.
	HeadersReceived struct{}
	// Ended reports that the response is complete.
	Ended struct{}
	// Truncated reports that the response ended early. Resumable means that it is a
	// stream of which the caller has received only complete events. NoRetry means
	// that no further attempt is allowed.
	Truncated struct{ Resumable, NoRetry bool }
	// Expired reports that the request's deadline has passed. Sent means that the
	// request had been sent to an endpoint.
	Expired struct{ Sent bool }
	// Disconnected reports that the caller has disconnected.
	Disconnected struct{}
)

func (Start) message()           {}
func (Placed) message()          {}
func (Unplaced) message()        {}
func (Rejected) message()        {}
func (ResponseLost) message()    {}
func (HeadersReceived) message() {}
func (Ended) message()           {}
func (Truncated) message()       {}
func (Expired) message()         {}
func (Disconnected) message()    {}

// Command is an action for the router to execute.
type Command interface{ command() }

type (
	// Nothing requires no action.
	Nothing struct{}
	// Place chooses an endpoint that is not in Tried.
	Place struct{ Tried []string }
	// Send sends the request to an endpoint. Resume asks for the events after the
	// last one that the caller has received.
	Send struct {
		Endpoint string
		Resume   bool
	}
	// Relay forwards the response to the caller. Resumed means that it continues
	// an earlier response.
	Relay struct{ Resumed bool }
	// Finish ends a complete response.
	Finish struct{}
	// Abort closes the connection, so that the caller cannot mistake the partial
	// response for a complete one.
	Abort struct{}
	// Refuse answers that the request has not run and never will.
	Refuse struct{}
	// Fail answers that the request may have run. DeadlineExceeded means that its deadline
	// has passed.
	Fail struct{ DeadlineExceeded bool }
)

func (Nothing) command() {}
func (Place) command()   {}
func (Send) command()    {}
func (Relay) command()   {}
func (Finish) command()  {}
func (Abort) command()   {}
func (Refuse) command()  {}
func (Fail) command()    {}
