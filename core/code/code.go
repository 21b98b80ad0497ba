// Package code holds the numbered result codes that every answer of the
// product carries, and the outcome class of each.
package code

import (
	"net/http"
	"strconv"
)

const (
	// Header carries the result code of an error answered by the product itself.
	Header = "Bronzewind-Code"
	// OutcomeHeader carries the outcome class: done, not-run or unknown.
	OutcomeHeader = "Bronzewind-Outcome"
)

// Outcome says whether a request had an effect on its backend server.
type Outcome uint8

const (
	// Done means that the backend server answered and the answer is whole.
	Done Outcome = iota + 1
	// NotRun means that the backend server provably did not start the request.
	NotRun
	// Unknown means that the request may or may not have run.
	Unknown
)

// Code is a numbered result. Numbers are never reused.
type Code int

// The codes; docs/CODES.md lists them with their causes and mends.
const (
	OK          Code = 1000
	AlreadyDone Code = 1001

	NoService           Code = 2001
	KeyMissing          Code = 2002
	BodyTooLarge        Code = 2003
	HeaderTooLarge      Code = 2004
	QueueFull           Code = 2005
	TargetUnreachable   Code = 2006
	NotReady            Code = 2007
	DeadlineBeforeStart Code = 2008
	RefusedByBackend    Code = 2009
	BackendUnreachable  Code = 2010
	Quarantined         Code = 2011
	DispatcherBusy      Code = 2012
	CancelledInQueue    Code = 2013
	ReservedHeader      Code = 2014
	IdempotencyMissing  Code = 2015
	NoOwner             Code = 2016
	NoKind              Code = 2017
	CallerCapReached    Code = 2018
	Draining            Code = 2019
	MalformedRequest    Code = 2020
	StaleRoute          Code = 2021
	MarkNotReplicated   Code = 2022
	KeyReused           Code = 2023
	SlowCaller          Code = 2024
	MarksFull           Code = 2025
	TooManyConnections  Code = 2026
	RateLimited         Code = 2027
	NoRoom              Code = 2028
	NoAllowedServer     Code = 2030
	ServerBytes         Code = 2031
	CallerOverShare     Code = 2032

	BackendReset     Code = 3001
	BackendTimeout   Code = 3002
	DispatcherLost   Code = 3003
	AnswerCutOff     Code = 3004
	MarkLost         Code = 3005
	CancelledRunning Code = 3006
	StillRunning     Code = 3007
	AnswerCrossed    Code = 3008
	UploadCutOff     Code = 3009
	RefusalUnclear   Code = 3010
)

// Entry is one row of the table of result codes.
type Entry struct {
	Code    Code
	Outcome Outcome
	Status  int    // HTTP status; never 0
	Name    string // kebab case, unique
	Meaning string // one sentence; never empty
}

