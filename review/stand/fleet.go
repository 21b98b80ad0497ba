// Command stand plays the cases of this review: it starts instances of bronzewind as
// separate processes on loopback, with stand-ins of the store, of backend servers and of
// consumers around them, and checks one rule from what those have seen.
package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"bronzewind.example/platform/standin"
)

const (
	program         = "target/bronzewind"
	stabilityWindow = 4 * time.Second
	grace           = 6 * time.Second
	heartbeat       = 870 * time.Millisecond
)

type (
	// fleet is a small deployment.
	fleet struct {
		dir       string
		store     *standin.Store
		storeHTTP *http.Server
		storeAddr string
		machines  []*machine
		record    *recorder

		mu      sync.Mutex
		version int // of the configuration; guarded by mu
	}

	// machine is an address at which one process of bronzewind runs at a time.
	machine struct {
		name     string
		front    string
		ready    string
		settings string
		output   *os.File

		mu        sync.Mutex
		command   *exec.Cmd     // guarded by mu
		ended     chan struct{} // closed when command ends; guarded by mu
		startedAt time.Time     // guarded by mu
		stopping  time.Time     // when the last signal was sent; guarded by mu
	}

	// recorder writes record.txt.
	recorder struct {
		mu    sync.Mutex
		file  *os.File
		start time.Time
	}

	route struct{ name, prefix, kind, service, timeout string }
)

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: f, start: time.Now()}, nil
}

func (r *recorder) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// freePort returns a port that is free for TCP and UDP at present. It is below the ports
// that the kernel gives to outgoing connections.
func freePort() (int, error) {
	const first, count, attempts = 12000, 18000, 200
	for range attempts {
		address := fmt.Sprintf("127.0.0.1:%d", first+rand.IntN(count))
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		c, err := net.ListenPacket("udp", address)
		_ = l.Close() // nothing has connected to it
		if err != nil {
			continue
		}
		return l.Addr().(*net.TCPAddr).Port, c.Close()
	}
	return 0, errors.New("no free port was found")
}

func newFleet(r *recorder) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, store: standin.NewStore(), record: r}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f.storeAddr, f.storeHTTP = l.Addr().String(), &http.Server{Handler: f.store}
	go func() { _ = f.storeHTTP.Serve(l) }()
	return f, nil
}

// close ends all processes that the fleet started.
func (f *fleet) close() {
	for _, m := range f.machines {
		m.signal(syscall.SIGKILL)
	}
	for _, m := range f.machines {
		m.wait(2 * time.Second)
		_ = m.output.Close()
	}
	_ = f.storeHTTP.Close()
	_ = os.RemoveAll(f.dir)
}

// configure writes a configuration; all services are without keys.
func (f *fleet) configure(routes []route, services ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	var resources []string
	for _, r := range routes {
		resources = append(resources, fmt.Sprintf(`{"resourceKind":"routes","metadata":{"name":%q},"spec":{"host":"a.example","pathPrefix":%q,"kind":%q,"timeout":%q,"targetLatency":"500ms","priority":0,"maxAttempts":2,"service":%q}}`,
			r.name, r.prefix, r.kind, r.timeout, r.service))
	}
	for _, s := range services {
		resources = append(resources, fmt.Sprintf(`{"resourceKind":"services","metadata":{"name":%q},"spec":{"maxConnections":110}}`, s))
	}
	resources = append(resources, `{"resourceKind":"limits","metadata":{"name":"limits"},"spec":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"}}`)
	f.store.Put("keyed.op", "config", fmt.Appendf(nil, `{"version":"%08x","resources":[%s]}`, f.version, strings.Join(resources, ",")))
}

// addMachine starts one more instance.
func (f *fleet) addMachine() error {
	var ports [3]int
	for i := range ports {
		var err error
		if ports[i], err = freePort(); err != nil {
			return err
		}
	}
	name := fmt.Sprintf("front-%d", len(f.machines)+1)
	m := &machine{
		name: name, front: fmt.Sprintf("127.0.0.1:%d", ports[0]), ready: fmt.Sprintf("127.0.0.1:%d", ports[1]),
		settings: filepath.Join(f.dir, name+".toml"),
	}
	text := fmt.Sprintf(`nodeName = %q
role = "entry"
machineClass = "front"
ip = "127.0.0.1"
zone = "east-a"
region = "east"
internalPortRange = [%d, %d]
bootstrap = true
heartbeat = "870ms"
[zones]
east-a = "east"
[listen]
front = %q
readinessEndpoint = %q
[limits]
cpuShare = 0.32
cpuCores = 1
memoryMb = 284
maxFds = 4100
linkMbps = 1000.0
[bounds]
reuseAfter = "2s"
stabilityWindow = "4000ms"
drain = "2500ms"
grace = "6s"
lossSlack = "200ms"
configApply = "2500ms"
retryBudgetRatio = 0.2
budgetWindow = "10s"
retryBudgetSlack = 56
holdMax = "10000ms"
thaw = "300ms"
[platform]
address = %q
form = "log"
writesPerS = 400
readsPerS = 2000
ttlMin = "1000ms"
`, name, ports[2], ports[2], m.front, m.ready, f.storeAddr)
	if err := os.WriteFile(m.settings, []byte(text), 0o600); err != nil {
		return err
	}
	var err error
	if m.output, err = os.Create(filepath.Join(f.dir, name+".log")); err != nil {
		return err
	}
	f.machines = append(f.machines, m)
	return m.start()
}

// start starts the process of the machine as the deploy file does.
func (m *machine) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := exec.Command(program)
	c.Env = append(os.Environ(), "BRONZEWIND_SETTINGS="+m.settings)
	c.Stdout, c.Stderr = m.output, m.output
	if err := c.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	m.command, m.ended, m.startedAt = c, ended, time.Now()
	go func() {
		_ = c.Wait() // the end is what counts here
		close(ended)
	}()
	return nil
}

func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.command == nil {
		return
	}
	m.stopping = time.Now()
	select {
	case <-m.ended:
	default:
		_ = m.command.Process.Signal(s) // it may have ended meanwhile
	}
}

// wait reports whether the process ends within d.
func (m *machine) wait(d time.Duration) bool {
	m.mu.Lock()
	ended := m.ended
	m.mu.Unlock()
	if ended == nil {
		return true
	}
	select {
	case <-ended:
		return true
	case <-time.After(d):
		return false
	}
}

// restart stops the process as the platform does, and starts it again.
func (m *machine) restart() error {
	m.signal(syscall.SIGTERM)
	if !m.wait(grace) {
		m.signal(syscall.SIGKILL)
		m.wait(time.Second)
	}
	return m.start()
}

// inTouch reports whether the process has run without a signal or a start for the whole
// stabilityWindow before now.
func (m *machine) inTouch(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return now.Sub(m.startedAt) >= stabilityWindow && now.Sub(m.stopping) >= stabilityWindow
}

func (m *machine) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + m.ready + "/v1/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// waitReady waits until all machines are ready.
func (f *fleet) waitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, m := range f.machines {
			if m.isReady() {
				ready++
			}
		}
		if ready == len(f.machines) {
			return true
		}
	}
	return false
}
