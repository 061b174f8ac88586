package elmlocal_test

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/elmcove/elmcove/internal/stand/elmbody"
	"github.com/elmcove/elmcove/internal/stand/elmclient"
)

const (
	// tokens is the default length of a completion.
	tokens      = 40
	testTimeout = 3 * time.Minute
	// callTime is the duration of an order at the plain service.
	callTime = 400 * time.Millisecond
	// settleTime limits the wait for one expected event or response.
	settleTime = 8 * time.Second
	// graniteFolder is the folder of the example configuration.
	graniteFolder = "../../../examples/granite/"
)

// TestAgentKilledDuringOrder guards against a second execution of an order whose
// agents are killed while it runs. The outcome stays unknown for each retry with
// the same key, since the system can't determine whether the order took effect.
func TestAgentKilledDuringOrder(t *testing.T) {
	t.Parallel()
	f := start(t)
	key := newKey()
	var first elmclient.Response
	var group sync.WaitGroup
	group.Go(func() { first = f.order(1, key, settleTime) })
	f.waitFor("the order executed", settleTime, func() bool { return f.site.Executions(f.ctx, key) == 1 })
	for _, agent := range []string{"dispatch-1", "dispatch-2", "dispatch-3"} {
		f.signal(agent, syscall.SIGKILL)
	}
	group.Wait()
	f.wantOutcome(first, "unknown")
	for _, agent := range []string{"dispatch-1", "dispatch-2", "dispatch-3"} {
		if err := f.site.Restart(agent); err != nil {
			t.Fatal(err)
		}
	}
	if err := f.site.WaitReady(f.ctx); err != nil {
		t.Fatal(err)
	}
	f.wantOutcome(f.order(2, key, settleTime), "unknown")
	f.wantExecutions(key, 1, 1)
	other := newKey()
	if a := f.settle(3, other); a.Status != 200 {
		t.Errorf("an order with a new key got status %d: %s", a.Status, a.Body)
	}
	f.wantExecutions(other, 1, 1)
}

// TestEntryFrozenWithOrder guards against a second execution of an order that a
// suspended entry received. The caller retries at another entry, and the first
// entry must not run the order after it is resumed.
func TestEntryFrozenWithOrder(t *testing.T) {
	t.Parallel()
	f := start(t)
	key := newKey()
	f.signal("entry-1", syscall.SIGSTOP)
	if a := f.order(1, key, 1200*time.Millisecond); a.Err == nil {
		t.Errorf("a suspended entry answered with status %d", a.Status)
	}
	if a := f.settle(2, key); a.Status != 200 {
		t.Errorf("the retried order got status %d: %s", a.Status, a.Body)
	}
	f.signal("entry-1", syscall.SIGCONT)
	sleep(f.ctx, 2*callTime)
	f.wantExecutions(key, 1, 1)
	if a := f.settle(1, newKey()); a.Status != 200 {
		t.Errorf("the resumed entry answered with status %d: %s", a.Status, a.Body)
	}
}

// TestAgentsFrozenWithOrder guards against the late execution of an order that
// was reported as not run. The agents are suspended when the order is sent, and
// must drop it after they are resumed.
func TestAgentsFrozenWithOrder(t *testing.T) {
	t.Parallel()
	f := start(t)
	key := newKey()
	agents := []string{"dispatch-1", "dispatch-2", "dispatch-3"}
	for _, a := range agents {
		f.signal(a, syscall.SIGSTOP)
	}
	refused := f.order(1, key, 2*settleTime)
	for _, a := range agents {
		f.signal(a, syscall.SIGCONT)
	}
	sleep(f.ctx, 4*callTime)
	f.wantOutcome(refused, "not-run")
	f.wantExecutions(key, 0, 0)
	if a := f.settle(2, key); a.Status != 200 {
		t.Errorf("the retried order got status %d: %s", a.Status, a.Body)
	}
	f.wantExecutions(key, 1, 1)
}

