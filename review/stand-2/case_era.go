package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"
)

const (
	copyAge     = 4 * time.Second // of the copy from which the store comes back
	storeAway   = 500 * time.Millisecond
	applyBound  = 2500 * time.Millisecond // configApply
	eraTouch    = 4 * time.Second         // stabilityWindow
	eraRequests = 20                      // to each instance
)

// eraWriter makes the store's era begin at 0.
type eraWriter struct {
	http.ResponseWriter
	begun bool
}

func (w *eraWriter) WriteHeader(status int) {
	w.begun = true
	era, _ := strconv.Atoi(w.Header().Get("Store-Era"))
	w.Header().Set("Store-Era", strconv.Itoa(era-1))
	w.ResponseWriter.WriteHeader(status)
}

func (w *eraWriter) Write(b []byte) (int, error) {
	if !w.begun {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(b)
}

func (w *eraWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func fromZero(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { h.ServeHTTP(&eraWriter{ResponseWriter: w}, r) })
}

// runEra lets the store come back from a copy that lacks the last configurations, and changes
// the configuration afterwards.
func runEra(r *record, trouble bool) error {
	wrap := fromZero
	if os.Getenv("ERA") == "1" {
		wrap = nil
	}
	f, err := newFleet(6*time.Second, wrap)
	if err != nil {
		return err
	}
	defer f.close(os.Getenv("KEEP") == "1")
	answer := func(s *server, c net.Conn, hr *http.Request, _ []byte) bool { return s.succeed(c, hr, s.id) }
	for n, name := range []string{"pressline", "artbill"} {
		if err := f.startServer(&server{id: "i-" + name, service: name, zone: "tn-east-a", slots: 6, answer: answer}, 101+n); err != nil {
			return err
		}
	}
	configure := func(version int, to string, added ...string) {
		resources := []string{route("orders", "a.example", "/orders/", "unsafe", to, "2000ms"), service("pressline", false), service("artbill", false), limits()}
		f.configure(version, append(resources, added...)...)
		r.line("configuration %d is acknowledged: /orders/ goes to %s", version, to)
	}
	configure(1, "pressline")
	if err := f.startInstances(3); err != nil {
		return err
	}
	time.Sleep(6 * time.Second)
	configure(2, "pressline")
	time.Sleep(time.Second)
	configure(3, "pressline")
	time.Sleep(time.Second)
	configure(4, "pressline")
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		f.store.SetFault(1) // unavailable
		time.Sleep(storeAway)
		f.store.Restore(copyAge)
		f.store.SetFault(0)
		r.line("the store was away for %v and comes back from a copy %v old; the newest configuration is written again", storeAway, copyAge)
	}
	time.Sleep(6 * time.Second)
	configure(5, "artbill", route("added", "a.example", "/added/", "safe", "artbill", "2000ms"))
	time.Sleep(applyBound + eraTouch)
	stale := 0
	for n := range eraRequests {
		for _, i := range f.instances {
			id := fmt.Sprintf("order-%s-%d", i.name, n)
			a := send(i.callers(), "POST", "a.example", "/orders/"+id, id, 2*time.Second, "", "x")
			if a.body == "i-pressline" {
				stale++
				if n == 0 {
					r.line("%s, sent %v after the acknowledgement of configuration 5, was run by %s: status %d", id, applyBound+eraTouch, a.body, a.status)
				}
			}
			if b := send(i.callers(), "GET", "a.example", "/added/x", id+"-added", 2*time.Second, "", ""); n == 0 {
				r.line("%s: /added/ got status %d; /orders/ was run by %q, status %d", i.name, b.status, a.body, a.status)
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	if stale > 0 {
		return errBroken{fmt.Sprintf("CONFIG: %d of %d orders were run by the old service", stale, eraRequests*len(f.instances))}
	}
	return nil
}
