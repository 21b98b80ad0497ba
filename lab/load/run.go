package load

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"bronzewind.example/core/backend"
	"bronzewind.example/core/code"
	"bronzewind.example/core/config"
	labbackend "bronzewind.example/lab/backend"
	"bronzewind.example/router/caller"
)

const (
	maxInFlight      = 4000 // requests past it are counted as not sent
	progressInterval = time.Second
	requestIDPrefix  = "r-"
)

type (
	// Runner sends the requests of a profile to the entries.
	Runner struct {
		profile  *Profile
		config   *config.Configuration
		entries  []string // addresses
		client   *http.Client
		next     atomic.Uint64
		inFlight atomic.Int64
		sent     atomic.Int64
		started  time.Time
		progress io.Writer
		direct   bool // the entries are backend servers
	}

	// Option changes a Runner at its construction.
	Option func(*Runner)

	// Outcome is what became of one request. Times count from the start of the
	// run.
	Outcome struct {
		ID       string        `json:"id"`
		Service  string        `json:"service"`
		Kind     string        `json:"kind"`
		Key      string        `json:"key"`
		Intended time.Duration `json:"intended-ns"`
		Ended    time.Duration `json:"ended-ns"`
		Status   int           `json:"status"` // 0 without an answer
		Code     int           `json:"code"`   // 0 without a result code
		Outcome  string        `json:"outcome"`
		Wrong    string        `json:"wrong,omitempty"` // what is wrong with the answer
		Repeats  int           `json:"repeats"`
		FollowUp bool          `json:"follow-up,omitempty"` // sent because a request of its slot failed; not in the profile
	}
)

// NewRunner returns a runner that spreads requests over entries as a balancer
// does; it writes progress lines.
func NewRunner(p *Profile, c *config.Configuration, entries []string, progress io.Writer, options ...Option) *Runner {
	r := &Runner{
		profile: p, config: c, entries: entries, progress: progress,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxInFlight, DisableCompression: true}},
	}
	for _, o := range options {
		o(r)
	}
	return r
}

// Direct makes a runner that sends to backend servers which check no grants,
// to compare with.
func Direct() Option { return func(r *Runner) { r.direct = true } }

// Run sends the whole plan at its times and returns the outcomes in order of
// the plan, and after them those of follow-up requests.
func (r *Runner) Run(ctx context.Context) []Outcome {
	return r.run(ctx, plan(r.profile, r.config))
}

func (r *Runner) run(ctx context.Context, requests []planned) []Outcome {
	ctx, cancel := context.WithTimeout(ctx, (r.profile.Duration + r.profile.Settle).Std())
	defer cancel()
	out := make([]Outcome, len(requests))
	follow := newFollowUps(r)
	r.started = time.Now()
	stop := make(chan struct{})
	reported := make(chan struct{})
	go r.report(len(requests), stop, reported)
	var wg sync.WaitGroup
	for i := range requests {
		if !r.sleepUntil(ctx, requests[i].at) {
			out = out[:i]
			break
		}
		if r.inFlight.Load() >= maxInFlight {
			out[i] = r.outcome(&requests[i])
			out[i].Outcome, out[i].Wrong = "not-sent", "the load tool has too much in flight"
			continue
		}
		r.inFlight.Add(1)
		wg.Go(func() {
			defer r.inFlight.Add(-1)
			out[i] = r.send(ctx, &requests[i])
			follow.start(ctx, &requests[i], out[i])
		})
	}
	wg.Wait()
	out = append(out, follow.wait()...)
	close(stop)
	<-reported
	return out
}

func (r *Runner) sleepUntil(ctx context.Context, at time.Duration) bool {
	timer := time.NewTimer(at - time.Since(r.started))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (r *Runner) report(total int, stop <-chan struct{}, reported chan<- struct{}) {
	defer close(reported)
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			fmt.Fprintf(r.progress, "%3.0fs  %d of %d answered, %d in flight\n",
				time.Since(r.started).Seconds(), r.sent.Load(), total, r.inFlight.Load())
		}
	}
}

