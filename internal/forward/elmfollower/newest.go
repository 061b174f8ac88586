package elmfollower

import (
	"bytes"
	"slices"

	"github.com/elmcove/elmcove/internal/forward/elmsnapshot"
	"github.com/elmcove/elmcove/internal/observe/elmlog"
	"github.com/elmcove/elmcove/platform"
)

// newestConfig describes the newest configuration that the store is known to have. It is
// immutable.
type newestConfig struct {
	// position is where it was written, or where it was found missing.
	position elmsnapshot.Position
	// unusable means that it is missing or can't be decoded, so that an earlier one stays in force.
	unusable bool
}

// withSeen returns what is known after a configuration was seen. What was seen before a later one
// is no news.
func (n newestConfig) withSeen(position elmsnapshot.Position, unusable bool) newestConfig {
	if position.Before(n.position) {
		return n
	}
	return newestConfig{position: position, unusable: unusable}
}

// unusableRevision returns the revision of the newest configuration if it is unusable, or 0.
func (n newestConfig) unusableRevision() int64 {
	if !n.unusable {
		return 0
	}
	return n.position.Revision
}

// precedes reports whether a peer has seen a later configuration that it can't use. The revision
// of that one is 0 if there is none.
func (n newestConfig) precedes(era, revision int64) bool {
	return revision > 0 && n.position.Before(elmsnapshot.Position{Era: era, Revision: revision})
}

// nextNewest returns what is known of the newest configuration after a read with its items, of
// which the configuration in force has been adopted.
func (f *Follower) nextNewest(read elmsnapshot.Read, items []platform.Item, inForce platform.Item) newestConfig {
	next, position := f.newest, read.Position
	last, found := lastConfig(items)
	switch {
	case found:
		// A configuration from before the store's return from a copy has a revision of its own.
		position.Revision = min(last.Revision, position.Revision)
		next = next.withSeen(position, !f.covers(last, inForce))
	case read.Full:
		next = next.withSeen(position, inForce.Key != "")
	}
	if peer, ok := read.Source.(elmsnapshot.Peer); ok && next.precedes(position.Era, peer.UnusableConfig) {
		position.Revision = peer.UnusableConfig
		next = next.withSeen(position, true)
	}
	return next
}

// covers reports whether the configuration in force is a configuration of the store or a later
// version, as after the store's return from a copy.
func (f *Follower) covers(last, inForce platform.Item) bool {
	if last.Deleted || inForce.Key == "" {
		return false
	}
	if bytes.Equal(last.Value, inForce.Value) {
		return true
	}
	version, err := platform.CatalogVersion(last.Value)
	return err == nil && version <= f.document.Catalog().Version()
}

// lastConfig returns the last write or removal of the configuration among items.
func lastConfig(items []platform.Item) (platform.Item, bool) {
	for _, i := range slices.Backward(items) {
		if kind, _ := platform.ClassifyKey(i.Key); kind == platform.KeyCatalog {
			return i, true
		}
	}
	return platform.Item{}, false
}

// logNewest logs that the newest configuration can't be used, or that it can again.
func (f *Follower) logNewest(before newestConfig) {
	if f.newest.unusable == before.unusable {
		return
	}
	event := elmlog.ConfigCurrent
	if f.newest.unusable {
		event = elmlog.ConfigOutdated
	}
	f.logger.Event(event, "revision", f.newest.position.Revision, "version", f.document.Catalog().Version())
}
