// Package elmline reads the log lines of the platform's processes, for commands that
// explain from logs what happened.
//
// # Usage
//
//	for line, err := range elmline.All(os.Stdin) {
//		fmt.Println(line.Event, line.Fields["request"])
//	}
package elmline

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"iter"
	"maps"
	"slices"
	"time"

	"github.com/elmcove/elmcove/internal/observe/elmlog"
)

// maxLineBytes is the longest log line that is read.
const maxLineBytes = 1 << 20

// Line is one logged event.
type Line struct {
	// Time is the timestamp as it was logged.
	Time     string
	Instance string
	Event    elmlog.Event
	Text     string
	Fields   map[string]any
}

// All returns the events of a log. It skips lines without JSON, and any text before the
// JSON of a line. A log that can't be read ends with an error.
func All(log io.Reader) iter.Seq2[Line, error] {
	return func(yield func(Line, error) bool) {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(nil, maxLineBytes)
		for scanner.Scan() {
			if line, ok := parse(scanner.Bytes()); ok && !yield(line, nil) {
				return
			}
		}
		if err := scanner.Err(); err != nil {
			yield(Line{}, fmt.Errorf("read log: %w", err))
		}
	}
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
	line.Event = elmlog.Event(number)
	for _, name := range []string{"@timestamp", "@module", "@message", "@level", "event"} {
		delete(fields, name)
	}
	return line, ok
}

// At returns the time at which the line was logged.
func (l Line) At() (time.Time, bool) {
	at, err := time.Parse(time.RFC3339Nano, l.Time)
	return at, err == nil
}

// Duration returns a field that is a duration.
func (l Line) Duration(name string) (time.Duration, bool) {
	text, _ := l.Fields[name].(string)
	d, err := time.ParseDuration(text)
	return d, err == nil
}

// String formats the line for an operator, with its fields sorted by name.
func (l Line) String() string {
	text := fmt.Sprintf("%s %s %d %s", l.Time, l.Instance, l.Event, l.Text)
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		text += fmt.Sprintf(" %s=%v", name, l.Fields[name])
	}
	return text
}
