package main

import "bronzewind.example/core/commandline"

// options are the command line, parsed.
type options struct {
	command string // name of the command; "" when none was given
	file    string // first positional value
	second  string // second positional value
	from    string
	to      string
	service string
	author  string
	key     string
	caller  string // IP address
	url     string
	version int

	bodyBytes int
	leftMs    int // time to the deadline of the request, in milliseconds

	json    bool
	explain bool
}

const help = "bronzectl COMMAND --help shows an example"

// parseOptions reads the command line; a wrong one prints help and ends the
// process with exitUsage.
func parseOptions(args []string) (*options, error) {
	o := &options{url: "http://127.0.0.1:8000", author: "operator", version: 1}
	p := commandline.NewParser("bronzectl", "operates a fleet of bronzewind", help)

	ask := p.Command("questionnaire", "ask for the answers, with those of an earlier file as defaults", "--from examples/magnolia/answers.yaml --to answers.yaml")
	ask.String(&o.from, "", "from", "file of earlier answers")
	ask.String(&o.to, "", "to", "file to write; standard output without it")

	generate := p.Command("generate", "turn answers into a configuration", "answers.yaml --to configuration.yaml --explain")
	generate.AddPositionalValue(&o.file, "answers", 1, true, "answers in YAML")
	generate.String(&o.to, "", "to", "file to write; standard output without it")
	generate.Int(&o.version, "", "config-version", "version of the configuration, one above the one in force")
	generate.Bool(&o.explain, "", "explain", "say on standard error why each value is as it is")

	check := p.Command("check", "check a file of answers or a configuration", "configuration.yaml")
	check.AddPositionalValue(&o.file, "file", 1, true, "answers or configuration in YAML")

	diff := p.Command("diff", "say what changes between two configurations, and for whom", "old.yaml new.yaml")
	diff.AddPositionalValue(&o.file, "old", 1, true, "configuration in YAML")
	diff.AddPositionalValue(&o.second, "new", 2, true, "configuration in YAML")
	diff.Bool(&o.json, "", "json", "write JSON")

	publish := p.Command("publish", "put a configuration in force", "configuration.yaml --platform http://127.0.0.1:8000 --author kim")
	publish.AddPositionalValue(&o.file, "file", 1, true, "configuration in YAML")
	publish.String(&o.author, "a", "author", "who publishes")
	publish.String(&o.url, "p", "platform", "URL of the platform")

	status := p.Command("status", "show the version in force on each instance", "--platform http://127.0.0.1:8000 --json")
	status.String(&o.url, "p", "platform", "URL of the platform")
	status.Bool(&o.json, "", "json", "write JSON")

	explain := p.Command("explain", "show where a key is served, and why", "A-1042 --service proofs")
	explain.AddPositionalValue(&o.file, "key", 1, true, "the key")
	explain.String(&o.service, "s", "service", "service; all without it")
	explain.String(&o.url, "p", "platform", "URL of the platform")
	explain.Bool(&o.json, "", "json", "write JSON")

	quarantine := p.Command("quarantine", "list the requests that crashed backend servers and are refused", "--platform http://127.0.0.1:8000")
	quarantine.String(&o.url, "p", "platform", "URL of the platform")
	quarantine.Bool(&o.json, "", "json", "write JSON")

	release := p.Command("release", "let a request in quarantine run again", "proofs 00c0ffee00c0ffee --author kim")
	release.AddPositionalValue(&o.file, "service", 1, true, "the service")
	release.AddPositionalValue(&o.second, "fingerprint", 2, true, "as quarantine lists it")
	release.String(&o.author, "a", "author", "who releases")
	release.String(&o.url, "p", "platform", "URL of the platform")

	addRequestCommands(p, o)

	if err := p.ParseArgs(args); err != nil {
		return nil, err
	}
	o.command = p.Used()
	return o, nil
}

// addRequestCommands adds the commands that explain one request.
func addRequestCommands(p *commandline.Parser, o *options) {
	explainRequest := p.Command("explain-request", "tell from logs what became of a request, and why", "9c41d07be2a35f68 logs/ --json")
	explainRequest.AddPositionalValue(&o.file, "request", 1, true, "the request's ID")
	explainRequest.AddPositionalValue(&o.second, "logs", 2, true, "file of log lines, or folder of such files")
	explainRequest.Bool(&o.json, "", "json", "write JSON")

	explainRoute := p.Command("explain-route", "show where an instance would send a request now, and why, without sending it", "a.example /proofs/7 --key 5000 --instance http://10.1.0.10:9464")
	explainRoute.AddPositionalValue(&o.file, "host", 1, true, "the request's host")
	explainRoute.AddPositionalValue(&o.second, "path", 2, true, "the request's path")
	explainRoute.String(&o.key, "k", "key", "the request's key")
	explainRoute.String(&o.caller, "c", "caller", "the caller's IP address; a usual caller without it")
	explainRoute.Int(&o.bodyBytes, "", "body-bytes", "size of the request's body")
	explainRoute.Int(&o.leftMs, "", "left-ms", "time to the request's deadline, in milliseconds; 10 s without it")
	explainRoute.String(&o.url, "i", "instance", "URL of the instance's metrics address")
	explainRoute.Bool(&o.json, "", "json", "write JSON")
}
