package elmplace_test

import (
	"testing"
	"time"

	"github.com/elmcove/elmcove/internal/forward/elmplace"
)

// Guards against callers who wait for a group that stands still, for example because a
// planner has crashed and left it held: they are refused while two requests show whether it
// makes progress.
func TestStalledGroup(t *testing.T) {
	const length = 10 * time.Second
	for name, c := range map[string]struct {
		// stallFrom and stallTo bound the time without progress.
		stallFrom, stallTo time.Duration
		// most is the number of requests that may be placed without getting an event.
		most int
	}{
		"no stall": {},
		// 10 requests a second are placed until the stall is known, and two every 2 s.
		"long stall":  {stallFrom: 2 * time.Second, stallTo: 9 * time.Second, most: 13 + 2*4},
		"short stall": {stallFrom: 2 * time.Second, stallTo: 3 * time.Second, most: 10},
	} {
		t.Run(name, func(t *testing.T) {
			p, list := newPlacer(), members(8)
			type request struct {
				id string
				at time.Duration
			}
			var open []request
			wasted, refused := 0, 0
			for now := time.Duration(0); now < length; now += 100 * time.Millisecond {
				stalled := now >= c.stallFrom && now < c.stallTo
				kept := open[:0]
				for _, r := range open {
					switch {
					case !stalled && now-r.at >= time.Second:
						p.End(r.id, elmplace.Served, 0, now)
					case stalled && now-r.at >= 2*time.Second:
						if r.at >= c.stallFrom {
							wasted++
						}
						p.End(r.id, elmplace.Ignored, 0, now)
					default:
						if !stalled {
							p.RecordProgress("draft", r.id, now)
						}
						kept = append(kept, r)
					}
				}
				open = kept
				m, verdict := p.Pick(elmplace.Query{Service: engines}, list, now)
				switch verdict {
				case elmplace.Placed:
					p.Begin(m.ID, now)
					open = append(open, request{m.ID, now})
				case elmplace.Stalled:
					refused++
					if !stalled && now >= c.stallTo+200*time.Millisecond {
						t.Errorf("refused at %v, the stall ended at %v", now, c.stallTo)
					}
				default:
					t.Errorf("verdict %v at %v", verdict, now)
				}
			}
			if wasted > c.most || c.most == 0 && refused > 0 {
				t.Errorf("%d requests without an event, want up to %d; %d refused", wasted, c.most, refused)
			}
		})
	}
}
