// Package elmchart interprets state charts that are defined in JSON files.
//
// A chart lists its states, the events that each state accepts, and for each
// event the next state and the action to perform. Events that a state does not
// list are not accepted, which drops late and duplicate messages.
//
// # Usage
//
//	chart := elmchart.MustParse(document)
//	step, ok := chart.Step(chart.Initial(), "start")
//	if ok {
//		perform(step.Action)
//	}
package elmchart

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"sort"
)

// ErrChart reports a chart that is malformed or inconsistent.
var ErrChart = errors.New("invalid state chart")

// Step holds the next state and the action for an accepted event.
type Step struct {
	Next   string `json:"next"`
	Action string `json:"action"`
}

// Chart is an immutable state chart.
type Chart struct {
	initial string
	states  map[string]map[string]Step
}

type chartFile struct {
	Initial string                     `json:"initial"`
	States  map[string]map[string]Step `json:"states"`
}

// Parse reads a chart and checks that each transition leads to a known state.
func Parse(document []byte) (Chart, error) {
	decoder := json.NewDecoder(bytes.NewReader(document))
	decoder.DisallowUnknownFields()
	var f chartFile
	if err := decoder.Decode(&f); err != nil {
		return Chart{}, fmt.Errorf("%w: %w", ErrChart, err)
	}
	chart := Chart{initial: f.Initial, states: f.States}
	return chart, chart.check()
}

// MustParse is like Parse but panics if the chart is invalid. It is meant for
// charts that are embedded in the program.
func MustParse(document []byte) Chart {
	chart, err := Parse(document)
	if err != nil {
		panic(err)
	}
	return chart
}

// Initial returns the name of the initial state.
func (c Chart) Initial() string {
	return c.initial
}

// Step returns the transition for an event and whether the state accepts the
// event.
func (c Chart) Step(state, event string) (Step, bool) {
	step, ok := c.states[state][event]
	return step, ok
}

// States returns the sorted names of all states.
func (c Chart) States() []string {
	names := make([]string, 0, len(c.states))
	for name := range c.states {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Events returns the sorted names of the events that a state accepts.
func (c Chart) Events(state string) []string {
	names := make([]string, 0, len(c.states[state]))
	for name := range c.states[state] {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func (c Chart) check() error {
	if _, ok := c.states[c.initial]; !ok {
		return fmt.Errorf("%w: initial state %q is not defined", ErrChart, c.initial)
	}
	for state, events := range c.states {
		for event, step := range events {
			if _, ok := c.states[step.Next]; !ok {
				return fmt.Errorf("%w: %s/%s leads to unknown state %q", ErrChart, state, event, step.Next)
			}
		}
	}
	return nil
}
