package main

import (
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
	callerPort   = 8381
	readyPort    = 8388
	storePort    = 8384
	internalPort = 7200
	metricsPort  = 9464 // as in deploy/system.toml

	startLimit = 15 * time.Second
)

type (
	// fleet is a small deployment: instances of the program as separate processes, a store
	// and backend servers, each at loopback addresses of a network that was free at the start.
	fleet struct {
		network   string // the first three bytes of the addresses
		folder    string // temporary
		grace     time.Duration
		store     *standin.Store
		storeHTTP *http.Server
		instances []*instance

		mu       sync.Mutex
		sequence map[string]uint64 // of the records of servers; guarded by mu
	}

	// instance is one process of the program.
	instance struct {
		name, ip string
		settings string
		output   *os.File

		mu      sync.Mutex
		command *exec.Cmd     // guarded by mu
		ended   chan struct{} // closed when command has ended; guarded by mu
	}
)

// newFleet starts a store at a free network. wrap may change what the store answers.
func newFleet(grace time.Duration, wrap func(http.Handler) http.Handler) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{folder: folder, grace: grace, store: standin.NewStore(), sequence: map[string]uint64{}}
	var l net.Listener
	for range 20 {
		f.network = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
		if l, err = net.Listen("tcp", fmt.Sprintf("%s.200:%d", f.network, storePort)); err == nil {
			break
		}
	}
	if err != nil {
		return nil, err
	}
	handler := http.Handler(f.store)
	if wrap != nil {
		handler = wrap(handler)
	}
	f.storeHTTP = &http.Server{Handler: handler}
	go func() { _ = f.storeHTTP.Serve(l) }()
	return f, nil
}

// settingsText has the fields of the platform's settings file. The limits are those of a
// machine of a small deployment.
func (f *fleet) settingsText(i *instance, zone string) string {
	return fmt.Sprintf(`nodeName = %q
role = "entry"
machineClass = "front"
serves = ["front"]
ip = %q
zone = %q
region = "tn-east"
internalPortRange = [%d,%d]
seeds = []
bootstrap = true
inTolerance = false
discovery = "platform"
entry = "vip"
heartbeat = "870ms"
contracts = ["base","drain","config","cost","retry","recover","own","platform"]
grants = "request"
[zones]
tn-east-a = "tn-east"
tn-east-b = "tn-east"
[listen]
front = "%s:%d"
readinessEndpoint = "%s:%d"
[limits]
cpuShare = 0.32
cpuCores = 1
memoryMb = 284
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seedLag = "3s"
reuseAfter = "2s"
stabilityWindow = "4000ms"
ack = "4000ms"
catchUp = "4s"
drain = "2500ms"
grace = "%s"
lossSlack = "200ms"
configApply = "2500ms"
downgradeSlack = "250ms"
maxStretch = "5000ms"
retryBudgetRatio = 0.2
budgetWindow = "10s"
retryBudgetSlack = 56
recovery = "15s"
holdMax = "10000ms"
thaw = "300ms"
[platform]
address = "%s.200:%d"
form = "log"
writesPerS = 400
readsPerS = 2000
parts = 24
append = "1ms"
partMbPerS = 20.0
readMbPerS = 80.0
recordBytes = 262144
callBytes = 2097152
keep = "300s"
partMb = 200
ttlMin = "1000ms"
`, i.name, i.ip, zone, internalPort, internalPort+15, i.ip, callerPort, i.ip, readyPort, f.grace, f.network, storePort)
}

// startInstances starts n instances and waits until all are ready.
func (f *fleet) startInstances(n int) error {
	for k := range n {
		i := &instance{name: fmt.Sprintf("front-%d", k+1), ip: fmt.Sprintf("%s.%d", f.network, k+1)}
		i.settings = filepath.Join(f.folder, i.name+".toml")
		zone := []string{"tn-east-a", "tn-east-b"}[k%2]
		if err := os.WriteFile(i.settings, []byte(f.settingsText(i, zone)), 0o600); err != nil {
			return err
		}
		output, err := os.Create(filepath.Join(f.folder, i.name+".log"))
		if err != nil {
			return err
		}
		i.output = output
		f.instances = append(f.instances, i)
		if err := i.start(); err != nil {
			return err
		}
	}
	return f.awaitReady()
}

// awaitReady waits until all instances are ready.
func (f *fleet) awaitReady() error {
	end := time.Now().Add(startLimit)
	for _, i := range f.instances {
		for !i.ready() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", i.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// start starts a process, by the run line of the deploy file.
func (i *instance) start() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	c := exec.Command("target/bronzewind")
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BRONZEWIND_SETTINGS=" + i.settings}
	c.Stdout, c.Stderr = i.output, i.output
	if err := c.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	i.command, i.ended = c, ended
	go func() {
		_ = c.Wait() // it is killed on purpose
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process, and returns a channel that is closed when it has ended.
func (i *instance) signal(s syscall.Signal) <-chan struct{} {
	i.mu.Lock()
	defer i.mu.Unlock()
	_ = i.command.Process.Signal(s) // it may have ended
	return i.ended
}

func (i *instance) running() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	select {
	case <-i.ended:
		return false
	default:
		return true
	}
}

func (i *instance) callers() string { return fmt.Sprintf("%s:%d", i.ip, callerPort) }

func (i *instance) ready() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Get(fmt.Sprintf("http://%s:%d/v1/ready", i.ip, readyPort))
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// log returns what the instance has written.
func (i *instance) log() string {
	data, _ := os.ReadFile(i.output.Name())
	return string(data)
}

// resources joins entries of a configuration.
func (f *fleet) configure(version int, resources ...string) {
	f.store.Put("keyed.op", "config", fmt.Appendf(nil, `{"version":"%08x","resources":[%s]}`, version, strings.Join(resources, ",")))
}

func route(name, host, prefix, kind, service, timeout string) string {
	return fmt.Sprintf(`{"resourceKind":"routes","metadata":{"name":%q},"spec":{"host":%q,"pathPrefix":%q,"kind":%q,"timeout":%q,"targetLatency":"1000ms","priority":0,"maxAttempts":2,"service":%q}}`,
		name, host, prefix, kind, timeout, service)
}

func service(name string, sharded bool) string {
	return fmt.Sprintf(`{"resourceKind":"services","metadata":{"name":%q},"spec":{"maxConnections":110,"sharded":%v,"healthCheckPath":"/health"}}`, name, sharded)
}

func limits() string {
	return `{"resourceKind":"limits","metadata":{"name":"limits"},"spec":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeout":"5s","idleTimeout":"15s"}}`
}

// close ends all that the fleet has started and removes its folder.
func (f *fleet) close(keepLogs bool) {
	for _, i := range f.instances {
		i.signal(syscall.SIGCONT)
		select {
		case <-i.signal(syscall.SIGKILL):
		case <-time.After(5 * time.Second):
		}
		_ = i.output.Close()
	}
	_ = f.storeHTTP.Close()
	if !keepLogs {
		_ = os.RemoveAll(f.folder)
	}
}