// TestStoreDown checks that, without the store, completions and orders without a
// key succeed. An order with a key is refused and does not run. Its outcome is
// unknown, since the entry can't read whether an earlier attempt ran.
func TestStoreDown(t *testing.T) {
	t.Parallel()
	f := start(t)
	f.fault("down")
	if a := f.client.StreamCompletion(f.ctx, f.entry(1), tokens); !a.Complete(tokens) {
		t.Errorf("the completion got status %d: %s", a.Status, a.Body)
	}
	if a := f.order(1, "", settleTime); a.Status != 200 {
		t.Errorf("an order without a key got status %d: %s", a.Status, a.Body)
	}
	key := newKey()
	a := f.order(1, key, settleTime)
	f.wantOutcome(a, "unknown")
	if a.Header.Get("Retry-After") == "" {
		t.Error("no Retry-After")
	}
	f.wantExecutions(key, 0, 0)
	f.fault("none")
	if a := f.settle(1, key); a.Status != 200 {
		t.Errorf("the order got status %d: %s", a.Status, a.Body)
	}
	f.wantExecutions(key, 1, 1)
}

// TestStoreLosesReplies checks that an order runs once and is replayed to a retry
// while the store applies writes and loses the replies.
func TestStoreLosesReplies(t *testing.T) {
	t.Parallel()
	f := start(t)
	f.fault("lost")
	key := newKey()
	if a := f.order(1, key, settleTime); a.Status != 200 {
		t.Errorf("the order got status %d: %s", a.Status, a.Body)
	}
	if a := f.order(2, key, settleTime); a.Status != 200 || a.Header.Get("Idempotency-Replayed") != "true" {
		t.Errorf("the retried order got status %d: %s", a.Status, a.Body)
	}
	f.wantExecutions(key, 1, 1)
}

// TestServiceLosesReply checks that no order is sent again after the service
// executes it and loses the reply, with a key or without.
func TestServiceLosesReply(t *testing.T) {
	t.Parallel()
	f := start(t)
	if err := f.site.BreakNext(f.ctx, "dispatch", elmbody.Aborted); err != nil {
		t.Fatal(err)
	}
	key := newKey()
	f.wantOutcome(f.order(1, key, settleTime), "unknown")
	f.wantExecutions(key, 1, 1)
	if err := f.site.BreakNext(f.ctx, "dispatch", elmbody.Aborted); err != nil {
		t.Fatal(err)
	}
	f.wantOutcome(f.order(1, "", settleTime), "unknown")
	f.wantExecutions("", 2, 2)
}

// Guards against an order that has run and whose caller is told by 503 that it has not: the
// service itself answers so.
func TestOrderThatRanIsNotRefused(t *testing.T) {
	t.Parallel()
	f := start(t)
	for name, c := range map[string]struct {
		key    string
		status int
	}{
		"without a key": {"", 504},
		"with a key":    {newKey(), 409},
	} {
		t.Run(name, func(t *testing.T) {
			if err := f.site.BreakNext(f.ctx, "dispatch", elmbody.Unavailable); err != nil {
				t.Fatal(err)
			}
			before := f.site.Executions(f.ctx, c.key)
			a := f.order(1, c.key, settleTime)
			if a.Status != c.status || a.Problem().Outcome != "unknown" {
				t.Errorf("status %d, outcome %q: %s", a.Status, a.Problem().Outcome, a.Body)
			}
			if executions := f.site.Executions(f.ctx, c.key) - before; executions != 1 {
				t.Errorf("the order was executed %d times, want once", executions)
			}
		})
	}
}

// TestEngineBreaksOff guards against a truncated stream that looks complete when
// the engine's response ends early.
func TestEngineBreaksOff(t *testing.T) {
	t.Parallel()
	f := start(t)
	for name, ending := range map[string]elmbody.Ending{
		"response aborted":                 elmbody.Aborted,
		"connection closed inside event":   elmbody.ClosedInsideEvent,
		"connection closed between events": elmbody.ClosedBetweenEvents,
		"connection reset":                 elmbody.Reset,
	} {
		t.Run(name, func(t *testing.T) {
			if err := f.site.BreakNext(f.ctx, "draft", ending); err != nil {
				t.Fatal(err)
			}
			a := f.client.StreamCompletion(f.ctx, f.entry(1), tokens)
			if a.Err == nil || a.LooksComplete() || !strings.Contains(a.Body, "\n\nevent: error\n") {
				t.Errorf("a truncated answer looks complete: %d %s %v", a.Status, a.Body, a.Err)
			}
		})
	}
}

