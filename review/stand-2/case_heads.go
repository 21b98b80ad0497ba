package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	machineMemory = 284 * 1_000_000 // bytes; memoryMb of the settings
	headLimit     = 16384           // maxHeaderBytes of the configuration
	crowdBody     = 60_000          // bytes; far below maxBodyBytes
	crowdCallers  = 1000
	crowdTime     = 20 * time.Second
)

// longHead returns header lines of an upload, as many as fit into maxHeaderBytes.
func longHead() string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	var b strings.Builder
	for i := 0; b.Len() < headLimit-400; i++ {
		name := string([]byte{letters[i%36], letters[i/36%36], letters[i/36/36%36]})
		b.WriteString(name + ":\r\n")
	}
	return b.String()
}

func (i *instance) memory() (now, peak int64) {
	i.mu.Lock()
	pid := i.command.Process.Pid
	i.mu.Unlock()
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for _, line := range strings.Split(string(data), "\n") {
		f := strings.Fields(line)
		if len(f) < 2 {
			continue
		}
		n, _ := strconv.ParseInt(f[1], 10, 64)
		switch f[0] {
		case "VmRSS:":
			now = n * 1024
		case "VmHWM:":
			peak = n * 1024
		}
	}
	return now, peak
}

func runHeads(r *record, trouble bool) error {
	f, err := newFleet(6*time.Second, nil)
	if err != nil {
		return err
	}
	defer f.close(false)
	s := &server{id: "i-artbill-1", service: "artbill", zone: "tn-east-a", slots: 6, answer: func(s *server, c net.Conn, hr *http.Request, _ []byte) bool {
		time.Sleep(20 * time.Millisecond)
		return s.succeed(c, hr, "ok")
	}}
	if err := f.startServer(s, 101); err != nil {
		return err
	}
	f.configure(1, route("art", "a.example", "/art/", "upload", "artbill", "10000ms"), service("artbill", false),
		fmt.Sprintf(`{"resourceKind":"limits","metadata":{},"spec":{"maxHeaderBytes":%d,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"}}`, headLimit))
	if err := f.startInstances(1); err != nil {
		return err
	}
	i := f.instances[0]
	time.Sleep(2 * time.Second)
	now, peak := i.memory()
	r.line("memory of %s: %d MB, peak %d MB, limit %d MB", i.name, now/1e6, peak/1e6, int64(machineMemory)/1e6)
	head := ""
	if os.Getenv("HEAD") != "short" {
		head = longHead()
	}
	r.line("each caller of the crowd sends a head of about %d bytes with %d header lines and %d of %d bytes of its body", len(head)+200, strings.Count(head, "\n")+4, crowdBody-1, crowdBody)
	end := time.Now().Add(crowdTime)
	var wg sync.WaitGroup
	var opened, refused, closed atomic.Int64
	if trouble {
		for n := range crowdCallers {
			wg.Go(func() {
				for time.Now().Before(end) {
					c, err := net.DialTimeout("tcp", i.callers(), time.Second)
					if err != nil {
						refused.Add(1)
						time.Sleep(100 * time.Millisecond)
						continue
					}
					opened.Add(1)
					_ = c.SetDeadline(end)
					fmt.Fprintf(c, "POST /art/crowd HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: crowd-%d-%d\r\nContent-Length: %d\r\n%s\r\n%s", n, time.Now().UnixNano(), crowdBody, head, strings.Repeat("x", crowdBody-1))
					resp, err := http.ReadResponse(bufio.NewReader(c), nil)
					if err == nil {
						_ = resp.Body.Close()
					}
					closed.Add(1)
					_ = c.Close()
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
	}
	served, failed := 0, 0
	for n := 0; time.Now().Before(end); n++ {
		a := send(i.callers(), "POST", "a.example", "/art/ordinary", fmt.Sprintf("ordinary-%d", n), 2*time.Second, "", "artwork")
		if a.status == 200 {
			served++
		} else {
			failed++
		}
		time.Sleep(50 * time.Millisecond)
		if n%20 == 0 {
			now, peak = i.memory()
			r.line("memory of %s: %d MB, peak %d MB; connections of the crowd: %d opened, %d ended, %d not opened; ordinary requests: %d served, %d not", i.name, now/1e6, peak/1e6, opened.Load(), closed.Load(), refused.Load(), served, failed)
		}
		if !i.running() {
			return errBroken{"the process ended"}
		}
	}
	_, peak = i.memory()
	wg.Wait()
	if peak > machineMemory {
		return errBroken{fmt.Sprintf("%s used %d MB of memory; its machine has %d MB", i.name, peak/1e6, int64(machineMemory)/1e6)}
	}
	return nil
}
