package load

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"bronzewind.example/core/code"
	"bronzewind.example/core/config"
)

const (
	longestLatency   = int64(time.Hour / time.Microsecond)
	significant      = 3
	stalledAfter     = 500 * time.Millisecond // an answer later than this and than its target counts as a gap in service
	summaryFileMode  = 0o644
	percentile50     = 50
	percentile99     = 99
	percentileLongst = 100
)

type (
	// Summary is the result of a run.
	Summary struct {
		Seed        uint64        `json:"seed"`
		Fleet       string        `json:"fleet"`
		Seconds     float64       `json:"seconds"`
		Kinds       []KindSummary `json:"kinds"`
		WorthServed float64       `json:"worth-served"` // of requests answered within their targets
		WorthAsked  float64       `json:"worth-asked"`
		Unavailable Unavailable   `json:"unavailable"`
		Faults      []string      `json:"faults"` // broken invariants; empty when all hold
		Checked     Checked       `json:"checked"`
	}

	// KindSummary is what one kind of work got. Latencies are milliseconds from
	// the intended send time, of answered requests.
	KindSummary struct {
		Service  string         `json:"service"`
		Kind     string         `json:"kind"`
		Rank     config.Rank    `json:"rank"`
		Asked    int            `json:"asked"`
		Done     int            `json:"done"`
		InTarget int            `json:"in-target"`
		NotRun   int            `json:"not-run"`
		Unknown  int            `json:"unknown"`
		NotSent  int            `json:"not-sent"`
		P50      float64        `json:"p50-ms"`
		P99      float64        `json:"p99-ms"`
		Longest  float64        `json:"longest-ms"`
		Codes    map[string]int `json:"codes"` // answers without "done", by name of the result code
	}

	// Unavailable tells the gaps in service of slots, see longestGap.
	Unavailable struct {
		Slots     int     `json:"slots"` // that had a gap
		LongestMs float64 `json:"longest-ms"`
		MedianMs  float64 `json:"median-ms"`
	}

	// Checked counts what the checks looked at.
	Checked struct {
		Requests int `json:"requests"`
		Starts   int `json:"starts"`
		OnceOnly int `json:"once-only"`
	}
)

// Summarize adds up outcomes; verify's findings are added by the caller.
func Summarize(p *Profile, c *config.Configuration, outcomes []Outcome) *Summary {
	s := &Summary{Seed: p.Seed, Fleet: c.Fleet, Seconds: p.Duration.Std().Seconds(), Faults: []string{}}
	for _, share := range p.Kinds {
		_, kind, _ := findKind(c, share.Service, share.Kind)
		k := summarizeKind(share, kind, outcomes)
		s.Kinds = append(s.Kinds, k)
		s.WorthServed += float64(k.InTarget) * kind.Worth
		s.WorthAsked += float64(k.Asked) * kind.Worth
	}
	for _, o := range outcomes {
		if o.Wrong != "" && o.Outcome != "not-sent" {
			s.Faults = append(s.Faults, fmt.Sprintf("request %s: %s", o.ID, o.Wrong))
		}
	}
	s.Checked.Requests = len(outcomes)
	s.Unavailable = unavailable(c, outcomes)
	return s
}

func summarizeKind(share Share, kind *config.Kind, outcomes []Outcome) KindSummary {
	k := KindSummary{Service: share.Service, Kind: share.Kind, Rank: kind.Rank, Codes: map[string]int{}}
	h := hdrhistogram.New(1, longestLatency, significant)
	for _, o := range outcomes {
		if o.Service != share.Service || o.Kind != share.Kind || o.FollowUp {
			continue
		}
		k.Asked++
		latency := o.Ended - o.Intended
		switch o.Outcome {
		case code.Done.String():
			k.Done++
			_ = h.RecordValue(max(latency.Microseconds(), 1))
			if latency <= kind.Target.Std() {
				k.InTarget++
			}
			continue
		case code.NotRun.String():
			k.NotRun++
		case "not-sent":
			k.NotSent++
		default:
			k.Unknown++
		}
		k.Codes[codeName(o)]++
	}
	k.P50 = millis(h.ValueAtPercentile(percentile50))
	k.P99 = millis(h.ValueAtPercentile(percentile99))
	k.Longest = millis(h.ValueAtPercentile(percentileLongst))
	return k
}

func codeName(o Outcome) string {
	if o.Code == 0 {
		return "no-answer"
	}
	return code.Code(o.Code).String()
}

func millis(micros int64) float64 { return float64(micros) / 1000 }

