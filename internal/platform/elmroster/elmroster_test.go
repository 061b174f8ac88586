package elmroster_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/elmcove/elmcove/internal/platform/elmroster"
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

func TestWatches(t *testing.T) {
	Convey("Two entries of each data centre watch", t, func() {
		var list []elmkvapi.Instance
		for i := range 16 {
			list = append(list, elmkvapi.Instance{Name: fmt.Sprint(i), Role: elmkvapi.InstanceRoleEntry, Datacentre: "worcester"})
		}
		roster, _ := elmroster.Roster{}.Update(list, time.Now())
		watching := 0
		for _, i := range list {
			if roster.Watches(i.Name, "worcester", 2) {
				watching++
			}
		}
		So(watching, ShouldEqual, 2)
	})
}
