package elmrelay_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/elmcove/elmcove/internal/forward/elmrelay"
)

// Guards against a data centre without a relay, or whose entries stay without the sums of
// another one, for longer than loads are used.
func TestRelays(t *testing.T) {
	listed := []string{"s1", "s2", "s3"}
	for name, c := range map[string]struct {
		hear   func(r *elmrelay.Relay)
		at     time.Duration
		relays bool
		want   []string
		direct bool
	}{
		"alone":              {hear: func(*elmrelay.Relay) {}, relays: true, want: listed, direct: true},
		"an earlier entry":   {hear: func(r *elmrelay.Relay) { r.Hear("w1", 0) }, at: time.Second, want: listed, direct: true},
		"a later entry":      {hear: func(r *elmrelay.Relay) { r.Hear("w3", 0) }, relays: true, want: listed, direct: true},
		"earlier one frozen": {hear: func(r *elmrelay.Relay) { r.Hear("w1", 0) }, at: elmrelay.ReportTTL, relays: true, want: listed, direct: true},
		"relay is known":     {hear: func(r *elmrelay.Relay) { r.HearDatacentre("s", "s2", 0) }, relays: true, want: []string{"s2"}},
		"relay has changed": {hear: func(r *elmrelay.Relay) {
			r.HearDatacentre("s", "s2", 0)
			r.HearDatacentre("s", "s1", 100*time.Millisecond)
		}, at: time.Second, relays: true, want: []string{"s1"}},
		"relay is silent":      {hear: func(r *elmrelay.Relay) { r.HearDatacentre("s", "s2", 0) }, at: elmrelay.ReportTTL, relays: true, want: listed, direct: true},
		"relay of another one": {hear: func(r *elmrelay.Relay) { r.HearDatacentre("m", "m1", 0) }, relays: true, want: listed, direct: true},
	} {
		t.Run(name, func(t *testing.T) {
			r := elmrelay.New("w2")
			c.hear(r)
			targets, direct := r.Targets("s", listed, c.at)
			if r.IsRelay(c.at) != c.relays || !slices.Equal(targets, c.want) || direct != c.direct {
				t.Errorf("relay %v, targets %v, direct %v; want %v, %v, %v", r.IsRelay(c.at), targets, direct, c.relays, c.want, c.direct)
			}
		})
	}
}

// Guards against messages between data centres that grow with the square of the entries.
func TestMessagesGrowWithDatacentres(t *testing.T) {
	const datacentres = 5
	for _, entries := range []int{7, 38, 99, 380} {
		t.Run(fmt.Sprintf("%d entries", entries), func(t *testing.T) {
			sent := 0
			for self := range entries {
				r := elmrelay.New(fmt.Sprintf("%03d", self))
				for other := range entries {
					if other != self && other%datacentres == self%datacentres {
						r.Hear(fmt.Sprintf("%03d", other), 0)
					}
				}
				for d := range datacentres {
					r.HearDatacentre(fmt.Sprint(d), fmt.Sprintf("%03d", d), 0)
				}
				if !r.IsRelay(0) {
					continue
				}
				for d := range datacentres {
					if targets, _ := r.Targets(fmt.Sprint(d), nil, 0); d != self%datacentres {
						sent += len(targets)
					}
				}
			}
			if sent != datacentres*(datacentres-1) {
				t.Errorf("%d messages in an interval, want one for each pair of data centres", sent)
			}
		})
	}
}
