package elmagent

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/elmcove/elmcove/internal/config/elmholder"
	"github.com/elmcove/elmcove/internal/limit/elmconcurrency"
	"github.com/elmcove/elmcove/internal/limit/elmgate"
	"github.com/elmcove/elmcove/internal/observe/elmlog"
)

// Guards against an endpoint that turns cold without a log line, because it has failed
// rather than become slow.
func TestFailedEndpointIsLoggedAsCold(t *testing.T) {
	var log bytes.Buffer
	now := time.Now().Add(-time.Minute)
	a := &Agent{
		holder: elmholder.New(), gate: elmgate.New(1), logger: elmlog.NewJSON("draft-1", &log),
		limit: elmconcurrency.New(37*time.Millisecond, 64, now),
	}
	for range 10 {
		now = now.Add(10 * time.Millisecond)
		report := elmconcurrency.Report{Capacity: 64, Measured: now}
		a.limit = a.limit.WithReport(report).WithDemand(64).Observe(5*time.Millisecond, now)
	}
	if a.limit.Learned() == 1 {
		t.Fatal("the limit does not rise")
	}
	a.resetToCold()
	if !strings.Contains(log.String(), `"event":1501`) {
		t.Errorf("no event 1501 in %q", log.String())
	}
}
