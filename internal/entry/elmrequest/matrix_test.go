package elmrequest_test

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/elmcove/elmcove/internal/entry/elmrequest"
)

// steps are the events of a keyed request that succeeds without a fault, in
// order.
var steps = []string{
	"read claim", "read claim reply", "open", "start claim", "start claim reply",
	"run", "reply", "record claim", "record claim reply", "answer",
}

// faults maps the name of each fault to a function that injects it at an event.
var faults = map[string]func(s *simulation, e *event){
	"lost": func(_ *simulation, e *event) { e.lose() },
	"duplicated": func(s *simulation, e *event) {
		e.arrive()
		if duplicable(e.name) {
			s.pending = append(s.pending, e)
		}
	},
	"late": func(s *simulation, e *event) {
		e.lose()
		if e.name == "open" {
			s.push("open late", e.arrive, func() {})
		}
	},
	"reordered": func(s *simulation, e *event) { s.pending = append(s.pending, e) },
	"caller disconnected": func(s *simulation, e *event) {
		s.exchanges[len(s.exchanges)-1].deliver(elmrequest.Left{})
		s.pending = append(s.pending, e)
	},
	"deadline expired": func(s *simulation, e *event) {
		s.exchanges[len(s.exchanges)-1].deliver(elmrequest.Expired{})
		s.pending = append(s.pending, e)
	},
	"entry killed": func(s *simulation, e *event) {
		s.exchanges[len(s.exchanges)-1].killed = true
		s.pending = append(s.pending, e)
	},
	"entry resumed": func(s *simulation, e *event) {
		s.exchanges[len(s.exchanges)-1].deliver(elmrequest.Thawed{})
		s.pending = append(s.pending, e)
	},
	"agent killed": func(s *simulation, e *event) {
		s.killAgent((len(s.exchanges) - 1) % agentCount)
		s.pending = append(s.pending, e)
	},
	"store down": func(s *simulation, e *event) {
		s.storeDown = true
		e.arrive()
	},
	"endpoint full": func(s *simulation, e *event) {
		s.full[(len(s.exchanges)-1)%agentCount] = true
		e.arrive()
	},
}

// faultCase is a fault that is injected at a step.
type faultCase struct {
	step  string
	fault string
}

func (c faultCase) String() string { return c.fault + " at " + c.step }

func faultCases() []faultCase {
	var all []faultCase
	for _, s := range steps {
		for f := range faults {
			all = append(all, faultCase{step: s, fault: f})
		}
	}
	slices.SortFunc(all, func(a, b faultCase) int {
		if a.String() < b.String() {
			return -1
		}
		return 1
	})
	return all
}

// duplicable reports whether the network may deliver an event twice. Replies of
// the store and the service can't be duplicated, since HTTP matches them to
// their calls.
func duplicable(name string) bool {
	return name == "open"
}

// runScenario sends the request once for each case and injects the fault of the
// case at its step. Afterwards the caller retries at other entries, while
// delayed events still arrive.
func runScenario(s *simulation, cases []faultCase) {
	for _, c := range cases {
		s.storeDown = false
		s.sendRequest()
		for range 100 {
			index := slices.IndexFunc(s.pending, func(e *event) bool { return e.name == c.step })
			if index >= 0 {
				faults[c.fault](s, s.take(index))
				break
			}
			if len(s.pending) == 0 {
				break
			}
			s.take(0).arrive()
		}
	}
	s.storeDown = false
	s.sendRequest()
	s.drain()
	s.sendRequest()
	s.drain()
}

