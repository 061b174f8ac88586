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

// resetPeakMemory makes checkPeakMemory measure from now on.
func (f *fixture) resetPeakMemory() {
	f.Helper()
	for _, name := range []string{"dispatch-1", "entry-1"} {
		if err := os.WriteFile(fmt.Sprintf("/proc/%d/clear_refs", f.site.ProcessID(name)), []byte("5"), 0); err != nil {
			f.Fatal(err)
		}
	}
}

// checkPeakMemory checks that an agent and an entry have kept to the memory of their
// instances.
func (f *fixture) checkPeakMemory(t *testing.T) {
	t.Helper()
	agent, entry := f.peakMemory("dispatch-1"), f.peakMemory("entry-1")
	t.Logf("peak of the agent %d MB, of the entry %d MB", agent>>20, entry>>20)
	if agent > agentBytes || entry > entryBytes {
		t.Error("beyond the memory of an instance")
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
			f.resetPeakMemory()
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
			t.Logf("%d orders answered", answered)
			f.checkPeakMemory(t)
		})
	}
}

// Guards against an agent or entry that runs out of memory, with the requests of others,
// because the key-value service answers with documents without end.
func TestStoreWithoutEnd(t *testing.T) {
	f := startLean(t)
	key := newKey()
	if a := f.settle(1, key); a.Status != 200 {
		t.Fatalf("an order got status %d: %s%v", a.Status, a.Body, a.Err)
	}
	f.resetPeakMemory()
	f.fault("endless")
	ctx, cancel := context.WithTimeout(f.ctx, 2*faultyTime)
	defer cancel()
	var calls sync.WaitGroup
	for range faultyCalls {
		calls.Go(func() {
			for ctx.Err() == nil {
				_ = f.client.Order(ctx, f.entry(1), newKey()) // Its claim can't be read.
			}
		})
	}
	for ctx.Err() == nil {
		if a := f.client.StreamCompletion(f.ctx, f.entry(1), 2); !a.Complete(2) {
			t.Errorf("a completion got status %d: %s%v", a.Status, a.Body, a.Err)
			break
		}
	}
	calls.Wait()
	f.checkPeakMemory(t)
	f.fault("none")
	if a := f.settle(1, newKey()); a.Status != 200 {
		t.Errorf("an order got status %d: %s%v", a.Status, a.Body, a.Err)
	}
}
