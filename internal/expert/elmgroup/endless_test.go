package elmgroup_test

import (
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/elmcove/elmcove/internal/expert/elmgroup"
	"github.com/elmcove/elmcove/internal/stand/elmendless"
)

// Guards against a process that runs out of memory because what answers at the address of
// an agent sends bytes without end. An agent with 152 MB calls 8 others at a time.
func TestEndlessAnswers(t *testing.T) {
	const limit = 152 << 20 / 2 / 8
	protobuf := map[string]elmendless.Answer{
		"empty messages":  elmendless.Document("", "\x0a\x00", "", 256<<10),
		"empty groups":    elmendless.Document("", "\x12\x00", "", 1<<20),
		"unknown fields":  elmendless.Document("", "\x7a\x00", "", 1<<20),
		"repeated report": elmendless.Document("", "\x0a\x02\x0a\x00", "", 1<<20),
	}
	for name, answer := range elmendless.Named(elmendless.Answers(), protobuf) {
		t.Run(name, func(t *testing.T) {
			address, err := elmendless.Serve(t.Context(), "127.0.0.1:0", answer)
			if err != nil {
				t.Fatal(err)
			}
			_, text, _ := net.SplitHostPort(address)
			port, _ := strconv.Atoi(text)
			agents := elmgroup.NewAgents(port, time.Second)
			for call, run := range map[string]func(){
				"state":   func() { _, _ = agents.State(t.Context(), address, "planner") },
				"collect": func() { _, _ = agents.Collect(t.Context(), address, "planner", []string{address}) },
			} {
				if allocated := elmendless.Allocated(run); allocated > limit {
					t.Errorf("%s: %d MB allocated, limit is %d MB", call, allocated>>20, limit>>20)
				}
			}
		})
	}
}
