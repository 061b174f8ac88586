package elmlog_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

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
