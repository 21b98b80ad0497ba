// Command bronzelab runs the stand-ins of what the router meets, and puts load
// on running instances.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"bronzewind.example/core/config"
	"bronzewind.example/core/document"
	coreplatform "bronzewind.example/core/platform"
	"bronzewind.example/lab/backend"
	"bronzewind.example/lab/capacity"
	"bronzewind.example/lab/load"
	"bronzewind.example/lab/platform"
)

const (
	headerTimeout = 5 * time.Second
	crashedExit   = 3
)

var (
	errUsage  = errors.New("name a command: platform, backend, load, compare or capacity; --help shows them")
	errBroken = errors.New("invariants are broken")
)

func main() {
	o, err := parseOptions(os.Args[1:])
	if err == nil {
		err = run(o)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "bronzelab:", err)
		os.Exit(1)
	}
}

func run(o *options) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	switch o.command {
	case "platform":
		return serve(ctx, o.listen, platform.New().Handler())
	case "backend":
		return serve(ctx, o.listen, newBackend(o).Handler())
	case "load":
		return runLoad(ctx, o)
	case "compare":
		return runCompare(o)
	case "capacity":
		return runCapacity(o)
	default:
		return errUsage
	}
}

func serve(ctx context.Context, listen string, h http.Handler) error {
	server := &http.Server{Addr: listen, Handler: h, ReadHeaderTimeout: headerTimeout}
	defer context.AfterFunc(ctx, func() { _ = server.Close() })()
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func newBackend(o *options) *backend.Server {
	options := []backend.Option{
		backend.WithSlots(o.slots),
		backend.WithFaults(backend.Faults{ServiceMs: o.service, ColdMs: o.cold, RefuseLate: o.late}),
		backend.WithCrash(func() { os.Exit(crashedExit) }),
	}
	if o.noChecks {
		options = append(options, backend.WithoutGrantChecks())
	}
	if o.journal != "" {
		options = append(options, backend.WithJournal(func(s backend.Start) { writeJournal(o.journal, s) }))
	}
	return backend.NewServer(o.name, options...)
}

// writeJournal ends the process when the journal can't be written, since the
// checks would then miss a start.
func writeJournal(base string, s backend.Start) {
	line, err := json.Marshal(s)
	if err == nil {
		var resp *http.Response
		resp, err = http.Post(base+platform.JournalPath, "application/json", bytes.NewReader(line))
		if err == nil {
			err = resp.Body.Close()
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "bronzelab: journal:", err)
		os.Exit(1)
	}
}

func runLoad(ctx context.Context, o *options) error {
	data, err := os.ReadFile(o.config)
	if err != nil {
		return err
	}
	c, err := config.Parse(data)
	if err != nil {
		return document.InFile(o.config, err)
	}
	p, err := load.ReadProfile(o.profile, c)
	if err != nil {
		return err
	}
	var options []load.Option
	if o.direct {
		options = append(options, load.Direct())
	}
	outcomes := load.NewRunner(p, c, strings.Split(o.entries, ","), os.Stderr, options...).Run(ctx)
	s := load.Summarize(p, c, outcomes)
	// Straight to the backend servers nothing keeps keys apart, so there is
	// nothing to verify.
	if !o.direct {
		if err := verify(s, c, outcomes, o.platform); err != nil {
			return err
		}
	}
	s.CheckGap(o.gap)
	if o.jsonFile != "" {
		if err := s.Write(o.jsonFile); err != nil {
			return err
		}
	}
	if err := s.Print(os.Stdout); err != nil {
		return err
	}
	if len(s.Faults) > 0 {
		return errBroken
	}
	return nil
}

// verify compares the outcomes with the journal of the platform stand-in.
func verify(s *load.Summary, c *config.Configuration, outcomes []load.Outcome, base string) error {
	starts, err := load.FetchJournal(context.Background(), base)
	if err != nil {
		return err
	}
	rows, err := coreplatform.NewClient(base).List(context.Background())
	if err != nil {
		return err
	}
	serviceOf := map[string]string{}
	for _, r := range rows {
		serviceOf[r.Name] = r.Service
	}
	s.Verify(c, outcomes, starts, serviceOf)
	return nil
}

func runCompare(o *options) error {
	a, err := load.ReadSummary(o.files[0])
	if err != nil {
		return err
	}
	b, err := load.ReadSummary(o.files[1])
	if err != nil {
		return err
	}
	return load.Compare(a, b, os.Stdout)
}

// runCapacity measures the slopes again and writes them and the page.
func runCapacity(o *options) error {
	slopes, err := capacity.Measure(o.machine, func(s capacity.Slope) {
		fmt.Printf("%s: %.4g + %.4g for each of %s\n", s.Name, s.Fixed, s.Per, s.Over)
	})
	if err != nil {
		return err
	}
	if err := slopes.Write(o.files[1]); err != nil {
		return err
	}
	return capacity.Update(o.files[0], slopes)
}
