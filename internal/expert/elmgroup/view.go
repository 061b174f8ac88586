package elmgroup

import (
	"slices"

	"github.com/elmcove/elmcove/internal/expert/elmrank"
)

// View is what was seen of a group, with one entry for each rank.
type View struct {
	Name    string
	Epoch   int64
	Version int64
	// Highest is the highest version that a rank has.
	Highest   int64
	Addresses []string
	// Agents tells which ranks' agents answer.
	Agents  []bool
	Reports []elmrank.Report
	Counts  []elmrank.Counts
}

// newView returns the view that the answers of a group's ranks give, and whether it
// is complete: one answer for each rank, of one epoch and one map.
func newView(name string, answers []rankAnswer) (View, bool) {
	v := View{Name: name}
	for _, a := range answers {
		if !v.add(a) {
			return v, false
		}
	}
	return v, len(answers) > 0 && !slices.Contains(v.Addresses, "")
}

// Find returns the view of a group by name.
func Find(views []View, name string) (View, bool) {
	for _, v := range views {
		if v.Name == name {
			return v, true
		}
	}
	return View{}, false
}

// add takes a rank into the view, unless it belongs to another epoch or has
// another map.
func (v *View) add(s rankAnswer) bool {
	if v.Reports == nil {
		n := s.report.Size
		v.Epoch, v.Version = s.report.Epoch, s.report.Map
		v.Addresses, v.Agents = make([]string, n), make([]bool, n)
		v.Reports, v.Counts = make([]elmrank.Report, n), make([]elmrank.Counts, n)
	}
	r := s.report.Rank
	if r < 0 || r >= len(v.Reports) || s.report.Epoch != v.Epoch || s.report.Map != v.Version {
		return false
	}
	v.Addresses[r], v.Agents[r], v.Reports[r], v.Counts[r] = s.address, s.agent, s.report, s.counts
	v.Highest = max(v.Highest, s.report.Map, s.report.Prepared, s.report.Armed)
	return true
}

// Held returns the passes that ranks hold the group from.
func (v View) Held() map[int]int64 {
	found := map[int]int64{}
	for r, report := range v.Reports {
		if report.Held > report.Step {
			found[r] = report.Held
		}
	}
	return found
}

// Armed reports whether a change of the map has not come into force yet.
func (v View) Armed() bool {
	return slices.ContainsFunc(v.Reports, func(r elmrank.Report) bool { return r.Armed != 0 })
}

// Paces returns how slow each rank is.
func (v View) Paces() []float64 {
	list := make([]float64, len(v.Reports))
	for r, report := range v.Reports {
		list[r] = max(report.Pace, 1)
	}
	return list
}

// Taken returns the part of the slots that requests have or wait for, where each
// rank has a number of them.
func (v View) Taken(slots int) float64 {
	work := 0
	for _, report := range v.Reports {
		work += report.Running + report.Waiting
	}
	return float64(work) / float64(slots*len(v.Reports))
}
