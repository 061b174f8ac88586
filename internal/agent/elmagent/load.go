package elmagent

import (
	"context"
	"time"

	"github.com/elmcove/elmcove/internal/limit/elmconcurrency"
	"github.com/elmcove/elmcove/internal/observe/elmlog"
)

// updateLimitLocked sets the concurrency limit of the gate: the learned limit for
// a model engine, and the configured maximum for a plain service.
func (a *Agent) updateLimitLocked() {
	if a.holder.Config().IsModel(a.settings.Service) {
		a.gate.SetLimit(a.limit.Value(time.Now(), a.gate.Pool().Running()), a.limit.Learned())
		return
	}
	a.gate.SetLimit(a.settings.MaxConcurrency, a.settings.MaxConcurrency)
}

// observe updates the learned concurrency limit with the duration of one step of
// the endpoint.
func (a *Agent) observe(step time.Duration) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.setLimitLocked(a.limit.WithDemand(a.gate.Demand()).Observe(step, time.Now()), "step", step)
}

// setLimitLocked sets the learned concurrency limit, and logs if the endpoint has turned
// cold by it. Cause describes why, as key-value pairs.
func (a *Agent) setLimitLocked(limit elmconcurrency.Limit, cause ...any) {
	before := a.limit.Learned()
	a.limit = limit
	a.updateLimitLocked()
	if before > 1 && limit.Learned() == 1 {
		a.logger.Event(elmlog.EndpointCold, append(cause, "limit", before)...)
	}
}

// pollLoads polls the endpoint's load reports until the context ends. Only model
// engines have them.
func (a *Agent) pollLoads(ctx context.Context) {
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	for {
		if a.holder.Config().IsModel(a.settings.Service) {
			a.pollLoad(ctx)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// pollLoad fetches one load report, and sends the entries new grants if the
// capacity has changed.
func (a *Agent) pollLoad(ctx context.Context) {
	load, err := a.client.Load(ctx)
	before := a.gate.Pool().Shared()
	a.mutex.Lock()
	if err == nil {
		a.limit = a.limit.WithReport(elmconcurrency.Report{Capacity: load.Capacity, Measured: load.Measured})
	}
	a.updateLimitLocked()
	a.mutex.Unlock()
	if a.gate.Pool().Shared() != before {
		a.grantAll()
	}
}

// resetToCold resets the learned concurrency limit to that of a cold endpoint,
// after the endpoint has failed.
func (a *Agent) resetToCold() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.setLimitLocked(a.limit.ResetToCold(time.Now()), "cause", "failed request")
}
