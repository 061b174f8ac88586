package elmcrash_test

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/elmcove/elmcove/internal/forward/elmcrash"
	"github.com/elmcove/elmcove/internal/forward/elmsignature"
)

const (
	second = int64(1000)
	seeds  = 3
)

// signatures returns the signatures in a text.
func signatures(text string) []elmsignature.Signature {
	var list []elmsignature.Signature
	for _, s := range strings.Fields(text) {
		list = append(list, elmsignature.Signature(s))
	}
	return list
}

// join returns signatures as a text.
func join(list []elmsignature.Signature) string {
	return strings.Trim(fmt.Sprint(list), "[]")
}

// crashesAt returns one crash for each time, each with the segments.
func crashesAt(segments string, times ...int64) []elmcrash.Crash {
	var list []elmcrash.Crash
	for i, t := range times {
		list = append(list, elmcrash.Crash{Endpoint: fmt.Sprintf("e%d@%d", i, t), At: t, Signatures: signatures(segments)})
	}
	return list
}

// unlisted returns the crashes of an endpoint that restarts before its incarnations are listed.
func unlisted(segments string, times ...int64) []elmcrash.Crash {
	list := []elmcrash.Crash{{Endpoint: "e0@1", ID: "e0", At: times[0], Signatures: signatures(segments)}}
	for i, t := range times[1:] {
		list = append(list, elmcrash.Crash{Endpoint: fmt.Sprintf("e0@1+%d", i+1), ID: "e0", At: t, Signatures: signatures(segments), Unlisted: i + 1})
	}
	return list
}

// Guards against segments that crash endpoints and are not found, and against sound
// segments that are in flight at crashes and are blamed for them.
func TestJudge(t *testing.T) {
	for name, c := range map[string]struct {
		crashes   []elmcrash.Crash
		cleared   map[elmsignature.Signature][]int64
		elsewhere map[elmsignature.Signature][]int64
		now       int64
		guilty    string
		suspects  string
	}{
		"no crash":                         {},
		"two crashes of a new segment":     {crashes: crashesAt("p", 1000, 6000), suspects: "p"},
		"three bursts under a new segment": {crashes: crashesAt("p", 1000, 6000, 11000), guilty: "p", suspects: "p"},
		"two bursts of three and one":      {crashes: crashesAt("p", 1000, 1001, 1002, 6000), guilty: "p", suspects: "p"},
		"one burst of any size":            {crashes: crashesAt("p", 1000, 1001, 1002, 1003, 1004, 1500), suspects: "p"},
		"three crashes of an endpoint that restarts unlisted": {
			crashes: unlisted("p", 1000, 6000, 11000), guilty: "p", suspects: "p",
		},
		"unlisted crash that another entry saw as listed": {
			crashes:  append(unlisted("p", 1000, 6000), elmcrash.Crash{Endpoint: "e0@2", ID: "e0", At: 6100, Signatures: signatures("p")}),
			suspects: "p",
		},
		"one crash that two entries saw":          {crashes: append(crashesAt("p", 1000), crashesAt("p", 1000)...)},
		"beside one that was cleared before":      {crashes: crashesAt("a p", 1000, 6000, 11000), cleared: map[elmsignature.Signature][]int64{"a": {500}}, guilty: "p", suspects: "a p"},
		"beside one that was cleared elsewhere":   {crashes: crashesAt("a p", 1000, 6000, 11000), elsewhere: map[elmsignature.Signature][]int64{"a": {2000, 7000}}, guilty: "p", suspects: "a p"},
		"many bursts beside one cleared before":   {crashes: crashesAt("a p", 1000, 6000, 11000, 16000, 21000, 26000), cleared: map[elmsignature.Signature][]int64{"a": {500}}, guilty: "p", suspects: "a p"},
		"cleared between the crashes":             {crashes: crashesAt("a", 1000, 6000, 11000), cleared: map[elmsignature.Signature][]int64{"a": {2000, 7000}}, suspects: "a"},
		"sound until it began to crash endpoints": {crashes: crashesAt("p", 1000, 6000, 11000, 16000, 21000), cleared: map[elmsignature.Signature][]int64{"p": {500}}, guilty: "p", suspects: "p"},
		"sound before, three crashes":             {crashes: crashesAt("p", 1000, 6000, 11000), cleared: map[elmsignature.Signature][]int64{"p": {500}}, suspects: "p"},
		"sound before, seven crashes in four bursts": {
			crashes: crashesAt("p", 1000, 1001, 6000, 6001, 11000, 11001, 16000), cleared: map[elmsignature.Signature][]int64{"p": {500}}, guilty: "p", suspects: "p",
		},
		"sound before, at five of many crashes": {
			crashes: slices.Concat(crashesAt("p", 1000, 6000, 11000, 16000, 21000), crashesAt("s", 1001, 1002, 6001, 6002, 11001, 11002, 16001, 16002, 21001, 21002)),
			cleared: map[elmsignature.Signature][]int64{"p": {500}}, suspects: "p s",
		},
		"no history yet":                           {crashes: crashesAt("p", 100, 1100, 1500, 1501), now: 1900, suspects: "p"},
		"crashes that no longer count":             {crashes: crashesAt("p", 1000, 6000, 11000), now: 200 * second},
		"two segments that crash endpoints":        {crashes: append(crashesAt("p", 1000, 6000, 11000), crashesAt("q", 2000, 7000, 12000)...), guilty: "p q", suspects: "p q"},
		"clock of an entry steps between entries":  {crashes: crashesAt("p", 6000, 1000, 11000), guilty: "p", suspects: "p"},
		"three crashes of a request in one burst":  {crashes: crashesAt("request:p", 5000, 5100, 5200), guilty: "request:p", suspects: "request:p"},
		"others may still object to a request":     {crashes: crashesAt("request:p", 5000, 5100, 5200), now: 6100, suspects: "request:p"},
		"two crashes of a request":                 {crashes: crashesAt("request:p", 5000, 5100), suspects: "request:p"},
		"two requests at the same crashes":         {crashes: crashesAt("request:p request:q", 5000, 5100, 5200), suspects: "request:p request:q"},
		"one of two requests crashes a fourth":     {crashes: append(crashesAt("request:p request:q", 5000, 5100, 5200), crashesAt("request:p", 9000)...), guilty: "request:p", suspects: "request:p request:q"},
		"a request at some of many crashes":        {crashes: append(crashesAt("request:p", 5000, 5100, 5200), crashesAt("s", 4900, 5010, 5110, 5210, 5300)...), suspects: "request:p s"},
		"a request at three separate crashes":      {crashes: append(crashesAt("request:p", 5000, 7000, 9000), crashesAt("s", 5010, 5020, 5030, 5040)...), guilty: "request:p", suspects: "request:p s"},
		"a request that was cleared elsewhere":     {crashes: crashesAt("request:p", 5000, 5100, 5200), elsewhere: map[elmsignature.Signature][]int64{"request:p": {4000}}, suspects: "request:p"},
		"a request that was cleared in between":    {crashes: crashesAt("request:p", 5000, 6100, 7200), cleared: map[elmsignature.Signature][]int64{"request:p": {6000, 7000}}, suspects: "request:p"},
		"a request and its segment":                {crashes: crashesAt("s request:p", 5000, 10000, 15000), guilty: "request:p", suspects: "request:p s"},
		"a segment of several requests":            {crashes: append(crashesAt("s request:p", 5000, 10000, 15000), crashesAt("s request:q", 20000)...), guilty: "request:p s", suspects: "request:p s"},
		"segments twice in one crash of one entry": {crashes: crashesAt("p p", 1000)},
	} {
		t.Run(name, func(t *testing.T) {
			d := elmcrash.New(0)
			for s, times := range c.cleared {
				for _, at := range times {
					d.Clear([]elmsignature.Signature{s}, at)
				}
			}
			guilty, suspects := d.Judge(c.crashes, c.elsewhere, cmp.Or(c.now, 30*second))
			if got := join(guilty); got != c.guilty {
				t.Errorf("guilty %q, want %q", got, c.guilty)
			}
			if got := join(suspects); got != c.suspects {
				t.Errorf("suspects %q, want %q", got, c.suspects)
			}
		})
	}
}

