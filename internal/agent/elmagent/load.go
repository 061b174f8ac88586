package elmagent

import (
	"context"
	"time"

	"github.com/elmcove/elmcove/internal/limit/elmwarmth"
	"github.com/elmcove/elmcove/internal/observe/elmlog"
)

// resizeLocked sets the limit of the pool: learned for a model engine, and the
// ceiling for a plain service.
func (a *Agent) resizeLocked() {
	if a.holder.Config().Model(a.settings.Service) {
		a.gate.SetLimit(a.warmth.Value(time.Now(), a.gate.Pool().Running()), a.warmth.Learned())
		return
	}
	a.gate.SetLimit(a.settings.Ceiling, a.settings.Ceiling)
}

// observe learns from the time of one step of the endpoint.
func (a *Agent) observe(step time.Duration) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	before := a.warmth.Learned()
	a.warmth = a.warmth.WithDemand(a.gate.Demand()).Observe(step, time.Now())
	a.resizeLocked()
	if before > 1 && a.warmth.Learned() == 1 {
		a.logger.Event(elmlog.EndpointCold, "step", step, "limit", before)
	}
}

// followLoad takes in the endpoint's load reports.
func (a *Agent) followLoad(ctx context.Context) {
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	for {
		if a.holder.Config().Model(a.settings.Service) {
			a.takeLoad(ctx)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// takeLoad takes in one load report, and tells the entries if the capacity has
// changed.
func (a *Agent) takeLoad(ctx context.Context) {
	load, err := a.caller.Load(ctx)
	before := a.gate.Pool().Shared()
	a.mutex.Lock()
	if err == nil {
		a.warmth = a.warmth.WithReport(elmwarmth.Report{Capacity: load.Capacity, Measured: load.Measured})
	}
	a.resizeLocked()
	a.mutex.Unlock()
	if a.gate.Pool().Shared() != before {
		a.grantAll()
	}
}

// chill reduces the load after the endpoint has failed.
func (a *Agent) chill() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.warmth = a.warmth.Chill(time.Now())
	a.resizeLocked()
}
