package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/elmcove/elmcove/internal/stand/elmloopback"
	"github.com/elmcove/elmcove/platform/stand"
)

const (
	// firstRouter is the host of the first router in the network of a run, and storeHost that of
	// the store.
	firstRouter = 10
	storeHost   = 3
	// startLimit is the time until the routers must be ready.
	startLimit = 20 * time.Second
	// settleTime is the time that routers get to learn of each other before a case begins.
	settleTime = 3 * time.Second
)

var errWorld = errors.New("world")

// world is a small deployment on loopback addresses: a store and routers, which are processes.
type world struct {
	ctx     context.Context //nolint:containedctx // It lives as long as the run.
	program string
	folder  string
	network *elmloopback.Network
	store   *stand.Store
	record  *record
	routers []*exec.Cmd
	fronts  []string
}

// record is the file that holds what was sent, answered and run.
type record struct {
	mutex sync.Mutex
	file  *os.File
	began time.Time
}

// add writes a line with the time since the start.
func (r *record) add(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, values...))
}

// newWorld starts the store. Routers are started by startRouters.
func newWorld(ctx context.Context, program, recordPath string) (*world, error) {
	network, err := elmloopback.Reserve(ctx, uint64(os.Getpid()))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errWorld, err)
	}
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		network.Release()
		return nil, fmt.Errorf("%w: %w", errWorld, err)
	}
	file, err := os.Create(recordPath) //nolint:gosec // The script names it.
	if err != nil {
		network.Release()
		return nil, fmt.Errorf("%w: %w", errWorld, err)
	}
	w := &world{
		ctx: ctx, program: program, folder: folder, network: network, store: stand.NewStore(),
		record: &record{file: file, began: time.Now()},
	}
	if err := w.serve(storeHost, withoutEra(w.store)); err != nil {
		w.end()
		return nil, err
	}
	return w, nil
}

// serve serves a handler on a host of the network.
func (w *world) serve(host int, handler http.Handler) error {
	listener, err := new(net.ListenConfig).Listen(w.ctx, "tcp4", w.address(host))
	if err != nil {
		return fmt.Errorf("%w: %w", errWorld, err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	context.AfterFunc(w.ctx, func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }() // The end of the run closes the server.
	return nil
}

// address returns the address of a stand-in.
func (w *world) address(host int) string { return w.network.IP(host) + ":8000" }

// withoutEra returns a store that sends no Store-Era header, which is not in force.
func withoutEra(store http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		store.ServeHTTP(&plainWriter{ResponseWriter: rw}, r)
	})
}

type plainWriter struct{ http.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (p *plainWriter) WriteHeader(status int) {
	p.Header().Del("Store-Era")
	p.ResponseWriter.WriteHeader(status)
}

// put writes a document to the store, whose return is the acknowledgement.
func (w *world) put(key string, value any) {
	document, _ := json.Marshal(value) // Maps of texts and numbers always encode.
	w.store.Put(key, document)
	w.record.add("store: %s is %s", key, document)
}

// settings are those of a small site, with the bounds of its sheet.
const settings = `nodeName = "edge-%[1]d"
role = "router"
machineClass = "edge"
serves = ["edge","control_plane"]
ip = "%[2]s"
zone = "worcester"
region = "new-england"
internalPorts = [7340,7355]
seeds = ["%[3]s:8229"]
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","places","platform","experts"]
[zones]
worcester = "new-england"
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
address = "%[4]s"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
`

// startRouters starts routers with the command of the deploy file, and waits until they are ready.
func (w *world) startRouters(number int) error {
	for i := range number {
		ip := w.network.IP(firstRouter + i)
		path := filepath.Join(w.folder, fmt.Sprintf("edge-%d.toml", i))
		text := fmt.Sprintf(settings, i, ip, w.network.IP(firstRouter), w.address(storeHost))
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil { //nolint:gosec // The folder is the run's own.
			return fmt.Errorf("%w: %w", errWorld, err)
		}
		log, err := os.Create(filepath.Join(w.folder, fmt.Sprintf("edge-%d.log", i))) //nolint:gosec // As above.
		if err != nil {
			return fmt.Errorf("%w: %w", errWorld, err)
		}
		router := exec.CommandContext(w.ctx, w.program, "router") //nolint:gosec // It is the program under review.
		router.Env = []string{"ELMCOVE_BOOT=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + w.folder}
		router.Stdout, router.Stderr = log, log
		if err := router.Start(); err != nil {
			return fmt.Errorf("%w: %w", errWorld, err)
		}
		_ = log.Close() // The process has it.
		w.routers, w.fronts = append(w.routers, router), append(w.fronts, ip+":8227")
	}
	for deadline := time.Now().Add(startLimit); ; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for i := range number {
			if w.isReady(i) {
				ready++
			}
		}
		if ready == number {
			time.Sleep(settleTime)
			w.record.add("%d routers are ready", number)
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%w: %d of %d routers are ready", errWorld, ready, number)
		}
	}
}

// isReady asks a router whether it is ready, as the platform does.
func (w *world) isReady(i int) bool {
	request, err := http.NewRequestWithContext(w.ctx, http.MethodGet, "http://"+w.network.IP(firstRouter+i)+":8220/elmcove/ready", nil) //nolint:gosec // It is a loopback address.
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request) //nolint:gosec // As above.
	if err != nil {
		return false
	}
	_ = response.Body.Close() // Only the status counts.
	return response.StatusCode == http.StatusOK
}

// end ends the processes that the run started and removes its folder.
func (w *world) end() {
	for _, r := range w.routers {
		_ = r.Process.Signal(syscall.SIGKILL) // It may have ended.
		_ = r.Wait()
	}
	w.network.Release()
	_ = w.record.file.Close()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(w.folder) //nolint:gosec // It is in the folder for temporary files.
	} else {
		fmt.Println("logs:", w.folder)
	}
}

// endpoint is the entry of a replica in the store.
func endpoint(service, address string, sequence int64, born time.Time) map[string]any {
	return map[string]any{
		"service": service, "address": address, "zone": "worcester", "version": "v1", "slots": 6, "state": "ready",
		"coldLeftMs": 0, "sequence": sequence, "born": born.UnixMilli(),
	}
}

// beat writes the entry of a replica again each heartbeat.
func (w *world) beat(id, service, address string) {
	born, key := time.Now(), "servers/"+id
	w.put(key, endpoint(service, address, 1, born))
	go func() {
		for n := int64(2); w.ctx.Err() == nil; n++ {
			time.Sleep(1200 * time.Millisecond)
			document, _ := json.Marshal(endpoint(service, address, n, born)) // As above.
			w.store.Put(key, document)
		}
	}()
}

// sameLine returns a text without line ends, for the record.
func sameLine(text string) string { return strings.Join(strings.Fields(text), " ") }
