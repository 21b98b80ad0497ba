package capacity

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync"
	"syscall"
	"time"

	"bronzewind.example/core/backend"
	"bronzewind.example/core/control"
	"bronzewind.example/core/keyspace"
	"bronzewind.example/core/record"
	"bronzewind.example/core/route"
	"bronzewind.example/router/caller"
	"bronzewind.example/router/dispatch"
)

const (
	trafficSlots   = 1024
	trafficClients = 4
	grantLasts     = time.Hour
	answerBody     = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"
)

// rig is an entry with the dispatcher of one backend server, in this process.
type rig struct {
	backend *httptest.Server
	set     *dispatch.Dispatchers
	entry   *httptest.Server
}

func newRig() (*rig, error) {
	target := httptest.NewServer(http.HandlerFunc(answer))
	f, err := newFleet(1, 1, trafficSlots)
	if err != nil {
		return nil, err
	}
	for i, r := range f.records {
		if placed, ok := r.Body.(record.ServersPlaced); ok {
			placed.Servers[0].Address = target.Listener.Addr().String()
			f.records[i].Body = placed
		}
	}
	s, err := f.fold()
	if err != nil {
		return nil, err
	}
	set := dispatch.NewDispatchers(f.writer)
	entry := caller.NewServer(f.writer, set, nil, slog.New(slog.DiscardHandler))
	table := route.NewTable(s).WithSelf(f.writer)
	set.SetTable(table)
	entry.SetTable(table)
	set.Authorize(control.Authorize{
		Service: f.service, Server: name("server", 0), Epoch: 1, Incarnation: 1, Until: time.Now().Add(grantLasts),
		Granted: []record.SlotRange{{First: 0, Last: keyspace.Slot(trafficSlots - 1), Server: name("server", 0)}},
	})
	return &rig{backend: target, set: set, entry: httptest.NewServer(entry)}, nil
}

func (r *rig) close() {
	r.entry.Close()
	r.set.Close()
	r.backend.Close()
}

func answer(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(backend.SequenceHeader, r.Header.Get(backend.SequenceHeader))
	_, _ = io.WriteString(w, answerBody)
}

func requestTime(requests float64) (float64, error) {
	r, err := newRig()
	if err != nil {
		return 0, err
	}
	defer r.close()
	return processorMicros(int(requests), func(c *http.Client) error { return get(c, r.entry.URL+"/ledger/K-1") })
}

func directTime(requests float64) (float64, error) {
	target := httptest.NewServer(http.HandlerFunc(answer))
	defer target.Close()
	return processorMicros(int(requests), func(c *http.Client) error { return get(c, target.URL+"/ledger/K-1") })
}

// renewalTime sends grants as the daemon does.
func renewalTime(renewals float64) (float64, error) {
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var g backend.Grant
		if err := json.NewDecoder(r.Body).Decode(&g); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		_ = json.NewEncoder(w).Encode(backend.GrantAnswer{Accepted: true, Incarnation: 1, ClockMicros: 1})
	}))
	defer target.Close()
	return processorMicros(int(renewals), func(c *http.Client) error {
		data, err := json.Marshal(renewalOf())
		if err != nil {
			return err
		}
		req, err := http.NewRequest(http.MethodPut, target.URL, bytes.NewReader(data))
		if err != nil {
			return err
		}
		return call(c, req)
	})
}

// connectionMemory holds idle connections that have each served one request.
func connectionMemory(connections float64) (float64, error) {
	r, err := newRig()
	if err != nil {
		return 0, err
	}
	defer r.close()
	address := r.entry.Listener.Addr().String()
	before := residentBytes()
	conns := make([]net.Conn, 0, int(connections))
	defer func() {
		for _, c := range conns {
			c.Close()
		}
	}()
	for range int(connections) {
		c, err := net.Dial("tcp", address)
		if err != nil {
			return 0, err
		}
		conns = append(conns, c)
		if _, err := io.WriteString(c, "GET /ledger/K-1 HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
			return 0, err
		}
		if _, err := io.ReadAtLeast(c, make([]byte, 4096), len(answerBody)); err != nil {
			return 0, err
		}
	}
	return residentBytes() - before, nil
}

func residentBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}

// processorMicros returns the processor time of n calls by some clients.
func processorMicros(n int, do func(*http.Client) error) (float64, error) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: trafficClients}}
	defer client.CloseIdleConnections()
	if err := do(client); err != nil {
		return 0, err
	}
	before := processorTime()
	failed := make(chan error, trafficClients)
	var wg sync.WaitGroup
	for range trafficClients {
		wg.Go(func() {
			for range n / trafficClients {
				if err := do(client); err != nil {
					failed <- err
					return
				}
			}
		})
	}
	wg.Wait()
	select {
	case err := <-failed:
		return 0, err
	default:
		return float64((processorTime() - before).Microseconds()), nil
	}
}

func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func get(c *http.Client, url string) error {
	req, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	return call(c, req)
}

func call(c *http.Client, req *http.Request) error {
	resp, err := c.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s answered %s", req.URL, resp.Status)
	}
	return nil
}
