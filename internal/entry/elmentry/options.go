package elmentry

import (
	"github.com/elmcove/elmcove/internal/observe/elmlog"
	"github.com/elmcove/elmcove/internal/observe/elmtrace"
)

// Option changes an Entry that is being made.
type Option func(*Entry)

// WithLogger lets the entry write its events to a logger.
func WithLogger(logger *elmlog.Logger) Option {
	return func(e *Entry) { e.logger = logger }
}

// WithTracer lets the entry make spans with a tracer.
func WithTracer(tracer *elmtrace.Tracer) Option {
	return func(e *Entry) { e.tracer = tracer }
}
