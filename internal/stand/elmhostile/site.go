package elmhostile

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/elmcove/elmcove/internal/stand/elmendless"
	"github.com/elmcove/elmcove/internal/stand/elmloopback"
	"github.com/elmcove/elmcove/platform/stand"
)

// largeResponse is the size of a response of the target's path with "/large" behind it.
const largeResponse = 8 << 20

// Site is a platform on loopback addresses with one plain endpoint and one rank, for a router
// or a rank-agent under test.
type Site struct{ network *elmloopback.Network }

// NewSite starts a site that lasts until the context ends.
func NewSite(ctx context.Context) (*Site, error) {
	network, err := elmloopback.Reserve(ctx, uint64(os.Getpid()))
	if err != nil {
		return nil, fmt.Errorf("site: %w", err)
	}
	context.AfterFunc(ctx, network.Release)
	s, store := &Site{network}, stand.NewStore()
	desk := stand.NewEndpoint("desk-0")
	for address, handler := range map[string]http.Handler{
		s.store(): store, s.desk(): withLarge(desk), s.rank(): http.HandlerFunc(serveRank),
	} {
		if _, err := elmendless.Serve(ctx, address, handler); err != nil {
			return nil, fmt.Errorf("site: %w", err)
		}
	}
	put(store, "servers/desk-0", map[string]any{"service": "desk", "address": s.desk(), "zone": "home", "slots": 64, "state": "ready", "coldLeftMs": 0, "born": 1, "version": "v1", "sequence": 1})
	put(store, "op/config", map[string]any{
		"version":  1,
		"limits":   map[string]any{"maxHeaderBytes": HeadBytes, "maxBodyBytes": BodyBytes, "headerTimeoutMs": 10_000, "idleTimeoutMs": 30_000},
		"routes":   []any{map[string]any{"name": "/", "host": "site", "prefix": "/", "kind": "idempotent", "service": "desk", "timeoutMs": 30_000, "public": true}},
		"services": []any{map[string]any{"name": "desk"}},
	})
	return s, nil
}

func put(store *stand.Store, key string, value any) {
	document, _ := json.Marshal(value) // Maps of strings and numbers always encode.
	store.Put(key, document)
}

// withLarge returns the handler of an endpoint that also has large responses.
func withLarge(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasSuffix(r.URL.Path, "/large") {
			next.ServeHTTP(w, r)
			return
		}
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
		w.Header().Set("Response-Seal", "seal-desk-0")
		block := strings.Repeat("x", 64<<10)
		for range largeResponse / len(block) {
			_, _ = io.WriteString(w, block) // The router may close.
		}
	})
}

func serveRank(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, `{"group":{"name":"g","epoch":1,"rank":0,"state":"open"},"size":1,"running":0,"step":25,"map":7}`)
}

func (s *Site) store() string { return s.network.IP(2) + ":8080" }
func (s *Site) desk() string  { return s.network.IP(3) + ":8080" }
func (s *Site) rank() string  { return s.network.IP(4) + ":8000" }

// Callers returns the address for callers of the process under test.
func (s *Site) Callers() string { return s.network.IP(1) + ":7000" }

// Ready returns the address for readiness probes.
func (s *Site) Ready() string { return s.network.IP(1) + ":7001" }

// Control returns the address for control requests.
func (s *Site) Control() string { return s.network.IP(1) + ":7002" }

// Internal returns the address for other processes of the system.
func (s *Site) Internal() string { return s.network.IP(1) + ":7010" }

// Metrics returns the address for metrics.
func (s *Site) Metrics() string { return s.network.IP(1) + ":9464" }

// Settings returns the settings of the process under test.
func (s *Site) Settings(memoryMB int) string {
	return fmt.Sprintf(`nodeName = "node"
ip = %q
zone = "home"
internalPorts = [7010,7011]
app = %q
service = "desk"
[listen]
front = %q
ready = %q
control = %q
[limits]
memoryMb = %d
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
address = %q
ttlMinMs = 1000
`, s.network.IP(1), s.rank(), s.Callers(), s.Ready(), s.Control(), memoryMB, s.store())
}
