package elmpicker_test

import (
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/elmcove/elmcove/internal/route/elmpicker"
)

func TestPick(t *testing.T) {
	local := elmpicker.Candidate{Agent: "home", Datacentre: "worcester", Credits: 1, Limit: 4}
	remote := elmpicker.Candidate{Agent: "away", Datacentre: "manchester", Credits: 1, Limit: 4}
	spare := elmpicker.Candidate{Agent: "room", Datacentre: "worcester", Running: 1, Limit: 4}
	full := elmpicker.Candidate{Agent: "full", Datacentre: "worcester", Running: 4, Limit: 4}
	tests := map[string]struct {
		candidates []elmpicker.Candidate
		want       string
	}{
		"local first":               {[]elmpicker.Candidate{remote, local}, "home"},
		"local spare before remote": {[]elmpicker.Candidate{remote, spare}, "room"},
		"remote before local full":  {[]elmpicker.Candidate{full, remote}, "away"},
		"full rather than none":     {[]elmpicker.Candidate{full}, "full"},
		"no candidate":              {nil, ""},
	}
	for name, test := range tests {
		Convey(name, t, func() {
			picker := elmpicker.New("worcester", rand.New(rand.NewPCG(1, 2)))
			chosen, ok := picker.Pick(test.candidates, "")
			So(chosen.Agent, ShouldEqual, test.want)
			So(ok, ShouldEqual, test.want != "")
		})
	}
	Convey("A prefix stays at its endpoint until that one is much busier", t, func() {
		picker := elmpicker.New("worcester", rand.New(rand.NewPCG(1, 2)))
		other := local
		other.Agent = "other"
		first, _ := picker.Pick([]elmpicker.Candidate{local, other}, "frame")
		for range 20 {
			again, _ := picker.Pick([]elmpicker.Candidate{other, local}, "frame")
			So(again.Agent, ShouldEqual, first.Agent)
		}
		busy, idle := local, other
		if first.Agent == "other" {
			busy, idle = other, local
		}
		busy.Running = 3
		moved := 0
		for range 20 {
			again, _ := picker.Pick([]elmpicker.Candidate{busy, idle}, "frame")
			if again.Agent == idle.Agent {
				moved++
			}
		}
		So(moved, ShouldBeGreaterThan, 10)
	})
}
