// Package elmroster tracks the instances that the platform lists.
//
// The platform's list lags and can be wrong. A list that lacks more than half of
// the known instances is suspect, and the missing instances are kept. Their
// removal is accepted once the lists have been suspect for trustDelay.
//
// # Usage
//
//	roster := elmroster.Roster{}
//	roster, suspect := roster.Update(list, time.Now())
//	agents := roster.Agents()
package elmroster

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/elmcove/elmcove/internal/wire/elmkvapi"
)

// trustDelay is the time after which the loss of most instances is accepted.
const trustDelay = 2 * time.Minute

// Roster is a set of known instances. It is immutable, and its zero value is
// empty.
type Roster struct {
	instances    map[string]elmkvapi.Instance
	suspectSince time.Time
}

// Update returns the roster with a new list applied, and reports whether the list
// is suspect. Instances that a suspect list lacks are kept.
func (r Roster) Update(list []elmkvapi.Instance, now time.Time) (Roster, bool) {
	next := make(map[string]elmkvapi.Instance, len(list))
	for _, i := range list {
		next[i.Name] = i
	}
	if 2*r.countKept(next) >= len(r.instances) {
		return Roster{instances: next}, false
	}
	if r.suspectSince.IsZero() {
		r.suspectSince = now
	}
	if now.Sub(r.suspectSince) >= trustDelay {
		return Roster{instances: next}, false
	}
	merged := maps.Clone(r.instances)
	maps.Copy(merged, next)
	r.instances = merged
	return r, true
}

// Agents returns the agents that are not leaving, sorted by name.
func (r Roster) Agents() []elmkvapi.Instance {
	return r.filter(func(i elmkvapi.Instance) bool {
		return i.Role == elmkvapi.InstanceRoleAgent && i.State == elmkvapi.InstanceStateLive
	})
}

// Assigned returns the agents that an entry keeps links to, sorted by name. Each
// agent gets links from at least spread entries of the given data centre, and each
// entry has links to at least spread agents of each service. Spread 0 means all.
func (r Roster) Assigned(name, datacentre string, spread int) []elmkvapi.Instance {
	agents := r.Agents()
	if spread == 0 {
		return agents
	}
	entries := r.entries(datacentre)
	byService := map[string][]elmkvapi.Instance{}
	for _, a := range agents {
		byService[a.Service.Value] = append(byService[a.Service.Value], a)
	}
	var assigned []elmkvapi.Instance
	for _, a := range agents {
		if hashPosition(entries, a.Name, name) < spread || hashPosition(byService[a.Service.Value], name, a.Name) < spread {
			assigned = append(assigned, a)
		}
	}
	return assigned
}

// hashPosition returns the position of a named instance, from 0, when instances
// are sorted by their rendezvous hash for a key.
func hashPosition(instances []elmkvapi.Instance, key, name string) int {
	limit := xxhash.Sum64String(key + "\x00" + name)
	before := 0
	for _, i := range instances {
		if xxhash.Sum64String(key+"\x00"+i.Name) < limit {
			before++
		}
	}
	return before
}

// IsWatcher reports whether an entry is one of the count entries of its data centre
// that watch the configuration on behalf of the others.
func (r Roster) IsWatcher(name, datacentre string, count int) bool {
	return hashPosition(r.entries(datacentre), datacentre, name) < count
}

func (r Roster) entries(datacentre string) []elmkvapi.Instance {
	return r.filter(func(i elmkvapi.Instance) bool {
		return i.Role == elmkvapi.InstanceRoleEntry && i.Datacentre == datacentre
	})
}

func (r Roster) countKept(next map[string]elmkvapi.Instance) int {
	kept := 0
	for name := range r.instances {
		if _, ok := next[name]; ok {
			kept++
		}
	}
	return kept
}

func (r Roster) filter(want func(elmkvapi.Instance) bool) []elmkvapi.Instance {
	var found []elmkvapi.Instance
	for _, i := range r.instances {
		if want(i) {
			found = append(found, i)
		}
	}
	slices.SortFunc(found, func(a, b elmkvapi.Instance) int { return strings.Compare(a.Name, b.Name) })
	return found
}
