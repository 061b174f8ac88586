package elmflight

// Message is an input of a Flight.
type Message interface{ message() }

type (
	// Start begins the request.
	Start struct{}
	// Placed names the endpoint that the request goes to.
	Placed struct{ Endpoint string }
	// Unplaced reports that no endpoint can take the request now.
	Unplaced struct{}
	// Rejected reports that the endpoint has not run the request and won't, or
	// that no byte of it was sent. Spent means that it may not be sent again.
	Rejected struct{ Spent bool }
	// Broken reports that the request was sent and has no usable answer.
	Broken struct{ Spent bool }
	// Headed reports the head of the answer to pass on.
	Headed struct{}
	// Ended reports that the answer is whole.
	Ended struct{}
	// Cut reports that the answer ended early. Resumable means that it is a
	// stream of which the caller has whole events only.
	Cut struct{ Resumable, Spent bool }
	// Expired reports that the request's time is over. Sent means that an
	// endpoint has it.
	Expired struct{ Sent bool }
	// Left reports that the caller has gone.
	Left struct{}
)

func (Start) message()    {}
func (Placed) message()   {}
func (Unplaced) message() {}
func (Rejected) message() {}
func (Broken) message()   {}
func (Headed) message()   {}
func (Ended) message()    {}
func (Cut) message()      {}
func (Expired) message()  {}
func (Left) message()     {}

// Command is an effect that the router carries out.
type Command interface{ command() }

type (
	// Nothing is to be done.
	Nothing struct{}
	// Place asks for an endpoint other than those in Tried.
	Place struct{ Tried []string }
	// Send passes the request to an endpoint. Resume asks for the events that
	// follow the last one that the caller has.
	Send struct {
		Endpoint string
		Resume   bool
	}
	// Relay passes the answer on. Resumed answers go on where the last ended.
	Relay struct{ Resumed bool }
	// Finish ends a whole answer.
	Finish struct{}
	// Abort ends the connection, so that the caller can't take the answer for
	// a whole one.
	Abort struct{}
	// Refuse promises that the request has not run and never will.
	Refuse struct{}
	// Fail tells the caller that the request may have run. Late means that its
	// time is over.
	Fail struct{ Late bool }
)

func (Nothing) command() {}
func (Place) command()   {}
func (Send) command()    {}
func (Relay) command()   {}
func (Finish) command()  {}
func (Abort) command()   {}
func (Refuse) command()  {}
func (Fail) command()    {}
