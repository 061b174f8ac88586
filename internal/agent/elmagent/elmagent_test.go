package elmagent_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/elmcove/elmcove/internal/agent/elmagent"
	"github.com/elmcove/elmcove/internal/config/elmsettings"
	"github.com/elmcove/elmcove/internal/stand/elmplatform"
	"github.com/elmcove/elmcove/internal/wire/elmkeys"
)

const httpAddress = "127.0.0.4:18413"

// TestRunLeaksNothing checks that an agent leaves no goroutine running after it
// stops.
func TestRunLeaksNothing(t *testing.T) {
	defer goleak.VerifyNone(t)
	defer http.DefaultTransport.(*http.Transport).CloseIdleConnections()
	server := httptest.NewServer(elmplatform.New().Handler())
	defer server.Close()
	keys := t.TempDir()
	if err := elmkeys.Generate(keys); err != nil {
		t.Fatal(err)
	}
	agent, err := elmagent.New(elmsettings.Settings{
		Instance: "draft-1", Datacentre: "worcester", Site: "granite", Platform: server.URL, Keys: keys,
		HTTP: httpAddress, Link: "127.0.0.4:18414", Service: "draft", Endpoint: server.URL, Step: 37, MaxConcurrency: 4,
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- agent.Run(ctx) }()
	status := 0
	for begin := time.Now(); status == 0 && time.Since(begin) < 5*time.Second; {
		response, err := http.Get("http://" + httpAddress + "/readyz")
		if err == nil {
			status = response.StatusCode
			_ = response.Body.Close()
		}
	}
	if status != http.StatusServiceUnavailable {
		t.Errorf("readyz answered %d without a configuration", status)
	}
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
}
