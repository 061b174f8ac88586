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

// Guards against streams that leave sound endpoints after their whole group stood still: the
// first endpoint that goes on makes the others look silent for as long as that took.
func TestProgressLag(t *testing.T) {
	const interval = 100 * time.Millisecond
	for name, c := range map[string]struct {
		// pause is a time during which no endpoint makes progress, and other the time for which
		// only others do after it.
		pause, other time.Duration
		want         time.Duration
	}{
		"others go on":                             {other: 1200 * time.Millisecond, want: 1200 * time.Millisecond},
		"short pause, others go on":                {pause: 300 * time.Millisecond, other: 900 * time.Millisecond, want: 1200 * time.Millisecond},
		"group stood still, another goes on first": {pause: 3 * time.Second, other: interval},
		"group stood still, others go on":          {pause: 3 * time.Second, other: 1200 * time.Millisecond, want: 1100 * time.Millisecond},
		"group stands still":                       {pause: 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			p, now := newPlacer(), time.Second
			p.RecordProgress("draft", "e0", now)
			p.RecordProgress("draft", "e1", now)
			now += c.pause
			for range c.other / interval {
				now += interval
				p.RecordProgress("draft", "e1", now)
			}
			if got := p.ProgressLag("draft", "e0", 0); max(got, 0) != c.want {
				t.Errorf("lag %v, want %v", got, c.want)
			}
		})
	}
}
