package elmentry_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
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
			runOnce(t, server.URL)
		})
	}
}

func runOnce(t *testing.T, platform string) {
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
	cancel()
	if err := <-done; err != nil && !errors.Is(err, context.Canceled) {
		t.Error(err)
	}
}