// Guards against a history that grows with the number of segments.
func TestHistoryIsBounded(t *testing.T) {
	d := elmcrash.New(0)
	for n := range 50000 {
		d.Clear(signatures(fmt.Sprint(n, " popular request:", n)), int64(n))
	}
	if got := len(d.Clearances("popular")); got != 16 {
		t.Errorf("%d clearances of a popular segment, want 16", got)
	}
	for _, kind := range []elmsignature.Signature{"", "request:"} {
		if d.Clearances(kind+"0") != nil || d.Clearances(kind+"49999") == nil {
			t.Error("the oldest signature is kept, or the newest is not")
		}
	}
}

// Guards against BUDGET and LOST at several entries that share what they see with a
// delay: each segment that crashes endpoints is found within five crashes and three
// seconds, and no other is blamed.
func TestDetection(t *testing.T) {
	for name, c := range map[string]func(*world){
		"crashes of other causes":                     func(w *world) { w.failEvery = 4 * second },
		"crashes of other causes, group":              func(w *world) { w.failEvery, w.group = 5*second, true },
		"losses of racks":                             func(w *world) { w.failEvery, w.failCount = 8*second, 4 },
		"poison":                                      func(w *world) { w.poisonPerSecond = 1 },
		"poison, group":                               func(w *world) { w.poisonPerSecond, w.group = 1, true },
		"much poison, group":                          func(w *world) { w.poisonPerSecond, w.group = 6, true },
		"poison beside crashes of other causes":       func(w *world) { w.poisonPerSecond, w.failEvery = 2, 7*second },
		"poison beside losses of racks, group":        func(w *world) { w.poisonPerSecond, w.failEvery, w.failCount, w.group = 1, 11*second, 3, true },
		"restarts beside crashes of other causes":     func(w *world) { w.failEvery, w.restartEvery = 3*second, 2*second },
		"restarts beside losses of racks, group":      func(w *world) { w.failEvery, w.failCount, w.group, w.restartEvery = 6*second, 3, true, 2*second },
		"restarts beside poison":                      func(w *world) { w.poisonPerSecond, w.restartEvery = 2, 3*second },
		"restarts beside poison, group":               func(w *world) { w.poisonPerSecond, w.group, w.restartEvery = 2, true, 3*second },
		"all restart beside poison":                   func(w *world) { w.poisonPerSecond, w.restartAllAt = 3, 17*second },
		"all restart beside crashes of other causes":  func(w *world) { w.failEvery, w.restartAllAt = 3*second, 25*second },
		"all restart beside losses of racks, group":   func(w *world) { w.failEvery, w.failCount, w.group, w.restartAllAt = 6*second, 3, true, 26*second },
		"poison in few requests, many entries, group": func(w *world) { w.poisonPerSecond, w.entries, w.group = 0.3, 38, true },
	} {
		for seed := range uint64(seeds) {
			t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
				w := newWorld(seed)
				c(w)
				w.run(45 * second)
				if blamed := slices.DeleteFunc(w.guilty, func(s elmsignature.Signature) bool { return s == poison || s == repeated }); len(blamed) > 0 {
					t.Errorf("sound segments %v are blamed", blamed)
				}
				if w.poisonedLate > 3 {
					t.Errorf("%d requests with the segment sent 3 s after the fifth crash, want 3 at most", w.poisonedLate)
				}
			})
		}
	}
}

