package elmbackoff_test

import (
	"testing"
	"time"

	"github.com/elmcove/elmcove/internal/forward/elmbackoff"
)

const second = time.Second

// Guards against requests to an endpoint that announced that it leaves or pauses, and
// against announcements that outlive their incarnation.
func TestCheck(t *testing.T) {
	for name, c := range map[string]struct {
		announce func(l *elmbackoff.List)
		started  int64
		inFlight int
		at       time.Duration
		want     elmbackoff.Verdict
	}{
		"nothing announced":          {announce: func(*elmbackoff.List) {}, started: 5, want: elmbackoff.Allowed},
		"leaving":                    {announce: func(l *elmbackoff.List) { l.SetLeaving("e", 5) }, started: 5, at: time.Hour, want: elmbackoff.Leaving},
		"leaving, entry unlisted":    {announce: func(l *elmbackoff.List) { l.SetLeaving("e", 5); forget(l, second) }, started: 5, want: elmbackoff.Leaving},
		"leaving, unlisted for long": {announce: func(l *elmbackoff.List) { l.SetLeaving("e", 5); forget(l, second); forget(l, time.Hour) }, started: 5, want: elmbackoff.Allowed},
		"later incarnation":          {announce: func(l *elmbackoff.List) { l.SetLeaving("e", 5) }, started: 6, want: elmbackoff.Allowed},
		"response of the former one": {announce: func(l *elmbackoff.List) { l.SetPause("e", 6, second, 0); l.SetLeaving("e", 5) }, started: 6, at: 2 * second, want: elmbackoff.Allowed},
		"paused":                     {announce: func(l *elmbackoff.List) { l.SetPause("e", 5, second, 0) }, started: 5, at: second - 1, want: elmbackoff.Paused},
		"pause is not shortened":     {announce: func(l *elmbackoff.List) { l.SetPause("e", 5, second, 0); l.SetPause("e", 5, second/2, 0) }, started: 5, at: second - 1, want: elmbackoff.Paused},
		"first request after pause":  {announce: func(l *elmbackoff.List) { l.SetPause("e", 5, second, 0) }, started: 5, at: second, want: elmbackoff.Allowed},
		"second request after pause": {announce: func(l *elmbackoff.List) { l.SetPause("e", 5, second, 0) }, started: 5, inFlight: 1, at: second, want: elmbackoff.Recovering},
		"served after the pause":     {announce: func(l *elmbackoff.List) { l.SetPause("e", 5, second, 0); l.Served("e", second) }, started: 5, inFlight: 1, at: 2 * second, want: elmbackoff.Allowed},
		"served from before it":      {announce: func(l *elmbackoff.List) { l.SetPause("e", 5, second, 0); l.Served("e", 0) }, started: 5, inFlight: 1, at: 2 * second, want: elmbackoff.Recovering},
		"pause and leaving":          {announce: func(l *elmbackoff.List) { l.SetPause("e", 5, second, 0); l.SetLeaving("e", 5) }, started: 5, want: elmbackoff.Leaving},
	} {
		t.Run(name, func(t *testing.T) {
			l := elmbackoff.New()
			c.announce(l)
			if got := l.Check("e", c.started, c.inFlight, c.at); got != c.want {
				t.Errorf("verdict %d, want %d", got, c.want)
			}
		})
	}
}

func forget(l *elmbackoff.List, now time.Duration) {
	l.Forget(func(string) bool { return false }, now)
}

func TestChangesAreReportedOnce(t *testing.T) {
	l := elmbackoff.New()
	if !l.SetLeaving("e", 1) || l.SetLeaving("e", 1) {
		t.Error("leaving is not reported exactly once")
	}
	if !l.SetPause("f", 1, second, 0) || l.SetPause("f", 1, 2*second, 0) || !l.SetPause("f", 1, 4*second, 3*second) {
		t.Error("the begin of a pause is not reported exactly once")
	}
}
