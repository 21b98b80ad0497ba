package answers

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"bronzewind.example/core/config"
)

// clearAnswer empties a text whose default is not empty.
const clearAnswer = "-"

// errInputEnded means that the input ended before the last question.
var errInputEnded = errors.New("the input ended before the last question; nothing was written, answer again with --from a file of earlier answers")

type (
	// asker puts questions on out and reads the answers from in. After the
	// first error it asks nothing more.
	asker struct {
		in  *bufio.Scanner
		out io.Writer
		err error
	}
)

// Ask puts the whole questionnaire; the values of from are the defaults. The
// result is checked.
func Ask(in io.Reader, out io.Writer, from *Answers) (*Answers, error) {
	q := &asker{in: bufio.NewScanner(in), out: out}
	a := *from
	fmt.Fprintln(out, "An empty line takes the value in brackets; \"-\" empties it.")
	q.section("The fleet")
	a.Fleet = q.text("Name of the fleet", a.Fleet)
	a.Instances = q.number("How many entry instances", or(a.Instances, 8))
	a.Regions = q.regions(a.Regions)
	a.StoreRegion = q.text("In which region is the platform's log service", a.StoreRegion)
	q.section("The network (one-way delays)")
	n := &a.Network
	n.ToClients = q.duration("Delay to clients", or(n.ToClients, Duration(time.Millisecond)))
	n.BetweenFailureDomains = q.duration("Delay between failure domains", or(n.BetweenFailureDomains, Duration(time.Millisecond)))
	n.BetweenRegions = q.duration("Delay between regions", or(n.BetweenRegions, Duration(30*time.Millisecond)))
	n.LinkMbitPerSecond = q.number("Bandwidth between two regions in Mbit/s", or(n.LinkMbitPerSecond, 4000))
	q.section("Callers")
	a.Callers = list(q, "kind of caller", a.Callers, func(c Caller) Caller {
		c.Name = q.text("Name of the kind of caller", c.Name)
		c.QueueShare = q.number("Most of one queue that it may fill, in per cent (0 for no cap)", c.QueueShare)
		return c
	})
	q.section("Services")
	a.Services = list(q, "service", a.Services, q.service)
	if q.err != nil {
		return nil, q.err
	}
	return &a, a.Check()
}

func (q *asker) regions(from []Region) []Region {
	return list(q, "region", from, func(r Region) Region {
		r.Name = q.text("Name of the region", r.Name)
		domains := q.text("Its failure domains, with commas between", strings.Join(r.FailureDomains, ","))
		r.FailureDomains = nil
		for _, d := range strings.Split(domains, ",") {
			if d = strings.TrimSpace(d); d != "" {
				r.FailureDomains = append(r.FailureDomains, d)
			}
		}
		return r
	})
}

func (q *asker) service(s Service) Service {
	s.Name = q.text("Name of the service", s.Name)
	s.PathPrefix = q.text("Path prefix", or(s.PathPrefix, "/"+s.Name+"/"))
	s.Key.From = config.KeySource(q.choice("Where does a request carry its key", string(or(s.Key.From, config.KeyFromPath)), "path", "header", "query"))
	if s.Key.From == config.KeyFromPath {
		s.Key.Segment = q.number("Which segment of the path below the prefix, from 0", s.Key.Segment)
	} else {
		s.Key.Name = q.text("Name of the header or query parameter", s.Key.Name)
	}
	s.BackendServers = q.number("How many backend servers", s.BackendServers)
	s.SlotsPerServer = q.number("How many requests does one run at once", s.SlotsPerServer)
	s.Connections = q.number("How many connections does one take", s.Connections)
	s.ConnectionTime = q.duration("How long does opening a connection take", or(s.ConnectionTime, Duration(time.Millisecond)))
	s.ChecksGrants = q.yes("Does it check who orders it, and refuse work without a grant", s.ChecksGrants)
	s.RefusalsAreTrue = q.yes("Is its refusal a promise that it did not run the request", s.RefusalsAreTrue)
	s.ColdStart = q.duration("How long is a new one slow", s.ColdStart)
	s.Kinds = list(q, "kind of work of "+s.Name, s.Kinds, q.kind)
	return s
}