// TestMatrix checks, for every fault at every step and for every pair of these,
// that a keyed request runs at most once and that no request that ran is
// reported as not-run.
func TestMatrix(t *testing.T) {
	all := faultCases()
	Convey("Each fault at each step", t, func() {
		for _, c := range all {
			s := newSimulation()
			runScenario(s, []faultCase{c})
			So(fmt.Sprint(c, s.violations), ShouldEqual, fmt.Sprint(c, []string(nil)))
		}
	})
	Convey("Each pair of faults at each pair of steps", t, func() {
		failed := 0
		for _, first := range all {
			for _, second := range all {
				s := newSimulation()
				runScenario(s, []faultCase{first, second})
				if len(s.violations) > 0 {
					failed++
					t.Logf("%s, then %s: %v", first, second, s.violations)
				}
			}
		}
		So(failed, ShouldEqual, 0)
		t.Logf("%d fault cases and %d pairs", len(all), len(all)*len(all))
	})
}

// TestSettles checks that a retry gets a response after a single fault at a step
// before the claim is started. It only logs later faults that leave the outcome
// unknown, as the kill of an agent that has a started claim does.
func TestSettles(t *testing.T) {
	unknown := map[string]bool{}
	for _, c := range faultCases() {
		s := newSimulation()
		runScenario(s, []faultCase{c})
		last := s.exchanges[len(s.exchanges)-1]
		if last.answer != "whole" && last.answer != "replayed" {
			unknown[c.String()] = true
		}
	}
	t.Logf("%d of %d fault cases leave the outcome unknown: %v", len(unknown), len(faultCases()), unknown)
	for _, st := range []string{"read claim", "read claim reply", "open"} {
		for f := range faults {
			if name := (faultCase{step: st, fault: f}).String(); unknown[name] {
				t.Errorf("%s: outcome is unknown, but no claim had been started", name)
			}
		}
	}
}

// TestInterleavings checks the properties of TestMatrix under random schedules
// of events, faults and retries.
func TestInterleavings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation()
		runRandomSchedule(t, s)
		if len(s.violations) > 0 {
			t.Fatalf("%v after\n%s", s.violations, strings.Join(s.log, "\n"))
		}
	})
}

// TestObserver checks that the simulation detects violations if one of the
// protocol's mechanisms is disabled.
func TestObserver(t *testing.T) {
	tests := map[string]func(s *simulation){
		"no claim before the run":   func(s *simulation) { s.noClaim = true },
		"claims without comparison": func(s *simulation) { s.noCompare = true },
		"not-run without a fence":   func(s *simulation) { s.noFence = true },
	}
	for name, disable := range tests {
		t.Run(name, func(t *testing.T) {
			detected := 0
			for _, first := range faultCases() {
				for _, second := range faultCases() {
					s := newSimulation()
					disable(s)
					runScenario(s, []faultCase{first, second})
					if len(s.violations) > 0 {
						detected++
					}
				}
			}
			t.Logf("%d pairs violated", detected)
			if detected == 0 {
				t.Error("no violation was detected")
			}
		})
	}
}

// runRandomSchedule executes a random sequence of events, faults and retries.
func runRandomSchedule(t *rapid.T, s *simulation) {
	s.sendRequest()
	randomIndex := func() int { return rapid.IntRange(0, len(s.pending)-1).Draw(t, "event") }
	t.Repeat(map[string]func(*rapid.T){
		"arrive": func(*rapid.T) {
			if len(s.pending) > 0 {
				s.take(randomIndex()).arrive()
			}
		},
		"fault": func(t *rapid.T) {
			if len(s.pending) > 0 {
				name := rapid.SampledFrom(slices.Sorted(maps.Keys(faults))).Draw(t, "fault")
				faults[name](s, s.take(randomIndex()))
			}
		},
		"ask": func(*rapid.T) {
			if len(s.exchanges) < 5 {
				s.sendRequest()
			}
		},
		"store up": func(*rapid.T) { s.storeDown = false },
		"kill agent": func(t *rapid.T) {
			s.killAgent(rapid.IntRange(0, agentCount-1).Draw(t, "agent"))
		},
	})
	s.storeDown = false
	s.drain()
}

// TestMain sets a fixed seed, so that all runs check the same schedules.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "3000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
