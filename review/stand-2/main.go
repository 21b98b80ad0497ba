// Command stand-2 runs one case of the review: it starts the program's instances and
// stand-ins of the store, the backend servers and the callers, and checks one rule.
package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// errBroken means that the rule was broken; any other error that the case could not run.
type errBroken struct{ reason string }

func (e errBroken) Error() string { return e.reason }

// record is what was sent, answered and run.
type record struct {
	start time.Time

	mu  sync.Mutex
	out io.Writer // guarded by mu
}

func (r *record) line(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, values...))
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: stand-2 CASE FOLDER")
		os.Exit(2)
	}
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(2)
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	defer file.Close()
	r := &record{out: io.MultiWriter(file, os.Stdout), start: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	r.line("case %s, disruption %v", os.Args[1], trouble)
	err = run(r, trouble)
	switch broken := (errBroken{}); {
	case err == nil:
		r.line("the rule held")
	case asBroken(err, &broken):
		r.line("the rule was broken: %v", err)
		os.Exit(1)
	default:
		r.line("the case could not run: %v", err)
		os.Exit(2)
	}
}

func asBroken(err error, out *errBroken) bool {
	b, ok := err.(errBroken)
	if ok {
		*out = b
	}
	return ok
}

// cases are the cases by name.
var cases = map[string]func(r *record, trouble bool) error{
	"stop":   runStop,
	"heads":  runHeads,
	"slow":   runSlow,
	"crash":  runCrash,
	"era":    runEra,
	"key":    runKey,
	"expiry": runExpiry,
}
