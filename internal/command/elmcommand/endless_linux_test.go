package elmcommand_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/elmcove/elmcove/internal/stand/elmendless"
	"github.com/elmcove/elmcove/internal/wire/elmpeer"
	"github.com/elmcove/elmcove/platform/stand"
)

const (
	// routerMB and agentMB are the memory limits of the smallest instances.
	routerMB, agentMB = 184, 152
	endlessRanks      = 32
	internalPort      = 7010
	// floodTime is longer than the time after which an entry asks others for their snapshots.
	floodTime = 4 * time.Second
)

// flood is what a platform's processes, all but the one under test, send without end.
type flood struct {
	// soundReports means that ranks report that a pass of their group is held.
	soundReports                       bool
	store, peers, agents, states, rank elmendless.Answer
}

// floods returns floods by name.
func floods() map[string]flood {
	all := map[string]flood{
		"many elements": {
			soundReports: true,
			store:        elmendless.Document(`{"items":[{}`, ",{}", "]}", 8<<20),
			peers:        elmendless.Document("", "\x1a\x00", "", 8<<20),
			agents:       elmendless.Document("", "\x12\x00", "", 1<<20),
			states:       elmendless.Document("", "\x12\x00", "", 256<<10),
			rank:         elmendless.Document(`{"counts":[[]`, ",[]", `],"map":{"version":7,"experts":[[]]}}`, 1<<20),
		},
	}
	numbers := strings.Repeat("1,", 1<<18-1) + "1"
	all["long values"] = flood{
		soundReports: true,
		store:        elmendless.Document(`{"items":[{"key":"k","value":"`, "AAAA", `"}]`, 8<<20),
		peers:        encoded(&elmpeer.Snapshot{Items: []*elmpeer.Item{{Key: "k", Value: make([]byte, 8<<20-64)}}}),
		agents:       encoded(&elmpeer.RankStates{Groups: []*elmpeer.GroupSelections{{Group: "g", Epoch: 1, Selections: make([]uint32, 1<<20-64)}}}),
		states:       encoded(&elmpeer.RankState{Report: []byte(soundReport(1)), Selections: &elmpeer.Selections{Levels: make([]byte, 250<<10), Unit: 1, Count: 500 << 10}}),
		rank:         elmendless.Document(`{"counts":[`+numbers+`],"map":{"version":7,"experts":[[`, numbers, `]]}}`, 1<<20),
	}
	answers := elmendless.Answers()
	for _, name := range []string{"head", "body with length"} {
		a := answers[name]
		all[name] = flood{store: a, peers: a, agents: a, states: a, rank: a}
	}
	return all
}

// encoded returns an answer with a message.
func encoded(m proto.Message) elmendless.Answer {
	document, _ := proto.Marshal(m) // Messages of valid text always encode.
	return elmendless.Document(string(document), " ", "", len(document))
}

// soundReport returns the report of a rank of a group that is held.
func soundReport(rank int) string {
	return fmt.Sprintf(`{"group":{"name":"g","epoch":1,"rank":%d,"state":"open"},"size":%d,"running":1,"step":25,"map":7,"held":26}`, rank, endlessRanks)
}

// site is a platform whose processes send without end.
type site struct {
	flood
	block int
	store *stand.Store
	// flooded is set when the store sends without end as well.
	flooded atomic.Bool
	// answers counts the answers without end, by sender.
	mutex   sync.Mutex
	answers map[string]int
}

