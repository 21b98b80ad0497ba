// Package decision describes where an instance would send a request at present, and why. An
// instance returns it as JSON, and bronzectl prints it.
package decision

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Verdicts on a request at one service.
const (
	Send   = "send"
	Wait   = "wait"   // sent after a wait, unless the deadline comes first
	Refuse = "refuse" // as not run
)

type (
	// Explanation is the decision on one request. Times are in milliseconds.
	Explanation struct {
		Instance      string   `json:"instance"`
		ConfigVersion uint64   `json:"config-version"`
		Route         string   `json:"route"` // "" if none matches
		Regions       []string `json:"regions"`
		Priority      int      `json:"priority"`
		TypicalMs     int64    `json:"typical-ms"` // duration of a request at a server of usual speed
		TargetMs      int64    `json:"target-ms"`
		DeadlineMs    int64    `json:"deadline-ms"`
		ViaPeer       string   `json:"via-peer"` // instance by way of which it would be sent, as this one reaches no server; "" otherwise
		Parts         []Part   `json:"parts"`    // services that the route divides its requests among
		Inputs        []Input  `json:"inputs"`
	}

	// Part is the decision for the case that the request goes to one of the route's services.
	Part struct {
		Service      string       `json:"service"`
		Weight       float64      `json:"weight"`
		Next         bool         `json:"next"` // the next request of the route would go here
		Verdict      string       `json:"verdict"`
		Server       string       `json:"server"` // to which it would be sent; "" if refused
		Code         int          `json:"code"`   // of a refusal
		Reason       string       `json:"reason"`
		WaitMs       int64        `json:"wait-ms"`
		RetryAfterMs int64        `json:"retry-after-ms"`
		ExpectedMs   int64        `json:"expected-ms"` // response time at the server
		RetriesLeft  float64      `json:"retries-left"`
		CallerLimit  *CallerLimit `json:"caller-limit,omitempty"` // nil if callers are not limited
		Owner        *Owner       `json:"owner,omitempty"`        // of the key
		Servers      []Server     `json:"servers"`
	}

	// CallerLimit is how many requests a caller may send to a service that has too little room.
	CallerLimit struct {
		Requests float64 `json:"requests"` // within the window
		Sent     float64 `json:"sent"`     // by this caller, and let pass
		Usual    float64 `json:"usual"`    // of a caller
		WindowMs int64   `json:"window-ms"`
	}

	// Owner is the owner of the request's key by the newest partition map.
	Owner struct {
		Server  string `json:"server"`
		From    uint32 `json:"from"`
		To      uint32 `json:"to"`
		Fence   uint64 `json:"fence"`
		Moving  bool   `json:"moving"`
		Version uint64 `json:"version"`
	}

	// Server is a listed server of the service.
	Server struct {
		ID         string  `json:"server"`
		Region     string  `json:"region"`
		Distance   string  `json:"distance"`
		Excluded   string  `json:"excluded"` // why it gets no such request; "" if it may
		Load       float64 `json:"load"`     // requests running or waiting there, estimated
		Slots      int     `json:"slots"`
		Slowness   float64 `json:"slowness"` // 1 is usual
		Failing    float64 `json:"failing"`  // share of recent attempts
		WaitMs     int64   `json:"wait-ms"`  // until it takes another request, as it has stated
		ExpectedMs int64   `json:"expected-ms"`
		CostMs     int64   `json:"cost-ms"`     // the server with the least cost is selected
		LoadAgeMs  int64   `json:"load-age-ms"` // of its last load report; -1 if there was none
		Ejected    bool    `json:"ejected"`     // used only if no other server is left
		InFlight   int     `json:"in-flight"`   // requests of this instance there
		Cold       bool    `json:"cold"`        // started recently
	}

	// Input is something that the decision depends on, with its age.
	Input struct {
		Name  string `json:"name"`
		AgeMs int64  `json:"age-ms"` // since it was last known to be the newest; -1 if it is not there
	}
)

// Print writes e for people.
func (e *Explanation) Print(out io.Writer) error {
	if e.Route == "" {
		_, err := fmt.Fprintf(out, "%s: no route matches (configuration %08x); the request would get 404\n", e.Instance, e.ConfigVersion)
		return err
	}
	regions := "all regions"
	if len(e.Regions) > 0 {
		regions = strings.Join(e.Regions, ", ")
	}
	fmt.Fprintf(out, "%s: route %s of configuration %08x, priority %d, served in %s\n", e.Instance, e.Route, e.ConfigVersion, e.Priority, regions)
	fmt.Fprintf(out, "usually takes %d ms, target %d ms, %d ms left\n", e.TypicalMs, e.TargetMs, e.DeadlineMs)
	if e.ViaPeer != "" {
		fmt.Fprintf(out, "would be sent by way of %s, since this instance reaches no server\n", e.ViaPeer)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, p := range e.Parts {
		p.print(w)
	}
	fmt.Fprintln(w, "\ninput\tage")
	for _, i := range e.Inputs {
		fmt.Fprintf(w, "%s\t%s\n", i.Name, milliseconds(i.AgeMs))
	}
	return w.Flush()
}

func (p *Part) print(w io.Writer) {
	next := ""
	if p.Next {
		next = ", next in turn"
	}
	fmt.Fprintf(w, "\nservice %s (weight %g%s): ", p.Service, p.Weight, next)
	switch p.Verdict {
	case Refuse:
		fmt.Fprintf(w, "refused with code %d, come back after %d ms: %s\n", p.Code, p.RetryAfterMs, p.Reason)
	case Wait:
		fmt.Fprintf(w, "waits %d ms: %s\n", p.WaitMs, p.Reason)
	default:
		fmt.Fprintf(w, "sent to %s, expected response after %d ms: %s\n", p.Server, p.ExpectedMs, p.Reason)
	}
	fmt.Fprintf(w, "retries left here: %.0f\n", p.RetriesLeft)
	if l := p.CallerLimit; l != nil {
		fmt.Fprintf(w, "too little room: the caller may send %.0f requests in %s and has sent %.0f, a usual caller sends %.0f\n", l.Requests, milliseconds(l.WindowMs), l.Sent, l.Usual)
	}
	if o := p.Owner; o != nil {
		fmt.Fprintf(w, "keys %d to %d: owner %q, fence %d, moving %v, map version %d\n", o.From, o.To, o.Server, o.Fence, o.Moving, o.Version)
	}
	fmt.Fprintln(w, "server\tregion\tcost\texpected\tload\tslots\tslowness\tfailing\tstated wait\tload report\tleft out")
	for _, s := range p.Servers {
		left := s.Excluded
		if left == "" && s.Ejected {
			left = "until others are out: recent failures"
		}
		fmt.Fprintf(w, "%s\t%s (%s)\t%d ms\t%d ms\t%.1f\t%d\t%.2f\t%.2f\t%d ms\t%s\t%s\n", s.ID, s.Region, s.Distance, s.CostMs, s.ExpectedMs, s.Load, s.Slots, s.Slowness, s.Failing, s.WaitMs, milliseconds(s.LoadAgeMs), left)
	}
}

func milliseconds(n int64) string {
	if n < 0 {
		return "none"
	}
	return fmt.Sprint(n, " ms")
}
