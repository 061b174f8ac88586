package elmlog_test

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/elmcove/elmcove/internal/observe/elmlog"
)

// Guards against a process that runs out of memory by lines that wait for a slow reader of
// its log: an error of the HTTP client quotes what an endpoint has sent as a status line.
func TestLongValuesAreCut(t *testing.T) {
	long := strings.Repeat("\x00é", 30<<10)
	for name, newLogger := range map[string]func(io.Writer) *elmlog.Logger{
		"text": func(w io.Writer) *elmlog.Logger { return elmlog.New("a", "info", w) },
		"json": func(w io.Writer) *elmlog.Logger { return elmlog.NewJSON("a", w) },
	} {
		for kind, value := range map[string]any{"string": long, "error": errors.New(long)} {
			t.Run(name+", "+kind, func(t *testing.T) {
				var line bytes.Buffer
				newLogger(&line).Event(elmlog.EndpointFailed, "request", "r1", "error", value)
				if line.Len() > 16<<10 || !strings.Contains(line.String(), "r1") {
					t.Errorf("a line of %d bytes", line.Len())
				}
			})
		}
	}
}

// Guards against the stack of a panic that is cut before it shows where the panic happened.
func TestStackIsKept(t *testing.T) {
	stack := strings.Repeat("s", 2<<10)
	var line bytes.Buffer
	elmlog.NewJSON("a", &line).Event(elmlog.PanicRecovered, "panic", "p", "stack", stack)
	if !strings.Contains(line.String(), stack) {
		t.Errorf("a line of %d bytes", line.Len())
	}
}