var table = []Entry{
	{OK, Done, http.StatusOK, "ok", "The backend server answered; its own status is passed on."},
	{AlreadyDone, Done, http.StatusConflict, "already-done", "An earlier try with this idempotency key was done, and its answer is no longer kept."},
	{NoService, NotRun, http.StatusNotFound, "no-service", "No service is configured for the path."},
	{KeyMissing, NotRun, http.StatusBadRequest, "key-missing", "The request carries no key where its service expects one."},
	{BodyTooLarge, NotRun, http.StatusRequestEntityTooLarge, "body-too-large", "The body is larger than its kind allows; nothing was passed on."},
	{HeaderTooLarge, NotRun, http.StatusRequestHeaderFieldsTooLarge, "header-too-large", "The header is larger than the entry allows."},
	{QueueFull, NotRun, http.StatusServiceUnavailable, "queue-full", "The queue of the owning backend server holds no more work of this rank."},
	{TargetUnreachable, NotRun, http.StatusServiceUnavailable, "target-unreachable", "The request could not start before its deadline, so it was refused early."},
	{NotReady, NotRun, http.StatusServiceUnavailable, "not-ready", "The instance has no configuration or no state yet."},
	{DeadlineBeforeStart, NotRun, http.StatusGatewayTimeout, "deadline-before-start", "The deadline passed while the request was queued."},
	{RefusedByBackend, NotRun, http.StatusServiceUnavailable, "refused-by-backend", "The backend server refused the request before starting it."},
	{BackendUnreachable, NotRun, http.StatusBadGateway, "backend-unreachable", "No connection to the backend server could be opened; no byte was sent."},
	{Quarantined, NotRun, http.StatusUnprocessableEntity, "quarantined", "The request is quarantined because it crashed backend servers."},
	{DispatcherBusy, NotRun, http.StatusServiceUnavailable, "dispatcher-unreachable", "No connection to the dispatcher could be opened; no byte was sent."},
	{CancelledInQueue, NotRun, 499, "cancelled-in-queue", "The caller went away while the request was queued."},
	{ReservedHeader, NotRun, http.StatusBadRequest, "reserved-header", "The caller sent a header that is reserved for the product."},
	{IdempotencyMissing, NotRun, http.StatusBadRequest, "idempotency-key-missing", "Once-only work needs an Idempotency-Key header."},
	{NoOwner, NotRun, http.StatusServiceUnavailable, "no-owner", "The key has no owning backend server at the moment."},
	{NoKind, NotRun, http.StatusNotFound, "no-kind", "The service has no kind of work for this method and path."},
	{CallerCapReached, NotRun, http.StatusTooManyRequests, "caller-cap-reached", "The caller kind has as much work queued as it may have."},
	{Draining, NotRun, http.StatusServiceUnavailable, "draining", "The instance is shutting down and takes no new request."},
	{MalformedRequest, NotRun, http.StatusBadRequest, "malformed-request", "The request could not be read."},
	{StaleRoute, NotRun, http.StatusServiceUnavailable, "stale-route", "The instance asked is not the dispatcher of the key's owner."},
	{MarkNotReplicated, NotRun, http.StatusServiceUnavailable, "mark-not-replicated", "No instance of another failure domain took the start mark of a once-only request."},
	{KeyReused, NotRun, http.StatusUnprocessableEntity, "idempotency-key-reused", "The idempotency key was used before for a request with another method, path or body length."},
	{SlowCaller, NotRun, http.StatusRequestTimeout, "slow-caller", "The caller sent its body too slowly; nothing was passed on."},
	{MarksFull, NotRun, http.StatusServiceUnavailable, "marks-full", "The dispatcher keeps as many start marks as it may, so no once-only request can start."},
	{TooManyConnections, NotRun, http.StatusServiceUnavailable, "too-many-connections", "The entry has as many connections of callers open as it may have."},
	{RateLimited, NotRun, http.StatusServiceUnavailable, "rate-limited", "The backend servers that could run the request have stated that they take no more at present, by a rate limit or by turning requests away."},
	{NoRoom, NotRun, http.StatusServiceUnavailable, "no-room", "The instance has no memory left for the body, or gave it up for others; nothing was passed on."},
	{NoAllowedServer, NotRun, http.StatusServiceUnavailable, "no-allowed-server", "No backend server may run the request at present: none is listed in its regions, its key's owner stands elsewhere, or their failure domains are evacuated."},
	{ServerBytes, NotRun, http.StatusServiceUnavailable, "server-bytes", "The backend servers that could run the request hold as many bytes of other requests as they are taken to bear."},
	{CallerOverShare, NotRun, http.StatusServiceUnavailable, "caller-over-share", "The service has too little room, and the caller asks for more than its share of it."},
	{BackendReset, Unknown, http.StatusBadGateway, "backend-reset", "The connection broke after the first byte was sent."},
	{BackendTimeout, Unknown, http.StatusGatewayTimeout, "backend-timeout", "The deadline passed after the first byte was sent."},
	{DispatcherLost, Unknown, http.StatusBadGateway, "dispatcher-lost", "The dispatcher was lost after it took the request."},
	{AnswerCutOff, Unknown, http.StatusBadGateway, "answer-cut-off", "The answer ended before it was whole; the connection is broken off."},
	{MarkLost, Unknown, http.StatusConflict, "mark-lost", "An earlier try may have run, and the record of its outcome is lost."},
	{CancelledRunning, Unknown, 499, "cancelled-running", "The caller went away after the first byte was sent."},
	{StillRunning, Unknown, http.StatusConflict, "still-running", "An earlier try with this idempotency key is still running."},
	{AnswerCrossed, Unknown, http.StatusBadGateway, "answer-crossed", "The backend server sent the answer of another request, or bytes that are no valid answer; they were thrown away."},
	{UploadCutOff, Unknown, http.StatusBadRequest, "upload-cut-off", "The body ended early after a part of it was passed on."},
	{RefusalUnclear, Unknown, http.StatusBadGateway, "refusal-unclear", "The backend server refused the request without saying that it did not run it."},
}

// Table returns the rows of all codes in ascending order.
func Table() []Entry {
	return append([]Entry(nil), table...)
}

// Lookup returns the row of c, and whether there is one.
func Lookup(c Code) (Entry, bool) {
	for _, e := range table {
		if e.Code == c {
			return e, true
		}
	}
	return Entry{}, false
}

// Outcome returns the outcome class of c; an unlisted code is Unknown.
func (c Code) Outcome() Outcome {
	if e, ok := Lookup(c); ok {
		return e.Outcome
	}
	return Unknown
}

// Status returns the HTTP status of c; an unlisted code is 500.
func (c Code) Status() int {
	if e, ok := Lookup(c); ok {
		return e.Status
	}
	return http.StatusInternalServerError
}

// String returns the kebab-case name of c.
func (c Code) String() string {
	if e, ok := Lookup(c); ok {
		return e.Name
	}
	return "code-" + strconv.Itoa(int(c))
}

// String returns the outcome class as it stands in OutcomeHeader.
func (o Outcome) String() string {
	switch o {
	case Done:
		return "done"
	case NotRun:
		return "not-run"
	default:
		return "unknown"
	}
}

// Error is a failed request with its code and the reason in words.
type Error struct {
	Code   Code
	Reason string
}

// NewError returns an error with code c.
func NewError(c Code, reason string) *Error {
	return &Error{Code: c, Reason: reason}
}

// Error returns code, name and reason.
func (e *Error) Error() string {
	return strconv.Itoa(int(e.Code)) + " " + e.Code.String() + ": " + e.Reason
}