// TestResponsesThatEndWithTheirConnection guards against a complete response without
// length or chunks being taken for truncated, and a reset one for complete.
func TestResponsesThatEndWithTheirConnection(t *testing.T) {
	t.Parallel()
	f := start(t)
	if err := errors.Join(f.site.BreakNext(f.ctx, "draft", elmbody.Closed), f.site.BreakNext(f.ctx, "dispatch", elmbody.Closed)); err != nil {
		t.Fatal(err)
	}
	if a := f.client.StreamCompletion(f.ctx, f.entry(1), tokens); !a.Complete(tokens) {
		t.Errorf("the stream is not complete: %d %s %v", a.Status, a.Body, a.Err)
	}
	key := newKey()
	if a := f.order(1, key, settleTime); a.Status != 200 || !strings.HasSuffix(a.Body, "}\n") {
		t.Errorf("the order got status %d: %s", a.Status, a.Body)
	}
	f.wantExecutions(key, 1, 1)
	if err := f.site.BreakNext(f.ctx, "dispatch", elmbody.Reset); err != nil {
		t.Fatal(err)
	}
	key = newKey()
	f.wantOutcome(f.order(2, key, settleTime), "unknown")
	f.wantExecutions(key, 1, 1)
}

// TestEngineBreaksOffOverHTTP10 guards against a truncated stream that an HTTP/1.0
// caller takes for complete, because the end of the connection ends the response.
func TestEngineBreaksOffOverHTTP10(t *testing.T) {
	t.Parallel()
	f := start(t)
	if err := f.site.BreakNext(f.ctx, "draft", elmbody.Aborted); err != nil {
		t.Fatal(err)
	}
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.entry(1), "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close() //nolint:errcheck // The response has been read.
	body := `{"model":"draft","stream":true,"max_tokens":20,"messages":[{"role":"user","content":"cracked frame"}]}`
	_, _ = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.0\r\nHost: entry\r\nAuthorization: Bearer curb-secret\r\n"+
		"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	response, err := io.ReadAll(conn)
	if err == nil || !strings.Contains(string(response), "HTTP/1.0 200") {
		t.Errorf("a truncated answer looks complete: error %v, response %q", err, response)
	}
}

// TestAgentsKilledDuringStream guards against a truncated stream that looks
// complete when all agents are killed.
func TestAgentsKilledDuringStream(t *testing.T) {
	t.Parallel()
	f := start(t)
	var a elmclient.Response
	var group sync.WaitGroup
	group.Go(func() { a = f.client.StreamCompletion(f.ctx, f.entry(1), 10*tokens) })
	f.waitFor("tokens generated", settleTime, func() bool { return f.site.EngineCounts(f.ctx, "").Tokens > 5 })
	for _, agent := range []string{"draft-1", "draft-2", "draft-3"} {
		f.signal(agent, syscall.SIGKILL)
	}
	group.Wait()
	if a.LooksComplete() || !strings.Contains(a.Body, "event: error") {
		t.Errorf("a truncated answer looks complete: %d %v", a.Status, a.Err)
	}
}

// TestShutdownCutsOffNothing checks that a graceful shutdown of an entry or agent
// completes open streams, also during a platform outage and after a second
// SIGTERM. A stopping entry accepts new requests for a short time, since the
// balancer learns of the shutdown late.
func TestShutdownCutsOffNothing(t *testing.T) {
	t.Parallel()
	tests := map[string]string{"entry": "entry-1", "agent": "draft-1", "outage": "entry-1"}
	for name, process := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := start(t)
			if name == "outage" {
				f.fault("down")
			}
			var answers [2]elmclient.Response
			var group sync.WaitGroup
			for i := range answers {
				group.Go(func() { answers[i] = f.client.StreamCompletion(f.ctx, f.entry(1), tokens) })
			}
			f.waitFor("tokens generated", settleTime, func() bool { return f.site.EngineCounts(f.ctx, "").Tokens > 2 })
			f.signal(process, syscall.SIGTERM)
			sleep(f.ctx, 50*time.Millisecond)
			f.signal(process, syscall.SIGTERM)
			late := f.client.StreamCompletion(f.ctx, f.entry(1), 2)
			group.Wait()
			for i, a := range answers {
				if !a.Complete(tokens) {
					t.Errorf("stream %d: %d %v %s", i, a.Status, a.Err, a.Body)
				}
			}
			if !late.Complete(2) {
				t.Errorf("a request during the drain delay: %d %v %s", late.Status, late.Err, late.Body)
			}
			ctx, cancel := context.WithTimeout(f.ctx, settleTime)
			defer cancel()
			if err := f.site.WaitExit(ctx, process); err != nil {
				t.Error(err)
			}
		})
	}
}

