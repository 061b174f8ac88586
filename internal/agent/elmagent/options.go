package elmagent

import (
	"github.com/elmcove/elmcove/internal/observe/elmlog"
	"github.com/elmcove/elmcove/internal/observe/elmtrace"
)

// Option configures an Agent in New.
type Option func(*Agent)

// WithLogger sets the logger for the agent's events. By default they are
// discarded.
func WithLogger(logger *elmlog.Logger) Option {
	return func(a *Agent) { a.logger = logger }
}

// WithTracer sets the tracer for the agent's spans. By default there are none.
func WithTracer(tracer *elmtrace.Tracer) Option {
	return func(a *Agent) { a.tracer = tracer }
}
