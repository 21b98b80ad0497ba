// Command bronzectl is the operators' tool.
package main

import (
	"fmt"
	"os"
)

func main() {
	o, err := parseOptions(os.Args[1:])
	if err != nil {
		err = usage.Wrap(err, "command line")
	} else {
		err = run(o, os.Stdin, os.Stdout, os.Stderr)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "bronzectl:", err)
	}
	os.Exit(exitCode(err))
}
