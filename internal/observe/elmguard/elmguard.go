// Package elmguard keeps an unexpected error in one piece of work from ending the process.
// A panic outside an HTTP handler otherwise ends all requests of the process.
//
// Work must hold no lock while it can panic, unless it unlocks it with defer.
//
// # Usage
//
//	guard := elmguard.New(logger, meter)
//	completed := guard.Run("plan "+service, func() { plan() })
package elmguard

import (
	"fmt"
	"runtime/debug"
	"strings"

	"github.com/elmcove/elmcove/internal/observe/elmlog"
	"github.com/elmcove/elmcove/internal/observe/elmmeter"
)

// maxStackBytes limits the stack in the log line of a panic.
const maxStackBytes = 2 << 10

// Guard recovers panics. It is safe for concurrent use.
type Guard struct {
	logger *elmlog.Logger
	meter  *elmmeter.Meter
}

// New returns a Guard that logs and counts panics.
func New(logger *elmlog.Logger, meter *elmmeter.Meter) Guard { return Guard{logger, meter} }

// Run runs a piece of work, and reports whether it completed without a panic.
func (g Guard) Run(work string, run func()) (completed bool) {
	defer func() {
		if !completed {
			g.Record(work, recover())
		}
	}()
	run()
	return true
}

// Record logs and counts a recovered panic. The first word of work is its kind.
func (g Guard) Record(work string, value any) {
	stack := debug.Stack()
	kind, _, _ := strings.Cut(work, " ")
	g.meter.Count("elmcove_panics_total", "kind", kind)
	g.logger.Event(elmlog.PanicRecovered, "work", work, "panic", fmt.Sprint(value), "stack", string(stack[:min(len(stack), maxStackBytes)]))
}
