package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	crowdClients = 2500
	crowdBody    = 60_000 // bytes, the mean upload of the deployment; the last one is not sent
	crowdHead    = 16_000 // bytes; the configuration allows 16,384
	crowdStay    = 9 * time.Second

	ordinaryInterval = 500 * time.Millisecond

	megabyte = 1 << 20 // the larger one of the two usual meanings
)

// heldMachine has the most memory of the deployment's machines.
var heldMachine = machine{cpuShare: 0.8, memoryMB: 536, descriptors: 8192, linkMbps: 200}

// runHeads sends an instance a crowd of uploads that stop just short of their end and stay open,
// no faster than its link is. With trouble, their heads have as many small fields as the
// configuration allows.
func runHeads(f *fleet, trouble bool) (broken bool, err error) {
	f.regions = kitadojoRegions
	f.store.put("keyed.op", "config", []byte(uploadConfiguration))
	for n := range 3 {
		b := &backend{id: fmt.Sprintf("i-%d", n+1), service: "archive", zone: "kushiro-a", slots: 6, store: f.store}
		b.run = func(b *backend, c net.Conn, in *bufio.Reader, r *http.Request) {
			if n, err := io.Copy(io.Discard, r.Body); err == nil {
				_ = answer(b, c, r, fmt.Appendf(nil, "%s took %d bytes", b.id, n)) // its client may have left
			}
		}
		if _, err := startBackend(fmt.Sprintf("%s.%d:9000", f.network, 100+n), b); err != nil {
			return false, err
		}
	}
	time.Sleep(200 * time.Millisecond)
	i, err := f.startInstance(heldMachine, "kushiro-a")
	if err != nil {
		return false, err
	}
	fields := 0
	var head bytes.Buffer
	for ; trouble && head.Len() < crowdHead; fields++ {
		fmt.Fprintf(&head, "X%x:\r\n", fields)
	}
	f.record.add("%d clients send %d bytes each, with %d small fields in the head", crowdClients, head.Len()+crowdBody, fields)
	var crowd sync.WaitGroup
	interval := time.Duration(float64(head.Len()+crowdBody) * 8 / float64(heldMachine.linkMbps*1_000_000) * float64(time.Second))
	start := time.Now()
	over := make(chan struct{})
	go f.sendOrdinary(i, over)
	for n := range crowdClients {
		time.Sleep(time.Until(start.Add(time.Duration(n) * interval)))
		crowd.Go(func() { f.stopShort(i, n, head.Bytes()) })
	}
	f.record.add("all have sent; peak memory %.1f MB", float64(i.peakMemory())/1e6)
	crowd.Wait()
	close(over)
	peak, limit := i.peakMemory(), int64(heldMachine.memoryMB)*megabyte
	f.record.add("peak resident memory %d bytes, the machine has %d; the process runs: %v", peak, limit, i.alive())
	return peak > limit || !i.alive(), nil
}

// stopShort sends an upload without its last byte and stays open.
func (f *fleet) stopShort(i *instance, n int, head []byte) {
	c, err := net.Dial("tcp", i.front())
	if err != nil {
		f.record.add("client %d: %v", n, err)
		return
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(crowdStay)) // if it fails, the write fails too
	_, err = fmt.Fprintf(c, "POST /cufi502/x HTTP/1.1\r\nHost: hulo84.example\r\nX-Request-Id: crowd-%d\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n%s\r\n%s",
		n, uploadDeadline.Milliseconds(), crowdBody, head, make([]byte, crowdBody-1))
	if err != nil {
		return // it was refused
	}
	_, _ = io.Copy(io.Discard, c) // until it is refused, or for crowdStay
}

// sendOrdinary sends small uploads until over is closed.
func (f *fleet) sendOrdinary(i *instance, over <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-over:
			return
		case <-time.After(ordinaryInterval):
		}
		c, err := net.Dial("tcp", i.front())
		if err != nil {
			f.record.add("ordinary-%d: %v", n, err)
			continue
		}
		f.send(c, fmt.Sprintf("ordinary-%d", n), "/cufi502/ordinary", 200)
		_ = c.Close() // the answer was read
	}
}
