package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	longestKey   = 255 // bytes: a key's length takes one byte in a record
	keyWrites    = 3
	keyInterval  = 12 * time.Second // between two writes of the entry
	orderTime    = 100 * time.Millisecond
	restartDelay = 500 * time.Millisecond // after which the platform starts an ended process again
)

// newestFromLog answers log-newest from what log-read gives, with keys of any length; the
// store that it wraps can't take the longest ones there.
func newestFromLog(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/v1/log-newest" {
			h.ServeHTTP(w, r)
			return
		}
		q := url.Values{"topic": {r.URL.Query().Get("topic")}, "part": {"0"}, "from": {"0"}, "waitMs": {"0"}}
		read := httptest.NewRecorder()
		h.ServeHTTP(read, httptest.NewRequest(http.MethodGet, "/v1/log-read?"+q.Encode(), nil))
		data := read.Body.Bytes()
		type item struct {
			Key    string `json:"key"`
			Value  string `json:"value"`
			Offset uint64 `json:"offset"`
		}
		items, order := map[string]item{}, []string{}
		end := binary.BigEndian.Uint64(data)
		offset := uint64(0)
		for rest := data[16:]; len(rest) > 0; offset++ {
			n := int(binary.BigEndian.Uint32(rest))
			raw := rest[4 : 4+n]
			rest = rest[4+n:]
			key, value := string(raw[1:1+int(raw[0])]), raw[1+int(raw[0]):]
			if _, ok := items[key]; !ok {
				order = append(order, key)
			}
			items[key] = item{Key: key, Value: base64.StdEncoding.EncodeToString(value), Offset: offset}
		}
		out := []item{}
		for _, key := range order {
			if items[key].Value != "" {
				out = append(out, items[key])
			}
		}
		w.Header().Set("Store-Era", read.Header().Get("Store-Era"))
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"items": out, "more": false, "endOffset": end}) // the caller may have left
	})
}

// runKey lets another writer put an entry with the longest key among those of the servers, and
// starts the ended processes again, as the platform does.
func runKey(r *record, trouble bool) error {
	f, err := newFleet(6*time.Second, newestFromLog)
	if err != nil {
		return err
	}
	defer f.close(false)
	s := &server{id: "i-pressline-1", service: "pressline", zone: "tn-east-a", slots: 6, answer: func(s *server, c net.Conn, hr *http.Request, _ []byte) bool {
		time.Sleep(300 * time.Millisecond)
		return s.succeed(c, hr, "done")
	}}
	if err := f.startServer(s, 101); err != nil {
		return err
	}
	f.configure(1, route("orders", "a.example", "/orders/", "unsafe", "pressline", "2000ms"), service("pressline", false), limits())
	if err := f.startInstances(3); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	keyBytes := longestKey
	if n, err := strconv.Atoi(os.Getenv("KEY")); err == nil {
		keyBytes = n
	}
	done := make(chan struct{})
	var watching sync.WaitGroup
	ends := make([]int, len(f.instances))
	for n, i := range f.instances {
		watching.Go(func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(20 * time.Millisecond):
				}
				if i.running() {
					continue
				}
				ends[n]++
				r.line("the process of %s has ended by itself, for the %d. time", i.name, ends[n])
				time.Sleep(restartDelay)
				if err := i.start(); err != nil {
					r.line("%s: %v", i.name, err)
					return
				}
			}
		})
	}
	var orders sync.WaitGroup
	var mu sync.Mutex
	sent, served, lost, noAnswer := 0, 0, 0, 0
	for began, written := time.Now(), 0; time.Since(began) < keyWrites*keyInterval; time.Sleep(orderTime) {
		if trouble && time.Since(began) >= time.Duration(written)*keyInterval+2*time.Second {
			written++
			f.store.Put("keyed.servers", strings.Repeat("k", keyBytes), fmt.Appendf(nil, `{"comment":"not an entry of a server","change":%d}`, written))
			r.line("another writer has put an entry with a key of %d bytes among those of the servers", keyBytes)
		}
		i := f.instances[sent%len(f.instances)]
		sent++
		id := fmt.Sprintf("order-%d", sent)
		orders.Go(func() {
			a := send(i.callers(), "POST", "a.example", "/orders/"+id, id, 2*time.Second, "", "x")
			mu.Lock()
			defer mu.Unlock()
			switch {
			case a.status == 200:
				served++
			case s.ran(id) > 0:
				lost++
				r.line("%s has run and got status %d, error %v", id, a.status, a.err)
			case a.status == 0:
				noAnswer++
			}
		})
	}
	orders.Wait()
	close(done)
	watching.Wait()
	for _, line := range strings.Split(f.instances[0].log(), "\n") {
		if strings.HasPrefix(line, "panic:") {
			r.line("%s: %s", f.instances[0].name, line)
		}
	}
	r.line("%d orders: %d succeeded, %d ran and were not answered, %d got no answer at all; processes ended by themselves: %v times", sent, served, lost, noAnswer, ends)
	broken := 0
	for _, n := range ends {
		if n >= 3 {
			broken++
		}
	}
	if broken >= 2 {
		return errBroken{fmt.Sprintf("Fault: on %d of %d machines the process ended by itself three times or more", broken, len(ends))}
	}
	return nil
}
