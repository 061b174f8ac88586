package elmroster_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/elmcove/elmcove/internal/registry/elmroster"
	"github.com/elmcove/elmcove/internal/wire/elmkvapi"
)

func agents(count int) []elmkvapi.Instance {
	list := make([]elmkvapi.Instance, count)
	for i := range list {
		list[i] = elmkvapi.Instance{Name: fmt.Sprint(i), Role: elmkvapi.InstanceRoleAgent, State: elmkvapi.InstanceStateLive}
	}
	return list
}

func TestUpdate(t *testing.T) {
	tests := map[string]struct {
		first, second int
		later         time.Duration
		kept          int
		suspect       bool
	}{
		"grows":                {2, 8, time.Second, 8, false},
		"shrinks a little":     {8, 6, time.Second, 6, false},
		"empties":              {8, 0, time.Second, 8, true},
		"loses most":           {8, 3, time.Second, 8, true},
		"stays empty for long": {8, 0, time.Hour, 0, false},
	}
	for name, test := range tests {
		Convey(name, t, func() {
			now := time.Unix(1_800_000_000, 0)
			roster, _ := elmroster.Roster{}.Update(agents(test.first), now)
			roster, suspect := roster.Update(agents(test.second), now)
			if test.later > time.Minute {
				roster, suspect = roster.Update(agents(test.second), now.Add(test.later))
			}
			So(suspect, ShouldEqual, test.suspect)
			So(len(roster.Agents()), ShouldEqual, test.kept)
		})
	}
}

// TestAssigned checks that every agent and every service has links, and limits the
// links of an entry. The largest case is a data centre of 16 entries and 500
// agents.
func TestAssigned(t *testing.T) {
	tests := map[string]struct {
		entries, agents, rare, spread int
		maxLinks                      int
	}{
		"16 entries":    {16, 500, 3, 2, 100},
		"three entries": {3, 12, 3, 2, 15},
		"one entry":     {1, 12, 3, 2, 15},
		"all":           {7, 12, 3, 0, 15},
	}
	for name, test := range tests {
		Convey(name, t, func() {
			var list []elmkvapi.Instance
			for i := range test.agents + test.rare {
				service := fmt.Sprintf("model-%d", i%7)
				if i >= test.agents {
					service = "dispatch"
				}
				list = append(list, elmkvapi.Instance{
					Name:    fmt.Sprintf("agent-%d", i),
					Role:    elmkvapi.InstanceRoleAgent,
					Service: elmkvapi.NewOptString(service),
					State:   elmkvapi.InstanceStateLive,
				})
			}
			for i := range test.entries {
				list = append(list, elmkvapi.Instance{Name: fmt.Sprintf("entry-%d", i), Role: elmkvapi.InstanceRoleEntry, Datacentre: "worcester"})
			}
			roster, _ := elmroster.Roster{}.Update(list, time.Now())
			links := map[string]int{}
			total := 0
			for i := range test.entries {
				assigned := roster.Assigned(fmt.Sprintf("entry-%d", i), "worcester", test.spread)
				So(len(assigned), ShouldBeLessThanOrEqualTo, test.maxLinks)
				total += len(assigned)
				services := map[string]int{}
				for _, a := range assigned {
					links[a.Name]++
					services[a.Service.Value]++
				}
				So(services["dispatch"], ShouldBeGreaterThanOrEqualTo, min(2, test.rare))
				So(len(services), ShouldEqual, 8)
			}
			So(len(links), ShouldEqual, test.agents+test.rare)
			for _, count := range links {
				So(count, ShouldBeGreaterThanOrEqualTo, min(max(test.spread, 1), test.entries))
			}
			t.Logf("%s: %.1f links per entry", name, float64(total)/float64(test.entries))
		})
	}
}

func TestIsWatcher(t *testing.T) {
	Convey("Two entries of each data centre watch", t, func() {
		var list []elmkvapi.Instance
		for i := range 16 {
			list = append(list, elmkvapi.Instance{Name: fmt.Sprint(i), Role: elmkvapi.InstanceRoleEntry, Datacentre: "worcester"})
		}
		roster, _ := elmroster.Roster{}.Update(list, time.Now())
		watching := 0
		for _, i := range list {
			if roster.IsWatcher(i.Name, "worcester", 2) {
				watching++
			}
		}
		So(watching, ShouldEqual, 2)
	})
}
