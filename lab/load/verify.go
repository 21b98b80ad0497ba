package load

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"

	"bronzewind.example/core/code"
	"bronzewind.example/core/config"
	"bronzewind.example/lab/backend"
	"bronzewind.example/lab/platform"
)

const (
	maxLineBytes = 1 << 20
	maxFaults    = 20 // more are counted, not told
)

// FetchJournal reads the starts that the backend servers wrote down.
func FetchJournal(ctx context.Context, base string) ([]backend.Start, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+platform.JournalPath, nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	defer resp.Body.Close()
	return readJournal(resp.Body)
}

// readJournal joins the two lines that each request writes.
func readJournal(r io.Reader) ([]backend.Start, error) {
	var out []backend.Start
	open := map[string]int{}
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		var s backend.Start
		if err := json.Unmarshal(lines.Bytes(), &s); err != nil {
			return nil, fmt.Errorf("journal: %w", err)
		}
		key := fmt.Sprintf("%s %d %s %d", s.Server, s.Run, s.ID, s.At)
		if i, ok := open[key]; ok && s.Ended > 0 {
			out[i].Ended = s.Ended
			delete(open, key)
			continue
		}
		open[key] = len(out)
		out = append(out, s)
	}
	return out, lines.Err()
}

// Verify adds the broken invariants to s: what callers were told is compared
// with what the backend servers ran. serviceOf names the service of a server.
func (s *Summary) Verify(c *config.Configuration, outcomes []Outcome, starts []backend.Start, serviceOf map[string]string) {
	s.Checked.Starts = len(starts)
	byID := map[string][]backend.Start{}
	for _, b := range starts {
		byID[b.ID] = append(byID[b.ID], b)
	}
	for _, o := range outcomes {
		_, kind, ok := findKind(c, o.Service, o.Kind)
		if !ok {
			continue
		}
		ran := len(byID[o.ID])
		if kind.OnceOnly {
			s.Checked.OnceOnly++
			s.broken(ran > 1, "once-only request %s ran %d times", o.ID, ran)
		}
		s.broken(o.Outcome == code.Done.String() && ran == 0, "request %s is said to be done, and never ran", o.ID)
		s.broken(o.Outcome == code.NotRun.String() && ran > 0, "request %s is said not to have run, and ran", o.ID)
	}
	s.verifyOwnership(starts, serviceOf)
}

// verifyOwnership checks that no two servers ran work of one slot at one time.
func (s *Summary) verifyOwnership(starts []backend.Start, serviceOf map[string]string) {
	type slotKey struct {
		service string
		slot    uint32
	}
	bySlot := map[slotKey][]backend.Start{}
	for _, b := range starts {
		key := slotKey{service: serviceOf[b.Server], slot: b.Slot}
		bySlot[key] = append(bySlot[key], b)
	}
	for key, list := range bySlot {
		sort.Slice(list, func(i, j int) bool { return list[i].At < list[j].At })
		for i := 1; i < len(list); i++ {
			a, b := list[i-1], list[i]
			s.broken(a.Server != b.Server && b.At < a.Ended,
				"slot %d of %s: %s ran %s while %s ran %s", key.slot, key.service, a.Server, a.ID, b.Server, b.ID)
		}
	}
}

func (s *Summary) broken(bad bool, format string, args ...any) {
	if !bad {
		return
	}
	if len(s.Faults) == maxFaults {
		s.Faults = append(s.Faults, "and more")
	}
	if len(s.Faults) < maxFaults {
		s.Faults = append(s.Faults, fmt.Sprintf(format, args...))
	}
}
