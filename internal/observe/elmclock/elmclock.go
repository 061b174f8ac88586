// Package elmclock reads a monotonic clock that includes the time for which the
// machine was suspended, and that setting the time of day does not affect. The
// ages of snapshots of the platform state are measured with it.
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

// processStart is the time at which the process started. It is used only where
// the kernel has no clock that includes suspension.
var processStart = time.Now()

// Now returns the time since the machine booted, including suspension.
func Now() time.Duration {
	var reading unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &reading); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(reading.Nano())
}

// Wait returns after d, or earlier when the context ends.
func Wait(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
