package elmentry

import (
	"github.com/elmcove/elmcove/internal/observe/elmlog"
	"github.com/elmcove/elmcove/internal/observe/elmtrace"
)

// Option configures an Entry.
type Option func(*Entry)

// WithLogger sets the logger of the entry's events.
func WithLogger(logger *elmlog.Logger) Option {
	return func(e *Entry) { e.logger = logger }
}

// WithTracer sets the tracer of the entry's spans.
func WithTracer(tracer *elmtrace.Tracer) Option {
	return func(e *Entry) { e.tracer = tracer }
}
