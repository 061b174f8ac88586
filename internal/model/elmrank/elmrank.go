// Package elmrank holds the data types of a lock-step group: expert maps, the
// orders that roll out a map, and the reports of ranks.
//
// The ranks of a group begin each forward pass together. A number identifies a
// pass within an epoch. A group has a new epoch each time it opens.
//
// # Usage
//
//	layout := elmrank.InitialMap(sets, experts, ranks)
//	order := elmrank.Order{Operation: elmrank.Arm, Version: 7, Pass: 900, Epoch: 2}
package elmrank

import "slices"

// Map assigns experts to ranks: Map[set][rank] lists the experts of a rank in one
// set of layers, in ascending order.
type Map [][][]int

// InitialMap returns the map with which a group opens. It has one copy of each expert,
// assigned to the ranks round-robin.
func InitialMap(sets, experts, ranks int) Map {
	m := make(Map, sets)
	for s := range m {
		m[s] = make([][]int, ranks)
		for e := range experts {
			m[s][e%ranks] = append(m[s][e%ranks], e)
		}
	}
	return m
}

// Size returns the number of ranks, sets and experts of a map.
func (m Map) Size() (ranks, sets, experts int) {
	for _, set := range m {
		ranks = max(ranks, len(set))
		for _, held := range set {
			for _, e := range held {
				experts = max(experts, e+1)
			}
		}
	}
	return ranks, len(m), experts
}

// ValidExperts reports whether the lists of a rank, one for each set, hold only existing
// experts, each at most once.
func ValidExperts(held [][]int, experts int) bool {
	for _, list := range held {
		seen := map[int]bool{}
		for _, e := range list {
			if e < 0 || e >= experts || seen[e] {
				return false
			}
			seen[e] = true
		}
	}
	return true
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

// Operation is the kind of order.
type Operation int

const (
	// Prepare makes a rank copy the experts of a new map.
	Prepare Operation = iota
	// Arm makes a rank switch to a prepared map when a given pass begins.
	Arm
	// Disarm cancels an Arm.
	Disarm
	// Hold keeps the group from beginning a given pass until Release.
	Hold
	// Release ends a Hold.
	Release
)

// String returns the name of the operation for logs.
func (o Operation) String() string {
	return [...]string{"prepare", "arm", "disarm", "hold", "release"}[o]
}

// Order asks a rank to change its state.
type Order struct {
	Operation Operation
	Version   int64
	Map       Map
	// Reuse means that the rank has had Map before in the same epoch, under the version
	// Source, so that its agent may supply it.
	Reuse  bool
	Source int64
	// Pass is the pass to which an Arm, Hold or Release applies.
	Pass int64
	// Epoch is the group's epoch. A rank rejects the order in any other epoch.
	Epoch int64
}

// Outcome is the result of an order.
type Outcome int

const (
	// Unknown means that there was no answer. The rank may execute the order
	// now, later or never.
	Unknown Outcome = iota
	// Accepted means that the rank executes the order or is already in the
	// requested state.
	Accepted
	// Rejected means that the order does not fit the rank's state.
	Rejected
)

// String returns the name of the outcome for logs.
func (o Outcome) String() string {
	return [...]string{"no answer", "accepted", "rejected"}[o]
}

// Report is the state of a rank, as the rank reports it.
type Report struct {
	Group string
	Epoch int64
	Rank  int
	Size  int
	// Open reports whether all ranks of the group are present.
	Open bool
	// Pass is the last pass that has begun.
	Pass int64
	// ActiveVersion is the version of the map in use.
	ActiveVersion int64
	// PreparedVersion is the version of which the rank has copied all experts, or 0.
	PreparedVersion int64
	// ArmedVersion is the version to which the rank switches, or 0, and ArmedPass is
	// the pass at which it does.
	ArmedVersion int64
	ArmedPass    int64
	// HeldPass is the pass that the rank keeps the group from beginning, or 0.
	HeldPass int64
	Waiting  int
	Running  int
	// Pace is the time that the rank takes relative to the usual time. It is
	// over 1 for a slow rank.
	Pace float64
}

// Counts holds how often the requests of a rank have selected each expert since
// the rank started: Counts[set*experts+expert].
type Counts struct {
	Pass   int64
	Epoch  int64
	Counts []int64
}