// TestOutWithFrozenEntry checks that an entry that was suspended while a data
// centre was taken out sends no request there after it is resumed.
func TestOutWithFrozenEntry(t *testing.T) {
	t.Parallel()
	f := start(t)
	f.signal("entry-1", syscall.SIGSTOP)
	f.command("out", "-platform", f.site.Platform, "worcester")
	sleep(f.ctx, 3*time.Second)
	f.signal("entry-1", syscall.SIGCONT)
	before := f.site.EngineCounts(f.ctx, "worcester").Started
	for range 6 {
		if a := f.completion(1, 3); !a.Complete(3) {
			t.Errorf("the completion got status %d: %s", a.Status, a.Body)
		}
	}
	if after := f.site.EngineCounts(f.ctx, "worcester").Started; after != before {
		t.Errorf("worcester received %d new requests", after-before)
	}
}

// TestAbandonedIsCancelled checks that the engine cancels a stream within a second
// after its caller disconnects.
func TestAbandonedIsCancelled(t *testing.T) {
	t.Parallel()
	f := start(t)
	ctx, cancel := context.WithCancel(f.ctx)
	var group sync.WaitGroup
	group.Go(func() { _ = f.client.StreamCompletion(ctx, f.entry(1), 2000) })
	f.waitFor("tokens generated", settleTime, func() bool { return f.site.EngineCounts(f.ctx, "").Tokens > 2 })
	cancel()
	begin := time.Now()
	f.waitFor("the request cancelled at the engine", time.Second, func() bool { return f.site.EngineCounts(f.ctx, "").Cancelled == 1 })
	t.Logf("cancelled within %s", time.Since(begin))
	group.Wait()
}

// TestEntryStartsDuringOutage checks that an entry that starts during a platform
// outage gets the current configuration from its neighbours and serves requests.
func TestEntryStartsDuringOutage(t *testing.T) {
	t.Parallel()
	f := start(t)
	f.command("drain", "-platform", f.site.Platform, "-wait", "draft-2")
	f.fault("down")
	f.signal("entry-1", syscall.SIGKILL)
	if err := f.site.WaitExit(f.ctx, "entry-1"); err != nil {
		t.Fatal(err)
	}
	if err := f.site.Restart("entry-1"); err != nil {
		t.Fatal(err)
	}
	var a elmclient.Response
	for begin := time.Now(); !a.Complete(tokens) && time.Since(begin) < settleTime; sleep(f.ctx, 100*time.Millisecond) {
		a = f.client.StreamCompletion(f.ctx, f.entry(1), tokens)
	}
	if !a.Complete(tokens) {
		t.Errorf("the completion got status %d: %s", a.Status, a.Body)
	}
	if revision := f.site.Revision(f.ctx, "entry-1"); revision != 2 {
		t.Errorf("the entry is at revision %d, want 2", revision)
	}
}

// TestEntryKilledWithOrder checks that an order whose entry is killed while it
// runs is replayed to a retry at another entry, and runs once.
func TestEntryKilledWithOrder(t *testing.T) {
	t.Parallel()
	f := start(t)
	key := newKey()
	var group sync.WaitGroup
	group.Go(func() { _ = f.order(1, key, settleTime) })
	f.waitFor("the order executed", settleTime, func() bool { return f.site.Executions(f.ctx, key) == 1 })
	f.signal("entry-1", syscall.SIGKILL)
	group.Wait()
	if a := f.settle(2, key); a.Status != 200 || a.Header.Get("Idempotency-Replayed") != "true" {
		t.Errorf("the retried order got status %d: %s", a.Status, a.Body)
	}
	f.wantExecutions(key, 1, 1)
}

