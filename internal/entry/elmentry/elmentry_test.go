package elmentry_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/elmcove/elmcove/internal/config/elmsettings"
	"github.com/elmcove/elmcove/internal/entry/elmentry"
	"github.com/elmcove/elmcove/internal/stand/elmplatform"
	"github.com/elmcove/elmcove/internal/wire/elmkeys"
)

const address = "127.0.0.3:18411"

// TestRunLeaksNothing checks that no goroutine of an entry outlives Run, also
// while the key-value service is down.
func TestRunLeaksNothing(t *testing.T) {
	tests := map[string]elmplatform.Fault{"platform up": elmplatform.FaultNone, "platform down": elmplatform.FaultDown}
	for name, fault := range tests {
		t.Run(name, func(t *testing.T) {
			defer goleak.VerifyNone(t)
			defer http.DefaultTransport.(*http.Transport).CloseIdleConnections()
			platform := elmplatform.New()
			platform.SetFault(fault)
			server := httptest.NewServer(platform.Handler())
			defer server.Close()
			stop := start(t, server.URL)
			stop()
		})
	}
}

// Guards against requests that a stopping entry reads and leaves without an answer.
func TestEntryStops(t *testing.T) {
	server := httptest.NewServer(elmplatform.New().Handler())
	defer server.Close()
	stop := start(t, server.URL)
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close() //nolint:errcheck // The answer has been read.
	const request = "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n"
	_, _ = io.WriteString(conn, request[:20])
	stopped := make(chan struct{})
	go func() {
		stop()
		close(stopped)
	}()
	for connects := true; connects; { // Until the listening socket is closed.
		other, refused := net.Dial("tcp", address)
		if connects = refused == nil; connects {
			_ = other.Close()
		}
	}
	<-time.After(200 * time.Millisecond)
	_, _ = io.WriteString(conn, request[20:])
	answer, err := io.ReadAll(conn)
	if err != nil || !strings.HasPrefix(string(answer), "HTTP/1.1 200") {
		t.Errorf("got %q, %v", answer, err)
	}
	<-stopped
}

// start starts an entry and returns the function that stops it.
func start(t *testing.T, platform string) func() {
	t.Helper()
	keys := t.TempDir()
	if err := elmkeys.Generate(keys); err != nil {
		t.Fatal(err)
	}
	entry, err := elmentry.New(elmsettings.Settings{
		Instance: "entry-1", Datacentre: "worcester", Site: "granite",
		Platform: platform, Keys: keys, HTTP: address, Neighbours: []string{"127.0.0.3:18412"},
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- entry.Run(ctx) }()
	status := 0
	for start := time.Now(); status == 0 && time.Since(start) < 5*time.Second; {
		response, err := http.Get("http://" + address + "/readyz")
		if err == nil {
			status = response.StatusCode
			_ = response.Body.Close()
		}
	}
	if status != http.StatusServiceUnavailable {
		t.Errorf("readyz returned %d without a configuration", status)
	}
	return func() {
		cancel()
		if err := <-done; err != nil && !errors.Is(err, context.Canceled) {
			t.Error(err)
		}
	}
}
