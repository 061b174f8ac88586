// Package elmsink writes log lines without ever blocking the process: when the
// reader is slow, lines are left out and counted.
//
// # Usage
//
//	sink := elmsink.New(os.Stdout)
//	go sink.Run(ctx, func(dropped int64) { logger.Event(elmlog.LinesDropped, "lines", dropped) })
package elmsink

import (
	"context"
	"io"
	"sync/atomic"
	"time"
)

const (
	// capacity is the number of lines that wait for a slow reader.
	capacity = 1024
	// reportEvery is the time between two counts of what was left out.
	reportEvery = 5 * time.Second
	// flushTimeout bounds the writing of what is left at the end.
	flushTimeout = 200 * time.Millisecond
)

// Sink is a writer of log lines. It is safe for concurrent use.
type Sink struct {
	target  io.Writer
	lines   chan []byte
	dropped atomic.Int64
}

// New returns a sink that writes to target once it runs.
func New(target io.Writer) *Sink {
	return &Sink{target: target, lines: make(chan []byte, capacity)}
}

// Write takes a line. It never blocks and never fails.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Run writes lines until the context ends, and reports how many were left out.
func (s *Sink) Run(ctx context.Context, report func(dropped int64)) {
	ticker := time.NewTicker(reportEvery)
	defer ticker.Stop()
	for {
		select {
		case line := <-s.lines:
			_, _ = s.target.Write(line) // There is nowhere to report it.
		case <-ticker.C:
			if n := s.dropped.Swap(0); n > 0 {
				report(n)
			}
		case <-ctx.Done():
			return
		}
	}
}

// Flush writes the lines that wait, for a limited time.
func (s *Sink) Flush() {
	deadline := time.Now().Add(flushTimeout)
	for time.Now().Before(deadline) {
		select {
		case line := <-s.lines:
			_, _ = s.target.Write(line) // There is nowhere to report it.
		default:
			return
		}
	}
}
