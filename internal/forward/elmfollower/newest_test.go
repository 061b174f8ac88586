package elmfollower_test

import (
	"slices"
	"testing"
	"time"

	"github.com/elmcove/elmcove/internal/forward/elmfollower"
	"github.com/elmcove/elmcove/internal/forward/elmsnapshot"
	"github.com/elmcove/elmcove/internal/observe/elmclock"
	"github.com/elmcove/elmcove/platform"
)

// isOutdated reports whether the last read of a process has not shown that its configuration is
// the newest.
func isOutdated(f *elmfollower.Follower) bool {
	now, snapshot := elmclock.Now(), f.Snapshot()
	return snapshot.ConfigAge(now) > snapshot.Age(now)
}

// readOf returns a read with the texts of configurations, of which "" is a removal, at revisions up to
// one.
func readOf(era, revision int64, texts ...string) (elmsnapshot.Position, []platform.Item) {
	var items []platform.Item
	for i, text := range texts {
		items = append(items, platform.Item{
			Key: platform.ConfigKey, Value: []byte(text), Deleted: text == "", Revision: revision - int64(len(texts)-1-i),
		})
	}
	return elmsnapshot.Position{Era: era, Revision: revision}, items
}

// Guards against a configuration that counts as confirmed by reads although the newest one is
// missing or can't be decoded, at an entry that has read the store and at one that it tells.
func TestNewestConfigIsUnusable(t *testing.T) {
	one, two, broken := `{"version":1}`, `{"version":2}`, `{"version":3,"tenants":{}}`
	type reading struct {
		era   int64
		full  bool
		texts []string
	}
	for name, c := range map[string]struct {
		reads    []reading
		outdated bool
	}{
		"one":                            {[]reading{{1, true, []string{one}}}, false},
		"nothing new":                    {[]reading{{1, true, []string{one}}, {1, false, nil}}, false},
		"unreadable":                     {[]reading{{1, true, []string{one}}, {1, false, []string{broken}}}, true},
		"unreadable, then nothing new":   {[]reading{{1, true, []string{one}}, {1, false, []string{broken}}, {1, false, nil}}, true},
		"unreadable, then a full read":   {[]reading{{1, true, []string{one}}, {1, true, []string{broken}}, {1, true, []string{broken}}}, true},
		"unreadable after a later one":   {[]reading{{1, true, []string{one}}, {1, false, []string{two, broken}}}, true},
		"unreadable before a later one":  {[]reading{{1, true, []string{one}}, {1, false, []string{broken, `{"version":4}`}}}, false},
		"unreadable, then the one known": {[]reading{{1, true, []string{one}}, {1, false, []string{broken}}, {1, false, []string{one}}}, false},
		"no version":                     {[]reading{{1, true, []string{one}}, {1, false, []string{`{"routes":[]}`}}}, true},
		"version 0":                      {[]reading{{1, true, []string{one}}, {1, false, []string{`{"version":0}`}}}, true},
		"removed":                        {[]reading{{1, true, []string{one}}, {1, false, []string{""}}}, true},
		"removed and written":            {[]reading{{1, true, []string{one}}, {1, false, []string{"", two}}}, false},
		"missing in a full read":         {[]reading{{1, true, []string{one}}, {1, true, nil}}, true},
		"missing, then nothing new":      {[]reading{{1, true, []string{one}}, {1, true, nil}, {1, false, nil}}, true},
		"earlier after a copy":           {[]reading{{1, true, []string{two}}, {2, true, []string{one}}, {2, false, nil}}, false},
		"unreadable after a copy":        {[]reading{{1, true, []string{two}}, {2, true, []string{broken}}}, true},
		"missing after a copy":           {[]reading{{1, true, []string{two}}, {2, true, nil}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			reader, told, started := newFollower(), newFollower(), newFollower()
			for i, r := range c.reads {
				position, items := readOf(r.era, int64(10*(i+1)), r.texts...)
				reader.ApplyRead(position, items, r.full)
				told.ApplyPeerSnapshot(reader.PeerSnapshot(told.Snapshot().Position()))
			}
			told.ApplyPeerSnapshot(reader.PeerSnapshot(told.Snapshot().Position()))
			started.ApplyPeerSnapshot(reader.PeerSnapshot(elmsnapshot.Position{}))
			for kind, f := range map[string]*elmfollower.Follower{"reader": reader, "told by it": told, "started later": started} {
				if isOutdated(f) != c.outdated {
					t.Errorf("%s: outdated %v, version %d", kind, !c.outdated, f.Snapshot().Catalog().Version())
				}
			}
		})
	}
}

// Guards against a newer configuration that this entry has read itself and that counts as not
// seen, or as unusable, because a peer can't use it or has not seen it.
func TestPeerKnowsLess(t *testing.T) {
	for name, seen := range map[string]string{"has not seen it": "", "can't use it": `{"version":2,"tenants":{}}`} {
		t.Run(name, func(t *testing.T) {
			peer, f := newFollower(), newFollower()
			for _, follower := range []*elmfollower.Follower{peer, f} {
				position, items := readOf(1, 10, `{"version":1}`)
				follower.ApplyRead(position, items, true)
			}
			position, items := readOf(1, 20, `{"version":2}`)
			f.ApplyRead(position, items, false)
			if seen != "" {
				position, items = readOf(1, 20, seen)
				peer.ApplyRead(position, items, false)
			}
			peer.ApplyRead(elmsnapshot.Position{Era: 1, Revision: 30}, nil, false)
			f.ApplyPeerSnapshot(peer.PeerSnapshot(f.Snapshot().Position()))
			if f.Snapshot().Position().Revision != 30 || f.Snapshot().Catalog().Version() != 2 || isOutdated(f) {
				t.Errorf("revision %d, version %d, outdated %v", f.Snapshot().Position().Revision, f.Snapshot().Catalog().Version(), isOutdated(f))
			}
		})
	}
}

// Guards against entries that confirm their configuration through the one that reads the store
// for them, while that can't use the newest one.
func TestSharedReaderCannotUseTheNewest(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 4)
	all := append(slices.Clone(g.entries), g.reader.store)
	g.store.Put("op/config", []byte(`{"version":2,"tenants":{}}`))
	await(t, func() bool {
		return !slices.ContainsFunc(all, func(f *elmfollower.Follower) bool { return !isOutdated(f) })
	})
	<-time.After(leaveDelay)
	for i, f := range all {
		if now := elmclock.Now(); f.Snapshot().ConfigAge(now) < leaveDelay || f.Snapshot().Age(now) > leaveDelay {
			t.Errorf("entry %d: configuration %v old, state %v", i, f.Snapshot().ConfigAge(now), f.Snapshot().Age(now))
		}
	}
	g.store.Put("op/config", []byte(`{"version":3}`))
	await(t, func() bool {
		return !slices.ContainsFunc(all, func(f *elmfollower.Follower) bool {
			return isOutdated(f) || f.Snapshot().Catalog().Version() != 3
		})
	})
}
