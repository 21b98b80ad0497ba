package direct

import (
	"sync"
	"time"
)

// A server crashes if the bodies of the requests in flight to it exceed its memory, and it does
// not report how much memory it has. The code in this file limits the total size of these bodies
// for each server: initially to the largest allowed body in each of its slots, and after a crash
// to a fraction of what the server held when it crashed.

const (
	// smallBodyFraction is the fraction of the limit below which bytes are neglected: a smaller
	// body is always sent, and a server that holds less is always sent one body.
	smallBodyFraction = 1.0 / 32

	// crashLimitFraction is the new limit for all servers of a service, as a fraction of the
	// bytes that one of them held when it crashed.
	crashLimitFraction = 0.5

	// minByteLimit, in bytes, is the lower bound of the limit after a crash if the configuration
	// does not limit the size of a body.
	minByteLimit = 1 << 20

	// byteLimitDoubling is the time in which a limit that was set after a crash doubles, so
	// that a crash for another reason has no lasting effect.
	byteLimitDoubling = 5 * time.Minute

	// heldAtFailureMaxAge is how long after an attempt without a response a detected crash of
	// its server still counts as the cause of that failure.
	heldAtFailureMaxAge = silenceLife

	meanBodyWeight = 1.0 / 32 // of one request in the moving average of the bytes of a body
)

type (
	// heldBytes is an estimate of the bytes of request bodies that a server holds, and the limit
	// on them.
	heldBytes struct {
		own    int64 // of this instance
		others int64 // of the other instances
		limit  int64 // on own and others together; 0 means no limit
	}

	// byteLimit is the limit that was set for the servers of one service after crashes. It is
	// immutable; the zero value is a service without a crash.
	byteLimit struct {
		borne        int64     // most bytes that a server held without a crash since crashLimitAt
		crashLimit   int64     // as of crashLimitAt; 0 if there was no crash
		crashLimitAt time.Time // of the last crash that changed crashLimit
	}

	// serviceBytes holds the mean body size and the byte limit that all servers of one service
	// share. A backend with a nil *serviceBytes has no limit.
	serviceBytes struct {
		mu       sync.Mutex
		meanBody float64   // moving average, in bytes; guarded by mu
		limit    byteLimit // guarded by mu
	}

	// serverBytes holds the bytes of the requests that this instance has under way to a server.
	serverBytes struct {
		service       *serviceBytes
		own           int64
		heldAtFailure int64     // most bytes that the server held when an attempt failed without a response
		failedAt      time.Time // when that attempt ended
		crashedAt     time.Time // when the last crash was detected
	}
)

// total returns the bytes that the server holds in all.
func (h heldBytes) total() int64 { return h.own + h.others }

// mayTake reports whether the server may be sent a request with a body of that many bytes. A
// body larger than the limit is also sent if the server holds next to nothing, since no other
// server could take it either.
func (h heldBytes) mayTake(bytes int64) bool {
	small := int64(smallBodyFraction * float64(h.limit))
	return h.limit == 0 || bytes <= small || h.total() <= small || h.total()+bytes <= h.limit
}

// withBorne returns the limit after a server that held that many bytes has responded.
func (l byteLimit) withBorne(held int64) byteLimit {
	l.borne = max(l.borne, held)
	return l
}

// withCrash returns the limit after a crash of a server that held that many bytes, where
// maxBody, above 0, is the largest allowed body. If a server has held at least as many without
// a crash before, the crash counts as one with another cause and the limit stays.
func (l byteLimit) withCrash(held, maxBody int64, now time.Time) byteLimit {
	if held <= l.borne {
		return l
	}
	learnt := max(int64(crashLimitFraction*float64(held)), maxBody)
	if before := l.at(0, now); before > 0 {
		learnt = min(learnt, before)
	}
	return byteLimit{borne: min(l.borne, learnt), crashLimit: learnt, crashLimitAt: now}
}

// at returns the limit at now, where initial is the limit without a crash; 0 means no limit.
func (l byteLimit) at(initial int64, now time.Time) int64 {
	if l.crashLimit == 0 {
		return initial
	}
	grown := int64(float64(l.crashLimit) / halved(now.Sub(l.crashLimitAt), byteLimitDoubling))
	if initial == 0 {
		return grown
	}
	return min(initial, grown)
}

// initialByteLimit returns the limit for a server of a service without a crash: the largest
// allowed body in each slot; 0, no limit, if maxBody is 0.
func initialByteLimit(slots int, maxBody int64) int64 { return int64(max(1, slots)) * maxBody }

