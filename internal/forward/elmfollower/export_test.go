package elmfollower

import (
	"github.com/elmcove/elmcove/internal/forward/elmsnapshot"
	"github.com/elmcove/elmcove/internal/observe/elmclock"
	"github.com/elmcove/elmcove/internal/wire/elmpeer"
	"github.com/elmcove/elmcove/platform"
)

// ApplyRead applies what was read from the store just now.
func (f *Follower) ApplyRead(position elmsnapshot.Position, items []platform.Item, full bool) {
	f.applyRead(elmclock.Now(), position, items, full)
}

// ApplyPeerSnapshot applies what another entry has read just now.
func (f *Follower) ApplyPeerSnapshot(s *elmpeer.Snapshot) {
	f.applyPeerSnapshot(s, elmclock.Now(), f.Snapshot().Position())
}
