// Command stand-3 plays one case of the review against the program as built by the deploy
// file: it starts stand-ins, instances and clients on loopback addresses, and judges what the
// clients and the backend servers saw.
package main

import (
	"fmt"
	"os"
)

const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "usage: stand-3 CASE RECORD")
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	f, err := newFleet(r)
	if err != nil {
		r.add("not run: %v", err)
		return exitNotRun
	}
	defer f.close()
	cases := map[string]func() (bool, error){
		"early-answer": func() (bool, error) { return runEarlyAnswer(f, trouble) },
		"slow-client":  func() (bool, error) { return runSlowClient(f, trouble) },
		"endless-head": func() (bool, error) { return runEndlessHead(f, trouble) },
		"poison":       func() (bool, error) { return runPoison(f, trouble) },
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		return exitNotRun
	}
	broken, err := play()
	switch {
	case err != nil:
		r.add("not run: %v", err)
		return exitNotRun
	case broken:
		r.add("the rule was broken")
		return exitBroken
	}
	r.add("the rule held")
	return exitHeld
}
