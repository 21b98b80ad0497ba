package load

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
)

// ReadSummary reads a summary that Write wrote.
func ReadSummary(file string) (*Summary, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	var s Summary
	if err := json.Unmarshal(data, &s); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return &s, nil
}

// Compare writes two results side by side.
func Compare(a, b *Summary, out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "kind\tin target A\tin target B\tp50 ms A\tp50 ms B\tp99 ms A\tp99 ms B\t")
	for _, k := range a.Kinds {
		for _, l := range b.Kinds {
			if k.Service != l.Service || k.Kind != l.Kind {
				continue
			}
			fmt.Fprintf(w, "%s/%s\t%s\t%s\t%.1f\t%.1f\t%.1f\t%.1f\t\n", k.Service, k.Kind,
				percent(k.InTarget, k.Asked), percent(l.InTarget, l.Asked), k.P50, l.P50, k.P99, l.P99)
		}
	}
	if err := w.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(out, "worth served: A %.0f of %.0f, B %.0f of %.0f\n", a.WorthServed, a.WorthAsked, b.WorthServed, b.WorthAsked)
	fmt.Fprintf(out, "longest gap: A %.0f ms, B %.0f ms\n", a.Unavailable.LongestMs, b.Unavailable.LongestMs)
	fmt.Fprintf(out, "broken invariants: A %d, B %d\n", len(a.Faults), len(b.Faults))
	return nil
}
