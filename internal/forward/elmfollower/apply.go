package elmfollower

import (
	"bytes"
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/elmcove/elmcove/internal/forward/elmsnapshot"
	"github.com/elmcove/elmcove/internal/observe/elmclock"
	"github.com/elmcove/elmcove/internal/observe/elmlog"
	"github.com/elmcove/elmcove/platform"
)

// applyRead applies what this process has read from the store.
func (f *Follower) applyRead(sent time.Duration, position elmsnapshot.Position, items []platform.Item, full bool) {
	f.apply(elmsnapshot.Read{Sent: sent, Source: elmsnapshot.Direct{Failing: f.failedAt > 0}, Position: position, Full: full}, items)
}

// apply updates the snapshot with a read and its items. Peers may fetch the state before
// while a configuration is decoded.
func (f *Follower) apply(read elmsnapshot.Read, items []platform.Item) {
	position := read.Position
	f.store.LearnEra(position.Era)
	snapshot := f.Snapshot()
	if position.Before(snapshot.Position()) {
		return
	}
	if known := snapshot.Position().Era; snapshot.HasConfig() && position.Era > known {
		f.logger.Event(elmlog.StoreRestored, "era", position.Era, "revision", position.Revision, "known", snapshot.Position().Revision, "age", snapshot.Age(elmclock.Now()))
	}
	f.recordRead(read.Sent)
	config, changed := f.adoptConfig(items)
	newest, before := f.nextNewest(read, items, config), f.newest
	read.ConfigOutdated = newest.unusable
	read.Received, read.Changes = elmclock.Now(), f.decodeChanges(items)
	if changed {
		read.Changes = append(read.Changes, elmsnapshot.Configured{Catalog: f.document.Catalog()})
	}
	next, notices := snapshot.Update(read)
	f.mutex.Lock()
	f.updateItems(items, read.Full, config)
	f.newest = newest
	f.snapshot.Store(&next)
	f.mutex.Unlock()
	f.logNewest(before)
	for _, n := range notices {
		f.logNotice(n, next)
	}
	if len(notices) > 0 {
		f.changed()
	}
}

// recordRead records that the store has answered a read, of this process or of a peer.
func (f *Follower) recordRead(sent time.Duration) {
	if sent > f.failedAt {
		f.failedAt = 0
	}
}

// updateItems updates the items that peers may fetch. The configuration in force stays
// among them until a later one, since a store that returned from a copy may have lost it.
func (f *Follower) updateItems(items []platform.Item, full bool, config platform.Item) {
	if full {
		f.items = map[string]platform.Item{}
	}
	for _, i := range items {
		if i.Deleted {
			delete(f.items, i.Key)
			continue
		}
		f.items[i.Key] = i
	}
	delete(f.items, platform.ConfigKey)
	if config.Key != "" {
		f.items[platform.ConfigKey] = config
	}
}

// adoptConfig decodes the latest one of the configurations in items if it is later than the
// one in force. It returns the item that is in force then, and whether it is a later one.
func (f *Follower) adoptConfig(items []platform.Item) (platform.Item, bool) {
	inForce, known := f.items[platform.ConfigKey]
	list := candidates(items)
	for i, c := range list {
		switch {
		case known && bytes.Equal(c.Value, inForce.Value):
			inForce.Revision = c.Revision // The text stays the one that the document refers to.
			return inForce, false
		case known && c.version <= f.document.Catalog().Version():
			return inForce, false
		}
		started := elmclock.Now()
		next, err := f.document.Next(c.Value)
		if err == nil {
			f.document = next
			f.build = build{bytes: len(c.Value), took: elmclock.Now() - started, skipped: len(list) - 1 - i}
			return c.Item, true
		}
		if hash := xxhash.Sum64(c.Value); hash != f.refused {
			f.refused = hash
			f.logger.Event(elmlog.ConfigRefused, "revision", c.Revision, "error", err)
		}
	}
	return inForce, false
}

