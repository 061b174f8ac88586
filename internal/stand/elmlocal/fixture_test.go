package elmlocal_test

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/elmcove/elmcove/internal/stand/elmclient"
	"github.com/elmcove/elmcove/internal/stand/elmlocal"
)

// bin is the folder of the programs, which are built with the race detector.
var bin string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	folder, err := os.MkdirTemp("", "elmcove-bin-")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(folder) }() // A remaining temporary folder is harmless.
	bin = folder
	build := exec.Command("go", "build", "-race", "-o", folder, "../../../cmd/elmcove", "../../../cmd/elmstand")
	if output, err := build.CombinedOutput(); err != nil {
		panic(fmt.Sprintf("build: %v: %s", err, output))
	}
	return m.Run()
}

// fixture holds a running site and a client for one test.
type fixture struct {
	*testing.T
	ctx    context.Context
	site   *elmlocal.Site
	client *elmclient.Client
}

// start starts a small site for one test. When the test ends, it stops the site
// and checks the logs for data races and panics.
func start(t *testing.T) *fixture {
	t.Helper()
	return startWith(t, func(*elmlocal.Plan) {})
}

// startWith is like start, but lets the test change the plan.
func startWith(t *testing.T, change func(*elmlocal.Plan)) *fixture {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	folder := t.TempDir()
	plan := elmlocal.Plan{
		Bin:            bin,
		Folder:         folder,
		Name:           "granite",
		Datacentres:    []string{"worcester", "manchester", "springfield"},
		Entries:        3,
		ModelService:   "draft",
		ModelEndpoints: 3,
		PlainService:   "dispatch",
		PlainEndpoints: 3,
		StepTime:       6 * time.Millisecond,
		CallTime:       callTime,
		WarmCapacity:   32,
		ColdCapacity:   2,
	}
	change(&plan)
	site, err := elmlocal.Start(ctx, plan)
	if err != nil {
		t.Fatal(err)
	}
	client := elmclient.New("curb-secret")
	t.Cleanup(func() {
		client.Close()
		site.Stop()
		checkLogs(t, folder)
	})
	f := &fixture{T: t, ctx: ctx, site: site, client: client}
	f.command("apply", "-platform", site.Platform, "-base", graniteFolder+"base.json", "-overlay", graniteFolder+"overlay.json")
	if err := site.WaitReady(ctx); err != nil {
		output, _ := site.Command(ctx, "status", "-platform", site.Platform) // The status is only extra information.
		t.Fatal(err, "\n", output, readLogs(t, folder))
	}
	return f
}

// readLogs returns the logs of all processes, to show why a site is not ready.
func readLogs(t *testing.T, folder string) string {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(folder, "*.log"))
	if err != nil {
		t.Fatal(err)
	}
	var all strings.Builder
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&all, "%s:\n%s\n", filepath.Base(path), text)
	}
	return all.String()
}

func checkLogs(t *testing.T, folder string) {
	t.Helper()
	logs, err := filepath.Glob(filepath.Join(folder, "*.log"))
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range logs {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if strings.Contains(string(text), "DATA RACE") || strings.Contains(string(text), "panic:") {
			t.Errorf("%s:\n%s", filepath.Base(path), text)
		}
	}
}

func (f *fixture) command(arguments ...string) string {
	f.Helper()
	output, err := f.site.Command(f.ctx, arguments...)
	if err != nil {
		f.Fatal(err)
	}
	return output
}

func (f *fixture) signal(name string, signal syscall.Signal) {
	f.Helper()
	if err := f.site.Signal(name, signal); err != nil {
		f.Fatal(err)
	}
}

func (f *fixture) fault(kind string) {
	f.Helper()
	if err := f.site.SetFault(f.ctx, kind); err != nil {
		f.Fatal(err)
	}
}

func (f *fixture) entry(number int) string {
	return f.site.EntryURL(fmt.Sprintf("entry-%d", number))
}

// order sends a work order and waits for the response up to a limit.
func (f *fixture) order(entry int, key string, maxWait time.Duration) elmclient.Response {
	ctx, cancel := context.WithTimeout(f.ctx, maxWait)
	defer cancel()
	return f.client.Order(ctx, f.entry(entry), key)
}

// waitFor polls until a condition is true, and ends the test after the limit.
func (f *fixture) waitFor(description string, limit time.Duration, condition func() bool) {
	f.Helper()
	for begin := time.Now(); !condition(); {
		if time.Since(begin) > limit {
			f.Fatalf("%s: not within %s", description, limit)
		}
		sleep(f.ctx, 20*time.Millisecond)
	}
}

// sleep waits for a fixed time or until the context ends. The tests observe
// real processes, so they can't use a simulated clock.
func sleep(ctx context.Context, length time.Duration) {
	select {
	case <-time.After(length):
	case <-ctx.Done():
	}
}

func newKey() string {
	return uuid.Must(uuid.NewV7()).String()
}

func (f *fixture) wantOutcome(a elmclient.Response, outcome string) {
	f.Helper()
	if got := a.Problem().Outcome; got != outcome {
		f.Errorf("outcome %q, want %q (status %d, body %s, error %v)", got, outcome, a.Status, a.Body, a.Err)
	}
}

func (f *fixture) wantExecutions(key string, least, most int) {
	f.Helper()
	if executions := f.site.Executions(f.ctx, key); executions < least || executions > most {
		f.Errorf("the order was executed %d times, want %d to %d", executions, least, most)
	}
}

// completion requests a streamed completion and retries while it is refused.
// Retries are safe, since a completion is idempotent.
func (f *fixture) completion(entry, count int) elmclient.Response {
	var a elmclient.Response
	for begin := time.Now(); time.Since(begin) < settleTime; sleep(f.ctx, 200*time.Millisecond) {
		a = f.client.StreamCompletion(f.ctx, f.entry(entry), count)
		if a.Problem().Outcome == "" {
			break
		}
	}
	return a
}

// settle retries the same order until it succeeds or settleTime has passed.
func (f *fixture) settle(entry int, key string) elmclient.Response {
	var a elmclient.Response
	for begin := time.Now(); time.Since(begin) < settleTime; sleep(f.ctx, 200*time.Millisecond) {
		a = f.order(entry, key, settleTime)
		if a.Status == 200 {
			break
		}
	}
	return a
}
