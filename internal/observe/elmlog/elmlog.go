// Package elmlog writes structured log lines for numbered events. docs/EVENTS.md
// lists the events.
//
// # Usage
//
//	logger := elmlog.New("entry-1", "info", os.Stderr)
//	logger.Event(elmlog.Started, "http", address)
package elmlog

import (
	"fmt"
	"io"
	"log"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
)

// maxValueBytes limits a value in a line. Errors may quote what a peer has sent.
const maxValueBytes = 1 << 10

// stackKey is the key of the stack of a panic.
const stackKey = "stack"

// Logger writes events to one output. It is safe for concurrent use.
type Logger struct {
	logger hclog.Logger
	// limiter is nil if the number of lines is not limited.
	limiter *limiter
}

// New returns a Logger for a named process. It writes events of the given level
// (debug, info, warn, or error) and above as text.
func New(name, level string, w io.Writer) *Logger {
	return &Logger{logger: hclog.New(&hclog.LoggerOptions{
		Name:   name,
		Level:  hclog.LevelFromString(level),
		Output: w,
	})}
}

// NewJSON returns a Logger that writes events as lines of JSON. The rate of each
// event is limited.
func NewJSON(name string, w io.Writer) *Logger {
	return &Logger{
		logger:  hclog.New(&hclog.LoggerOptions{Name: name, Output: w, JSONFormat: true}),
		limiter: &limiter{windows: map[Event]*window{}},
	}
}

// maxReportBytes limits what is logged of a library's report, which may quote a peer.
const maxReportBytes = 256

// Standard returns a standard library logger whose lines are events.
func (l *Logger) Standard() *log.Logger { return log.New(reports{l}, "", 0) }

// CaptureStandard makes the process's standard library logger write events, as Standard does.
// Otherwise libraries write lines of any length to the standard error, and wait for its reader.
func (l *Logger) CaptureStandard() {
	log.SetFlags(0)
	log.SetOutput(reports{l})
}

// reports writes the lines of libraries as events.
type reports struct {
	logger *Logger
}

// Write implements io.Writer.
func (r reports) Write(line []byte) (int, error) {
	r.logger.Event(LibraryReported, "text", strings.TrimSpace(string(line[:min(len(line), maxReportBytes)])))
	return len(line), nil
}

// Discard returns a Logger that writes nothing.
func Discard() *Logger {
	return &Logger{logger: hclog.NewNullLogger()}
}

// Event writes an event with alternating keys and values. Durations are rounded
// to microseconds, and long strings and errors are cut.
func (l *Logger) Event(e Event, pairs ...any) {
	entry, ok := catalogue[e]
	if !ok {
		entry = Entry{Level: hclog.Error, Text: "unknown event"}
	}
	line := append([]any{"event", int(e)}, pairs...)
	if l.limiter != nil {
		allowed, omitted := l.limiter.allow(e, time.Now())
		if !allowed {
			return
		}
		if omitted > 0 {
			line = append(line, "omitted", omitted)
		}
	}
	for i, value := range line {
		if i > 0 && line[i-1] == stackKey {
			continue // It has a limit of its own.
		}
		line[i] = format(value)
	}
	l.logger.Log(entry.Level, entry.Text, line...)
}

// format returns the form in which a value is written.
func format(value any) any {
	switch v := value.(type) {
	case time.Duration:
		return v.Round(time.Microsecond).String()
	case string:
		return cut(v)
	case error:
		return cut(v.Error())
	}
	return value
}

func cut(text string) string {
	if len(text) <= maxValueBytes {
		return text
	}
	return fmt.Sprintf("%s… (%d bytes)", text[:maxValueBytes], len(text))
}
