// Package elmages finds in the logs of entries when their snapshots of the platform state
// were older than a limit, and what the entries logged about their reads then. Changes in
// the store, such as an endpoint that leaves, were unknown to an entry for at least as long.
//
// # Usage
//
//	ages, err := elmages.Read(os.Stdin, 2*time.Second)
//	fmt.Print(ages)
package elmages

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/elmcove/elmcove/internal/observe/elmline"
	"github.com/elmcove/elmcove/internal/observe/elmlog"
)

// readEvents are the events that explain the age of a snapshot.
var readEvents = []elmlog.Event{
	elmlog.StoreDown, elmlog.StoreRecovered, elmlog.PeerUsed, elmlog.StoreRestored, elmlog.StateSourceChanged,
	elmlog.EndpointKept, elmlog.ProcessResumed,
}

// maxReads is the number of lines about reads that are kept of a period.
const maxReads = 6

// period is a time in which all lines of an entry with an age have one over the limit.
type period struct {
	instance string
	// read is when the snapshot was read, and last when the last line has its age.
	read, last time.Time
	oldest     time.Duration
	lines      int
	// reads are the lines about reads in the period.
	reads []elmline.Line
}

// Ages holds the periods in which snapshots were older than a limit.
type Ages struct {
	limit   time.Duration
	periods []period
	lines   int
}

// Read reads a log of one or more entries, in which the lines of each are in order.
func Read(log io.Reader, limit time.Duration) (Ages, error) {
	ages := Ages{limit: limit}
	open := map[string]*period{}
	for line, err := range elmline.All(log) {
		if err != nil {
			return ages, err
		}
		at, hasTime := line.At()
		if !hasTime {
			continue
		}
		current := open[line.Instance]
		if current != nil && slices.Contains(readEvents, line.Event) && len(current.reads) < maxReads {
			current.reads = append(current.reads, line)
		}
		age, ok := line.Duration("age")
		if !ok || line.Event == elmlog.PeerUsed {
			continue // The age of a peer's snapshot.
		}
		ages.lines++
		switch {
		case age <= limit && current != nil:
			ages.periods = append(ages.periods, *current)
			delete(open, line.Instance)
		case age <= limit:
		case current == nil:
			open[line.Instance] = &period{instance: line.Instance, read: at.Add(-age), last: at, oldest: age, lines: 1}
		default:
			current.last, current.oldest, current.lines = at, max(current.oldest, age), current.lines+1
		}
	}
	for _, p := range open {
		ages.periods = append(ages.periods, *p)
	}
	slices.SortFunc(ages.periods, func(a, b period) int {
		return cmp.Or(a.read.Compare(b.read), strings.Compare(a.instance, b.instance))
	})
	return ages, nil
}

// String formats the periods for an operator, the earliest first.
func (a Ages) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d lines have an age, %d periods are over %v\n", a.lines, len(a.periods), a.limit)
	for _, p := range a.periods {
		fmt.Fprintf(&b, "%s: read at %s, in use until %s at least, %v old (%d lines)\n",
			p.instance, p.read.Format(time.StampMilli), p.last.Format(time.StampMilli), p.oldest.Round(time.Millisecond), p.lines)
		for _, l := range p.reads {
			b.WriteString("  " + l.String() + "\n")
		}
	}
	return b.String()
}
