package elmrouter_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/elmcove/elmcove/internal/forward/elmrouter"
	"github.com/elmcove/elmcove/internal/observe/elmlog"
	"github.com/elmcove/elmcove/platform"
	"github.com/elmcove/elmcove/platform/stand"
)

// world is a router between callers and the stand-ins of the platform.
type world struct {
	t         *testing.T
	store     *stand.Store
	endpoints []*stand.Endpoint
	addresses map[string]string
	settings  platform.Settings
	log       *record
	stop      context.CancelFunc
	done      chan error
}

// record keeps what a router logs.
type record struct {
	mutex sync.Mutex
	text  strings.Builder
}

func (r *record) Write(line []byte) (int, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.text.Write(line)
}

func (r *record) String() string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.text.String()
}

const (
	credential = "secret"
	host       = "curb.example"
)

func configuration(version int, credentials ...string) []byte {
	route := func(prefix, kind string, timeoutMS int, resumable bool) map[string]any {
		return map[string]any{
			"name": prefix, "host": host, "prefix": prefix, "kind": kind, "timeoutMs": timeoutMS, "sloMs": 400,
			"service": "desk", "attempts": 2, "resumable": resumable,
		}
	}
	document, _ := json.Marshal(map[string]any{
		"version": version,
		"routes": []any{
			route("/once/", "non_idempotent", 1500, false), route("/again/", "idempotent", 1500, false),
			route("/stream/", "streaming", 5000, true), route("/single/", "streaming", 5000, false),
			map[string]any{"name": "open", "priority": 2, "host": host, "prefix": "/open/", "kind": "idempotent", "service": "desk", "public": true},
		},
		"services": []any{map[string]any{"name": "desk", "maxConnections": 10}},
		"tenants":  []any{map[string]any{"name": "crew", "apiKeys": credentials, "priority": 1}},
		"limits":   map[string]any{"maxHeaderBytes": 4096, "maxBodyBytes": 1000, "idleTimeoutMs": 5000},
	})
	return document
}

// worlds counts the worlds of this process.
var worlds atomic.Uint32

// loopback returns an address that only one world uses. Connections start from
// 127.0.0.1, so that none takes a port of it.
func loopback() string {
	process := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 100+process/250%100, 1+process%250, 1+worlds.Add(1)%250)
}

// address returns an address of a world whose port is free.
func address(t *testing.T, ip string) string {
	t.Helper()
	listener, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close() //nolint:errcheck // Only its address is wanted.
	return listener.Addr().String()
}

// newWorld starts a router with n endpoints and waits until it is ready.
func newWorld(t *testing.T, n int, change func(*platform.Settings)) *world {
	t.Helper()
	w := &world{t: t, store: stand.NewStore(), log: &record{}, addresses: map[string]string{}, done: make(chan error, 1)}
	storeServer := httptest.NewServer(w.store)
	t.Cleanup(storeServer.Close)
	for i := range n {
		w.add(fmt.Sprintf("e%d", i))
	}
	w.store.Put("op/config", configuration(1, credential))
	ip := loopback()
	_, port, _ := net.SplitHostPort(address(t, ip))
	number := 0
	_, _ = fmt.Sscan(port, &number)
	w.settings = platform.Settings{
		Instance: "entry-1", Datacentre: "home", IP: ip, Ports: []int{number},
		Callers: address(t, ip), Readiness: address(t, ip), Store: strings.TrimPrefix(storeServer.URL, "http://"),
		Bounds: platform.Bounds{
			Revoke: 5 * time.Second, Grace: 3 * time.Second, Leave: 2 * time.Second, Withdraw: 5 * time.Second,
			RepeatShare: 0.2, RepeatBurst: 90, RepeatWindow: 10 * time.Second, ColdFactor: 1.5, ColdSlack: 5,
		},
	}
	if change != nil {
		change(&w.settings)
	}
	ctx, stop := context.WithCancel(t.Context())
	w.stop = stop
	router := elmrouter.New(w.settings, elmlog.NewJSON("entry-1", w.log))
	go func() { w.done <- router.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		if err := <-w.done; err != nil {
			t.Error(err)
		}
		storeServer.CloseClientConnections()
	})
	w.eventually("ready", func() bool { return w.status("http://"+w.settings.Readiness+platform.ReadinessPath) == http.StatusOK })
	return w
}

// add starts an endpoint and lists it in the store.
func (w *world) add(id string) {
	w.t.Helper()
	e := stand.NewEndpoint(id)
	server := httptest.NewServer(e)
	w.t.Cleanup(server.Close)
	w.t.Cleanup(server.CloseClientConnections)
	w.endpoints = append(w.endpoints, e)
	w.addresses[id] = strings.TrimPrefix(server.URL, "http://")
	w.list(id, "ready")
}

// list writes an endpoint's entry in the store.
func (w *world) list(id, state string) {
	entry, _ := json.Marshal(map[string]any{
		"service": "desk", "address": w.addresses[id], "zone": "home", "slots": 4, "state": state, "coldLeftMs": 0, "sequence": 1,
	})
	w.store.Put("servers/"+id, entry)
}

func (w *world) status(url string) int {
	response, err := http.Get(url)
	if err != nil {
		return 0
	}
	defer response.Body.Close() //nolint:errcheck // Only the status is wanted.
	return response.StatusCode
}

// eventually waits until something holds, for a limited time.
func (w *world) eventually(what string, holds func() bool) {
	w.t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for !holds() {
		if time.Now().After(deadline) {
			w.t.Fatalf("not %s after 10 s; log:\n%s", what, w.log)
		}
		<-time.After(10 * time.Millisecond)
	}
}

// result is what a caller got.
type result struct {
	status int
	header http.Header
	body   string
	err    error
}

// ask sends a request as a caller does.
func (w *world) ask(ctx context.Context, method, target, body string, headers map[string]string) result {
	w.t.Helper()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+w.settings.Callers+target, strings.NewReader(body))
	if err != nil {
		w.t.Fatal(err)
	}
	request.Host = host
	request.Header.Set("Attempt-Id", "attempt-1")
	request.Header.Set("Credential", credential)
	request.Header.Set("Deadline-Ms", "1500")
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return result{err: err}
	}
	defer response.Body.Close() //nolint:errcheck // The body has been read.
	got, err := io.ReadAll(response.Body)
	return result{response.StatusCode, response.Header, string(got), err}
}

// runs returns what all endpoints have seen.
func (w *world) runs() []stand.Run {
	var list []stand.Run
	for _, e := range w.endpoints {
		list = append(list, e.Runs()...)
	}
	return list
}

func (w *world) next(list ...stand.Behaviour) {
	for _, e := range w.endpoints {
		e.Next(list...)
	}
}

// ran counts the requests that endpoints have run.
func ran(list []stand.Run) int {
	n := 0
	for _, r := range list {
		if r.Ran {
			n++
		}
	}
	return n
}
