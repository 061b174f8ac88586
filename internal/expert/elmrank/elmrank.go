// Package elmrank describes the ranks of a lock-step group, their expert maps,
// and the orders by which a map is changed.
//
// # Usage
//
//	layout := elmrank.First(sets, experts, ranks)
//	order := elmrank.Order{Operation: elmrank.Arm, Version: 7, Step: 900, Epoch: 2}
package elmrank

import "slices"

// Map tells which experts each rank holds: Map[set][rank] is a list of experts
// in ascending order.
type Map [][][]int

// First returns the map with which a group opens: each expert once, dealt to
// the ranks in turn.
func First(sets, experts, ranks int) Map {
	m := make(Map, sets)
	for s := range m {
		m[s] = make([][]int, ranks)
		for e := range experts {
			m[s][e%ranks] = append(m[s][e%ranks], e)
		}
	}
	return m
}

// Clone returns a deep copy.
func (m Map) Clone() Map {
	c := make(Map, len(m))
	for s := range m {
		c[s] = make([][]int, len(m[s]))
		for r := range m[s] {
			c[s][r] = slices.Clone(m[s][r])
		}
	}
	return c
}

// Operation is the kind of an order.
type Operation int

const (
	// Prepare copies the experts of a new map to a rank.
	Prepare Operation = iota
	// Arm makes a rank switch to a prepared map as a pass begins.
	Arm
	// Disarm takes an Arm back.
	Disarm
	// Hold keeps the group from beginning a pass until Go.
	Hold
	// Go releases a Hold.
	Go
)

// String returns the name of an operation for logs.
func (o Operation) String() string {
	return [...]string{"prepare", "arm", "disarm", "hold", "release"}[o]
}

// Order asks a rank to change its state.
type Order struct {
	Operation Operation
	Version   int64
	Map       Map
	// Step is the pass that an Arm, Hold or Go is about.
	Step int64
	// Epoch makes the order void in any other epoch of the group.
	Epoch int64
}

// Outcome tells what a rank said to an order.
type Outcome int

const (
	// Unknown means that no answer came, so that the order may be carried
	// out now, later or never.
	Unknown Outcome = iota
	// Accepted means that the order has begun or its state already holds.
	Accepted
	// Rejected means that the order does not fit the rank's state.
	Rejected
)

// String returns the name of an outcome for logs.
func (o Outcome) String() string {
	return [...]string{"no answer", "accepted", "rejected"}[o]
}

// Report is what a rank says of itself.
type Report struct {
	Group string
	Epoch int64
	Rank  int
	Size  int
	// Open is false while a rank of the group is missing.
	Open bool
	// Step is the last pass that was begun.
	Step int64
	// Map is the version in use.
	Map int64
	// Prepared is the version whose copy is complete, or 0.
	Prepared int64
	// Armed is the version to switch to, or 0, and ArmedStep the pass at which.
	Armed     int64
	ArmedStep int64
	// Held is the pass that the rank keeps the group from, or 0.
	Held    int64
	Waiting int
	Running int
	// Pace is over 1 where the rank is slow.
	Pace float64
}

// Counts tells how often the requests of a rank chose each expert since it
// started: Counts[set*experts+expert].
type Counts struct {
	Step   int64
	Epoch  int64
	Counts []int64
}
