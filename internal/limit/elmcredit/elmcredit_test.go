package elmcredit_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/elmcove/elmcove/internal/limit/elmcredit"
)

func TestWindow(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	tests := map[string]struct {
		wants   map[string]int
		later   time.Duration
		windows map[string]int
	}{
		"all fit":            {map[string]int{"a": 2, "b": 3}, 0, map[string]int{"a": 2, "b": 3}},
		"equal shares":       {map[string]int{"a": 100, "b": 100}, 0, map[string]int{"a": 4, "b": 4}},
		"small window first": {map[string]int{"a": 1, "b": 100}, 0, map[string]int{"a": 1, "b": 7}},
		"expired":            {map[string]int{"a": 4}, elmcredit.WindowLifetime, map[string]int{"a": 0}},
		"unknown entry":      {map[string]int{"a": 4}, 0, map[string]int{"b": 0}},
	}
	for name, test := range tests {
		Convey(name, t, func() {
			pool := elmcredit.New(8)
			for entry, want := range test.wants {
				pool = pool.WithWant(entry, want, now)
			}
			for entry, window := range test.windows {
				So(pool.Window(entry, now.Add(test.later)), ShouldEqual, window)
			}
		})
	}
}

// TestWindowSum checks that the sum of the windows never exceeds the number to allocate,
// and that admissions never exceed the limit, for any sequence of limits and wants.
func TestWindowSum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_800_000_000, 0)
		pool := elmcredit.New(rapid.IntRange(0, 8).Draw(t, "limit"))
		for range 30 {
			now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "elapsed")) * time.Millisecond)
			entry := fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "entry"))
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0:
				pool = pool.WithWant(entry, rapid.IntRange(0, 20).Draw(t, "want"), now)
			case 1:
				limit := rapid.IntRange(0, 8).Draw(t, "limit")
				pool = pool.WithLimit(limit, limit)
			case 2:
				before := pool.Running()
				next, err := pool.Admit()
				if err == nil && before >= pool.Limit() {
					t.Fatal("admitted beyond the limit")
				}
				pool = next
			case 3:
				pool = pool.WithoutEntry(entry)
			}
			sum := 0
			for i := range 6 {
				sum += pool.Window(fmt.Sprint(i), now)
			}
			if sum > pool.Shared() {
				t.Fatalf("windows sum up to %d, want at most %d", sum, pool.Shared())
			}
		}
	})
}

// TestMain fixes the seed, so that every run gives the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
