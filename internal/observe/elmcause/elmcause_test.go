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
	story, err := elmcause.Read(strings.NewReader(log.String()), "a")
	if err != nil {
		t.Fatal(err)
	}
	text := story.String()
	for _, want := range []string{"group is broken", "rejected by e1 for e2", "verdict=broken"} {
		if !strings.Contains(text, want) {
			t.Errorf("the story lacks %q:\n%s", want, text)
		}
	}
	for _, no := range []string{"entry-2", "verdict=full"} {
		if strings.Contains(text, no) {
			t.Errorf("the story tells %q:\n%s", no, text)
		}
	}
	if _, err := elmcause.Read(strings.NewReader(log.String()), "c"); !errors.Is(err, elmcause.ErrUnknown) {
		t.Errorf("error %v", err)
	}
}
