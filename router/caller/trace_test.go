package caller_test

import (
	"net"
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
)

// TestOneTraceThroughAllHops sends a request with a trace context of the caller
// and looks at the chain of spans, and at what the backend server is sent.
func TestOneTraceThroughAllHops(t *testing.T) {
	const traceID, callerSpan = "0af7651916cd43dd8448eb211c80319c", "b7ad6b7169203331"
	for local, want := range map[bool][]string{
		true:  {"entry", "dispatch", "backend"},
		false: {"entry", "forward", "dispatch", "backend"},
	} {
		recorder := tracetest.NewSpanRecorder()
		provider := sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(recorder))
		sent := make(chan string, 1)
		f := newFleet(t, fleetOptions{local: local, tracer: provider.Tracer("test"), script: func(c net.Conn, r *http.Request) {
			sent <- r.Header.Get("Traceparent")
			answerOK(c, r)
		}})
		req := newRequest(t, "GET", f.url+"/tins/1", nil, "")
		req.Header.Set("Traceparent", "00-"+traceID+"-"+callerSpan+"-01")
		send(t, newClient(t), req)
		parent, chain := callerSpan, []string(nil)
		for range want {
			for _, s := range recorder.Started() {
				if s.Parent().SpanID().String() == parent && s.SpanContext().TraceID().String() == traceID {
					chain, parent = append(chain, s.Name()), s.SpanContext().SpanID().String()
					break
				}
			}
		}
		if d := cmp.Diff(want, chain); d != "" {
			t.Errorf("local=%t: chain of spans (-want +got)\n%s", local, d)
		}
		if d := cmp.Diff("00-"+traceID+"-"+parent+"-01", <-sent); d != "" {
			t.Errorf("local=%t: sent to the backend server (-want +got)\n%s", local, d)
		}
	}
}