// Guards against BUDGET and LOST where the same request comes again: it is found within
// three crashes and three seconds, and no other request or segment is blamed, neither one
// that is retried beside it nor one that is repeated as often.
func TestDetectionOfRepeatedRequest(t *testing.T) {
	for name, c := range map[string]func(*world){
		"often":                        func(w *world) { w.repeatPerSecond = 4 },
		"seldom":                       func(w *world) { w.repeatPerSecond = 0.7 },
		"group":                        func(w *world) { w.repeatPerSecond, w.group = 2, true },
		"three endpoints":              func(w *world) { w.repeatPerSecond, w.endpoints = 2, make([]endpointModel, 3) },
		"popular beside it":            func(w *world) { w.repeatPerSecond, w.popularShare = 2, 0.3 },
		"other crashes":                func(w *world) { w.repeatPerSecond, w.failEvery = 1, 5*second },
		"other crashes, popular alone": func(w *world) { w.popularShare, w.failEvery, w.failCount = 0.5, 3*second, 3 },
		"losses of racks":              func(w *world) { w.repeatPerSecond, w.failEvery, w.failCount = 1, 9*second, 4 },
		"one after the other beside it": func(w *world) {
			w.repeatPerSecond, w.failEvery, w.failCount, w.failSpread = 2, 12*second, 8, 120
		},
		"restarts":                func(w *world) { w.repeatPerSecond, w.restartEvery = 2, 3*second },
		"restarts, popular alone": func(w *world) { w.popularShare, w.failEvery, w.restartEvery = 0.5, 3*second, 2*second },
		"all restart":             func(w *world) { w.repeatPerSecond, w.restartAllAt = 3, 17*second },
	} {
		for seed := range uint64(seeds) {
			t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
				w := newWorld(seed)
				w.attempts, w.tolerated = 2, 3
				c(w)
				w.run(45 * second)
				if blamed := slices.DeleteFunc(w.guilty, func(s elmsignature.Signature) bool { return s == repeated }); len(blamed) > 0 {
					t.Errorf("sound requests or segments %v are blamed", blamed)
				}
				if w.poisonedLate > 3 {
					t.Errorf("%d requests sent 3 s after the third crash, want 3 at most", w.poisonedLate)
				}
			})
		}
	}
}

// blamedInWaves returns the signatures that are blamed where most endpoints crash one after
// the other from other causes, and requests are tried at four of them.
func blamedInWaves(seed uint64) []elmsignature.Signature {
	w := newWorld(seed)
	w.failEvery, w.failCount, w.failSpread, w.attempts = 12*second, 10, 120, 4
	w.run(45 * second)
	return w.guilty
}

// Guards against LOST: a sound request is blamed that was tried at several endpoints while
// most of them crashed.
func TestWavesOfCrashesBlameNoRequest(t *testing.T) {
	for seed := range uint64(seeds) {
		if blamed := blamedInWaves(seed); slices.ContainsFunc(blamed, elmsignature.Signature.IsRequest) {
			t.Errorf("seed %d: %v are blamed", seed, blamed)
		}
	}
}

// Guards against LOST: a sound segment is blamed that several such requests share.
func TestWavesOfCrashesBlameNoSegment(t *testing.T) {
	isSegment := func(s elmsignature.Signature) bool { return !s.IsRequest() }
	for seed := range uint64(seeds) {
		if blamed := blamedInWaves(seed); slices.ContainsFunc(blamed, isSegment) {
			t.Errorf("seed %d: %v are blamed", seed, blamed)
		}
	}
}
