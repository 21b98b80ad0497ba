package main

import (
	"time"

	"bronzewind.example/core/commandline"
)

// options are the command line, parsed.
type options struct {
	command  string
	listen   string
	name     string
	platform string
	config   string
	profile  string
	entries  string
	jsonFile string
	gap      time.Duration
	journal  string
	files    [2]string
	machine  string
	slots    int
	service  int
	cold     int
	noChecks bool
	direct   bool
	late     bool
}

const help = `bronzelab COMMAND --help shows an example
faults are switched on from outside:
  curl -X PUT -d '{"down":true}' http://127.0.0.1:8000/faults
  curl -X PUT -d '{"frozen":true}' http://127.0.0.1:9001/faults`

// parseOptions reads the command line.
func parseOptions(args []string) (*options, error) {
	o := &options{listen: "127.0.0.1:8000", name: "backend-1", platform: "http://127.0.0.1:8000", slots: 6, service: 5}
	p := commandline.NewParser("bronzelab", "stand-ins and load for bronzewind", help)

	plat := p.Command("platform", "run the log service and the list of backend servers", "--listen 127.0.0.1:8000")
	plat.String(&o.listen, "l", "listen", "HTTP address")

	back := p.Command("backend", "run one backend server", "--listen 127.0.0.1:9001 --name proofs-1 --slots 6 --service-ms 10")
	back.String(&o.listen, "l", "listen", "HTTP address")
	back.String(&o.name, "n", "name", "name of the backend server")
	back.Int(&o.slots, "", "slots", "requests that run at once")
	back.Int(&o.service, "", "service-ms", "milliseconds that each request takes")
	back.Int(&o.cold, "", "cold-ms", "milliseconds after the start in which work takes longer")
	back.Bool(&o.noChecks, "", "no-grant-checks", "run whatever is sent")
	back.Bool(&o.late, "", "refuse-late", "refuse work whose deadline has passed")
	back.String(&o.journal, "", "journal", "URL of the platform stand-in that keeps each start")

	load := p.Command("load", "put load on running instances and check what became of it", "--config examples/magnolia/configuration.yaml --profile examples/magnolia/load.yaml --entries 127.0.0.1:8101,127.0.0.1:8102")
	load.String(&o.config, "", "config", "configuration that the instances serve")
	load.String(&o.profile, "", "profile", "what load to put on")
	load.String(&o.entries, "", "entries", "addresses of the entries, with commas between")
	load.Bool(&o.direct, "", "direct", "the entries are backend servers that check no grants, to compare with")
	load.String(&o.platform, "p", "platform", "URL of the platform stand-in, for the checks")
	load.Duration(&o.gap, "", "longest-gap", "fail when a slot has a longer gap in service, for example 1s; 0s for no limit")
	load.String(&o.jsonFile, "", "json", "file for the summary as JSON")

	compare := p.Command("compare", "show two results side by side", "before.json after.json")
	compare.AddPositionalValue(&o.files[0], "a", 1, true, "summary as JSON")
	compare.AddPositionalValue(&o.files[1], "b", 2, true, "summary as JSON")

	capacity := p.Command("capacity", "measure the slopes of the capacity page and write both", "docs/CAPACITY.md docs/capacity-slopes.yaml --machine \"10 cores, 32 GiB\"")
	capacity.AddPositionalValue(&o.files[0], "page", 1, true, "page in Markdown")
	capacity.AddPositionalValue(&o.files[1], "slopes", 2, true, "file of slopes in YAML")
	capacity.String(&o.machine, "m", "machine", "the machine, in words")

	if err := p.ParseArgs(args); err != nil {
		return nil, err
	}
	o.command = p.Used()
	return o, nil
}
