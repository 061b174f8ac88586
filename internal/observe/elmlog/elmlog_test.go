package elmlog_test

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/elmcove/elmcove/internal/observe/elmlog"
)

// TestCatalogue checks that docs/EVENTS.md matches the catalogue in the code.
func TestCatalogue(t *testing.T) {
	page, err := os.ReadFile("../../../docs/EVENTS.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range elmlog.Catalogue() {
		d := e.Describe()
		row := fmt.Sprintf("| %d | %s | %s | %s |", e, d.Level, d.Text, d.Advice)
		if !strings.Contains(string(page), row) {
			t.Errorf("docs/EVENTS.md lacks: %s", row)
		}
	}
	if rows := strings.Count(string(page), "\n| 1"); rows != len(elmlog.Catalogue()) {
		t.Errorf("docs/EVENTS.md has %d events, want %d", rows, len(elmlog.Catalogue()))
	}
}

// TestRateLimit checks that lines of one event above the rate limit are dropped
// and counted, and that other events are still written.
func TestRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out strings.Builder
		logger := elmlog.NewJSON("entry-1", &out)
		for range 1000 {
			logger.Event(elmlog.RequestRefused, "request", "a")
		}
		logger.Event(elmlog.StoreDown)
		time.Sleep(time.Second)
		logger.Event(elmlog.RequestRefused, "request", "b")
		text := out.String()
		if n := strings.Count(text, `"request":"a"`); n != 200 {
			t.Errorf("got %d lines of 1000, want 200", n)
		}
		if !strings.Contains(text, `"event":1201`) || !strings.Contains(text, `"omitted":800`) {
			t.Errorf("other events or the number of dropped lines are missing: %s", text[len(text)-400:])
		}
	})
}

func TestDurationFormat(t *testing.T) {
	var out strings.Builder
	elmlog.NewJSON("entry-1", &out).Event(elmlog.StoreDown, "age", 1500*time.Millisecond)
	if !strings.Contains(out.String(), `"age":"1.5s"`) {
		t.Errorf("got %s", out.String())
	}
}

// Guards against a faulty peer that fills the log, and blocks the process whose log is not read:
// net/http quotes bytes that belong to no response.
func TestReportsOfLibrariesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out strings.Builder
		standard := elmlog.NewJSON("entry-1", &out).Standard()
		for range 1000 {
			standard.Print("unsolicited response: " + strings.Repeat("x", 64<<10))
		}
		if lines := strings.Count(out.String(), `"event":1010`); lines != 200 || out.Len() > 200*1000 {
			t.Errorf("%d lines, %d bytes", lines, out.Len())
		}
	})
}
