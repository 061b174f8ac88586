package elmfollower_test

import (
	"encoding/binary"
	"fmt"
	"io"
	"os"
	"os/exec"
	"slices"
	"testing"
	"time"

	"github.com/elmcove/elmcove/internal/observe/elmclock"
	"github.com/elmcove/elmcove/platform"
)

// eventInterval is the time between two events of a stream.
const eventInterval = time.Millisecond

// TestMain sends events in place of the tests in a process that streamEvents has started.
func TestMain(m *testing.M) {
	if os.Getenv("ELMCOVE_TEST_EVENTS") == "" {
		os.Exit(m.Run())
	}
	for ; ; <-time.After(eventInterval) {
		if binary.Write(os.Stdout, binary.BigEndian, int64(elmclock.Now())) != nil {
			return
		}
	}
}

// streamEvents starts a process that sends events. It returns a function that returns the longest time
// that an event has waited since the last call.
func streamEvents(b *testing.B) func() time.Duration {
	b.Helper()
	command := exec.CommandContext(b.Context(), os.Args[0])
	command.Env = append(os.Environ(), "ELMCOVE_TEST_EVENTS=1")
	events, err := command.StdoutPipe()
	if err != nil || command.Start() != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = command.Wait() })
	waits := make(chan time.Duration, 1<<16)
	var sent int64
	if err := binary.Read(events, binary.BigEndian, &sent); err != nil {
		b.Fatal(err)
	}
	go func() {
		for buffer := make([]byte, 8); ; {
			if _, err := io.ReadFull(events, buffer); err != nil {
				return
			}
			waits <- elmclock.Now() - time.Duration(binary.BigEndian.Uint64(buffer)) //nolint:gosec // A time since the start.
		}
	}()
	return func() time.Duration {
		<-time.After(3 * eventInterval)
		longest := time.Duration(0)
		for len(waits) > 0 {
			longest = max(longest, <-waits)
		}
		return longest
	}
}

// BenchmarkWait measures how long a stream's event waits while a configuration is decoded.
// It is for GOMAXPROCS=1.
func BenchmarkWait(b *testing.B) {
	for name, first := range map[string]bool{"one route": false, "from nothing": true} {
		for _, routes := range sizes {
			b.Run(fmt.Sprintf("%s/routes=%d", name, routes), func(b *testing.B) {
				documents := versions(routes, 2)
				known, err := platform.Document{}.Next(documents[0])
				if err != nil {
					b.Fatal(err)
				}
				if first {
					known = platform.Document{}
				}
				longest := streamEvents(b)
				longest()
				var waits []time.Duration
				for b.Loop() {
					if _, err := known.Next(documents[1]); err != nil {
						b.Fatal(err)
					}
					b.StopTimer()
					waits = append(waits, longest())
					b.StartTimer()
				}
				slices.Sort(waits)
				b.ReportMetric(float64(waits[len(waits)/2].Microseconds())/1000, "ms-wait")
			})
		}
	}
}
