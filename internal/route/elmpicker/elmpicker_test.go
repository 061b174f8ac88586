package elmpicker_test

import (
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/elmcove/elmcove/internal/route/elmpicker"
)

func TestPick(t *testing.T) {
	home := elmpicker.Candidate{Agent: "home", Datacentre: "worcester", Credits: 1, Limit: 4}
	away := elmpicker.Candidate{Agent: "away", Datacentre: "manchester", Credits: 1, Limit: 4}
	room := elmpicker.Candidate{Agent: "room", Datacentre: "worcester", Running: 1, Limit: 4}
	full := elmpicker.Candidate{Agent: "full", Datacentre: "worcester", Running: 4, Limit: 4}
	tests := map[string]struct {
		candidates []elmpicker.Candidate
		want       string
	}{
		"home first":               {[]elmpicker.Candidate{away, home}, "home"},
		"room at home before away": {[]elmpicker.Candidate{away, room}, "room"},
		"away before full at home": {[]elmpicker.Candidate{full, away}, "away"},
		"full rather than none":    {[]elmpicker.Candidate{full}, "full"},
		"no candidate":             {nil, ""},
	}
	for name, test := range tests {
		Convey(name, t, func() {
			picker := elmpicker.New("worcester", rand.New(rand.NewPCG(1, 2)))
			chosen, ok := picker.Pick(test.candidates, "")
			So(chosen.Agent, ShouldEqual, test.want)
			So(ok, ShouldEqual, test.want != "")
		})
	}
	Convey("A prefix stays with its endpoint until that is much busier", t, func() {
		picker := elmpicker.New("worcester", rand.New(rand.NewPCG(1, 2)))
		other := home
		other.Agent = "other"
		first, _ := picker.Pick([]elmpicker.Candidate{home, other}, "frame")
		for range 20 {
			again, _ := picker.Pick([]elmpicker.Candidate{other, home}, "frame")
			So(again.Agent, ShouldEqual, first.Agent)
		}
		busy, idle := home, other
		if first.Agent == "other" {
			busy, idle = other, home
		}
		busy.Running = 3
		seen := 0
		for range 20 {
			again, _ := picker.Pick([]elmpicker.Candidate{busy, idle}, "frame")
			if again.Agent == idle.Agent {
				seen++
			}
		}
		So(seen, ShouldBeGreaterThan, 10)
	})
}
