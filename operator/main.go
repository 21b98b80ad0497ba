// Command bronzectl is the operators' tool.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/integrii/flaggy"

	"bronzewind.example/core/platform"
	"bronzewind.example/operator/publish"
)

const publishTimeout = 10 * time.Second

// errUsage means that the command line names no known command.
var errUsage = errors.New("name a command: publish; --help shows them")

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "bronzectl:", err)
		os.Exit(1)
	}
}

func run() error {
	file, base, author := "", "http://127.0.0.1:8000", "operator"
	p := flaggy.NewParser("bronzectl")
	p.Description = "operates a fleet of bronzewind"
	pub := flaggy.NewSubcommand("publish")
	pub.Description = "put a configuration in force"
	pub.AddPositionalValue(&file, "file", 1, true, "configuration in YAML")
	pub.String(&base, "p", "platform", "URL of the platform")
	pub.String(&author, "a", "author", "who publishes")
	p.AttachSubcommand(pub, 1)
	if err := p.Parse(); err != nil {
		return err
	}
	if !pub.Used {
		return errUsage
	}
	document, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), publishTimeout)
	defer cancel()
	version, err := publish.Publish(ctx, platform.NewClient(base), document, author)
	if err != nil {
		return err
	}
	fmt.Printf("version %d is in force\n", version)
	return nil
}
