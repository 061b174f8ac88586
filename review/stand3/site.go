package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

var (
	// errSetup reports that a case couldn't run.
	errSetup = errors.New("setup")
	// errBroken reports that a rule was broken.
	errBroken = errors.New("rule broken")
)

const (
	zoneName = "worcester"
	hostName = "desk.example"
	readyIn  = 20 * time.Second
)

// site is a small deployment on loopback addresses: a store, and the processes and stand-ins of
// a case.
type site struct {
	store   *store
	address string // of the store
	folder  string // for settings and logs
	root    string // of the repository
	prefix  string // of the addresses of machines, such as "127.40.7."
	record  *record
	ports   []int // front, ready, control and internal port of all machines
	next    int

	mutex     sync.Mutex
	processes []*process
	servers   []*http.Server
}

// newSite starts the store of a deployment.
func newSite(r *record) (*site, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s := &site{
		store: newStore(), folder: folder, root: root, record: r, next: 1,
		prefix: fmt.Sprintf("127.%d.%d.", 16+rand.IntN(200), 1+rand.IntN(250)),
	}
	if s.address, err = s.serve(s.machine(), 0, s.store); err != nil {
		return nil, err
	}
	for range 4 {
		port, portErr := freePort(s.prefix + "250")
		if portErr != nil {
			return nil, portErr
		}
		s.ports = append(s.ports, port)
	}
	return s, nil
}

// machine returns the address of the next machine.
func (s *site) machine() string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.next++
	return fmt.Sprintf("%s%d", s.prefix, s.next)
}

func freePort(ip string) (int, error) {
	l, err := new(net.ListenConfig).Listen(context.Background(), "tcp4", net.JoinHostPort(ip, "0"))
	if err != nil {
		return 0, err
	}
	defer l.Close() //nolint:errcheck // It served only to find the port.
	return l.Addr().(*net.TCPAddr).Port, nil
}

// serve serves a handler at a port of an address, 0 for any, and returns the address with the port.
func (s *site) serve(ip string, port int, handler http.Handler) (string, error) {
	l, err := new(net.ListenConfig).Listen(context.Background(), "tcp4", fmt.Sprintf("%s:%d", ip, port))
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }() // It ends with the site.
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.servers = append(s.servers, server)
	return l.Addr().String(), nil
}

// close ends all processes and servers.
func (s *site) close() {
	for _, p := range s.processes {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		_ = p.command.Wait() // It was killed.
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
	_ = os.RemoveAll(s.folder) //nolint:gosec // The site made the folder.
}

// process is a process of elmcove.
type process struct {
	name    string
	ip      string
	command *exec.Cmd
	log     string
	ports   []int
}

func (p *process) signal(sig syscall.Signal) { _ = p.command.Process.Signal(sig) } // It may have ended.

func (p *process) front() string { return fmt.Sprintf("%s:%d", p.ip, p.ports[0]) }

// router starts the router of an edge machine.
func (s *site) router(name, ip string) (*process, error) {
	listen := fmt.Sprintf("front = %q\nready = %q\ncontrol = %q\n",
		fmt.Sprintf("%s:%d", ip, s.ports[0]), fmt.Sprintf("%s:%d", ip, s.ports[1]), fmt.Sprintf("%s:%d", ip, s.ports[2]))
	return s.start("router", name, ip, "machineClass = \"edge\"\n", listen, 284)
}

// agent starts the rank agent beside a replica.
func (s *site) agent(name, ip, app, service string) (*process, error) {
	head := fmt.Sprintf("machineClass = \"side\"\napp = %q\nservice = %q\n", app, service)
	return s.start("rank-agent", name, ip, head, "", 152)
}

func (s *site) start(role, name, ip, head, listen string, memory int) (*process, error) {
	settings := filepath.Join(s.folder, name+".toml")
	err := os.WriteFile(settings, []byte(s.settings(name, ip, head, listen, memory)), 0o600) //nolint:gosec // The site made the folder.
	if err != nil {
		return nil, err
	}
	p := &process{name: name, ip: ip, ports: s.ports, log: filepath.Join(s.folder, name+".log")}
	log, err := os.Create(p.log) //nolint:gosec // The site made the folder.
	if err != nil {
		return nil, err
	}
	defer log.Close() //nolint:errcheck // The process has its own descriptor.

	p.command = exec.CommandContext(context.Background(), filepath.Join(s.root, "target/elmcove"), role) //nolint:gosec // The roles are constants.
	p.command.Env = append(os.Environ(), "ELMCOVE_BOOT="+settings)
	p.command.Stdout, p.command.Stderr = log, log
	if err := p.command.Start(); err != nil {
		return nil, err
	}
	s.processes = append(s.processes, p)
	s.record.line("start %s %s", role, name)
	return p, nil
}

func (s *site) settings(name, ip, head, listen string, memory int) string {
	return fmt.Sprintf(`nodeName = %q
%sip = %q
zone = %q
region = "new-england"
internalPorts = [%d,%d]
seeds = []
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","places","platform","experts"]
[zones]
worcester = "new-england"
[listen]
%s[limits]
cpuShare = 0.4
cores = 1
memoryMb = %d
maxFds = 4200
[bounds]
reuseAfterS = 2
stableWindowMs = 3000
drainMs = 2000
graceS = 8
lossSlackMs = 200
configMs = 2000
rollbackSlackMs = 250
strictRevocation = true
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
retryBudgetBurst = 90
coldOver = 1.5
coldSlack = 5
evacuationMs = 5000
recoveryS = 12
passMs = 120
stall_ms = 1500
[platform]
address = %q
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
`, name, head, ip, zoneName, s.ports[3], s.ports[3], listen, memory, s.address)
}

// awaitReady waits until a router is ready.
func (s *site) awaitReady(ctx context.Context, p *process) error {
	target := fmt.Sprintf("http://%s:%d/elmcove/ready", p.ip, p.ports[1])
	for end := time.Now().Add(readyIn); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, http.NoBody) //nolint:gosec // It is a loopback address.
		if err != nil {
			return err
		}
		response, err := http.DefaultClient.Do(request) //nolint:gosec // It is a loopback address.
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	log, _ := os.ReadFile(p.log) //nolint:gosec // It is shown as far as it can be read.
	return fmt.Errorf("%w: %s is not ready: %s", errSetup, p.name, tail(string(log)))
}

func tail(text string) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	return strings.Join(lines[max(len(lines)-5, 0):], "\n")
}
