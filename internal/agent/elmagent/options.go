package elmagent

import (
	"github.com/elmcove/elmcove/internal/observe/elmlog"
	"github.com/elmcove/elmcove/internal/observe/elmtrace"
)

// Option changes an Agent that is being made.
type Option func(*Agent)

// WithLogger lets the agent write its events to a logger.
func WithLogger(logger *elmlog.Logger) Option {
	return func(a *Agent) { a.logger = logger }
}

// WithTracer lets the agent make spans with a tracer.
func WithTracer(tracer *elmtrace.Tracer) Option {
	return func(a *Agent) { a.tracer = tracer }
}