// TestListVanishes checks that an entry keeps its links and serves requests when
// the platform suddenly returns an empty instance list.
func TestListVanishes(t *testing.T) {
	t.Parallel()
	f := start(t)
	names := append(f.site.EntryNames(), "draft-1", "draft-2", "draft-3", "dispatch-1", "dispatch-2", "dispatch-3")
	if err := f.site.SetInstances(f.ctx, names...); err != nil {
		t.Fatal(err)
	}
	sleep(f.ctx, 5*time.Second)
	if a := f.client.StreamCompletion(f.ctx, f.entry(1), tokens); !a.Complete(tokens) {
		t.Errorf("the completion got status %d: %s", a.Status, a.Body)
	}
}

// TestBadInput checks the status and outcome of invalid requests, and that the
// entry still serves valid ones afterwards.
func TestBadInput(t *testing.T) {
	t.Parallel()
	f := start(t)
	draft := f.entry(1) + "/v1/chat/completions"
	orders := f.entry(1) + "/services/dispatch/orders"
	good := `{"model":"draft","messages":[{"role":"user","content":"x"}]}`
	tests := map[string]struct {
		client *elmclient.Client
		url    string
		body   string
		key    string
		status int
		// outcome defaults to "not-run".
		outcome string
	}{
		"malformed JSON":   {f.client, draft, `{"model":`, "", 400, ""},
		"no messages":      {f.client, draft, `{"model":"draft","messages":[]}`, "", 400, ""},
		"unknown model":    {f.client, draft, strings.Replace(good, "draft", "other", 1), "", 404, ""},
		"oversize body":    {f.client, draft, strings.Replace(good, "x", strings.Repeat("x", 1<<17), 1), "", 413, ""},
		"wrong credential": {elmclient.New("guess"), draft, good, "", 401, ""},
		"unknown service":  {f.client, f.entry(1) + "/services/other/orders", "{}", "", 404, ""},
		"key not a UUID":   {f.client, orders, "{}", "1234", 400, ""},
		"key too old":      {f.client, orders, "{}", "01890a5d-ac96-774b-bcce-b302099a8057", 400, "unknown"},
		"oversize order":   {f.client, orders, strings.Repeat("x", 1<<17), newKey(), 413, "unknown"},
	}
	for name, test := range tests {
		a := test.client.Post(f.ctx, test.url, test.body, test.key)
		if a.Status != test.status {
			t.Errorf("%s: status %d, want %d: %s %v", name, a.Status, test.status, a.Body, a.Err)
		}
		if outcome := cmp.Or(test.outcome, "not-run"); a.Problem().Outcome != outcome {
			t.Errorf("%s: outcome %q: %s", name, a.Problem().Outcome, a.Body)
		}
	}
	if a := f.client.StreamCompletion(f.ctx, f.entry(1), tokens); !a.Complete(tokens) {
		t.Errorf("afterwards: %d %s", a.Status, a.Body)
	}
}

// TestOperatorsRace checks that concurrent commands of operators overwrite no
// change. A command that loses the race explains the conflict and the accepted
// change.
func TestOperatorsRace(t *testing.T) {
	t.Parallel()
	f := start(t)
	var group sync.WaitGroup
	var errors [4]error
	for i := range errors {
		group.Go(func() {
			_, errors[i] = f.site.Command(f.ctx, "out", "-platform", f.site.Platform, []string{"worcester", "manchester"}[i%2])
		})
	}
	group.Wait()
	accepted := 0
	for _, err := range errors {
		if err == nil {
			accepted++
			continue
		}
		if !strings.Contains(err.Error(), "another change was accepted first") || !strings.Contains(err.Error(), "accepted:") {
			t.Errorf("the conflict is not explained: %v", err)
		}
	}
	if lines := strings.Count(f.command("history", "-platform", f.site.Platform), "\n"); lines != accepted+1 {
		t.Errorf("history has %d changes, want %d", lines, accepted+1)
	}
}
