package elmlocal_test

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/elmcove/elmcove/internal/stand/elmclient"
	"github.com/elmcove/elmcove/internal/stand/elmlocal"
	"github.com/elmcove/elmcove/internal/stand/elmudprelay"
)

// rolloutLimit is the time within which a new revision must be in force at all
// entries.
const rolloutLimit = 11 * time.Second

// withRelays puts a relay in front of each agent.
func withRelays(plan *elmlocal.Plan) { plan.Relayed = true }

// partition applies a partition to all agents of a service.
func (f *fixture) partition(service string, partition elmudprelay.Partition) {
	for _, e := range f.site.Endpoints {
		if e.Service == service {
			f.site.SetPartition(e.Agent, partition)
		}
	}
}

// TestCutDuringOrder guards against a second execution of an order after the
// entry loses its links to the agents while the order runs. The first response
// reports the outcome as unknown, or is complete. A retry with the same key
// then succeeds, and the order has run once.
func TestCutDuringOrder(t *testing.T) {
	t.Parallel()
	tests := map[string]elmudprelay.Partition{"both ways": elmudprelay.Both, "to the agent": elmudprelay.ToAgent, "to the entry": elmudprelay.ToEntry}
	for name, partition := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startWith(t, withRelays)
			key := newKey()
			var first elmclient.Response
			var group sync.WaitGroup
			group.Go(func() { first = f.order(1, key, 2*settleTime) })
			f.waitFor("the order executed", settleTime, func() bool { return f.site.Executions(f.ctx, key) == 1 })
			f.partition("dispatch", partition)
			group.Wait()
			if first.Status != 200 {
				f.wantOutcome(first, "unknown")
			}
			f.partition("dispatch", elmudprelay.None)
			if a := f.settle(2, key); a.Status != 200 {
				t.Errorf("the retried order got status %d: %s", a.Status, a.Body)
			}
			f.wantExecutions(key, 1, 1)
		})
	}
}

// TestCutBeforeOrder guards against the late execution of an order that was
// reported as not run. The entries are partitioned from the agents before the
// order arrives, and the order must not run after the partition ends.
func TestCutBeforeOrder(t *testing.T) {
	t.Parallel()
	tests := map[string]elmudprelay.Partition{"both ways": elmudprelay.Both, "to the agent": elmudprelay.ToAgent, "to the entry": elmudprelay.ToEntry}
	for name, partition := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startWith(t, withRelays)
			key := newKey()
			f.partition("dispatch", partition)
			first := f.order(1, key, 3*settleTime)
			f.partition("dispatch", elmudprelay.None)
			sleep(f.ctx, 4*callTime)
			if first.Problem().Outcome == "not-run" {
				f.wantExecutions(key, 0, 0)
			}
			f.wantExecutions(key, 0, 1)
			if a := f.settle(2, key); a.Status != 200 {
				t.Errorf("the retried order got status %d: %s", a.Status, a.Body)
			}
			f.wantExecutions(key, 1, 1)
		})
	}
}

// TestCutDuringStream guards against a truncated stream that looks complete, and
// against an engine that goes on after the entry is disconnected from the agent.
func TestCutDuringStream(t *testing.T) {
	t.Parallel()
	f := startWith(t, withRelays)
	var a elmclient.Response
	var group sync.WaitGroup
	group.Go(func() { a = f.client.StreamCompletion(f.ctx, f.entry(1), 20*tokens) })
	f.waitFor("tokens generated", settleTime, func() bool { return f.site.EngineCounts(f.ctx, "").Tokens > 5 })
	f.partition("draft", elmudprelay.Both)
	group.Wait()
	if a.LooksComplete() || !strings.Contains(a.Body, "event: error") {
		t.Errorf("a truncated answer looks complete: %d %v", a.Status, a.Err)
	}
	f.waitFor("the request cancelled at the engine", settleTime, func() bool { return f.site.EngineCounts(f.ctx, "").Cancelled == 1 })
}

// TestStoreSlow checks that a slow store delays no completion, and that an order
// with a key, which needs the store, is reported as unknown and runs once.
func TestStoreSlow(t *testing.T) {
	t.Parallel()
	f := start(t)
	f.fault("slow")
	if a := f.client.StreamCompletion(f.ctx, f.entry(1), tokens); !a.Complete(tokens) {
		t.Errorf("the completion got status %d: %s", a.Status, a.Body)
	}
	key := newKey()
	f.wantOutcome(f.order(1, key, settleTime), "unknown")
	f.fault("none")
	if a := f.settle(1, key); a.Status != 200 {
		t.Errorf("the order got status %d: %s", a.Status, a.Body)
	}
	f.wantExecutions(key, 1, 1)
}

