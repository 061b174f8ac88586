// Package elmcause collects from the logs of the platform's processes what
// happened to one request: its own log lines, and the last changes of the platform
// state that its entry logged before the first of them.
//
// # Usage
//
//	history, err := elmcause.Read(os.Stdin, "9c41d07be2a35f68")
//	fmt.Print(history)
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

// ErrUnknown reports that no log line names the request.
var ErrUnknown = errors.New("no log line names the request")

// maxLineBytes is the longest log line that Read accepts.
const maxLineBytes = 1 << 20

// contextEvents lists the events that change an entry's snapshot of the platform
// state or its readiness.
var contextEvents = []elmlog.Event{
	elmlog.ConfigAdopted, elmlog.StoreDown, elmlog.StoreRecovered, elmlog.PeerUsed, elmlog.ReadinessChanged,
	elmlog.EndpointListed, elmlog.EndpointLeaving, elmlog.EndpointRemoved, elmlog.DatacentreWithdrawn,
	elmlog.DatacentreReturned, elmlog.EndpointCrashed, elmlog.LeavingAnnounced, elmlog.PauseAnnounced, elmlog.PauseEnded, elmlog.GroupBroken, elmlog.GroupOpen, elmlog.Stopping, elmlog.Started,
}

// maxContextLines is the number of lines of context events that are shown.
const maxContextLines = 6

// Line is one logged event.
type Line struct {
	Time     string
	Instance string
	Event    int
	Text     string
	Fields   map[string]any
}

// History holds the log lines that concern a request.
type History struct {
	// Before are the last context events of the request's entry before the
	// first line in Own.
	Before []Line
	// Own are the lines that name the request.
	Own []Line
}

// Read reads a log. It skips lines without JSON, and any text before the JSON
// of a line.
func Read(log io.Reader, request string) (History, error) {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	recent := map[string][]Line{}
	var history History
	for scanner.Scan() {
		line, ok := parse(scanner.Bytes())
		if !ok {
			continue
		}
		if line.Fields["request"] == request {
			if len(history.Own) == 0 {
				history.Before = slices.Clone(recent[line.Instance])
			}
			history.Own = append(history.Own, line)
			continue
		}
		if slices.Contains(contextEvents, elmlog.Event(line.Event)) {
			recent[line.Instance] = append(recent[line.Instance], line)
			if lines := recent[line.Instance]; len(lines) > maxContextLines {
				recent[line.Instance] = lines[1:]
			}
		}
	}
	if err := scanner.Err(); err != nil {
		return history, fmt.Errorf("read log: %w", err)
	}
	if len(history.Own) == 0 {
		return history, ErrUnknown
	}
	return history, nil
}

// parse reads an event from a log line. It reports false if the line has no
// JSON object with an event number.
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

// String formats the lines for an operator.
func (h History) String() string {
	var b strings.Builder
	b.WriteString("the entry's last state changes before the request:\n")
	for _, l := range h.Before {
		b.WriteString("  " + l.String() + "\n")
	}
	b.WriteString("the request:\n")
	for _, l := range h.Own {
		b.WriteString("  " + l.String() + "\n")
	}
	return b.String()
}

// String formats the line for an operator, with its fields sorted by name.
func (l Line) String() string {
	text := fmt.Sprintf("%s %s %d %s", l.Time, l.Instance, l.Event, l.Text)
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		text += fmt.Sprintf(" %s=%v", name, l.Fields[name])
	}
	return text
}
