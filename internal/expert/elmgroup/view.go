package elmgroup

import (
	"slices"

	"github.com/elmcove/elmcove/internal/model/elmrank"
)

// maxRanks is the largest size of a group that is taken from a report.
const maxRanks = 1 << 14

// View is the state of a group as of a poll. Its lists are indexed by rank.
type View struct {
	Name  string
	Epoch int64
	// Version is the version of the map in use.
	Version int64
	// HighestVersion is the highest version that a rank uses, has prepared, or is armed
	// with.
	HighestVersion int64
	Addresses      []string
	// ViaAgent holds whether the agent of each rank has answered.
	ViaAgent []bool
	Reports  []elmrank.Report
	// Selections is how often requests have selected each expert since the last poll:
	// Selections[set*experts+expert]. It is nil if it was not polled or is unknown.
	Selections []float64
}

// newView returns a view of a group from the answers of its ranks, and whether it is
// complete. A complete view has one answer for each rank, all with the same epoch and
// the same map.
func newView(name string, answers []rankAnswer) (View, bool) {
	v := View{Name: name}
	for _, a := range answers {
		if !v.add(a) {
			return v, false
		}
	}
	return v, len(answers) > 0 && !slices.Contains(v.Addresses, "")
}

// FindView returns the view of a group by name.
func FindView(views []View, name string) (View, bool) {
	for _, v := range views {
		if v.Name == name {
			return v, true
		}
	}
	return View{}, false
}

// add adds a rank's answer to the view. It returns false if the rank is in another
// epoch or uses another map.
func (v *View) add(a rankAnswer) bool {
	if v.Reports == nil {
		n := a.report.Size
		if n < 1 || n > maxRanks {
			return false
		}
		v.Epoch, v.Version = a.report.Epoch, a.report.ActiveVersion
		v.Addresses, v.ViaAgent = make([]string, n), make([]bool, n)
		v.Reports = make([]elmrank.Report, n)
	}
	r := a.report.Rank
	if r < 0 || r >= len(v.Reports) || a.report.Epoch != v.Epoch || a.report.ActiveVersion != v.Version {
		return false
	}
	v.Addresses[r], v.ViaAgent[r], v.Reports[r] = a.address, a.viaAgent, a.report
	v.HighestVersion = max(v.HighestVersion, a.report.ActiveVersion, a.report.PreparedVersion, a.report.ArmedVersion)
	return true
}

// HeldPasses returns the passes that ranks hold, by rank.
func (v View) HeldPasses() map[int]int64 {
	found := map[int]int64{}
	for r, report := range v.Reports {
		if report.HeldPass > report.Pass {
			found[r] = report.HeldPass
		}
	}
	return found
}

// Armed reports whether a rank is armed, so that a rollout has not taken effect yet.
func (v View) Armed() bool {
	return slices.ContainsFunc(v.Reports, func(r elmrank.Report) bool { return r.ArmedVersion != 0 })
}

// Pass returns the last pass that has begun.
func (v View) Pass() int64 {
	pass := int64(0)
	for _, report := range v.Reports {
		pass = max(pass, report.Pass)
	}
	return pass
}

// Paces returns the pace of each rank, which is at least 1.
func (v View) Paces() []float64 {
	list := make([]float64, len(v.Reports))
	for r, report := range v.Reports {
		list[r] = max(report.Pace, 1)
	}
	return list
}

// SlotUsage returns the number of running and waiting requests relative to the number of
// slots in the group. Slots is the number of slots of each rank.
func (v View) SlotUsage(slots int) float64 {
	requests := 0
	for _, report := range v.Reports {
		requests += report.Running + report.Waiting
	}
	return float64(requests) / float64(slots*len(v.Reports))
}
