// Package elmclock reads a clock that counts the time for which the machine was
// suspended and that no change of the time of day moves. Ages of beliefs are
// measured with it.
//
// # Usage
//
//	since := elmclock.Now()
//	age := elmclock.Now() - since
package elmclock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// start is the reading of the ordinary clock at which the process began. It
// serves only where the kernel has no clock that counts suspension.
var start = time.Now()

// Now returns the time since the machine was started, suspension included.
func Now() time.Duration {
	var reading unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &reading); err != nil {
		return time.Since(start)
	}
	return time.Duration(reading.Nano())
}

// Wait returns after a time, or when the context ends.
func Wait(ctx context.Context, rest time.Duration) {
	if rest <= 0 {
		return
	}
	timer := time.NewTimer(rest)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
