// Package elmmaps keeps the expert maps that a rank has had last, so that its agent can
// have one prepared again without receiving it again.
//
// # Usage
//
//	cache := elmmaps.New()
//	cache.Add(epoch, version, layout)
//	layout, ok := cache.Find(epoch, version)
package elmmaps

import (
	"slices"
	"sync"

	"github.com/elmcove/elmcove/internal/model/elmrank"
)

// maxMaps is the number of maps that are kept. A failed rollout and its repair use three:
// the map in use, the abandoned one, and the map in use under a new version.
const maxMaps = 4

// Cache holds maps by epoch and version. The zero Cache is empty. It is safe for
// concurrent use.
type Cache struct {
	mutex sync.Mutex
	// records are in the order in which they were added.
	records []record
}

type record struct {
	epoch, version int64
	layout         elmrank.Map
}

// New returns an empty Cache.
func New() *Cache { return &Cache{} }

// Add keeps a map that a rank has prepared. The map must not be changed afterwards.
func (c *Cache) Add(epoch, version int64, layout elmrank.Map) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.records = slices.DeleteFunc(c.records, func(r record) bool { return r.epoch == epoch && r.version == version })
	c.records = append(c.records, record{epoch, version, layout})
	c.records = c.records[max(len(c.records)-maxMaps, 0):]
}

// Find returns the map that a rank had under a version in an epoch.
func (c *Cache) Find(epoch, version int64) (elmrank.Map, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, r := range c.records {
		if r.epoch == epoch && r.version == version {
			return r.layout, true
		}
	}
	return nil, false
}
