package elmsnapshot

import (
	"time"

	"github.com/elmcove/elmcove/internal/model/elmcatalog"
	"github.com/elmcove/elmcove/internal/model/elmendpoint"
)

// Message is an input of a Snapshot.
type Message interface{ message() }

type (
	// Read reports a response of the store, or of a peer that has read the
	// store. Sent is when the read was sent, and Received when its response arrived.
	// Full means that Changes hold the complete state; otherwise they hold what
	// changed since the snapshot's position. The first read of an era is full.
	// ConfigOutdated means that the store has a newer configuration than the one in effect
	// after the read, or has none.
	Read struct {
		Sent           time.Duration
		Received       time.Duration
		Source         Source
		Position       Position
		Full           bool
		Changes        []Change
		ConfigOutdated bool
	}
	// Confirmed reports that the snapshot was still current when a read was
	// sent. ConfigOutdated is that of the read before.
	Confirmed struct {
		Sent           time.Duration
		ConfigOutdated bool
	}
)

func (Read) message()      {}
func (Confirmed) message() {}

// Source is where a Read comes from. It decides what the snapshot knows of outages of the
// store.
type Source interface{ source() }

type (
	// Direct is the store itself. Failing means that calls to it have failed since the
	// last Read.
	Direct struct{ Failing bool }
	// Peer is another process that has read the store. RelistFor is its
	// Snapshot.RelistRemaining, and UnusableConfig the revision of the newest configuration if
	// it can't use that one, or 0.
	Peer struct {
		RelistFor      time.Duration
		UnusableConfig int64
	}
)

func (Direct) source() {}
func (Peer) source()   {}

// Change is the write or removal of one key of the store.
type Change interface{ change() }

type (
	// Configured carries a version of the configuration.
	Configured struct{ Catalog elmcatalog.Catalog }
	// Listed carries an endpoint's entry.
	Listed struct{ Endpoint elmendpoint.Endpoint }
	// Unlisted reports that an endpoint's entry was removed or cannot be
	// decoded.
	Unlisted struct{ ID string }
	// Withdrawn reports whether a data centre is withdrawn.
	Withdrawn struct {
		Datacentre string
		Withdrawn  bool
	}
	// SystemKeyWritten reports that one of the system's own keys was written.
	SystemKeyWritten struct{ Name, Value string }
	// SystemKeyRemoved reports that one of the system's own keys was removed.
	SystemKeyRemoved struct{ Name string }
)

func (Configured) change()       {}
func (Listed) change()           {}
func (Unlisted) change()         {}
func (Withdrawn) change()        {}
func (SystemKeyWritten) change() {}
func (SystemKeyRemoved) change() {}

// Notice describes a change of the snapshot for the log.
type Notice interface{ notice() }

type (
	// Adopted reports that a configuration took effect.
	Adopted struct{ Version int64 }
	// Appeared reports a new incarnation of an endpoint.
	Appeared struct{ Endpoint elmendpoint.Endpoint }
	// Leaving reports that an endpoint accepts no new requests.
	Leaving struct{ Endpoint elmendpoint.Endpoint }
	// Removed reports that an endpoint's entry was removed.
	Removed struct{ Endpoint elmendpoint.Endpoint }
	// Kept reports that an endpoint's entry is missing, but may be written again within
	// a time after an outage of the store.
	Kept struct {
		Endpoint elmendpoint.Endpoint
		For      time.Duration
	}
	// WithdrawalChanged reports that a data centre was withdrawn or restored.
	WithdrawalChanged struct {
		Datacentre string
		Withdrawn  bool
	}
)

func (Adopted) notice()           {}
func (Appeared) notice()          {}
func (Leaving) notice()           {}
func (Removed) notice()           {}
func (Kept) notice()              {}
func (WithdrawalChanged) notice() {}