// build describes the decoding of the configuration in force, for the log.
type build struct {
	bytes   int
	took    time.Duration
	skipped int
}

// candidate is a configuration with its version.
type candidate struct {
	platform.Item

	version int64
}

// candidates returns the configurations in items, the latest one first. One whose version
// can't be read counts as the latest, so that it is reported.
func candidates(items []platform.Item) []candidate {
	var list []candidate
	for _, i := range slices.Backward(items) {
		if kind, _ := platform.ClassifyKey(i.Key); kind != platform.KeyCatalog || i.Deleted {
			continue
		}
		version, err := platform.CatalogVersion(i.Value)
		if err != nil {
			version = math.MaxInt64
		}
		list = append(list, candidate{Item: i, version: version})
	}
	slices.SortStableFunc(list, func(a, b candidate) int { return cmp.Compare(b.version, a.version) })
	return list
}

// decodeChanges decodes items into changes, apart from configurations. An endpoint entry
// that can't be decoded counts as absent.
func (f *Follower) decodeChanges(items []platform.Item) []elmsnapshot.Change {
	var list []elmsnapshot.Change
	for _, i := range items {
		kind, name := platform.ClassifyKey(i.Key)
		switch kind {
		case platform.KeyWithdrawn:
			list = append(list, elmsnapshot.Withdrawn{Datacentre: name, Withdrawn: !i.Deleted})
		case platform.KeyEndpoint:
			list = append(list, f.decodeEndpoint(name, i))
		case platform.KeyInternal:
			if i.Deleted {
				list = append(list, elmsnapshot.SystemKeyRemoved{Name: name})
				continue
			}
			list = append(list, elmsnapshot.SystemKeyWritten{Name: name, Value: string(i.Value)})
		}
	}
	return list
}

// decodeEndpoint returns the change for an endpoint entry.
func (f *Follower) decodeEndpoint(name string, i platform.Item) elmsnapshot.Change {
	if i.Deleted {
		return elmsnapshot.Unlisted{ID: name}
	}
	e, err := platform.DecodeEndpoint(name, i.Value)
	if err != nil {
		f.logger.Event(elmlog.EndpointUnreadable, "endpoint", name, "revision", i.Revision, "error", err)
		return elmsnapshot.Unlisted{ID: name}
	}
	return elmsnapshot.Listed{Endpoint: e}
}

// logNotice logs a change of the snapshot.
func (f *Follower) logNotice(n elmsnapshot.Notice, snapshot elmsnapshot.Snapshot) {
	revision := snapshot.Position().Revision
	switch n := n.(type) {
	case elmsnapshot.Adopted:
		changed := f.document.Changed()
		f.logger.Event(elmlog.ConfigAdopted, "version", n.Version, "revision", revision,
			"routes", changed.Routes, "services", changed.Services, "workspaces", changed.Workspaces,
			"ignored", f.document.Catalog().Ignored(), "bytes", f.build.bytes, "took", f.build.took, "skipped", f.build.skipped)
	case elmsnapshot.Appeared:
		e := n.Endpoint
		f.logger.Event(elmlog.EndpointListed, "endpoint", e.ID, "service", e.Service, "address", e.Address, "cold", e.ColdRemaining, "revision", revision)
	case elmsnapshot.Leaving:
		f.logger.Event(elmlog.EndpointLeaving, "endpoint", n.Endpoint.ID, "revision", revision)
	case elmsnapshot.Removed:
		f.logger.Event(elmlog.EndpointRemoved, "endpoint", n.Endpoint.ID, "revision", revision)
	case elmsnapshot.Kept:
		f.logger.Event(elmlog.EndpointKept, "endpoint", n.Endpoint.ID, "for", n.For, "revision", revision)
	case elmsnapshot.WithdrawalChanged:
		event := elmlog.DatacentreReturned
		if n.Withdrawn {
			event = elmlog.DatacentreWithdrawn
		}
		f.logger.Event(event, "datacentre", n.Datacentre, "revision", revision)
	}
}
