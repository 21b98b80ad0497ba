package caller

import (
	"net/http"
	"slices"
	"strings"

	"bronzewind.example/core/backend"
	"bronzewind.example/core/code"
	"bronzewind.example/core/config"
	"bronzewind.example/core/keyspace"
	"bronzewind.example/router/dispatch"
)

const (
	// CallerHeader names the kind of caller.
	CallerHeader = "X-Caller-Kind"

	reservedPrefix = "Bronzewind-"
)

// hopHeaders are meant for one connection and are not passed on.
var hopHeaders = []string{
	"Connection", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// read checks a caller's request and finds its service, key and kind.
func (s *Server) read(w http.ResponseWriter, r *http.Request) (*dispatch.Request, error) {
	t := s.table.Load()
	if t == nil {
		return nil, code.NewError(code.NotReady, "the instance has no configuration yet")
	}
	if s.draining.Load() {
		return nil, code.NewError(code.Draining, "the instance is shutting down")
	}
	for name := range r.Header {
		if strings.HasPrefix(name, reservedPrefix) {
			return nil, code.NewError(code.ReservedHeader, "header "+name+" is reserved")
		}
	}
	service, ok := t.Configuration.ServiceFor(r.URL.Path)
	if !ok {
		return nil, code.NewError(code.NoService, "no service is configured for "+r.URL.Path)
	}
	key, ok := findKey(service, r)
	if !ok {
		return nil, code.NewError(code.KeyMissing, "no key in the "+string(service.Key.From))
	}
	kind, ok := findKind(service, r)
	if !ok {
		return nil, code.NewError(code.NoKind, "no kind of work is configured for "+r.Method+" "+r.URL.Path)
	}
	req := &dispatch.Request{
		Service: service.Name, Kind: kind, Hash: keyspace.NewHash(key),
		Method: r.Method, RequestURI: r.URL.RequestURI(), Header: forwardHeader(r.Header),
		Deadline:       s.clock.Now().Add(kind.Patience.Std()),
		CallerKind:     r.Header.Get(CallerHeader),
		IdempotencyKey: r.Header.Get(backend.IdempotencyHeader),
	}
	if len(r.Header.Values(backend.IdempotencyHeader)) > 1 {
		return nil, code.NewError(code.MalformedRequest, "more than one "+backend.IdempotencyHeader)
	}
	if kind.OnceOnly && req.IdempotencyKey == "" {
		return nil, code.NewError(code.IdempotencyMissing, "kind "+kind.Name+" is once-only")
	}
	return req, readBody(req, r, w, bodyIdle(t))
}

func findKey(s *config.Service, r *http.Request) (string, bool) {
	var key string
	switch s.Key.From {
	case config.KeyFromHeader:
		key = r.Header.Get(s.Key.Name)
	case config.KeyFromQuery:
		key = r.URL.Query().Get(s.Key.Name)
	case config.KeyFromPath:
		parts := strings.Split(r.URL.Path[len(s.PathPrefix):], "/")
		if s.Key.Segment < len(parts) {
			key = parts[s.Key.Segment]
		}
	}
	return key, key != ""
}

func findKind(s *config.Service, r *http.Request) (*config.Kind, bool) {
	for i := range s.Kinds {
		k := &s.Kinds[i]
		if k.Method == r.Method && strings.HasSuffix(r.URL.Path, k.PathSuffix) {
			return k, true
		}
	}
	return nil, false
}

// forwardHeader returns h without what is meant for the caller's connection.
func forwardHeader(h http.Header) http.Header {
	out := h.Clone()
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	return out
}

// copyHeader copies what an answer may show to the caller.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		if !strings.HasPrefix(name, reservedPrefix) && !slices.Contains(hopHeaders, name) {
			to[name] = values
		}
	}
}
