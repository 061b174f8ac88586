package elmlocal_test

import (
	"context"
	"fmt"
	"net/url"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/elmcove/elmcove/internal/stand/elmlocal"
)

const (
	// agentBytes and entryBytes are the memory of an instance that runs an agent and an entry.
	agentBytes, entryBytes = 152 << 20, 284 << 20
	// faultyCalls is the number of requests whose responses have no end. An agent has 64
	// slots.
	faultyCalls = 56
	faultyTime  = 2 * time.Second
)

// startLean starts a small site whose programs have no race detector, which multiplies
// memory.
func startLean(t *testing.T) *fixture {
	t.Helper()
	lean := t.TempDir()
	build := exec.CommandContext(t.Context(), "go", "build", "-o", lean, "../../../cmd/elmcove", "../../../cmd/elmstand")
	if output, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v: %s", err, output)
	}
	return startWith(t, func(plan *elmlocal.Plan) {
		plan.Bin, plan.Untraced = lean, true
		plan.Entries, plan.ModelEndpoints, plan.PlainEndpoints = 1, 1, 1
		plan.CallTime = 10 * time.Millisecond
	})
}

// peakMemory returns the highest resident memory of a process so far, in bytes.
func (f *fixture) peakMemory(name string) int {
	f.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", f.site.ProcessID(name)))
	if err != nil {
		f.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	kilobytes, err := strconv.Atoi(strings.Fields(rest + " -")[0])
	if err != nil {
		f.Fatalf("%s has ended: %v", name, err)
	}
	return kilobytes << 10
}

// resetPeakMemory makes peakMemory measure from now on.
func (f *fixture) resetPeakMemory(name string) {
	f.Helper()
	if err := os.WriteFile(fmt.Sprintf("/proc/%d/clear_refs", f.site.ProcessID(name)), []byte("5"), 0); err != nil {
		f.Fatal(err)
	}
}

// orderUntil sends orders one after the other until the context ends, and returns how many
// were answered.
func (f *fixture) orderUntil(ctx context.Context) int {
	answered := 0
	for ctx.Err() == nil {
		if a := f.order(1, newKey(), settleTime); a.Status != 200 {
			f.Errorf("an order got status %d after %d: %s%v", a.Status, answered, a.Body, a.Err)
			break
		}
		answered++
	}
	return answered
}

// Guards against an agent or entry that runs out of memory, with the requests of others,
// because an endpoint answers many requests at once with a head or a body without end.
func TestEndpointsWithoutEnd(t *testing.T) {
	f := startLean(t)
	for _, response := range []string{
		"head", "interim", "body", "failure", "event", "stream", "dripping body", "dripping event", "large head",
	} {
		t.Run(response, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(f.ctx, faultyTime)
			defer cancel()
			f.resetPeakMemory("dispatch-1")
			f.resetPeakMemory("entry-1")
			var calls sync.WaitGroup
			for range faultyCalls {
				calls.Go(func() {
					for ctx.Err() == nil {
						_ = f.client.Post(ctx, f.entry(1)+"/services/dispatch/endless/"+url.PathEscape(response), "{}", "")
					}
				})
			}
			answered := f.orderUntil(ctx)
			calls.Wait()
			t.Logf("%d orders answered; peak of the agent %d MB, of the entry %d MB",
				answered, f.peakMemory("dispatch-1")>>20, f.peakMemory("entry-1")>>20)
			if f.peakMemory("dispatch-1") > agentBytes || f.peakMemory("entry-1") > entryBytes {
				t.Error("beyond the memory of an instance")
			}
		})
	}
}