// newSite starts a platform on loopback addresses that no other process uses.
func newSite(t *testing.T, f flood) *site {
	t.Helper()
	s := &site{flood: f, store: stand.NewStore(), answers: map[string]int{}}
	for ; ; s.block++ {
		lock, err := net.Listen("tcp4", s.ip(1)+":7099")
		if err == nil {
			t.Cleanup(func() { _ = lock.Close() })
			break
		}
		if s.block == 249 {
			t.Fatalf("no free addresses: %v", err)
		}
	}
	s.serve(t, s.ip(2)+":8080", func(w http.ResponseWriter, r *http.Request) {
		if s.flooded.Load() {
			s.send("store", s.flood.store, w, r)
			return
		}
		s.store.ServeHTTP(w, r)
	})
	for i := range 3 {
		s.serve(t, fmt.Sprintf("%s:%d", s.ip(100+i), internalPort), s.sender("peers", f.peers))
	}
	for i := range endlessRanks {
		s.serve(t, s.rank(i), s.rankHandler(i, f.rank))
		s.serve(t, fmt.Sprintf("%s:%d", s.ip(10+i), internalPort), func(w http.ResponseWriter, r *http.Request) {
			switch r.URL.Path {
			case "/rank/collect":
				s.send("agents", f.agents, w, r)
			case "/rank/state":
				s.send("states", f.states, w, r)
			default:
				s.rankHandler(i, f.rank)(w, r)
			}
		})
		s.register(fmt.Sprintf("rank-%d", i), "experts", s.rank(i))
	}
	desk := httptest.NewServer(stand.NewEndpoint("desk-0"))
	t.Cleanup(desk.Close)
	t.Cleanup(desk.CloseClientConnections)
	s.register("desk-0", "desk", strings.TrimPrefix(desk.URL, "http://"))
	document, _ := json.Marshal(map[string]any{
		"version": 1,
		"routes":  []any{map[string]any{"name": "/", "host": "site", "prefix": "/", "kind": "idempotent", "service": "desk", "timeoutMs": 4000, "public": true}},
		"services": []any{map[string]any{"name": "desk"}, map[string]any{"name": "experts", "engine": map[string]any{
			"slots": 12, "sets": 61, "experts": 256, "places": 16, "spare": 4, "expertShare": 0.85,
		}}},
	})
	s.store.Put("op/config", document)
	return s
}

func (s *site) ip(host int) string { return fmt.Sprintf("127.79.%d.%d", s.block, host) }

func (s *site) rank(i int) string { return s.ip(10+i) + ":8000" }

func (s *site) serve(t *testing.T, address string, handler http.HandlerFunc) {
	t.Helper()
	if _, err := elmendless.Serve(t.Context(), address, handler); err != nil {
		t.Fatal(err)
	}
}

func (s *site) register(id, service, address string) {
	document, _ := json.Marshal(map[string]any{
		"service": service, "address": address, "zone": "home", "slots": 12, "state": "ready", "coldLeftMs": 0, "born": 1,
	})
	s.store.Put("servers/"+id, document)
}

// send counts and sends an answer without end.
func (s *site) send(sender string, a elmendless.Answer, w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	s.answers[sender]++
	s.mutex.Unlock()
	a.ServeHTTP(w, r)
}

func (s *site) sender(name string, a elmendless.Answer) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) { s.send(name, a, w, r) }
}

// rankHandler returns the handler of a rank. The first one, beside which the agent runs, always
// has sound reports.
func (s *site) rankHandler(i int, a elmendless.Answer) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/elmcove/report" && (s.soundReports || i == 0) {
			_, _ = io.WriteString(w, soundReport(i))
			return
		}
		s.send("ranks", a, w, r)
	}
}

