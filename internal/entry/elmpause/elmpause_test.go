package elmpause_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/elmcove/elmcove/internal/entry/elmpause"
)

func TestPaused(t *testing.T) {
	tests := map[string]func(t *testing.T, d *elmpause.Detector){
		"not suspended": func(t *testing.T, d *elmpause.Detector) {
			go d.Run(t.Context(), func(time.Duration) { t.Error("suspension was reported") })
			start := time.Now()
			time.Sleep(10 * time.Second)
			if d.SuspendedSince(start) {
				t.Error("paused")
			}
		},
		"gap since the last tick": func(t *testing.T, d *elmpause.Detector) {
			start := time.Now()
			time.Sleep(2 * time.Second)
			if !d.SuspendedSince(start) {
				t.Error("suspension was not detected")
			}
		},
		"after a suspension": func(t *testing.T, d *elmpause.Detector) {
			before := time.Now()
			time.Sleep(5 * time.Second)
			reported := make(chan time.Duration, 1)
			go d.Run(t.Context(), func(gap time.Duration) { reported <- gap })
			if gap := <-reported; gap < 5*time.Second {
				t.Errorf("gap of %s", gap)
			}
			if !d.SuspendedSince(before) || !d.SuspendedSince(time.Now()) {
				t.Error("requests from before the suspension were not detected")
			}
			time.Sleep(2 * time.Second)
			if d.SuspendedSince(time.Now()) || !d.SuspendedSince(before) {
				t.Error("requests from after the suspension count as from before, or the reverse")
			}
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				test(t, elmpause.New())
			})
		})
	}
}
