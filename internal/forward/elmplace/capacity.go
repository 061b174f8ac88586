package elmplace

import (
	"time"

	"github.com/elmcove/elmcove/internal/forward/elmsnapshot"
	"github.com/elmcove/elmcove/internal/model/elmcatalog"
)

// Capacity returns the number of requests that all entries have at the members, and the number
// from which all of them are full.
func (p *Placer) Capacity(s elmcatalog.Service, members []elmsnapshot.Member, now time.Duration) (used, limit float64) {
	for _, m := range members {
		used += p.load(m.ID, now)
		limit += p.limit(Query{Service: s}, m, now)
	}
	return used, limit
}

// Entries returns the number of entries that share the limits, at least 1.
func (p *Placer) Entries() int { return p.shares.Count() }
