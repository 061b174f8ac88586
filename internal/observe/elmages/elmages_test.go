package elmages_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/elmcove/elmcove/internal/observe/elmages"
	"github.com/elmcove/elmcove/internal/observe/elmlog"
)

// line returns a log line of an entry at a second.
func line(instance string, second int, event elmlog.Event, fields string) string {
	return fmt.Sprintf("  %d.0 %s {\"@module\":%q,\"@timestamp\":\"2026-12-04T20:00:%02dZ\",\"event\":%d%s}\n", second, instance, instance, second, event, fields)
}

func TestRead(t *testing.T) {
	log := line("a", 1, elmlog.RequestFinished, `,"age":"500ms"`) +
		line("b", 2, elmlog.RequestFinished, `,"age":"1.9s"`) +
		line("a", 3, elmlog.RequestFinished, `,"age":"2.5s"`) +
		line("a", 4, elmlog.PeerUsed, `,"age":"100ms"`) +
		"not JSON\n" +
		line("a", 5, elmlog.RequestRefused, `,"age":"4.5s"`) +
		line("a", 6, elmlog.RequestFinished, `,"age":"1s"`) +
		line("b", 7, elmlog.RequestFinished, `,"age":"6.9s"`)
	ages, err := elmages.Read(strings.NewReader(log), 2*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	want := "6 lines have an age, 2 periods are over 2s\n" +
		"b: read at Dec  4 20:00:00.100, in use until Dec  4 20:00:07.000 at least, 6.9s old (1 lines)\n" +
		"a: read at Dec  4 20:00:00.500, in use until Dec  4 20:00:05.000 at least, 4.5s old (2 lines)\n" +
		"  2026-12-04T20:00:04Z a 1204  age=100ms\n"
	if got := ages.String(); got != want {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
}
