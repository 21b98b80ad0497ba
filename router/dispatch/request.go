// Package dispatch sends all requests of an instance to backend servers. It
// queues requests until a slot of the server is free, and reports for each
// whether it ran, provably did not run, or may have run. It also keeps
// idempotency records and isolates requests that may crash backend servers.
package dispatch

import (
	"io"
	"net/http"
	"time"

	"bronzewind.example/core/config"
	"bronzewind.example/core/keyspace"
)

type (
	// Request is a request of a caller that is to be sent to a backend server.
	Request struct {
		Service        string
		Kind           *config.Kind // never nil
		Hash           keyspace.Hash
		Server         string // name of the key's owner according to the instance that received the request from the caller
		Method         string
		RequestURI     string // path and query
		Header         http.Header
		Length         int64     // of Body in bytes; -1 when unknown
		Body           io.Reader // nil when there is none; read only once the request starts
		Deadline       time.Time
		CallerKind     string // caller kind
		IdempotencyKey string // never empty for once-only requests

		bodyRead bool // a read of Body was started

		record *IdempotencyRecord // of the execution of a once-only request; set by the dispatcher
	}

	// Response is the response of a backend server. Body must be closed; it ends
	// with io.EOF only when the response is complete.
	Response struct {
		Status   int
		Header   http.Header
		Length   int64 // of Body in bytes; -1 when unknown
		Body     io.ReadCloser
		Buffered []byte // all bytes of Body if they were read already, else nil
	}
)
