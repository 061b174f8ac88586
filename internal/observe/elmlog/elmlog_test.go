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

// TestCatalogue proves that docs/EVENTS.md lists each event as the code has it.
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

// TestLinesAreBounded proves that an event that comes too often is left out and
// counted, and that others are still written.
func TestLinesAreBounded(t *testing.T) {
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
			t.Errorf("%d lines of 1000, want 200", n)
		}
		if !strings.Contains(text, `"event":1201`) || !strings.Contains(text, `"omitted":800`) {
			t.Errorf("other events or the count are missing: %s", text[len(text)-400:])
		}
	})
}

func TestDurationsCanBeRead(t *testing.T) {
	var out strings.Builder
	elmlog.NewJSON("entry-1", &out).Event(elmlog.StoreDown, "age", 1500*time.Millisecond)
	if !strings.Contains(out.String(), `"age":"1.5s"`) {
		t.Errorf("got %s", out.String())
	}
}
