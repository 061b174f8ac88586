package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"
)

// world is what a case runs in.
type world struct {
	program string
	// trouble is "0" for a run without the disruption.
	trouble string
	folder  string
	store   *store
	began   time.Time

	mutex     sync.Mutex
	record    *os.File
	processes []*exec.Cmd
	servers   []*http.Server
}

// newWorld returns a world with an empty store.
func newWorld(recordPath, program, trouble string) (*world, error) {
	path, err := filepath.Abs(program)
	if err != nil {
		return nil, fmt.Errorf("program: %w", err)
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, fmt.Errorf("folder: %w", err)
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	w := &world{program: path, trouble: trouble, folder: folder, store: newStore(), record: record, began: time.Now()}
	w.note("TROUBLE=%s", trouble)
	return w, nil
}

// note writes a line to the record, with the seconds since the start.
func (w *world) note(format string, values ...any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, values...))
}

// recordAll writes what was sent and answered and what ran to the record.
func (w *world) recordAll(log []sent, endpoints ...*endpoint) {
	slices.SortFunc(log, func(a, b sent) int { return a.at.Compare(b.at) })
	w.note("sent: second, attempt, entry, path, status, body or failure")
	for _, s := range log {
		w.note("sent %.3f %s %s %s %d %q", s.at.Sub(w.began).Seconds(), s.attempt, s.entry, s.path, s.status, s.body+s.failed)
	}
	w.note("ran: second, attempt, endpoint, service, cold")
	for _, e := range endpoints {
		for _, a := range e.all() {
			w.note("ran %.3f %s %s %s %v", a.at.Sub(w.began).Seconds(), a.attempt, a.id, e.service, a.cold)
		}
	}
}

// calm reports whether the case runs without the disruption.
func (w *world) calm() bool { return w.trouble == "0" }

// at waits until some seconds after the start.
func (w *world) at(seconds float64) {
	time.Sleep(time.Until(w.began.Add(time.Duration(seconds * float64(time.Second)))))
}

// close ends all processes and servers.
func (w *world) close() {
	w.mutex.Lock()
	processes, servers := w.processes, w.servers
	w.mutex.Unlock()
	for _, p := range processes {
		_ = p.Process.Signal(syscall.SIGCONT)
		_ = p.Process.Kill()
		_ = p.Wait()
	}
	for _, s := range servers {
		_ = s.Close()
	}
	_ = os.RemoveAll(w.folder) //nolint:gosec // os.MkdirTemp has named it.
}

// listen serves a handler at a free port of a loopback address until the end.
func (w *world) listen(ip string, handler http.Handler) (string, error) {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp4", ip+":0")
	if err != nil {
		return "", fmt.Errorf("listen: %w", err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	w.mutex.Lock()
	w.servers = append(w.servers, server)
	w.mutex.Unlock()
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// entry is a router process.
type entry struct {
	name, front, ready string
	path               *storePath
}

// settings is the settings file of a router process.
const settings = `nodeName = %q
role = "router"
machineClass = "edge"
serves = ["edge","control_plane"]
ip = %q
zone = %q
region = "north"
internalPorts = [7340,7355]
seeds = [%s]
bootstrap = true
faultCounted = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","places","platform"]
[zones]
a = "north"
b = "north"
c = "north"
[listen]
front = "%[2]s:8227"
ready = "%[2]s:8220"
control = "%[2]s:8229"
[limits]
cpuShare = 0.4
cores = 1
memoryMb = 284
maxFds = 4200
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
stableWindowMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configMs = 2000
rollbackSlackMs = 250
outerMs = 5000
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
againS = 0
stall_ms = 1500
fencingRequired = false
[platform]
address = %[5]q
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
`

// addresses returns loopback addresses at which the ports of entries are free.
func addresses(number int) ([]string, error) {
	for try := range 200 {
		var list []string
		for i := range number {
			ip := fmt.Sprintf("127.%d.%d.%d", 20+os.Getpid()%200, try+1, i+1)
			if !free(ip) {
				break
			}
			list = append(list, ip)
		}
		if len(list) == number {
			return list, nil
		}
	}
	return nil, errors.New("no free loopback addresses")
}

// free reports whether the ports of an entry are free at an address.
func free(ip string) bool {
	for _, port := range []string{"7340", "8220", "8227", "8229", "9464"} {
		listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp4", net.JoinHostPort(ip, port))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}

// startEntries starts a router process in each of the zones and waits until all are ready.
func (w *world) startEntries(zones ...string) ([]*entry, error) {
	ips, err := addresses(len(zones))
	if err != nil {
		return nil, err
	}
	seeds := ""
	for i, ip := range ips {
		if i > 0 {
			seeds += ","
		}
		seeds += fmt.Sprintf("%q", ip+":8229")
	}
	var list []*entry
	for i, zone := range zones {
		e := &entry{name: fmt.Sprintf("edge-%s-%d", zone, i+1), front: ips[i] + ":8227", ready: ips[i] + ":8220", path: newStorePath(w.store)}
		address, err := w.listen("127.0.0.1", e.path)
		if err != nil {
			return nil, err
		}
		file := filepath.Join(w.folder, e.name+".toml")
		text := fmt.Sprintf(settings, e.name, ips[i], zone, seeds, address)
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil { //nolint:gosec // os.MkdirTemp has named the folder.
			return nil, fmt.Errorf("settings: %w", err)
		}
		if err := w.start(e, file); err != nil {
			return nil, err
		}
		list = append(list, e)
	}
	for _, e := range list {
		if err := e.waitReady(); err != nil {
			return nil, err
		}
		w.note("%s is ready", e.name)
	}
	return list, nil
}

// start starts the process of an entry.
func (w *world) start(e *entry, file string) error {
	process := exec.Command(w.program, "router") //nolint:noctx,gosec // It is killed at the end; the path is a flag.
	process.Env = []string{"ELMCOVE_BOOT=" + file, "PATH=" + os.Getenv("PATH"), "HOME=" + w.folder}
	if folder := os.Getenv("REVIEW_LOGS"); folder != "" {
		log, err := os.Create(filepath.Join(folder, e.name+".log")) //nolint:gosec // The caller of the script names the folder.
		if err != nil {
			return fmt.Errorf("log: %w", err)
		}
		process.Stdout, process.Stderr = log, log
	}
	if err := process.Start(); err != nil {
		return fmt.Errorf("start: %w", err)
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.processes = append(w.processes, process)
	return nil
}

// waitReady waits until an entry answers the platform's question with 200.
func (e *entry) waitReady() error {
	client := &http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + e.ready + "/elmcove/ready") //nolint:noctx // The client has a timeout.
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", e.name)
}