// unavailable finds the longest gap of each slot.
func unavailable(c *config.Configuration, outcomes []Outcome) Unavailable {
	bySlot := map[slotKey][]attempt{}
	for _, o := range outcomes {
		if slot, kind, ok := slotOf(c, o.Service, o.Kind, o.Key); ok {
			bySlot[slot] = append(bySlot[slot], attempt{Outcome: o, target: kind.Target.Std()})
		}
	}
	var gaps []float64
	for _, list := range bySlot {
		sort.SliceStable(list, func(i, j int) bool { return list[i].Intended < list[j].Intended })
		if g := longestGap(list); g > 0 {
			gaps = append(gaps, float64(g.Microseconds())/1000)
		}
	}
	if len(gaps) == 0 {
		return Unavailable{}
	}
	sort.Float64s(gaps)
	return Unavailable{Slots: len(gaps), LongestMs: gaps[len(gaps)-1], MedianMs: gaps[len(gaps)/2]}
}

// longestGap returns the longest time from the intended time of a failed or
// stalled request to the end of the last one in a row, or to the follow-up request
// after it that was served. Refusals by admission are no gap. list is in order of
// intended time.
func longestGap(list []attempt) time.Duration {
	var longest, began, ended time.Duration
	inGap := false
	for _, o := range list {
		if !o.failed() {
			if inGap && o.FollowUp && o.served() {
				longest = max(longest, o.Intended-began)
			}
			inGap = false
			continue
		}
		if !inGap {
			inGap, began, ended = true, o.Intended, 0
		}
		ended = max(ended, o.Ended)
		longest = max(longest, ended-began)
	}
	return longest
}

// CheckGap notes a broken target when a gap was longer than limit; 0 sets none.
func (s *Summary) CheckGap(limit time.Duration) {
	longest := time.Duration(s.Unavailable.LongestMs * float64(time.Millisecond))
	s.broken(limit > 0 && longest > limit, "a slot had a gap in service of %s, over the target of %s", longest, limit)
}

// attempt is an outcome with the wanted response time of its kind.
type attempt struct {
	Outcome
	target time.Duration
}

// failed reports whether the request failed or was answered long after
// its target; a refusal by admission is no failure.
func (a attempt) failed() bool {
	switch code.Code(a.Code) {
	case code.QueueFull, code.TargetUnreachable, code.CallerCapReached, code.Quarantined:
		return false
	}
	return a.Outcome.Outcome != code.Done.String() || a.Ended-a.Intended > max(a.target, stalledAfter)
}

// served reports whether the request was answered in time, or not long after.
func (a attempt) served() bool { return a.Outcome.Outcome == code.Done.String() && !a.failed() }

// Print writes the summary for a reader.
func (s *Summary) Print(out io.Writer) error {
	fmt.Fprintf(out, "\n%s, seed %d, %.0f s\n", s.Fleet, s.Seed, s.Seconds)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "kind\trank\tasked\tdone\tin target\tnot run\tunknown\tnot sent\tp50 ms\tp99 ms\tlongest ms\t")
	for _, k := range s.Kinds {
		fmt.Fprintf(w, "%s/%s\t%d\t%d\t%d\t%s\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t\n", k.Service, k.Kind, k.Rank, k.Asked, k.Done,
			percent(k.InTarget, k.Asked), k.NotRun, k.Unknown, k.NotSent, k.P50, k.P99, k.Longest)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, k := range s.Kinds {
		for _, name := range sortedKeys(k.Codes) {
			fmt.Fprintf(out, "  %s/%s: %d %s\n", k.Service, k.Kind, k.Codes[name], name)
		}
	}
	fmt.Fprintf(out, "worth served within target: %.0f of %.0f\n", s.WorthServed, s.WorthAsked)
	fmt.Fprintf(out, "gaps in service: %d slots, median %.0f ms, longest %.0f ms\n", s.Unavailable.Slots, s.Unavailable.MedianMs, s.Unavailable.LongestMs)
	fmt.Fprintf(out, "checked: %d requests, %d starts in backend servers, %d once-only\n", s.Checked.Requests, s.Checked.Starts, s.Checked.OnceOnly)
	if len(s.Faults) == 0 {
		fmt.Fprintln(out, "all invariants hold")
	}
	for _, f := range s.Faults {
		fmt.Fprintln(out, "BROKEN:", f)
	}
	return nil
}

// Write writes the summary as JSON into file.
func (s *Summary) Write(file string) error {
	data, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(data, '\n'), summaryFileMode)
}

func percent(part, whole int) string {
	if whole == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f%%", 100*float64(part)/float64(whole))
}

func sortedKeys(m map[string]int) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}
