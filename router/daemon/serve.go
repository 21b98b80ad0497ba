package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"time"

	"bronzewind.example/core/control"
	"bronzewind.example/core/record"
)

const (
	headerTimeout  = 5 * time.Second
	maxHeaderBytes = 64 << 10
)

// status is what the admin endpoint shows of the control state.
type status struct {
	Instance      string            `json:"instance"`
	Incarnation   uint64            `json:"incarnation"`
	Ready         bool              `json:"ready"`
	Configuration uint64            `json:"configuration-version"`
	Offset        uint64            `json:"log-offset"`
	Members       []record.Writer   `json:"members"`
	Coordinators  map[string]string `json:"coordinators"`

	member       bool
	handedOver   bool // all roles, after a leave was requested
	fingerprints map[string]bool
}

func newStatus(c *control.Core) *status {
	s := c.State()
	out := &status{
		Instance: c.Self().Instance, Incarnation: c.Self().Incarnation,
		member: s.IsMember(c.Self()), handedOver: c.RolesHandedOver(),
		Ready: c.Ready(), Configuration: s.Version(), Offset: s.Next,
		Coordinators: map[string]string{}, fingerprints: map[string]bool{},
	}
	for _, n := range s.MemberNames() {
		m := s.Members[n]
		out.Members = append(out.Members, m.Writer)
		out.fingerprints[string(m.Joined.Fingerprint)] = true
	}
	for _, v := range s.ServicesInOrder() {
		out.Coordinators[v.Name] = v.Coordinator.Instance
	}
	return out
}

// setStatus replaces the status when it has changed. It names every member, so
// that it is not made anew at each step.
func (d *Daemon) setStatus() {
	old := d.status.Load()
	if old != nil && !d.leaving.Load() && old.Offset == d.core.State().Next && old.Ready == d.core.Ready() && old.Incarnation == d.core.Self().Incarnation {
		return
	}
	d.status.Store(newStatus(d.core))
}

// serveCallers answers callers until ctx ends, then finishes what runs.
func (d *Daemon) serveCallers(ctx context.Context) error {
	done := make(chan error, 1)
	d.entry.Serve(ctx, d.settings.Listen, done)
	return <-done
}

// serveAdmin answers probes, metrics and status.
func (d *Daemon) serveAdmin(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /live", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "live") })
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) {
		if !d.ready.Load() || d.draining.Load() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, "ready")
	})
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		st := d.status.Load()
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(st)
	})
	mux.Handle("GET /metrics", expvar.Handler())
	return serveHTTP(ctx, d.settings.Admin, mux)
}

func serveHTTP(ctx context.Context, address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes}
	stopped := make(chan error, 1)
	go func() {
		<-ctx.Done()
		limit, cancel := context.WithTimeout(context.WithoutCancel(ctx), drainLimit)
		defer cancel()
		stopped <- server.Shutdown(limit)
	}()
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return <-stopped
}