func (q *asker) kind(k Kind) Kind {
	k.Name = q.text("Name of the kind of work", k.Name)
	k.Method = q.text("HTTP method", or(k.Method, "GET"))
	k.PathSuffix = q.text("Path suffix that tells it from others (empty for any)", k.PathSuffix)
	k.Rank = Rank(q.choice("Rank", string(or(k.Rank, "normal")), "urgent", "normal", "bulk"))
	k.Worth = q.fraction("Worth of one request next to other kinds'", or(k.Worth, 1))
	k.Target = q.duration("Wanted response time", k.Target)
	k.Patience = q.duration("Longest wait of the caller", k.Patience)
	k.ServiceTime = q.duration("Time that one takes in a backend server", k.ServiceTime)
	k.OnceOnly = q.yes("Must it never run twice", k.OnceOnly)
	if k.Method != "GET" && k.Method != "HEAD" {
		k.LargestBody = q.size("Largest body", or(k.LargestBody, Size(64<<10)))
	}
	return k
}

// list asks for each of from again, and for more until there are no more.
func list[T any](q *asker, what string, from []T, ask func(T) T) []T {
	var out []T
	for q.err == nil {
		question, more := "Another "+what, len(out) < len(from)
		if len(out) == 0 {
			question, more = "Describe a "+what, true
		}
		if len(out) > 0 && !q.yes(question, more) {
			return out
		}
		var item T
		if len(out) < len(from) {
			item = from[len(out)]
		}
		out = append(out, ask(item))
	}
	return out
}

func (q *asker) section(title string) { fmt.Fprintf(q.out, "\n%s\n", title) }

// ask repeats the question until accept takes the answer.
func (q *asker) ask(question, standard string, accept func(string) error) {
	for q.err == nil {
		fmt.Fprintf(q.out, "  %s [%s]: ", question, standard)
		if !q.in.Scan() {
			q.err = errors.Join(errInputEnded, q.in.Err())
			return
		}
		answer := strings.TrimSpace(q.in.Text())
		switch answer {
		case "":
			answer = standard
		case clearAnswer:
			answer = ""
		}
		err := accept(answer)
		if err == nil {
			return
		}
		fmt.Fprintf(q.out, "    %v\n", err)
	}
}

func (q *asker) text(question, standard string) string {
	out := standard
	q.ask(question, standard, func(s string) error { out = s; return nil })
	return out
}

func (q *asker) number(question string, standard int) int {
	out := standard
	q.ask(question, strconv.Itoa(standard), func(s string) (err error) {
		if out, err = strconv.Atoi(s); err != nil {
			return fmt.Errorf("%q is no whole number", s)
		}
		return nil
	})
	return out
}

func (q *asker) fraction(question string, standard float64) float64 {
	out := standard
	q.ask(question, strconv.FormatFloat(standard, 'g', -1, 64), func(s string) (err error) {
		if out, err = strconv.ParseFloat(s, 64); err != nil {
			return fmt.Errorf("%q is no number", s)
		}
		return nil
	})
	return out
}

func (q *asker) duration(question string, standard Duration) Duration {
	out := standard
	q.ask(question, standard.Std().String(), func(s string) error {
		if err := out.UnmarshalText([]byte(s)); err != nil {
			return fmt.Errorf("%q is no duration; write for example 30ms", s)
		}
		return nil
	})
	return out
}

func (q *asker) size(question string, standard Size) Size {
	out := standard
	text, _ := standard.MarshalText()
	q.ask(question, string(text), func(s string) error { return out.UnmarshalText([]byte(s)) })
	return out
}

func (q *asker) choice(question, standard string, choices ...string) string {
	out := standard
	q.ask(question+" ("+strings.Join(choices, ", ")+")", standard, func(s string) error {
		for _, c := range choices {
			if s == c {
				out = c
				return nil
			}
		}
		return fmt.Errorf("choose one of %s", strings.Join(choices, ", "))
	})
	return out
}

func (q *asker) yes(question string, standard bool) bool {
	text := "no"
	if standard {
		text = "yes"
	}
	return q.choice(question, text, "yes", "no") == "yes"
}

// or returns v, or standard when v is the zero value.
func or[T comparable](v, standard T) T {
	var zero T
	if v == zero {
		return standard
	}
	return v
}
