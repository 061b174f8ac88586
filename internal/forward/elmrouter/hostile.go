package elmrouter

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/elmcove/elmcove/internal/limit/elmcrowd"
	"github.com/elmcove/elmcove/internal/limit/elmmemory"
	"github.com/elmcove/elmcove/internal/observe/elmlog"
	"github.com/elmcove/elmcove/internal/wire/elmlistener"
)

const (
	// headMargin is the time beyond the configured one in which the head of a request may come
	// in. A busy process may read it late.
	headMargin = 2 * time.Second
	// auxiliaryBodyTime is the time in which the body of a probe or a control request comes in.
	// These requests have none.
	auxiliaryBodyTime = 5 * time.Second
	// auxiliaryWriteTime bounds the time in which these responses are read. A caller that does not
	// read would otherwise keep its connection, of which there are few.
	auxiliaryWriteTime = 10 * time.Second
	// hostileInterval is the time between two log lines on callers that hold too much.
	hostileInterval = 10 * time.Second
)

// WithLimits sets the limits of callers. The memory limit is that of the settings.
func WithLimits(limits elmcrowd.Limits) Option {
	return func(r *Router) {
		limits.MemoryLimit = r.settings.MemoryLimit
		r.limits = limits
	}
}

// headLimits returns the limits of the heads of callers' requests.
func (r *Router) headLimits() elmlistener.HeadLimits {
	limits := r.follower.Snapshot().Catalog().Limits()
	found := elmlistener.HeadLimits{Time: headerTimeout, Bytes: headerBytes}
	if limits.Header > 0 {
		found.Time = limits.Header + headMargin
	}
	if limits.HeaderBytes > 0 {
		found.Bytes = limits.HeaderBytes
	}
	return found
}

// recordEnded records that the listener for callers has ended a connection.
func (r *Router) recordEnded(reason elmlistener.EndReason) {
	r.meter.Count("elmcove_caller_connections_ended_total", "reason", string(reason))
	switch reason {
	case elmlistener.EndedCrowded, elmlistener.EndedRefused, elmlistener.EndedHeadSize, elmlistener.EndedHeadMemory:
		r.logHostile(string(reason))
	case elmlistener.EndedIdle, elmlistener.EndedDraining:
	}
}

// countEnded records that a request was ended or refused because a pool is used up.
func (r *Router) countEnded(p elmmemory.Pool) {
	r.meter.Count("elmcove_memory_refusals_total", "pool", p.String())
	r.logHostile(p.String())
}

// logHostile logs at most once in hostileInterval that callers hold too much.
func (r *Router) logHostile(reason string) {
	now := time.Now().UnixNano()
	last := r.hostileAt.Load()
	if now-last < int64(hostileInterval) || !r.hostileAt.CompareAndSwap(last, now) {
		return
	}
	r.logger.Event(elmlog.CallersLimited, "reason", reason, "heads", r.account.Used(elmmemory.Heads),
		"small", r.account.Used(elmmemory.Small), "large", r.account.Used(elmmemory.Large))
}

// auxiliaryListener returns the listener for probes, control requests or metrics.
func (r *Router) auxiliaryListener(inner net.Listener) *elmlistener.Listener {
	return elmlistener.New(inner, elmlistener.WithAccount(r.account),
		elmlistener.WithHeadLimits(func() elmlistener.HeadLimits {
			return elmlistener.HeadLimits{Time: headerTimeout, Bytes: headerBytes}
		}),
		elmlistener.WithMaxConnections(r.limits.OtherConnections()),
		elmlistener.WithIdleLimit(func() time.Duration { return idleTimeout }),
		elmlistener.WithEnded(func(reason elmlistener.EndReason) {
			r.meter.Count("elmcove_other_connections_ended_total", "reason", string(reason))
		}))
}

// auxiliaryServer returns a server for probes, control requests or metrics.
func (r *Router) auxiliaryServer(base context.Context, listener *elmlistener.Listener, handler http.Handler) *http.Server {
	limited := http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		limitReading(w, request, auxiliaryBodyTime)
		handler.ServeHTTP(w, request)
	})
	return &http.Server{ //nolint:gosec // The listener limits the time for a head.
		WriteTimeout: auxiliaryWriteTime,
		Handler:      elmlistener.ProtectBodies(limited), MaxHeaderBytes: headerBytes, ConnState: listener.OnStateChange, ConnContext: elmlistener.ConnContext,
		BaseContext: func(net.Listener) context.Context { return base }, ErrorLog: r.logger.Standard(),
	}
}
