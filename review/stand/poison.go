package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"bronzewind.example/platform/standin"
)

const (
	poisonMachines = 6
	poisonServers  = 8
	poisonInterval = 2500 * time.Millisecond // between two requests of the consumer that comes again
	rebootTime     = 2 * time.Second         // of a crashed server
	workTime       = 120 * time.Millisecond  // of an order
	rollGap        = 2 * time.Second         // between two stops
	poisonTime     = 55 * time.Second
	maxRetries     = 3
)

// poison plays a request that crashes each server that begins to run it, and that comes
// again. With trouble, all instances are stopped and started in turn meanwhile.
type poison struct {
	fleet   *fleet
	record  *recorder
	mu      sync.Mutex
	servers []*standin.Server // guarded by mu
	next    int               // number of the next server; guarded by mu
	sentBy  map[string]*machine
	crashes []time.Time                       // guarded by mu
	retries int                               // that count; guarded by mu
	lost    int                               // orders without a complete answer of a server; guarded by mu
	orders  int                               // guarded by mu
	dark    bool                              // servers crash without a sign: their connections stay open and silent
	ends    map[*standin.Server]chan struct{} // by crashed server: closed when it is back; guarded by mu
}

func runPoison(r *recorder, trouble bool) (bool, error) { return playPoison(r, trouble, false) }

// runPoisonDark plays the same without stops. With trouble the crashed servers fall silent,
// and their connections are not closed before they are back.
func runPoisonDark(r *recorder, trouble bool) (bool, error) { return playPoison(r, false, trouble) }

func playPoison(r *recorder, roll, dark bool) (bool, error) {
	f, err := newFleet(r)
	if err != nil {
		return false, err
	}
	defer f.close()
	p := &poison{fleet: f, record: r, sentBy: map[string]*machine{}, dark: dark, ends: map[*standin.Server]chan struct{}{}}
	f.configure([]route{{"press", "/press/", "unsafe", "press", "1200ms"}}, "press")
	for range poisonServers {
		p.startServer("127.0.0.1:0")
	}
	for range poisonMachines {
		if err := f.addMachine(); err != nil {
			return false, err
		}
	}
	if !f.waitReady(15 * time.Second) {
		return false, errors.New("the instances are not ready")
	}
	time.Sleep(stabilityWindow)
	stop := make(chan struct{})
	var running sync.WaitGroup
	running.Go(func() { p.sendOrders(stop) })
	running.Go(func() { p.sendPoison(stop) })
	if roll {
		running.Go(func() { p.roll(stop) })
	}
	time.Sleep(poisonTime)
	close(stop)
	running.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	r.line("RESULT crashes of servers: %d; requests that reached a server later than %v after the third crash, sent by instances in touch: %d (at most %d); orders sent %d, without an answer of a server or a refusal: %d",
		len(p.crashes), stabilityWindow, p.retries, maxRetries, p.orders, p.lost)
	if len(p.crashes) < 3 {
		return false, fmt.Errorf("the request crashed %d servers only", len(p.crashes))
	}
	return p.retries <= maxRetries, nil
}

// startServer starts a server under a new ID and lists it.
func (p *poison) startServer(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.next++
	s := &standin.Server{
		ID: fmt.Sprintf("i-%04d", p.next), Service: "press", FailureDomain: "east-a", StartedMillis: time.Now().UnixMilli(),
		Slots: 6, ListenAddress: address, OnRun: p.onRun,
	}
	s.Start()
	p.servers = append(p.servers, s)
	p.fleet.store.Put("keyed.servers", s.ID, s.StoreRecord())
}

// onRun runs an order, or crashes the server if the request is the one that does.
func (p *poison) onRun(s *standin.Server, id string, _ uint32) {
	if strings.HasPrefix(id, "poison-") {
		p.crash(s, id)
	} else {
		time.Sleep(workTime)
	}
	p.mu.Lock()
	back, crashed := p.ends[s]
	p.mu.Unlock()
	if crashed {
		<-back // what ran on a crashed server is not answered
		panic(http.ErrAbortHandler)
	}
}

// crash crashes the server. It is back after rebootTime as a new lifetime, and its old entry
// expires after three heartbeats. A dark server keeps its connections open until it is back.
func (p *poison) crash(s *standin.Server, id string) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	from := p.sentBy[id]
	late := len(p.crashes) >= 3 && now.Sub(p.crashes[2]) > stabilityWindow
	counts := late && from.inTouch(now)
	if counts {
		p.retries++
	}
	p.crashes = append(p.crashes, now)
	p.record.line("request %s reaches server %s from %s, which crashes (crash %d; counts as a retry: %v)", id, s.ID, from.name, len(p.crashes), counts)
	back := make(chan struct{})
	p.ends[s] = back
	go func() {
		address := s.Address()
		if !p.dark {
			close(back)
			s.Close()
			time.Sleep(rebootTime)
		} else {
			time.Sleep(rebootTime)
			close(back)
			s.Close()
		}
		p.startServer(address)
		time.Sleep(3*heartbeat - rebootTime)
		p.fleet.store.Put("keyed.servers", s.ID, nil)
	}()
}

// sendPoison sends the request again and again, each time under a new ID to the next
// instance that is ready.
func (p *poison) sendPoison(stop <-chan struct{}) {
	for n := 0; ; n++ {
		m := p.fleet.machines[(n*5)%len(p.fleet.machines)]
		for k := 1; !m.isReady() && k < len(p.fleet.machines); k++ {
			m = p.fleet.machines[(n*5+k)%len(p.fleet.machines)]
		}
		id := fmt.Sprintf("poison-%d", n)
		p.mu.Lock()
		p.sentBy[id] = m
		p.mu.Unlock()
		status, signed, err := post(m.front, "/press/broken-die", id, "tins=0")
		p.record.line("consumer sent %s to %s: status %d, signed %v, error %v", id, m.name, status, signed, err)
		select {
		case <-stop:
			return
		case <-time.After(poisonInterval):
		}
	}
}

// sendOrders sends orders of other consumers, 40 a second.
func (p *poison) sendOrders(stop <-chan struct{}) {
	ticker := time.NewTicker(25 * time.Millisecond)
	defer ticker.Stop()
	var sent sync.WaitGroup
	defer sent.Wait()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		m := p.fleet.machines[n%len(p.fleet.machines)]
		sent.Go(func() {
			status, _, err := post(m.front, "/press/run", fmt.Sprintf("order-%d", n), fmt.Sprintf("order=%d", n))
			p.mu.Lock()
			defer p.mu.Unlock()
			p.orders++
			if status == http.StatusBadGateway || status == http.StatusGatewayTimeout || status == 0 && err != nil && !strings.Contains(err.Error(), "refused") {
				p.lost++
			}
		})
	}
}

// roll stops and starts the instances in turn, as a planned restart does.
func (p *poison) roll(stop <-chan struct{}) {
	time.Sleep(14 * time.Second)
	for _, m := range p.fleet.machines {
		p.record.line("SIGTERM to %s", m.name)
		if err := m.restart(); err != nil {
			p.record.line("%s does not start again: %v", m.name, err)
		}
		p.record.line("%s started again", m.name)
		select {
		case <-stop:
			return
		case <-time.After(rollGap):
		}
	}
}
