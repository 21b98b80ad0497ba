package dispatch

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"time"

	"bronzewind.example/core/httpresponse"
)

const (
	dialTimeout            = time.Second
	idleConnTimeout        = time.Minute
	maxResponseHeaderBytes = 64 << 10

	// maxInterimResponses limits the interim responses before a final one. Each may have
	// maxResponseHeaderBytes.
	maxInterimResponses = 1000
)

type (
	// trackedConn is a connection to a backend server that counts the writes
	// started on it.
	trackedConn struct {
		net.Conn

		mu     sync.Mutex
		writes uint64 // started so far; guarded by mu
		sealed bool   // no further write may start; guarded by mu
	}

	// attempt records the connection to which one request is written.
	attempt struct {
		mu           sync.Mutex // guards all below
		connections  int        // number of connections that the transport assigned to the request
		conn         *trackedConn
		writesBefore uint64 // writes started on conn before it was assigned
		interim      int    // interim responses received
	}
)

var errManyInterim = fmt.Errorf("%w: more than %d interim responses", httpresponse.ErrInvalid, maxInterimResponses)

// newTransport returns a transport that opens at most the given number of
// tracked connections to one backend server.
func newTransport(connections int) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &trackedConn{Conn: c}, nil
		},
		MaxConnsPerHost:        connections,
		MaxIdleConnsPerHost:    connections,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		DisableCompression:     true,
	}
}

// Write implements net.Conn.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(p)
}

func (c *trackedConn) writeCount() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// sealIfUnwritten reports whether the number of started writes is still
// writesBefore. If so, it also rejects all later writes, because the transport
// may still be processing the request.
func (c *trackedConn) sealIfUnwritten(writesBefore uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writes != writesBefore {
		return false
	}
	c.sealed = true
	return true
}

// trace returns a context in which the transport reports its connections to a.
func (a *attempt) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: a.gotConn, Got1xxResponse: a.gotInterim})
}

func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.connections++
	if c, ok := info.Conn.(*trackedConn); ok {
		a.conn, a.writesBefore = c, c.writeCount()
	}
}

// gotInterim returns an error, which ends the attempt, if an interim response is
// not valid or one too many.
func (a *attempt) gotInterim(_ int, header textproto.MIMEHeader) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.interim++; a.interim > maxInterimResponses {
		return errManyInterim
	}
	return httpresponse.CheckNames(http.Header(header))
}

// sealIfUnwritten reports whether no byte of the request was passed to a
// connection. If so, it also prevents any from being passed later. It is
// called after the transport has returned an error.
func (a *attempt) sealIfUnwritten() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.connections == 0:
		return true
	case a.connections > 1 || a.conn == nil:
		// After a retry by the transport, bytes may have been written to an earlier
		// connection than conn.
		return false
	default:
		return a.conn.sealIfUnwritten(a.writesBefore)
	}
}

// closeConn closes the connection of a response that cannot be relied on.
func (a *attempt) closeConn() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn != nil {
		_ = a.conn.Close()
	}
}
