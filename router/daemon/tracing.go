package daemon

import (
	"context"
	"fmt"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

const (
	traceOff     = "off"
	traceStdout  = "stdout"
	flushTimeout = 2 * time.Second
)

// tracing makes the spans of one instance and sends them on.
type tracing struct {
	tracer   trace.Tracer
	provider *sdktrace.TracerProvider // nil when tracing is off
}

// newTracing returns tracing to mode: off, stdout, or the URL of an OTLP
// collector.
func newTracing(mode, instance string) (*tracing, error) {
	if mode == traceOff {
		return &tracing{tracer: noop.NewTracerProvider().Tracer("")}, nil
	}
	exporter, err := newExporter(mode)
	if err != nil {
		return nil, fmt.Errorf("trace: %w", err)
	}
	p := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithResource(resource.NewSchemaless(attribute.String("service.name", "bronzewind"), attribute.String("service.instance.id", instance))))
	return &tracing{tracer: p.Tracer("bronzewind"), provider: p}, nil
}

func newExporter(mode string) (sdktrace.SpanExporter, error) {
	if mode == traceStdout {
		return stdouttrace.New()
	}
	return otlptracehttp.New(context.Background(), otlptracehttp.WithEndpointURL(mode))
}

// close sends the spans that are left.
func (t *tracing) close() {
	if t.provider == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	_ = t.provider.Shutdown(ctx)
}
