// Package elmlog writes numbered log events. The catalogue of events is in
// docs/EVENTS.md.
//
// # Usage
//
//	logger := elmlog.New("entry-1", "info", os.Stderr)
//	logger.Event(elmlog.Started, "http", address)
package elmlog

import (
	"io"
	"log"
	"time"

	"github.com/hashicorp/go-hclog"
)

// Logger writes events. It is safe for concurrent use.
type Logger struct {
	logger hclog.Logger
	// limits is nil where all lines are written.
	limits *limiter
}

// New returns a Logger for a named process that writes events from a level
// upwards: debug, info, warn, or error.
func New(name, level string, w io.Writer) *Logger {
	return &Logger{logger: hclog.New(&hclog.LoggerOptions{
		Name:   name,
		Level:  hclog.LevelFromString(level),
		Output: w,
	})}
}

// NewJSON returns a Logger that writes events as lines of JSON, a limited number
// of each event in a second.
func NewJSON(name string, w io.Writer) *Logger {
	return &Logger{
		logger: hclog.New(&hclog.LoggerOptions{Name: name, Output: w, JSONFormat: true}),
		limits: &limiter{rows: map[Event]*row{}},
	}
}

// Standard returns a logger of the standard library that writes to this one.
func (l *Logger) Standard() *log.Logger {
	return l.logger.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Warn})
}

// Discard returns a Logger that writes nothing.
func Discard() *Logger {
	return &Logger{logger: hclog.NewNullLogger()}
}

// Event writes an event with pairs of keys and values.
func (l *Logger) Event(e Event, pairs ...any) {
	entry, ok := catalogue[e]
	if !ok {
		entry = Entry{Level: hclog.Error, Text: "unknown event"}
	}
	line := append([]any{"event", int(e)}, pairs...)
	if l.limits != nil {
		allowed, omitted := l.limits.allow(e, time.Now())
		if !allowed {
			return
		}
		if omitted > 0 {
			line = append(line, "omitted", omitted)
		}
	}
	for i, value := range line {
		if elapsed, ok := value.(time.Duration); ok {
			line[i] = elapsed.Round(time.Microsecond).String()
		}
	}
	l.logger.Log(entry.Level, entry.Text, line...)
}
