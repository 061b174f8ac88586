// Package elmslow encodes the list with which a planner announces to the entries which
// ranks to avoid: slow ranks, and ranks that belong to no open group.
//
// # Usage
//
//	list := elmslow.Parse("10.0.0.4:80=12")
//	pace := list["10.0.0.4:80"]
package elmslow

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// KeyPrefix is the prefix of the store keys of the lists. The name of a service follows it.
const KeyPrefix = "slow/"

// List maps the address of a rank to its pace: the time that it takes relative to
// the usual time.
type List map[string]float64

// Parse decodes a list. It skips invalid entries.
func Parse(text string) List {
	list := List{}
	for _, entry := range strings.Fields(text) {
		address, pace, _ := strings.Cut(entry, "=")
		if n, err := strconv.ParseFloat(pace, 64); err == nil && n >= 1 {
			list[address] = n
		}
	}
	return list
}

// String encodes the list in the form that Parse decodes, sorted by address.
func (l List) String() string {
	var entries []string
	for _, address := range slices.Sorted(maps.Keys(l)) {
		entries = append(entries, fmt.Sprintf("%s=%g", address, l[address]))
	}
	return strings.Join(entries, " ")
}
