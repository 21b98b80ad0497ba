// Package dispatch is the only sender of work to a backend server: it queues
// requests over the server's slots and says truthfully what became of each.
package dispatch

import (
	"io"
	"net/http"
	"time"

	"bronzewind.example/core/config"
	"bronzewind.example/core/keyspace"
)

type (
	// Request is one request of a caller on its way to a backend server.
	Request struct {
		Service        string
		Kind           *config.Kind // never nil
		Hash           keyspace.Hash
		Server         string // name of the backend server that the entry took for the owner
		Method         string
		Target         string // path and query
		Header         http.Header
		Length         int64     // of Body in bytes; -1 when unknown
		Body           io.Reader // nil when there is none; read only once the request starts
		Deadline       time.Time
		Caller         string // kind of caller
		IdempotencyKey string // never empty for once-only work

		bodyRead bool // a read of Body was begun

		record *IdempotencyRecord // of the run of once-only work; set by the dispatcher
	}

	// Answer is the answer of a backend server. Body must be closed; it ends
	// with io.EOF only when the answer is whole.
	Answer struct {
		Status int
		Header http.Header
		Length int64 // of Body in bytes; -1 when unknown
		Body   io.ReadCloser
		Whole  []byte // all bytes of Body when they were read already, else nil
	}
)
