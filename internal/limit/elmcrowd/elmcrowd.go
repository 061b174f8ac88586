// Package elmcrowd derives from the memory limit and the descriptors of a process how much of
// both the callers of the process may hold, and sets the soft memory limit of the Go runtime.
//
// # Usage
//
//	elmcrowd.SetMemoryLimit(settings.MemoryLimit)
//	limits := elmcrowd.Limits{MemoryLimit: settings.MemoryLimit}
//	account := elmmemory.NewAccount(limits.Pools(), ended)
//	listener := elmlistener.New(inner, elmlistener.WithMaxConnections(limits.Connections()))
package elmcrowd

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"runtime/debug"

	"golang.org/x/sys/unix"

	"github.com/elmcove/elmcove/internal/limit/elmmemory"
)

const (
	// defaultMemory is the memory limit if none is set.
	defaultMemory = 256 << 20
	// headRatio, smallRatio, largeRatio and connectionRatio are the shares of the memory limit
	// for parsed heads, for the first part of bodies, for the rest of bodies, and for
	// connections. Together they are less than half of it, since the garbage collector needs
	// memory as well, and the process itself holds 30 to 40 MB.
	headRatio       = 1.0 / 16
	smallRatio      = 1.0 / 16
	largeRatio      = 1.0 / 6
	connectionRatio = 1.0 / 6
	// minPool lets a single request of the largest legal head in very short lines pass, and
	// minLarge one of the largest legal body, also where the limit is very low.
	minPool  = 2 << 20
	minLarge = 4<<20 + 64<<10
	// otherRatio is the share of the callers' connections for each further port. A router has
	// four, and at each of them some 20 probes, planners and entries of its data centre.
	otherRatio = 0.125
	// minConnections is the least limit, which the system's own processes need.
	minConnections = 64
	// connectionBytes is the memory that a connection holds: the buffers and goroutines of
	// net/http, and the allowance for an ordinary head. 27 KB were measured for each of 8,000
	// idle connections, with what the garbage collector leaves.
	connectionBytes = 24 << 10
	// descriptorRatio is the share of the descriptors for the connections of callers. Each
	// request in flight has another connection to an endpoint.
	descriptorRatio = 0.4
	// maxRatio is the largest share of the memory limit that may be set for connections, or for
	// requests, and minRequestMB the least memory for a single request of the largest legal size.
	maxRatio     = 0.5
	minRequestMB = 12
	// maxTogether is the largest share of both together.
	maxTogether = 0.6
	// runtimeRatio is the share of the memory limit for the Go runtime. The rest is for the
	// program itself.
	runtimeRatio = 0.8
)

// ErrLimits reports limits that are invalid.
var ErrLimits = errors.New("invalid limits of callers")

// Limits are what the limits of callers are derived from.
type Limits struct {
	// MemoryLimit is the memory limit of the process in bytes, or 0 if it has none.
	MemoryLimit int64
	// MaxConnections is the limit of the connections of callers. If it is 0, the limit is
	// derived from the memory limit and the descriptors.
	MaxConnections int
	// RequestMemoryMB is the memory for heads and bodies of requests in MiB. If it is 0, it is
	// derived from the memory limit.
	RequestMemoryMB int
}

// Check returns an error if a limit is so low that requests of legal size are refused, or so
// high that the process exceeds its memory.
func (l Limits) Check() error {
	memory := l.memory()
	switch {
	case l.MaxConnections != 0 && l.MaxConnections < minConnections:
		return fmt.Errorf("%w: %d connections, the least is %d", ErrLimits, l.MaxConnections, minConnections)
	case float64(l.MaxConnections)*connectionBytes > maxRatio*memory:
		return fmt.Errorf("%w: %d connections take more than half of the memory limit", ErrLimits, l.MaxConnections)
	case l.RequestMemoryMB != 0 && l.RequestMemoryMB < minRequestMB:
		return fmt.Errorf("%w: %d MB for requests, the least is %d", ErrLimits, l.RequestMemoryMB, minRequestMB)
	case float64(l.RequestMemoryMB)*(1<<20) > maxRatio*memory:
		return fmt.Errorf("%w: %d MB for requests are more than half of the memory limit", ErrLimits, l.RequestMemoryMB)
	}
	if l.MaxConnections > 0 && l.RequestMemoryMB > 0 && float64(l.MaxConnections)*connectionBytes+float64(l.RequestMemoryMB)*(1<<20) > maxTogether*memory {
		return fmt.Errorf("%w: %d connections and %d MB for requests take more than the memory limit leaves", ErrLimits, l.MaxConnections, l.RequestMemoryMB)
	}
	return nil
}

// Pools returns the limits of the memory that requests hold.
func (l Limits) Pools() elmmemory.Limits {
	requests := l.memory() * (headRatio + smallRatio + largeRatio)
	if l.RequestMemoryMB > 0 {
		requests = float64(l.RequestMemoryMB) * (1 << 20)
	}
	part := func(ratio float64) int64 { return int64(requests * ratio / (headRatio + smallRatio + largeRatio)) }
	return elmmemory.Limits{
		Heads: max(part(headRatio), minPool), Small: max(part(smallRatio), minPool), Large: max(part(largeRatio), minLarge),
	}
}

// Connections returns the limit of the connections of callers.
func (l Limits) Connections() int {
	if l.MaxConnections > 0 {
		return l.MaxConnections
	}
	byMemory := l.memory() * connectionRatio / connectionBytes
	return max(int(min(byMemory, descriptorRatio*descriptors())), minConnections)
}

// OtherConnections returns the limit of the connections of a port that is not for callers.
func (l Limits) OtherConnections() int {
	return max(int(otherRatio*float64(l.Connections())), minConnections)
}

func (l Limits) memory() float64 { return float64(cmp.Or(l.MemoryLimit, defaultMemory)) }

// descriptors returns the limit of descriptors of the process.
func descriptors() float64 {
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) != nil {
		return 1024 // The usual limit.
	}
	return float64(limit.Cur)
}

// SetMemoryLimit sets the soft memory limit of the Go runtime, unless the environment sets it.
func SetMemoryLimit(memoryLimit int64) {
	if memoryLimit > 0 && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(int64(runtimeRatio * float64(memoryLimit)))
	}
}
