package elmfollower

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/elmcove/elmcove/internal/forward/elmsnapshot"
	"github.com/elmcove/elmcove/internal/observe/elmclock"
	"github.com/elmcove/elmcove/internal/observe/elmlog"
	"github.com/elmcove/elmcove/internal/wire/elmpeer"
	"github.com/elmcove/elmcove/platform"
)

// readShared applies what another entry has read. It returns false if there is no
// such entry, if its snapshot is too old, however new that of this process is, or if it can't use
// a configuration that this process may be able to use; this process then reads the store itself.
func (f *Follower) readShared(ctx context.Context) bool {
	before := f.Snapshot()
	if !before.HasConfig() {
		return false
	}
	started := elmclock.Now()
	s, ok := f.reader(ctx, before.Position())
	if !ok || positionOf(s).Before(before.Position()) || f.newest.precedes(s.GetEra(), s.GetUnusableConfig()) {
		return false
	}
	sent := started - time.Duration(s.GetAgeMs())*time.Millisecond
	if sent > before.Sent() {
		f.applyPeerSnapshot(s, sent, before.Position())
	}
	return elmclock.Now()-sent < maxSharedAge
}

// PeerSnapshot returns for peers what was read after a position. Of another era it
// returns everything.
func (f *Follower) PeerSnapshot(after elmsnapshot.Position) *elmpeer.Snapshot {
	f.relayedAt.Store(int64(elmclock.Now()))
	f.mutex.Lock()
	defer f.mutex.Unlock()
	snapshot := f.Snapshot()
	position := snapshot.Position()
	now := elmclock.Now()
	s := &elmpeer.Snapshot{
		Era: position.Era, Revision: position.Revision,
		AgeMs: snapshot.Age(now).Milliseconds(), RelistMs: snapshot.RelistRemaining(now).Milliseconds(),
		UnusableConfig: f.newest.unusableRevision(),
	}
	if !after.Before(position) {
		return s
	}
	if after.Era != position.Era {
		after.Revision = 0
	}
	for _, key := range slices.Sorted(maps.Keys(f.items)) {
		s.Keys = append(s.Keys, key)
		if i := f.items[key]; i.Revision > after.Revision {
			s.Items = append(s.Items, &elmpeer.Item{Key: key, Value: i.Value, Revision: i.Revision})
		}
	}
	return s
}

// fetchFromPeers applies the snapshots of peers, with their age, if they are newer
// than that of this process.
func (f *Follower) fetchFromPeers(ctx context.Context) {
	before := f.Snapshot()
	if before.Age(elmclock.Now()) < peerFetchAge {
		return
	}
	started := elmclock.Now()
	for _, s := range f.peers(ctx, before.Position()) {
		sent := started - time.Duration(s.GetAgeMs())*time.Millisecond
		if sent <= f.Snapshot().Sent() || s.GetRevision() == 0 || positionOf(s).Before(f.Snapshot().Position()) {
			continue
		}
		f.applyPeerSnapshot(s, sent, before.Position())
		f.logger.Event(elmlog.PeerUsed, "revision", s.GetRevision(), "age", elmclock.Now()-sent)
	}
}

// positionOf returns the position of a peer's snapshot.
func positionOf(s *elmpeer.Snapshot) elmsnapshot.Position {
	return elmsnapshot.Position{Era: s.GetEra(), Revision: s.GetRevision()}
}

// itemOf returns an item of a peer's snapshot as the store has it.
func itemOf(i *elmpeer.Item) platform.Item {
	return platform.Item{Key: i.GetKey(), Value: i.GetValue(), Revision: i.GetRevision()}
}

// applyPeerSnapshot applies a snapshot that a peer sent for a requested position. If
// it has no later position, it only confirms that nothing has changed.
func (f *Follower) applyPeerSnapshot(s *elmpeer.Snapshot, sent time.Duration, after elmsnapshot.Position) {
	if !after.Before(positionOf(s)) {
		f.recordRead(sent)
		next, _ := f.Snapshot().Update(elmsnapshot.Confirmed{Sent: sent, ConfigOutdated: f.newest.unusable})
		f.snapshot.Store(&next)
		return
	}
	source := elmsnapshot.Peer{RelistFor: time.Duration(s.GetRelistMs()) * time.Millisecond, UnusableConfig: s.GetUnusableConfig()}
	f.apply(elmsnapshot.Read{Sent: sent, Source: source, Position: positionOf(s), Full: true}, f.completeItems(s))
}

// completeItems returns all items of a peer's snapshot: the changed ones that it
// contains, and the known ones for its other keys.
func (f *Follower) completeItems(s *elmpeer.Snapshot) []platform.Item {
	items := maps.Clone(f.items)
	for _, i := range s.GetItems() {
		items[i.GetKey()] = itemOf(i)
	}
	var list []platform.Item
	for _, key := range s.GetKeys() {
		if i, ok := items[key]; ok {
			list = append(list, i)
		}
	}
	return list
}

// peerConfigs returns the configurations of peers. A store that has returned from a copy may
// hold an earlier one than the one in force.
func (f *Follower) peerConfigs(ctx context.Context) []platform.Item {
	var list []platform.Item
	for _, s := range f.peers(ctx, elmsnapshot.Position{}) {
		for _, i := range s.GetItems() {
			if i.GetKey() == platform.ConfigKey {
				list = append(list, itemOf(i))
			}
		}
	}
	return list
}
