// Package elmroster keeps the instances that the platform lists.
//
// The platform's list lags and can be wrong. A list that has lost more than
// half of the instances at once is not believed until it has stayed so for
// trustDelay; the instances missing from it are kept meanwhile.
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

// trustDelay is the time after which a list that shrank suddenly is believed.
const trustDelay = 2 * time.Minute

// Roster is the known instances. It is immutable, and its zero value is empty.
type Roster struct {
	instances map[string]elmkvapi.Instance
	suspect   time.Time
}

// Update takes in a list, and reports whether the list is not believed.
func (r Roster) Update(list []elmkvapi.Instance, now time.Time) (Roster, bool) {
	next := make(map[string]elmkvapi.Instance, len(list))
	for _, i := range list {
		next[i.Name] = i
	}
	if 2*r.kept(next) >= len(r.instances) {
		return Roster{instances: next}, false
	}
	if r.suspect.IsZero() {
		r.suspect = now
	}
	if now.Sub(r.suspect) >= trustDelay {
		return Roster{instances: next}, false
	}
	merged := maps.Clone(r.instances)
	maps.Copy(merged, next)
	r.instances = merged
	return r, true
}

// Agents returns the agents that are not leaving, in order of name.
func (r Roster) Agents() []elmkvapi.Instance {
	return r.filter(func(i elmkvapi.Instance) bool {
		return i.Role == elmkvapi.InstanceRoleAgent && i.State == elmkvapi.InstanceStateLive
	})
}

// Assigned returns the agents that an entry keeps links to, in order of name.
// Each agent gets links from spread entries of the entry's data centre, and each
// entry has links to spread agents of each service at least. Spread 0 means all.
func (r Roster) Assigned(name, datacentre string, spread int) []elmkvapi.Instance {
	agents := r.Agents()
	if spread == 0 {
		return agents
	}
	entries := r.entries(datacentre)
	own := map[string][]elmkvapi.Instance{}
	for _, a := range agents {
		own[a.Service.Value] = append(own[a.Service.Value], a)
	}
	var assigned []elmkvapi.Instance
	for _, a := range agents {
		if ranks(entries, a.Name, name) < spread || ranks(own[a.Service.Value], name, a.Name) < spread {
			assigned = append(assigned, a)
		}
	}
	return assigned
}

// ranks returns how many instances go before a named one by their rendezvous
// hash for a key.
func ranks(instances []elmkvapi.Instance, key, name string) int {
	limit := xxhash.Sum64String(key + "\x00" + name)
	before := 0
	for _, i := range instances {
		if xxhash.Sum64String(key+"\x00"+i.Name) < limit {
			before++
		}
	}
	return before
}

// Watches reports whether an entry instance is one of the count entries of its
// data centre that watch the configuration for the others.
func (r Roster) Watches(name, datacentre string, count int) bool {
	return ranks(r.entries(datacentre), datacentre, name) < count
}

func (r Roster) entries(datacentre string) []elmkvapi.Instance {
	return r.filter(func(i elmkvapi.Instance) bool {
		return i.Role == elmkvapi.InstanceRoleEntry && i.Datacentre == datacentre
	})
}

func (r Roster) kept(next map[string]elmkvapi.Instance) int {
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