// start starts a process with the settings of the site and returns it.
func (s *site) start(t *testing.T, bin, role string, memoryMB int) *exec.Cmd {
	t.Helper()
	settings := filepath.Join(t.TempDir(), "settings.toml")
	text := fmt.Sprintf(`nodeName = "node"
ip = %[1]q
zone = "home"
internalPorts = [%[2]d,%[3]d]
seeds = [%[4]q,%[5]q,%[6]q]
app = %[7]q
service = "experts"
[listen]
front = "%[1]s:7000"
ready = "%[1]s:7001"
[limits]
memoryMb = %[8]d
[bounds]
revokeMs = 60000
graceS = 6
drainMs = 2000
configMs = 2000
evacuationMs = 5000
retryBudgetRatio = 0.2
retryBudgetBurst = 90
budgetWindowS = 10
[platform]
address = "%[9]s:8080"
ttlMinMs = 1000
`, s.ip(1), internalPort, internalPort+1, s.ip(100)+":7010", s.ip(101)+":7010", s.ip(102)+":7010", s.rank(0), memoryMB, s.ip(2))

	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	process := exec.Command(bin, role, "-settings", settings)
	log, err := os.Create(filepath.Join(t.TempDir(), role+".log"))
	if err != nil {
		t.Fatal(err)
	}
	process.Stdout, process.Stderr = log, log
	if err := process.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = process.Process.Signal(syscall.SIGKILL)
		_ = process.Wait()
		_ = log.Close()
		if t.Failed() {
			text, _ := os.ReadFile(log.Name())
			t.Logf("log ends with: %s", text[max(len(text)-3000, 0):])
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

// checkMemory checks the highest resident memory of a process.
func (s *site) checkMemory(t *testing.T, process *exec.Cmd, limitMB int) {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", process.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		t.Fatal("the process has ended")
	}
	highest, err := strconv.Atoi(fields[0])
	if err != nil {
		t.Fatal(err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	t.Logf("highest resident memory %d MB, answers without end: %v", highest>>10, s.answers)
	if highest>>10 >= limitMB {
		t.Errorf("highest resident memory %d MB, limit is %d MB", highest>>10, limitMB)
	}
}

func (s *site) checkAnswers(t *testing.T, senders ...string) {
	t.Helper()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, sender := range senders {
		if s.answers[sender] == 0 {
			t.Errorf("no answer of %s", sender)
		}
	}
}

// program builds the program once.
var program = sync.OnceValues(func() (string, error) {
	folder, err := os.MkdirTemp("", "endless")
	if err != nil {
		return "", err
	}
	bin := filepath.Join(folder, "elmcove")
	output, err := exec.Command("go", "build", "-o", bin, "../../../cmd/elmcove").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, output)
	}
	return bin, nil
})

// Guards against a router that exceeds the memory of its instance, and with it ends the
// requests of all callers, because ranks, agents, other entries and the store send bytes
// without end.
func TestRouterUnderEndlessAnswers(t *testing.T) {
	bin, err := program()
	if err != nil {
		t.Fatal(err)
	}
	for name, f := range floods() {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, f)
			process := s.start(t, bin, "router", routerMB)
			await(t, "http://"+s.ip(1)+":7001/elmcove/ready")
			expect(t, "http://"+s.ip(1)+":7000/a", time.Now().Add(floodTime/2))
			s.flooded.Store(true)
			expect(t, "http://"+s.ip(1)+":7000/a", time.Now().Add(floodTime))
			s.checkMemory(t, process, routerMB)
			s.checkAnswers(t, "ranks", "agents", "store", "peers")
		})
	}
}

// Guards against an agent that exceeds the memory of its instance, and with it leaves a
// group held, because ranks, other agents and the store send bytes without end.
func TestAgentUnderEndlessAnswers(t *testing.T) {
	bin, err := program()
	if err != nil {
		t.Fatal(err)
	}
	for name, f := range floods() {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, f)
			process := s.start(t, bin, "rank-agent", agentMB)
			agent := fmt.Sprintf("http://%s:%d", s.ip(1), internalPort)
			await(t, agent+"/elmcove/report")
			ranks := url.Values{"for": {"planner"}}
			for i := range endlessRanks {
				ranks.Add("rank", s.rank(i))
			}
			var wait sync.WaitGroup
			end := time.Now().Add(floodTime)
			for range 2 {
				wait.Go(func() { expect(t, agent+"/rank/collect?"+ranks.Encode(), end) })
			}
			for _, path := range []string{"/rank/state?for=planner", "/elmcove/report", "/elmcove/picked"} {
				wait.Go(func() { _, _ = send(t, agent+path, end) }) // The rank is a faulty one.
			}
			wait.Go(func() { expect(t, agent+"/metrics", end) })
			time.AfterFunc(floodTime/2, func() { s.flooded.Store(true) })
			wait.Wait()
			s.checkMemory(t, process, agentMB)
			s.checkAnswers(t, "ranks", "states", "store")
		})
	}
}
