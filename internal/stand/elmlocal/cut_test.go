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
	"github.com/elmcove/elmcove/internal/stand/elmrelay"
)

// forceTime is the time within which a configuration is in force everywhere.
const forceTime = 11 * time.Second

func relayed(plan *elmlocal.Plan) { plan.Relayed = true }

func (f *fixture) cutAll(service string, cut elmrelay.Cut) {
	for _, e := range f.site.Endpoints {
		if e.Service == service {
			f.site.Cut(e.Agent, cut)
		}
	}
}

// TestCutDuringOrder proves that an order whose links are cut while it runs is
// called unknown, runs once, and is answered to the caller that asks again.
func TestCutDuringOrder(t *testing.T) {
	t.Parallel()
	tests := map[string]elmrelay.Cut{"both ways": elmrelay.Both, "to the agent": elmrelay.ToAgent, "to the entry": elmrelay.ToEntry}
	for name, cut := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startWith(t, relayed)
			key := newKey()
			var first elmclient.Answer
			var group sync.WaitGroup
			group.Go(func() { first = f.order(1, key, 2*settleTime) })
			f.until("the order runs", settleTime, func() bool { return f.site.Executions(f.ctx, key) == 1 })
			f.cutAll("dispatch", cut)
			group.Wait()
			if first.Status != 200 {
				f.wantOutcome(first, "unknown")
			}
			f.cutAll("dispatch", elmrelay.None)
			if a := f.settle(2, key); a.Status != 200 {
				t.Errorf("the repeated order answered %d: %s", a.Status, a.Body)
			}
			f.wantRuns(key, 1, 1)
		})
	}
}

// TestCutBeforeOrder proves that an order that can't reach an agent is called
// not run or unknown, and never runs after it was called not run.
func TestCutBeforeOrder(t *testing.T) {
	t.Parallel()
	tests := map[string]elmrelay.Cut{"both ways": elmrelay.Both, "to the agent": elmrelay.ToAgent, "to the entry": elmrelay.ToEntry}
	for name, cut := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startWith(t, relayed)
			key := newKey()
			f.cutAll("dispatch", cut)
			first := f.order(1, key, 3*settleTime)
			f.cutAll("dispatch", elmrelay.None)
			pause(f.ctx, 4*callTime)
			if first.Problem().Outcome == "not-run" {
				f.wantRuns(key, 0, 0)
			}
			f.wantRuns(key, 0, 1)
			if a := f.settle(2, key); a.Status != 200 {
				t.Errorf("the repeated order answered %d: %s", a.Status, a.Body)
			}
			f.wantRuns(key, 1, 1)
		})
	}
}

func TestCutDuringStream(t *testing.T) {
	t.Parallel()
	f := startWith(t, relayed)
	var a elmclient.Answer
	var group sync.WaitGroup
	group.Go(func() { a = f.client.Draft(f.ctx, f.entry(1), 20*tokens) })
	f.until("tokens flow", settleTime, func() bool { return f.site.EngineCounts(f.ctx, "").Tokens > 5 })
	f.cutAll("draft", elmrelay.Both)
	group.Wait()
	if a.LooksWhole() || !strings.Contains(a.Body, "event: error") {
		t.Errorf("a broken answer looks whole: %d %v", a.Status, a.Err)
	}
	f.until("cancelled at the engine", settleTime, func() bool { return f.site.EngineCounts(f.ctx, "").Cancelled == 1 })
}

func TestStoreSlow(t *testing.T) {
	t.Parallel()
	f := start(t)
	f.fault("slow")
	if a := f.client.Draft(f.ctx, f.entry(1), tokens); !a.Whole(tokens) {
		t.Errorf("a draft answered %d: %s", a.Status, a.Body)
	}
	key := newKey()
	f.wantOutcome(f.order(1, key, settleTime), "unknown")
	f.fault("none")
	if a := f.settle(1, key); a.Status != 200 {
		t.Errorf("the order answered %d: %s", a.Status, a.Body)
	}
	f.wantRuns(key, 1, 1)
}