func (r *Runner) outcome(p *planned) Outcome {
	return Outcome{
		ID: requestIDPrefix + strconv.FormatUint(r.profile.Seed, 10) + "-" + strconv.Itoa(p.id), Service: p.service.Name, Kind: p.kind.Name,
		Key: p.key, Intended: p.at,
	}
}

// send sends one request, and again where its caller would.
func (r *Runner) send(ctx context.Context, p *planned) Outcome {
	o := r.outcome(p)
	r.try(ctx, p, &o)
	if o.Outcome == code.Unknown.String() && p.kind.OnceOnly && r.profile.RepeatOnUnknown {
		o.Repeats++
		first := o
		r.try(ctx, p, &o)
		if o.Outcome == code.NotRun.String() {
			// The repeat did not run, but the first try may have.
			first.Repeats, first.Ended = o.Repeats, o.Ended
			o = first
		}
	}
	o.Ended = time.Since(r.started)
	r.sent.Add(1)
	return o
}

// try sends p to the next entry that takes a connection.
func (r *Runner) try(ctx context.Context, p *planned, o *Outcome) {
	ctx, cancel := context.WithTimeout(ctx, p.kind.Patience.Std()+time.Second)
	defer cancel()
	first := r.next.Add(1)
	for i := range uint64(len(r.entries)) {
		entry := r.entries[(first+i)%uint64(len(r.entries))]
		resp, err := r.post(ctx, entry, p, o.ID)
		var dial *net.OpError
		if errors.As(err, &dial) && dial.Op == "dial" {
			continue
		}
		if err != nil {
			o.Status, o.Code, o.Outcome = 0, 0, code.Unknown.String()
			return
		}
		if r.direct && resp.StatusCode == http.StatusOK {
			resp.Header.Set(code.OutcomeHeader, code.Done.String())
		}
		read(resp, o)
		return
	}
	o.Status, o.Code, o.Outcome = 0, 0, code.NotRun.String()
}

func (r *Runner) post(ctx context.Context, entry string, p *planned, id string) (*http.Response, error) {
	var body io.Reader
	if p.share.Body > 0 {
		body = bytes.NewReader(make([]byte, p.share.Body))
	}
	req, err := http.NewRequestWithContext(ctx, p.kind.Method, "http://"+entry+p.path(), body)
	if err != nil {
		return nil, err
	}
	req.Header.Set(labbackend.IDHeader, id)
	req.Header.Set(caller.CallerHeader, p.share.Caller)
	if p.kind.OnceOnly {
		req.Header.Set(backend.IdempotencyHeader, id)
		req.GetBody = nil // the load tool's own client must not repeat it
	}
	switch p.service.Key.From {
	case config.KeyFromHeader:
		req.Header.Set(p.service.Key.Name, p.key)
	case config.KeyFromQuery:
		req.URL.RawQuery = p.service.Key.Name + "=" + p.key
	}
	return r.client.Do(req)
}

// read takes in an answer and checks that it is whole and the request's own.
func read(resp *http.Response, o *Outcome) {
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	o.Status = resp.StatusCode
	o.Code, _ = strconv.Atoi(resp.Header.Get(code.Header))
	o.Outcome = resp.Header.Get(code.OutcomeHeader)
	switch {
	case err != nil:
		// The connection broke, so the caller knows that it has no whole answer.
		o.Outcome = code.Unknown.String()
	case o.Outcome != code.Done.String():
	case resp.Header.Get(labbackend.IDHeader) != o.ID:
		o.Wrong = "the answer belongs to " + resp.Header.Get(labbackend.IDHeader)
	case o.Status == http.StatusOK && !strings.HasSuffix(string(body), "bytes read\n"):
		o.Wrong = "the answer is not whole"
	}
}
