// Package elmtrace creates a span for each hop of a request and exports the spans
// to a file or an OTLP collector.
//
// # Usage
//
//	tracer, err := elmtrace.New(ctx, "entry-1", "traces.json")
//	defer tracer.Close(ctx)
//	ctx, span := tracer.Start(ctx, "request", parent)
package elmtrace

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

const parentHeader = "traceparent"

// ErrTrace reports that traces can't be exported.
var ErrTrace = errors.New("traces")

// Tracer starts spans and exports them.
type Tracer struct {
	tracer   trace.Tracer
	provider *sdktrace.TracerProvider
	file     io.Closer
}

// New returns a Tracer for a named process. The target is a file, an OTLP URL,
// or empty to export no traces.
func New(ctx context.Context, name, target string) (*Tracer, error) {
	if target == "" {
		return &Tracer{tracer: noop.NewTracerProvider().Tracer(name)}, nil
	}
	exporter, file, err := newExporter(ctx, target)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrTrace, err)
	}
	attributes := resource.NewSchemaless(attribute.String("service.name", name))
	provider := sdktrace.NewTracerProvider(sdktrace.WithBatcher(exporter), sdktrace.WithResource(attributes))
	return &Tracer{tracer: provider.Tracer(name), provider: provider, file: file}, nil
}

// Discard returns a Tracer that exports no traces.
func Discard() *Tracer {
	return &Tracer{tracer: noop.NewTracerProvider().Tracer("")}
}

// Start starts a span. The parent is a W3C traceparent, or empty for a new trace.
func (t *Tracer) Start(ctx context.Context, name, parent string) (context.Context, trace.Span) {
	carrier := propagation.MapCarrier{parentHeader: parent}
	ctx = propagation.TraceContext{}.Extract(ctx, carrier)
	return t.tracer.Start(ctx, name)
}

// Parent returns the W3C traceparent of the span in a context.
func Parent(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	return carrier.Get(parentHeader)
}

// Close exports the remaining spans and closes the Tracer.
func (t *Tracer) Close(ctx context.Context) error {
	if t.provider == nil {
		return nil
	}
	err := t.provider.Shutdown(ctx)
	if t.file != nil {
		err = errors.Join(err, t.file.Close())
	}
	if err != nil {
		return fmt.Errorf("%w: %w", ErrTrace, err)
	}
	return nil
}

// newExporter returns an exporter to an OTLP URL, or to a file and the file that
// Close closes.
func newExporter(ctx context.Context, target string) (sdktrace.SpanExporter, io.Closer, error) {
	if strings.HasPrefix(target, "http://") || strings.HasPrefix(target, "https://") {
		exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(target))
		return exporter, nil, err
	}
	file, err := os.OpenFile(target, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, nil, err
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(file))
	return exporter, file, err
}
