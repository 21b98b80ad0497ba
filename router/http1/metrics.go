package http1

import "expvar"

// Metrics counts what happens on connections, of one Server or of several.
type Metrics struct {
	open      expvar.Int // connections
	beside    expvar.Int // requests that ran beside an earlier one of their connection
	waited    expvar.Int // requests that waited for an earlier one before they started
	departed  expvar.Int // connections whose caller left while requests ran
	refused   expvar.Int // requests that could not be read
	abandoned expvar.Int // connections closed in place of a response
}

// Var returns all metrics.
func (m *Metrics) Var() expvar.Var {
	all := new(expvar.Map)
	all.Set("open", &m.open)
	all.Set("requests-pipelined", &m.beside)
	all.Set("requests-that-waited", &m.waited)
	all.Set("callers-departed", &m.departed)
	all.Set("requests-unreadable", &m.refused)
	all.Set("responses-abandoned", &m.abandoned)
	return all
}

// WithMetrics sets where the Server counts.
func WithMetrics(m *Metrics) Option {
	return func(s *Server) { s.metrics = m }
}
