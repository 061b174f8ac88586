package elmbelief

import (
	"time"

	"github.com/elmcove/elmcove/internal/forward/elmcatalog"
	"github.com/elmcove/elmcove/internal/forward/elmendpoint"
)

// Message is an input of a Belief.
type Message interface{ message() }

type (
	// Read reports an answer of the store, or of a neighbour that had it from
	// the store. Sent is when the read was sent, and Got when its answer came.
	// Whole means that Changes are all that there is; otherwise they follow the
	// revision known before.
	Read struct {
		Sent     time.Duration
		Got      time.Duration
		Revision int64
		Whole    bool
		Changes  []Change
	}
	// Confirmed reports that nothing has changed since a read was sent.
	Confirmed struct{ Sent time.Duration }
)

func (Read) message()      {}
func (Confirmed) message() {}

// Change is one key of the store that was written or removed.
type Change interface{ change() }

type (
	// Configured is a version of the configuration.
	Configured struct{ Catalog elmcatalog.Catalog }
	// Listed is an endpoint's entry.
	Listed struct{ Endpoint elmendpoint.Endpoint }
	// Unlisted is the removal of an endpoint's entry, or one that names no
	// endpoint to use.
	Unlisted struct{ ID string }
	// Withdrawn tells whether a data centre is to get no work.
	Withdrawn struct {
		Datacentre string
		Withdrawn  bool
	}
	// Owned is a key of the system.
	Owned struct{ Name, Value string }
	// Disowned is the removal of a key of the system.
	Disowned struct{ Name string }
)

func (Configured) change() {}
func (Listed) change()     {}
func (Unlisted) change()   {}
func (Withdrawn) change()  {}
func (Owned) change()      {}
func (Disowned) change()   {}

// Notice is a change of a belief, to be logged.
type Notice interface{ notice() }

type (
	// Adopted tells that a configuration came into force.
	Adopted struct{ Version int64 }
	// Appeared tells of a new incarnation of an endpoint.
	Appeared struct{ Endpoint elmendpoint.Endpoint }
	// Leaving tells that an endpoint takes no more work.
	Leaving struct{ Endpoint elmendpoint.Endpoint }
	// Gone tells that an endpoint's entry was removed.
	Gone struct{ Endpoint elmendpoint.Endpoint }
	// Moved tells that a data centre was withdrawn or taken back.
	Moved struct {
		Datacentre string
		Withdrawn  bool
	}
)

func (Adopted) notice()  {}
func (Appeared) notice() {}
func (Leaving) notice()  {}
func (Gone) notice()     {}
func (Moved) notice()    {}
