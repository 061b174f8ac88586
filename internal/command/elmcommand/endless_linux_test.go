package elmcommand_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/elmcove/elmcove/platform/stand/elmflood"
)

const (
	// routerMB and agentMB are the memory limits of the smallest instances.
	routerMB, agentMB = 184, 152
	// floodTime is longer than the time after which an entry asks others for their snapshots.
	floodTime = 4 * time.Second
)

// start starts a process of a site.
func start(t *testing.T, s *elmflood.Site, bin, role string, memoryMB int) *exec.Cmd {
	t.Helper()
	settings := filepath.Join(t.TempDir(), "settings.toml")
	if err := os.WriteFile(settings, []byte(s.Settings(memoryMB)), 0o600); err != nil {
		t.Fatal(err)
	}
	process := exec.Command(bin, role, "-settings", settings)
	var log bytes.Buffer
	process.Stdout, process.Stderr = &log, &log
	if err := process.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = process.Process.Kill()
		_ = process.Wait()
		if t.Failed() {
			t.Logf("log ends with: %s", log.Bytes()[max(log.Len()-3000, 0):])
		}
	})
	return process
}

// expect sends requests until a time and reports those that are not answered with status 200.
func expect(t *testing.T, target string, until time.Time) {
	t.Helper()
	if sent, failed := send(t, target, until); failed > 0 || sent == 0 {
		t.Errorf("%d of %d requests of %s failed", failed, sent, target)
	}
}

// send sends requests until a time and returns how many were not answered with status 200.
func send(t *testing.T, target string, until time.Time) (sent, failed int) {
	t.Helper()
	client := &http.Client{Timeout: 10 * time.Second}
	for ; time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		request, _ := http.NewRequestWithContext(t.Context(), http.MethodGet, target, http.NoBody)
		request.Host = "site"
		sent++
		response, err := client.Do(request)
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
		if err != nil || response.StatusCode != http.StatusOK {
			failed++
		}
	}
	return sent, failed
}

// await waits until a target is answered with status 200.
func await(t *testing.T, target string) {
	t.Helper()
	for end := time.Now().Add(15 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		response, err := http.Get(target)
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
		if time.Now().After(end) {
			t.Fatalf("%s: %v", target, err)
		}
	}
}

// check checks the highest resident memory of a process, and that senders have sent.
func check(t *testing.T, s *elmflood.Site, process *exec.Cmd, limitMB int, senders ...string) {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", process.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	var highest int
	if _, err := fmt.Sscan(rest, &highest); err != nil {
		t.Fatalf("the process has ended: %v", err)
	}
	answers := s.Answers()
	t.Logf("highest resident memory %d MB, answers without end: %v", highest>>10, answers)
	if highest>>10 >= limitMB {
		t.Errorf("highest resident memory %d MB, limit is %d MB", highest>>10, limitMB)
	}
	for _, sender := range senders {
		if answers[sender] == 0 {
			t.Errorf("no answer of %s", sender)
		}
	}
}

// build builds the program and returns its path.
func build(t *testing.T) string {
	t.Helper()
	bin := filepath.Join(t.TempDir(), "elmcove")
	if output, err := exec.Command("go", "build", "-o", bin, "../../../cmd/elmcove").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, output)
	}
	return bin
}

// Guards against a router that exceeds the memory of its instance, and with it ends the
// requests of all callers, because ranks, agents, other entries and the store send bytes
// without end.
func TestRouterUnderEndlessAnswers(t *testing.T) {
	bin := build(t)
	for name, flood := range elmflood.Floods() {
		t.Run(name, func(t *testing.T) {
			s, err := elmflood.New(t.Context(), flood)
			if err != nil {
				t.Fatal(err)
			}
			process := start(t, s, bin, "router", routerMB)
			await(t, "http://"+s.IP()+":7001/elmcove/ready")
			expect(t, "http://"+s.IP()+":7000/a", time.Now().Add(floodTime/2))
			s.FloodStore()
			expect(t, "http://"+s.IP()+":7000/a", time.Now().Add(floodTime))
			check(t, s, process, routerMB, "ranks", "agents", "store", "peers")
		})
	}
}

// Guards against an agent that exceeds the memory of its instance, and with it leaves a
// group held, because ranks, other agents and the store send bytes without end.
func TestAgentUnderEndlessAnswers(t *testing.T) {
	bin := build(t)
	for name, flood := range elmflood.Floods() {
		t.Run(name, func(t *testing.T) {
			s, err := elmflood.New(t.Context(), flood)
			if err != nil {
				t.Fatal(err)
			}
			process := start(t, s, bin, "rank-agent", agentMB)
			agent := fmt.Sprintf("http://%s:%d", s.IP(), elmflood.InternalPort)
			await(t, agent+"/elmcove/report")
			ranks := url.Values{"for": {"planner"}}
			for i := range elmflood.Ranks {
				ranks.Add("rank", s.Rank(i))
			}
			var wait sync.WaitGroup
			end := time.Now().Add(floodTime)
			for _, path := range []string{"/metrics", "/rank/collect?" + ranks.Encode(), "/rank/collect?" + ranks.Encode()} {
				wait.Go(func() { expect(t, agent+path, end) })
			}
			for _, path := range []string{"/rank/state?for=planner", "/elmcove/report", "/elmcove/picked"} {
				wait.Go(func() { _, _ = send(t, agent+path, end) }) // The rank is a faulty one.
			}
			time.AfterFunc(floodTime/2, s.FloodStore)
			wait.Wait()
			check(t, s, process, agentMB, "ranks", "states", "store")
		})
	}
}
