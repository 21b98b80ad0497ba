// Command bronzelab runs the stand-ins of what the router meets, and puts load
// on running instances.
package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/integrii/flaggy"

	"bronzewind.example/lab/backend"
	"bronzewind.example/lab/platform"
)

const headerTimeout = 5 * time.Second

// errUsage means that the command line names no known command.
var errUsage = errors.New("name a command: platform or backend; --help shows them")

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "bronzelab:", err)
		os.Exit(1)
	}
}

func run() error {
	listen, name, serviceMs, noChecks := "127.0.0.1:8000", "backend-1", 5, false
	p := flaggy.NewParser("bronzelab")
	p.Description = "stand-ins and load for bronzewind"

	plat := flaggy.NewSubcommand("platform")
	plat.Description = "run the log service and the list of backend servers"
	plat.String(&listen, "l", "listen", "HTTP address")

	back := flaggy.NewSubcommand("backend")
	back.Description = "run one backend server"
	back.String(&listen, "l", "listen", "HTTP address")
	back.String(&name, "n", "name", "name of the backend server")
	back.Int(&serviceMs, "", "service-ms", "milliseconds that each request takes")
	back.Bool(&noChecks, "", "no-grant-checks", "run whatever is sent")

	p.AttachSubcommand(plat, 1)
	p.AttachSubcommand(back, 1)
	if err := p.Parse(); err != nil {
		return err
	}
	switch {
	case plat.Used:
		return serve(listen, platform.New().Handler())
	case back.Used:
		options := []backend.Option{
			backend.WithServiceTime(time.Duration(serviceMs) * time.Millisecond),
			backend.WithCrash(func() { os.Exit(3) }),
		}
		if noChecks {
			options = append(options, backend.WithoutGrantChecks())
		}
		return serve(listen, backend.NewServer(name, options...).Handler())
	default:
		return errUsage
	}
}

func serve(listen string, h http.Handler) error {
	server := &http.Server{Addr: listen, Handler: h, ReadHeaderTimeout: headerTimeout}
	return server.ListenAndServe()
}
