package elmplanner

import (
	"testing"
	"time"

	"github.com/elmcove/elmcove/internal/expert/elmgroup"
	"github.com/elmcove/elmcove/internal/expert/elmrank"
	"github.com/elmcove/elmcove/internal/forward/elmcatalog"
)

// view is a look at a group of one rank with counts of two experts.
func view(counts ...int64) elmgroup.View {
	return elmgroup.View{Counted: counts != nil, Counts: []elmrank.Counts{{Counts: counts}}}
}

// TestDemandOfANewPlanner: a planner that takes over after an expert shift plans
// for what is asked for now, not for what was asked for since the ranks began.
func TestDemandOfANewPlanner(t *testing.T) {
	engine := elmcatalog.Engine{Sets: 1, Experts: 2}
	d := &demand{}
	if weights := d.add(view(100000, 100), engine, time.Second); weights != nil {
		t.Errorf("after one look the demand is %v, want none", weights)
	}
	weights := d.add(view(100010, 400), engine, 1500*time.Millisecond)
	if weights == nil || weights[0][0] != 10 || weights[0][1] != 300 {
		t.Errorf("after two looks the demand is %v, want 10 and 300", weights)
	}
}

// TestDemandFadesByTime: how fast old demand fades does not depend on how often
// a planner looks.
func TestDemandFadesByTime(t *testing.T) {
	engine := elmcatalog.Engine{Sets: 1, Experts: 2}
	for name, every := range map[string]time.Duration{"seldom": 1400 * time.Millisecond, "often": 140 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			d := &demand{}
			d.add(view(0, 0), engine, 0)
			d.add(view(1000, 0), engine, time.Millisecond)
			last := 0.0
			for at := every; at <= 1400*time.Millisecond; at += every {
				last = d.add(view(1000, 0), engine, time.Millisecond+at)[0][0]
			}
			if last < 367 || last > 369 {
				t.Errorf("%.1f of 1000 is left after 1.4 s, want 368", last)
			}
		})
	}
}

// TestDemandOfARankThatBeganAgain: counts that fall are those of a new start.
func TestDemandOfARankThatBeganAgain(t *testing.T) {
	engine := elmcatalog.Engine{Sets: 1, Experts: 2}
	d := &demand{}
	d.add(view(500, 500), engine, 0)
	if weights := d.add(view(7, 3), engine, time.Second); weights[0][0] != 7 || weights[0][1] != 3 {
		t.Errorf("the demand is %v, want 7 and 3", weights)
	}
}

// TestExpertShiftIsFollowed: when other experts are in demand all at once, what was
// seen before does not count any more; chance differences do not have that effect.
func TestExpertShiftIsFollowed(t *testing.T) {
	engine := elmcatalog.Engine{Sets: 1, Experts: 2}
	for name, c := range map[string]struct {
		more [2]int64
		want [2]float64
	}{
		"a shift":       {[2]int64{100, 900}, [2]float64{100, 900}},
		"nearly a half": {[2]int64{600, 400}, [2]float64{600, 400}},
		"chance":        {[2]int64{850, 150}, [2]float64{1850, 150}},
		"nothing new":   {[2]int64{0, 0}, [2]float64{1000, 0}},
	} {
		t.Run(name, func(t *testing.T) {
			d := &demand{}
			d.add(view(0, 0), engine, 0)
			d.add(view(1000, 0), engine, 0)
			weights := d.add(view(1000+c.more[0], c.more[1]), engine, 0)
			if weights[0][0] != c.want[0] || weights[0][1] != c.want[1] {
				t.Errorf("the demand is %v, want %v", weights[0], c.want)
			}
		})
	}
}
