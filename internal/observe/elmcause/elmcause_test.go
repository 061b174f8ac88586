package elmcause_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/elmcove/elmcove/internal/observe/elmcause"
	"github.com/elmcove/elmcove/internal/observe/elmlog"
)

func TestRead(t *testing.T) {
	var log strings.Builder
	other, entry := elmlog.NewJSON("entry-2", &log), elmlog.NewJSON("entry-1", &log)
	other.Event(elmlog.StoreDown, "error", "refused")
	entry.Event(elmlog.GroupBroken, "service", "draft", "cause", "rejected by e1 for e2")
	log.WriteString("not JSON\n  35.1 entry-1 ")
	entry.Event(elmlog.RequestRefused, "request", "a", "verdict", "broken")
	entry.Event(elmlog.RequestRefused, "request", "b", "verdict", "full")
	history, err := elmcause.Read(strings.NewReader(log.String()), "a")
	if err != nil {
		t.Fatal(err)
	}
	text := history.String()
	for _, want := range []string{"group is broken", "rejected by e1 for e2", "verdict=broken"} {
		if !strings.Contains(text, want) {
			t.Errorf("the history lacks %q:\n%s", want, text)
		}
	}
	for _, unwanted := range []string{"entry-2", "verdict=full"} {
		if strings.Contains(text, unwanted) {
			t.Errorf("the history contains %q:\n%s", unwanted, text)
		}
	}
	if _, err := elmcause.Read(strings.NewReader(log.String()), "c"); !errors.Is(err, elmcause.ErrUnknown) {
		t.Errorf("got error %v, want ErrUnknown", err)
	}
}
