package caller_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strconv"
	"syscall"
	"testing"
	"time"

	"bronzewind.example/core/backend"
	"bronzewind.example/core/config"
)

const hopBody = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"

// BenchmarkHop is the cost of a small lookup by a direct call, through entry
// and dispatcher of one instance, and with a forward between two. Callers,
// router and backend server share one process.
func BenchmarkHop(b *testing.B) {
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(backend.SequenceHeader, r.Header.Get(backend.SequenceHeader))
		w.Header().Set("Content-Length", strconv.Itoa(len(hopBody)))
		_, _ = io.WriteString(w, hopBody)
	}))
	defer target.Close()
	address := target.Listener.Addr().String()
	b.Run("direct", func(b *testing.B) { benchmarkGet(b, target.URL+"/tins/1") })
	for name, local := range map[string]bool{"local": true, "forwarded": false} {
		b.Run(name, func(b *testing.B) {
			f := newFleet(b, fleetOptions{local: local, direct: true, address: address, change: func(c *config.Configuration) {
				c.Services[0].ServerSlots, c.Services[0].Connections = 64, 64
				for i := range c.Services[0].Kinds {
					c.Services[0].Kinds[i].Target = config.Duration(time.Second)
				}
			}})
			benchmarkGet(b, f.url+"/tins/1")
		})
	}
}

func benchmarkGet(b *testing.B, url string) {
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	defer transport.CloseIdleConnections()
	b.ReportAllocs()
	began := processorTime()
	b.SetParallelism(4)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			r, _ := http.NewRequest(http.MethodGet, url, nil)
			resp, err := transport.RoundTrip(r)
			if err != nil {
				b.Error(err)
				return
			}
			n, err := io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			if err != nil || n != int64(len(hopBody)) {
				b.Errorf("status %d, %d bytes, %v", resp.StatusCode, n, err)
				return
			}
		}
	})
	b.ReportMetric(float64((processorTime()-began).Microseconds())/float64(b.N), "cpu-us/op")
}

// processorTime returns the processor time that the process has spent.
func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkIdleConnections is the memory that an idle caller connection holds
// at the entry, and its own end with it.
func BenchmarkIdleConnections(b *testing.B) {
	const connections = 2000
	for b.Loop() {
		f := newFleet(b, fleetOptions{local: true, script: answerOK, change: func(c *config.Configuration) { c.Limits.Connections = 2 * connections }})
		before := heldBytes()
		conns := make([]net.Conn, connections)
		for i := range conns {
			c, err := net.Dial("tcp", f.address)
			if err != nil {
				b.Fatal(err)
			}
			conns[i] = c
			_, _ = io.WriteString(c, "GET /tins/1 HTTP/1.1\r\nHost: x\r\n\r\n")
			if _, err := io.ReadAtLeast(c, make([]byte, 4096), 100); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(heldBytes()-before)/connections, "bytes/connection")
		for _, c := range conns {
			c.Close()
		}
	}
}

func heldBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}
