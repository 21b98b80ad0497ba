package peer

import (
	"expvar"
	"strconv"
	"sync"

	"github.com/quic-go/quic-go"

	"bronzewind.example/core/config"
)

type (
	// traffic counts the bytes of forwarded requests, with the frames around
	// them, by service and rank.
	traffic struct {
		all *expvar.Map

		mu   sync.Mutex
		rows map[trafficKey]*trafficRow // guarded by mu
	}

	trafficKey struct {
		service string
		rank    config.Rank
	}

	trafficRow struct{ sent, received expvar.Int }

	// countedStream counts what is written to and read from a stream.
	countedStream struct {
		*quic.Stream
		row *trafficRow
	}
)

func newTraffic() *traffic {
	return &traffic{all: new(expvar.Map).Init(), rows: map[trafficKey]*trafficRow{}}
}

// row returns the counters of service and rank, which show as
// "SERVICE.RANK.sent-bytes" and "SERVICE.RANK.received-bytes".
func (t *traffic) row(service string, rank config.Rank) *trafficRow {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := trafficKey{service: service, rank: rank}
	r, ok := t.rows[key]
	if !ok {
		r = &trafficRow{}
		t.rows[key] = r
		name := service + "." + strconv.Itoa(int(rank))
		t.all.Set(name+".sent-bytes", &r.sent)
		t.all.Set(name+".received-bytes", &r.received)
	}
	return r
}

// Read implements io.Reader.
func (s *countedStream) Read(p []byte) (int, error) {
	n, err := s.Stream.Read(p)
	s.row.received.Add(int64(n))
	return n, err
}

// Write implements io.Writer.
func (s *countedStream) Write(p []byte) (int, error) {
	n, err := s.Stream.Write(p)
	s.row.sent.Add(int64(n))
	return n, err
}
