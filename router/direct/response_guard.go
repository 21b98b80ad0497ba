package direct

import "net/http"

// responseGuard is the http.ResponseWriter of one request. It records whether a response
// was begun.
type responseGuard struct {
	http.ResponseWriter
	begun bool // a final response head was written
}

// requireResponse returns a handler that ends each request with a response that h wrote, or
// with a closed connection. Without it an http.Server completes a request on which h
// returned without a response as an empty success, which no backend server has sent.
func requireResponse(h http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, hr *http.Request) {
		g := &responseGuard{ResponseWriter: w}
		h(g, hr)
		if !g.begun {
			panic(http.ErrAbortHandler) // closes the connection
		}
	})
}

// WriteHeader implements http.ResponseWriter.
func (g *responseGuard) WriteHeader(status int) {
	g.begun = g.begun || status >= http.StatusOK
	g.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (g *responseGuard) Write(b []byte) (int, error) {
	g.begun = true
	return g.ResponseWriter.Write(b)
}

// Unwrap is used by http.ResponseController.
func (g *responseGuard) Unwrap() http.ResponseWriter { return g.ResponseWriter }