// TestAgentRestartsCold proves that an endpoint whose agent has lost what it
// learned is given no more than it can bear.
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
					_ = f.client.Draft(f.ctx, f.entry(1+i%3), tokens)
				}
			}
		})
	}
	for _, agent := range []string{"draft-1", "draft-2", "draft-3"} {
		pause(f.ctx, 500*time.Millisecond)
		f.signal(agent, syscall.SIGKILL)
		if err := f.site.Wait(f.ctx, agent); err != nil {
			t.Fatal(err)
		}
		if err := f.site.Restart(agent); err != nil {
			t.Fatal(err)
		}
	}
	pause(f.ctx, 2*time.Second)
	close(stop)
	group.Wait()
	if counts := f.site.EngineCounts(f.ctx, ""); counts.Overrun > 0 || counts.Finished == 0 {
		t.Errorf("%d requests beyond what the engines bore, %d finished", counts.Overrun, counts.Finished)
	}
}

// TestAbandonment proves that little is generated for callers who have left:
// under 2% of the tokens while 60% of the callers leave.
func TestAbandonment(t *testing.T) {
	t.Parallel()
	const callers = 60
	f := startWith(t, func(plan *elmlocal.Plan) {
		plan.Step = 8 * time.Millisecond
		plan.Cold = plan.Warm
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
			a := f.client.Draft(ctx, f.entry(1+i%3), 4*tokens)
			received[i] = strings.Count(a.Body, "content")
		})
		pause(f.ctx, 50*time.Millisecond)
	}
	group.Wait()
	total := 0
	for _, n := range received {
		total += n
	}
	pause(f.ctx, 500*time.Millisecond)
	counts := f.site.EngineCounts(f.ctx, "")
	share := 1 - float64(total)/float64(counts.Tokens)
	t.Logf("%d tokens generated, %d received, %.2f%% for callers who had left; %d cancelled", counts.Tokens, total, 100*share, counts.Cancelled)
	if total < callers*tokens {
		t.Errorf("only %d tokens received", total)
	}
	if share > 0.02 {
		t.Errorf("%.2f%% of the tokens were for callers who had left", 100*share)
	}
}

// TestAbandonedAtLimit proves that the place of a cancelled request is given to
// another only once the engine has let go of the first.
func TestAbandonedAtLimit(t *testing.T) {
	t.Parallel()
	const callers, rounds = 12, 25
	f := startWith(t, func(plan *elmlocal.Plan) {
		plan.Warm = 2
		plan.Cold = 2
	})
	var group sync.WaitGroup
	for i := range callers {
		random := rand.New(rand.NewPCG(uint64(i), 3))
		group.Go(func() {
			for range rounds {
				ctx, cancel := context.WithTimeout(f.ctx, time.Duration(30+random.IntN(120))*time.Millisecond)
				_ = f.client.Draft(ctx, f.entry(1+i%3), tokens)
				cancel()
			}
		})
	}
	group.Wait()
	counts := f.site.EngineCounts(f.ctx, "")
	t.Logf("%d started, %d cancelled", counts.Started, counts.Cancelled)
	if counts.Overrun > 0 || counts.Cancelled < callers {
		t.Errorf("%d requests beyond what the engines bore, %d cancelled", counts.Overrun, counts.Cancelled)
	}
}

// TestInForce proves that a change is in force everywhere within 11 s, also at
// entries that were frozen when it was made.
func TestInForce(t *testing.T) {
	t.Parallel()
	f := start(t)
	begin := time.Now()
	f.command("drain", "-platform", f.site.Platform, "-wait", "draft-1")
	t.Logf("in force after %s", time.Since(begin))
	f.signal("entry-2", syscall.SIGSTOP)
	f.command("undrain", "-platform", f.site.Platform, "draft-1")
	pause(f.ctx, 5*time.Second)
	f.signal("entry-2", syscall.SIGCONT)
	f.until("the thawed entry is brought forward", forceTime, func() bool { return f.site.Revision(f.ctx, "entry-2") == 3 })
}

// TestApplyLosesReply proves that an operator's change whose reply is lost is
// found to be accepted.
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
