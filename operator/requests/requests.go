// Package requests reads the logs of many instances and tells what became of one
// request, and what its instance believed at the time.
package requests

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"bronzewind.example/core/code"
)

const (
	// beliefWindow is how long before a request's first line its instance's
	// beliefs are told.
	beliefWindow = 15 * time.Second

	maxLineBytes = 1 << 20
)

type (
	// Line is one line of a log.
	Line struct {
		Time     time.Time
		Event    string
		Instance string
		Fields   map[string]any // all but time, level, event and instance
	}

	// Story is what the logs say of one request.
	Story struct {
		Request string   `json:"request"`
		Lines   []Line   `json:"lines"`   // of the request, in order of time
		Beliefs []Line   `json:"beliefs"` // of its instances, on what its lines name, in order of time
		Cause   string   `json:"cause"`   // in words
		Unread  []string `json:"unread"`  // lines that are no line of an instance, by file and number
	}

	log struct {
		lines  []Line
		unread []string
	}
)

// ErrNotFound means that no line names the request.
var ErrNotFound = errors.New("no line of the logs names the request")

// beliefs are the events that change what an instance believes.
var beliefs = []string{
	"server-listed", "server-gone", "server-lapsed", "server-crashed", "ownership-moving", "ownership-granted",
	"ownership-assigned", "configuration-in-force", "configuration-refused", "store-lost", "store-back",
	"granting-role", "granting-ended", "grant-failed", "started", "stopping",
}

// Explain reads the logs in paths, files or folders of files, and tells the
// story of the request id. Lines that can't be read are named in the story.
func Explain(id string, paths []string) (*Story, error) {
	var all log
	for _, p := range paths {
		if err := all.readPath(p); err != nil {
			return nil, err
		}
	}
	return all.story(id)
}

func (l *log) readPath(path string) error {
	return filepath.WalkDir(path, func(name string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return err
		}
		f, err := os.Open(name)
		if err != nil {
			return err
		}
		defer f.Close()
		return l.read(name, f)
	})
}

// read takes the lines of one file. What stands before the first brace, such as
// a collector's own time, is passed over.
func (l *log) read(name string, in io.Reader) error {
	s := bufio.NewScanner(in)
	s.Buffer(nil, maxLineBytes)
	for n := 1; s.Scan(); n++ {
		raw := s.Bytes()
		start := bytes.IndexByte(raw, '{')
		if start < 0 {
			continue
		}
		line, err := parse(raw[start:])
		if err != nil {
			l.unread = append(l.unread, fmt.Sprintf("%s:%d: %v", name, n, err))
			continue
		}
		l.lines = append(l.lines, line)
	}
	if err := s.Err(); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

func parse(raw []byte) (Line, error) {
	var fields map[string]any
	d := json.NewDecoder(bytes.NewReader(raw))
	d.UseNumber() // or fences and times would be printed as fractions
	if err := d.Decode(&fields); err != nil {
		return Line{}, fmt.Errorf("the line is cut short or foreign: %w", err)
	}
	at, _ := fields["time"].(string)
	when, err := time.Parse(time.RFC3339Nano, at)
	if err != nil {
		return Line{}, fmt.Errorf("the line has no time: %w", err)
	}
	out := Line{Time: when, Fields: fields}
	out.Event, _ = fields["msg"].(string)
	out.Instance, _ = fields["instance"].(string)
	for _, name := range []string{"time", "level", "msg", "instance"} {
		delete(fields, name)
	}
	return out, nil
}

func (l *log) story(id string) (*Story, error) {
	out := &Story{Request: id, Unread: l.unread}
	slices.SortStableFunc(l.lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	named := map[string]bool{}
	instances := map[string]bool{}
	key, keyed := int64(0), false
	for _, line := range l.lines {
		if line.text("request") != id {
			continue
		}
		out.Lines = append(out.Lines, line)
		instances[line.Instance] = true
		if n, ok := line.number("key"); ok {
			key, keyed = n, true
		}
		for _, field := range []string{"server", "owner"} {
			if v := line.text(field); v != "" {
				named[v] = true
			}
		}
	}
	if len(out.Lines) == 0 {
		return out, ErrNotFound
	}
	first, last := out.Lines[0].Time.Add(-beliefWindow), out.Lines[len(out.Lines)-1].Time
	for _, line := range l.lines {
		if line.Time.Before(first) || line.Time.After(last) || !slices.Contains(beliefs, line.Event) {
			continue
		}
		if server := line.text("server"); server != "" && !named[server] || server == "" && !instances[line.Instance] {
			continue
		}
		if from, ok := line.number("from"); ok && keyed {
			if to, _ := line.number("to"); key < from || key > to {
				continue
			}
		}
		out.Beliefs = append(out.Beliefs, line)
	}
	out.Cause = out.cause()
	return out, nil
}

// cause names the last code of the request, and the newest belief on what it
// names.
func (s *Story) cause() string {
	last := s.Lines[len(s.Lines)-1]
	number, ok := last.number("code")
	if !ok {
		return fmt.Sprintf("answered with status %v after %v tries", last.Fields["status"], last.Fields["tries"])
	}
	row, _ := code.Lookup(code.Code(number))
	parts := []string{fmt.Sprintf("%d %s: %s", number, row.Name, row.Meaning)}
	if expected, ok := last.number("expected-ms"); ok {
		parts = append(parts, fmt.Sprintf("%s had %v requests for %v slots, so the answer was expected after %d ms, and %v ms were left to the target",
			last.text("server"), last.Fields["server-load"], last.Fields["server-slots"], expected, last.Fields["target-left-ms"]))
	}
	for _, l := range s.Lines {
		if reason := l.text("reason"); reason != "" {
			parts = append(parts, fmt.Sprintf("a try at %s (%s) ended with: %s", l.text("server"), l.text("address"), reason))
		}
	}
	for i := len(s.Beliefs) - 1; i >= 0; i-- {
		b := s.Beliefs[i]
		if b.text("server") != "" && b.Event != "server-listed" || b.Event == "store-lost" {
			parts = append(parts, fmt.Sprintf("%v before, %s: %s %s", last.Time.Sub(b.Time).Round(time.Millisecond), b.Instance, b.Event, b.text("server")))
			break
		}
	}
	return strings.Join(parts, "; ")
}

func (l Line) number(name string) (int64, bool) {
	v, ok := l.Fields[name].(json.Number)
	if !ok {
		return 0, false
	}
	n, err := v.Int64()
	return n, err == nil
}

func (l Line) text(name string) string {
	v, _ := l.Fields[name].(string)
	return v
}

// Print writes the story for a person to read.
func (s *Story) Print(out io.Writer) error {
	section := func(title string, lines []Line) error {
		if _, err := fmt.Fprintln(out, title); err != nil {
			return err
		}
		for _, l := range lines {
			if _, err := fmt.Fprintf(out, "  %s  %s  %s%s\n", l.Time.Format("15:04:05.000"), l.Instance, l.Event, l.details()); err != nil {
				return err
			}
		}
		return nil
	}
	return errors.Join(
		section("what became of "+s.Request, s.Lines),
		section("what was believed", s.Beliefs),
		func() error { _, err := fmt.Fprintln(out, "cause:", s.Cause); return err }(),
	)
}

func (l Line) details() string {
	var names []string
	for name := range l.Fields {
		if name != "request" {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var b strings.Builder
	for _, name := range names {
		fmt.Fprintf(&b, " %s=%v", name, l.Fields[name])
	}
	return b.String()
}
