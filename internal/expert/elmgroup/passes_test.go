package elmgroup

import (
	"testing"
	"time"

	"github.com/elmcove/elmcove/internal/expert/elmrank"
)

// TestLead: where a slow rank stretches the passes, the map that relieves it
// comes into force with the next pass, not seconds later.
func TestLead(t *testing.T) {
	type look struct {
		at    time.Duration
		epoch int64
		step  int64
	}
	for name, c := range map[string]struct {
		looks []look
		want  int64
	}{
		"one look":                 {[]look{{0, 1, 5}}, 3},
		"passes of 50 ms":          {[]look{{0, 1, 5}, {500 * time.Millisecond, 1, 15}}, 3},
		"passes of 125 ms":         {[]look{{0, 1, 5}, {500 * time.Millisecond, 1, 9}}, 1},
		"passes of 900 ms":         {[]look{{0, 1, 5}, {900 * time.Millisecond, 1, 6}}, 1},
		"no pass between":          {[]look{{0, 1, 5}, {500 * time.Millisecond, 1, 10}, {1500 * time.Millisecond, 1, 10}}, 1},
		"faster again":             {[]look{{0, 1, 5}, {time.Second, 1, 6}, {1500 * time.Millisecond, 1, 16}}, 3},
		"a new epoch is not known": {[]look{{0, 1, 5}, {time.Second, 1, 6}, {2 * time.Second, 2, 1}}, 3},
	} {
		t.Run(name, func(t *testing.T) {
			var p passes
			for _, l := range c.looks {
				p = p.seen(View{Epoch: l.epoch, Reports: []elmrank.Report{{Step: l.step}, {Step: l.step - 1}}}, l.at)
			}
			if got := p.lead(); got != c.want {
				t.Errorf("a change is planned %d passes ahead, want %d", got, c.want)
			}
		})
	}
}
