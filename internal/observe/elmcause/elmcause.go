// Package elmcause finds what the logs of the platform's processes tell of one
// request: its own lines, and what its entry believed when they were written.
//
// # Usage
//
//	story, err := elmcause.Read(os.Stdin, "9c41d07be2a35f68")
//	fmt.Print(story)
package elmcause

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/elmcove/elmcove/internal/observe/elmlog"
)

// ErrUnknown reports that no line tells of the request.
var ErrUnknown = errors.New("no line tells of the request")

// lineBytes bounds a line of a log.
const lineBytes = 1 << 20

// context lists the events that change what an entry believes.
var context = []elmlog.Event{
	elmlog.ConfigAdopted, elmlog.StoreDown, elmlog.StoreBack, elmlog.NeighbourUsed, elmlog.ReadinessChanged,
	elmlog.EndpointListed, elmlog.EndpointLeaving, elmlog.EndpointGone, elmlog.DatacentreWithdrawn,
	elmlog.DatacentreReturned, elmlog.GroupBroken, elmlog.GroupOpen, elmlog.Stopping, elmlog.Started,
}

// contextLines is the number of such lines that are shown.
const contextLines = 6

// Line is one event of a log.
type Line struct {
	Time     string
	Instance string
	Event    int
	Text     string
	Fields   map[string]any
}

// Story is what is known of a request.
type Story struct {
	// Before are the last changes of belief at the request's entry.
	Before []Line
	// Own are the lines that name the request.
	Own []Line
}

// Read reads a log. Lines that are no JSON, and what precedes the JSON of a
// line, are passed over.
func Read(log io.Reader, request string) (Story, error) {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, lineBytes)
	beliefs := map[string][]Line{}
	var story Story
	for scanner.Scan() {
		line, ok := parse(scanner.Bytes())
		if !ok {
			continue
		}
		if line.Fields["request"] == request {
			if len(story.Own) == 0 {
				story.Before = slices.Clone(beliefs[line.Instance])
			}
			story.Own = append(story.Own, line)
			continue
		}
		if slices.Contains(context, elmlog.Event(line.Event)) {
			beliefs[line.Instance] = append(beliefs[line.Instance], line)
			if known := beliefs[line.Instance]; len(known) > contextLines {
				beliefs[line.Instance] = known[1:]
			}
		}
	}
	if err := scanner.Err(); err != nil {
		return story, fmt.Errorf("read log: %w", err)
	}
	if len(story.Own) == 0 {
		return story, ErrUnknown
	}
	return story, nil
}

func parse(raw []byte) (Line, bool) {
	begin := bytes.IndexByte(raw, '{')
	if begin < 0 {
		return Line{}, false
	}
	fields := map[string]any{}
	if json.Unmarshal(raw[begin:], &fields) != nil {
		return Line{}, false
	}
	line := Line{Fields: fields}
	line.Time, _ = fields["@timestamp"].(string)
	line.Instance, _ = fields["@module"].(string)
	line.Text, _ = fields["@message"].(string)
	number, ok := fields["event"].(float64)
	line.Event = int(number)
	for _, name := range []string{"@timestamp", "@module", "@message", "@level", "event"} {
		delete(fields, name)
	}
	return line, ok
}

// String returns the story as lines for a person.
func (s Story) String() string {
	var b strings.Builder
	b.WriteString("what the entry believed:\n")
	for _, l := range s.Before {
		b.WriteString("  " + l.String() + "\n")
	}
	b.WriteString("the request:\n")
	for _, l := range s.Own {
		b.WriteString("  " + l.String() + "\n")
	}
	return b.String()
}

// String returns the line for a person.
func (l Line) String() string {
	text := fmt.Sprintf("%s %s %d %s", l.Time, l.Instance, l.Event, l.Text)
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		text += fmt.Sprintf(" %s=%v", name, l.Fields[name])
	}
	return text
}
