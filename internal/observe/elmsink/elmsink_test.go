package elmsink_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/elmcove/elmcove/internal/observe/elmsink"
)

// TestBlockedReader checks that a full pipe does not block the process, and that
// dropped lines are counted.
func TestBlockedReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader, writer := io.Pipe()
		sink := elmsink.New(writer)
		ctx, cancel := context.WithCancel(t.Context())
		var wait sync.WaitGroup
		dropped := make(chan int64, 1)
		wait.Go(func() { sink.Run(ctx, func(n int64) { dropped <- n }) })
		synctest.Wait()
		for range 5000 {
			if _, err := sink.Write([]byte("line\n")); err != nil {
				t.Fatal(err)
			}
		}
		wait.Go(func() { _, _ = io.Copy(io.Discard, reader) })
		if n := <-dropped; n < 3000 || n > 5000 {
			t.Errorf("got %d dropped lines, want 3000 to 5000", n)
		}
		cancel()
		_ = reader.Close()
		wait.Wait()
	})
}

// Guards against dropped lines that nobody learns of, because the process ends before the
// next report.
func TestLinesDroppedAtTheEnd(t *testing.T) {
	var target bytes.Buffer
	sink := elmsink.New(&target)
	for range 5000 {
		_, _ = sink.Write([]byte("line\n"))
	}
	sink.Flush(func(n int64) { _, _ = fmt.Fprintf(sink, "%d dropped\n", n) })
	written := strings.Count(target.String(), "line\n")
	if want := fmt.Sprintf("%d dropped\n", 5000-written); !strings.HasSuffix(target.String(), want) {
		t.Errorf("the log does not end with %q", want)
	}
}
