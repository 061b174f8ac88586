// Package elmsink writes log lines without blocking the process. If the reader
// is too slow, lines are dropped and counted.
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
	// queueLines is the number of lines that are queued for a slow reader.
	queueLines = 1024
	// reportInterval is the time between two reports of dropped lines.
	reportInterval = 5 * time.Second
	// flushTimeout limits the time for writing queued lines on shutdown.
	flushTimeout = 200 * time.Millisecond
)

// Sink is an io.Writer that queues log lines. It is safe for concurrent use.
type Sink struct {
	target  io.Writer
	lines   chan []byte
	dropped atomic.Int64
}

// New returns a Sink that writes to target while Run is running.
func New(target io.Writer) *Sink {
	return &Sink{target: target, lines: make(chan []byte, queueLines)}
}

// Write queues a copy of a line, or drops it if the queue is full. It never
// blocks and never fails.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Run writes queued lines until the context ends. It reports how many lines were
// dropped.
func (s *Sink) Run(ctx context.Context, report func(dropped int64)) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-s.lines:
			_, _ = s.target.Write(line) // A failure to write the log can't be logged.
		case <-ticker.C:
			if n := s.dropped.Swap(0); n > 0 {
				report(n)
			}
		case <-ctx.Done():
			return
		}
	}
}

// Flush writes the queued lines, for a limited time, and reports how many lines were
// dropped since the last report.
func (s *Sink) Flush(report func(dropped int64)) {
	deadline := time.Now().Add(flushTimeout)
	s.drain(deadline)
	if n := s.dropped.Swap(0); n > 0 {
		report(n)
		s.drain(deadline)
	}
}

// drain writes the queued lines until a deadline.
func (s *Sink) drain(deadline time.Time) {
	for time.Now().Before(deadline) {
		select {
		case line := <-s.lines:
			_, _ = s.target.Write(line) // A failure to write the log can't be logged.
		default:
			return
		}
	}
}
