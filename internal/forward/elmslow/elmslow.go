// Package elmslow is the list by which a planner tells the entries which ranks to
// send no work to: slow ones, and those that belong to no open group.
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

// Key precedes the name of a service in the store.
const Key = "slow/"

// List holds how many times as long as usual ranks take, by their addresses.
type List map[string]float64

// Parse reads a list. What it can't read is left out.
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

// String returns the form that Parse reads, in the order of addresses.
func (l List) String() string {
	var entries []string
	for _, address := range slices.Sorted(maps.Keys(l)) {
		entries = append(entries, fmt.Sprintf("%s=%g", address, l[address]))
	}
	return strings.Join(entries, " ")
}