// TestAgentRestartsCold checks that no engine is overloaded after a restart of
// its agent, which loses the learned concurrency limit.
func TestAgentRestartsCold(t *testing.T) {
	t.Parallel()
	f := start(t)
	stop := make(chan struct{})
	var group sync.WaitGroup
	for i := range 6 {
		group.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					_ = f.client.StreamCompletion(f.ctx, f.entry(1+i%3), tokens)
				}
			}
		})
	}
	for _, agent := range []string{"draft-1", "draft-2", "draft-3"} {
		sleep(f.ctx, 500*time.Millisecond)
		f.signal(agent, syscall.SIGKILL)
		if err := f.site.WaitExit(f.ctx, agent); err != nil {
			t.Fatal(err)
		}
		if err := f.site.Restart(agent); err != nil {
			t.Fatal(err)
		}
	}
	sleep(f.ctx, 2*time.Second)
	close(stop)
	group.Wait()
	if counts := f.site.EngineCounts(f.ctx, ""); counts.Overrun > 0 || counts.Finished == 0 {
		t.Errorf("%d requests beyond the capacity of the engines, %d finished", counts.Overrun, counts.Finished)
	}
}

// TestAbandonment checks that engines stop soon after callers disconnect. When
// 60% of the callers disconnect, under 2% of the tokens may be generated for
// disconnected callers.
func TestAbandonment(t *testing.T) {
	t.Parallel()
	const callers = 60
	f := startWith(t, func(plan *elmlocal.Plan) {
		plan.StepTime = 8 * time.Millisecond
		plan.ColdCapacity = plan.WarmCapacity
	})
	random := rand.New(rand.NewPCG(1, 2))
	received := make([]int, callers)
	var group sync.WaitGroup
	for i := range callers {
		ctx, cancel := context.WithCancel(f.ctx)
		if random.Float64() < 0.6 {
			time.AfterFunc(time.Duration(200+random.IntN(800))*time.Millisecond, cancel)
		}
		group.Go(func() {
			defer cancel()
			a := f.client.StreamCompletion(ctx, f.entry(1+i%3), 4*tokens)
			received[i] = strings.Count(a.Body, "content")
		})
		sleep(f.ctx, 50*time.Millisecond)
	}
	group.Wait()
	total := 0
	for _, n := range received {
		total += n
	}
	sleep(f.ctx, 500*time.Millisecond)
	counts := f.site.EngineCounts(f.ctx, "")
	share := 1 - float64(total)/float64(counts.Tokens)
	t.Logf("%d tokens generated, %d received, %.2f%% for disconnected callers; %d requests cancelled", counts.Tokens, total, 100*share, counts.Cancelled)
	if total < callers*tokens {
		t.Errorf("only %d tokens received", total)
	}
	if share > 0.02 {
		t.Errorf("%.2f%% of the tokens were generated for disconnected callers", 100*share)
	}
}

// TestAbandonedAtLimit guards against overload by cancelled requests. The slot
// of a cancelled request may be reused only after the engine has ended it.
func TestAbandonedAtLimit(t *testing.T) {
	t.Parallel()
	const callers, rounds = 12, 25
	f := startWith(t, func(plan *elmlocal.Plan) {
		plan.WarmCapacity = 2
		plan.ColdCapacity = 2
	})
	var group sync.WaitGroup
	for i := range callers {
		random := rand.New(rand.NewPCG(uint64(i), 3))
		group.Go(func() {
			for range rounds {
				ctx, cancel := context.WithTimeout(f.ctx, time.Duration(30+random.IntN(120))*time.Millisecond)
				_ = f.client.StreamCompletion(ctx, f.entry(1+i%3), tokens)
				cancel()
			}
		})
	}
	group.Wait()
	counts := f.site.EngineCounts(f.ctx, "")
	t.Logf("%d started, %d cancelled", counts.Started, counts.Cancelled)
	if counts.Overrun > 0 || counts.Cancelled < callers {
		t.Errorf("%d requests beyond the capacity of the engines, %d cancelled", counts.Overrun, counts.Cancelled)
	}
}

// TestInForce checks that a new configuration revision is in force at all
// entries within 11 s, also at an entry that was suspended during the change.
func TestInForce(t *testing.T) {
	t.Parallel()
	f := start(t)
	begin := time.Now()
	f.command("drain", "-platform", f.site.Platform, "-wait", "draft-1")
	t.Logf("new revision in force after %s", time.Since(begin))
	f.signal("entry-2", syscall.SIGSTOP)
	f.command("undrain", "-platform", f.site.Platform, "draft-1")
	sleep(f.ctx, 5*time.Second)
	f.signal("entry-2", syscall.SIGCONT)
	f.waitFor("the new revision in force at the resumed entry", rolloutLimit, func() bool { return f.site.Revision(f.ctx, "entry-2") == 3 })
}

// TestApplyLosesReply checks that a command reports an accepted change whose
// reply was lost as accepted, and that the change is stored once.
func TestApplyLosesReply(t *testing.T) {
	t.Parallel()
	f := start(t)
	f.fault("lost")
	if output := f.command("drain", "-platform", f.site.Platform, "draft-1"); !strings.Contains(output, "revision 2 accepted") {
		t.Error(output)
	}
	f.fault("none")
	if lines := strings.Count(f.command("history", "-platform", f.site.Platform), "\n"); lines != 2 {
		t.Errorf("history has %d changes, want 2", lines)
	}
}
