// Command bronzewind is the router's one daemon; every instance runs it.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"bronzewind.example/core/commandline"
	"bronzewind.example/router/daemon"
	"bronzewind.example/router/settings"
)

const help = `example:
  bronzewind --settings examples/tour/entry-1.yaml --listen 127.0.0.1:8101`

func main() {
	file, overrides := options()
	s, err := settings.Load(file, overrides...)
	if err != nil {
		fmt.Fprintln(os.Stderr, "bronzewind:", err)
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	d, err := daemon.New(s, newLogger(s.LogFormat))
	if err == nil {
		err = d.Run(ctx)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "bronzewind:", err)
		os.Exit(1)
	}
}

// options reads the command line: the settings file and what overrides it.
func options() (string, []settings.Option) {
	file := "bronzewind.yaml"
	flags := map[string]*string{}
	p := commandline.NewParser("bronzewind", "routes requests to the backend servers that own their keys", help)
	p.String(&file, "s", "settings", "settings file in YAML")
	for _, name := range settings.Overridable() {
		flags[name] = new(string)
		p.String(flags[name], "", name, "overrides "+name+" of the settings file")
	}
	if err := p.Parse(); err != nil {
		fmt.Fprintln(os.Stderr, "bronzewind:", err)
		os.Exit(2)
	}
	var out []settings.Option
	for name, value := range flags {
		if *value != "" {
			out = append(out, settings.With(name, *value))
		}
	}
	return file, out
}

func newLogger(format string) *slog.Logger {
	if format == "json" {
		return slog.New(slog.NewJSONHandler(os.Stderr, nil))
	}
	return slog.New(slog.NewTextHandler(os.Stderr, nil))
}