// heldBytes estimates what the server holds. Only the load reports show what the other
// instances have under way to it; their bodies are taken to be like those of this instance.
// b.mu must be held.
func (b *backend) heldBytes(terms *roomTerms, now time.Time) heldBytes {
	h := heldBytes{own: b.bytes.own}
	service := b.bytes.service
	if service == nil {
		return h
	}
	service.mu.Lock()
	defer service.mu.Unlock()
	others := max(0, b.load.activeRequests(now)-float64(b.load.inFlight))
	h.others = int64(others * service.meanBody)
	h.limit = service.limit.at(initialByteLimit(b.info.Load().Slots, terms.maxBody), now)
	return h
}

// addBytes counts the body of a request that is about to be sent.
func (b *backend) addBytes(bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bytes.own += bytes
	if service := b.bytes.service; service != nil {
		service.mu.Lock()
		defer service.mu.Unlock()
		service.meanBody += meanBodyWeight * (float64(bytes) - service.meanBody)
	}
}

// removeBytes ends the counting of a request's body after its attempt. A success shows that the
// server can hold the bytes that it held; those at an attempt without a complete response are kept, in
// case a crash of the server is detected.
func (b *backend) removeBytes(bytes int64, terms *roomTerms, a attemptResult, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	held := b.heldBytes(terms, now).total()
	b.bytes.own -= bytes
	service := b.bytes.service
	switch {
	case service == nil:
	case a.outcome == outcomeDone && a.response.status < 500:
		service.mu.Lock()
		defer service.mu.Unlock()
		service.limit = service.limit.withBorne(held)
	case (a.unanswered() || a.cutOff()) && a.sentAt.After(b.bytes.crashedAt):
		if now.Sub(b.bytes.failedAt) > heldAtFailureMaxAge {
			b.bytes.heldAtFailure = 0
		}
		b.bytes.heldAtFailure, b.bytes.failedAt = max(b.bytes.heldAtFailure, held), now
	}
}

// learnFromCrash lowers the limit of the server's service after a crash, if the server held
// more than any server of the service has held without one. It returns what the server held,
// and the new limit; 0 if the limit did not change. Further attempts that end with the same
// crash do not lower the limit again.
func (b *backend) learnFromCrash(terms *roomTerms, now time.Time) (held, limit int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	held, b.bytes.heldAtFailure = b.bytes.heldAtFailure, 0
	if held > 0 {
		b.bytes.crashedAt = now
	}
	service := b.bytes.service
	if service == nil || held == 0 || now.Sub(b.bytes.failedAt) > heldAtFailureMaxAge {
		return held, 0
	}
	maxBody := terms.maxBody
	if maxBody == 0 {
		maxBody = minByteLimit
	}
	service.mu.Lock()
	defer service.mu.Unlock()
	before := service.limit
	if service.limit = before.withCrash(held, maxBody, now); service.limit == before {
		return held, 0
	}
	return held, service.limit.crashLimit
}

// observeCrashBytes lowers the byte limit of b's service after a crash of b, see learnFromCrash,
// and logs the new limit.
func (s *Server) observeCrashBytes(b *backend, now time.Time) {
	info := b.info.Load()
	terms := s.roomTerms(info.Service)
	if held, limit := b.learnFromCrash(&terms, now); limit > 0 {
		s.log.Limited("server-bytes", "server", info.ID, "service", info.Service, "held-bytes", held, "limit-bytes", limit)
	}
}

// setBytes gives b the serviceBytes of its service. Only SetServers may call it.
func (s *Server) setBytes(b *backend, service string) {
	known, ok := s.serviceBytes[service]
	if !ok {
		known = &serviceBytes{}
		s.serviceBytes[service] = known
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bytes.service = known
}

// serverBytesMetric is what an instance publishes of the bytes that one server holds.
type serverBytesMetric struct {
	Own    int64 `json:"own-bytes"`
	Others int64 `json:"others-bytes"`
	Limit  int64 `json:"limit-bytes"`
}

// serversBytes returns the bytes of the servers to which this instance has some under way, by
// server ID.
func (s *Server) serversBytes() any {
	out := map[string]serverBytesMetric{}
	now := time.Now()
	for incarnation, known := range s.servers.Load().incarnations {
		b := known.backend
		terms := s.roomTerms(b.info.Load().Service)
		b.mu.Lock()
		h := b.heldBytes(&terms, now)
		b.mu.Unlock()
		if h.own > 0 {
			out[incarnation.ID] = serverBytesMetric{Own: h.own, Others: h.others, Limit: h.limit}
		}
	}
	return out
}
