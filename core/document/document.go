// Package document reads YAML strictly and tells faults with line, field and
// mend.
package document

import (
	"errors"
	"fmt"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

type (
	// Problem is one fault of a document.
	Problem struct {
		Line  int    // 1 for the first line; 0 when the place is not known
		Field string // path such as "services[0].slots"; "" for a syntax error
		Fault string
		Mend  string
	}

	// Problems are all faults of a document, never empty when used as an error.
	Problems struct {
		File string // "" when the document has no name
		List []Problem
	}

	// Checker gathers the faults of one document.
	Checker struct {
		file  *ast.File // nil when the document can't be parsed
		found []Problem
	}
)

// Error returns line, field, fault and mend in one line.
func (p Problem) Error() string {
	var b strings.Builder
	if p.Line > 0 {
		fmt.Fprintf(&b, "line %d: ", p.Line)
	}
	if p.Field != "" {
		b.WriteString(p.Field + ": ")
	}
	b.WriteString(p.Fault)
	if p.Mend != "" {
		b.WriteString("; " + p.Mend)
	}
	return b.String()
}

// Error returns all faults, one a line.
func (p *Problems) Error() string {
	lines := make([]string, 0, len(p.List))
	for _, one := range p.List {
		line := one.Error()
		if p.File != "" {
			line = p.File + ": " + line
		}
		lines = append(lines, line)
	}
	return strings.Join(lines, "\n")
}

// InFile returns err with the file's name, when err is *Problems.
func InFile(file string, err error) error {
	var p *Problems
	if errors.As(err, &p) {
		return &Problems{File: file, List: p.List}
	}
	return err
}

// Decode reads data into v; a syntax error, an unknown field and a value of the
// wrong type give *Problems.
func Decode(data []byte, v any) error {
	err := yaml.UnmarshalWithOptions(data, v, yaml.Strict())
	if err == nil {
		return nil
	}
	p := Problem{Fault: strings.SplitN(err.Error(), "\n", 2)[0]}
	var located yaml.Error
	if errors.As(err, &located) {
		p.Fault = located.GetMessage()
		if t := located.GetToken(); t != nil && t.Position != nil {
			p.Line = t.Position.Line
		}
	}
	p.Mend = mendOf(err)
	return &Problems{List: []Problem{p}}
}

func mendOf(err error) string {
	var unknown *yaml.UnknownFieldError
	var wrong *yaml.TypeError
	switch {
	case errors.As(err, &unknown):
		return "remove the field or correct its name"
	case errors.As(err, &wrong):
		return "give a value of type " + wrong.DstType.String()
	default:
		return "correct the YAML there"
	}
}

// NewChecker returns a checker of the document data, from which lines are taken.
func NewChecker(data []byte) *Checker {
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		file = nil
	}
	return &Checker{file: file}
}

// Check notes a fault of field when bad.
func (c *Checker) Check(bad bool, field, fault, mend string) {
	if bad {
		c.found = append(c.found, Problem{Line: c.line(field), Field: field, Fault: fault, Mend: mend})
	}
}

// Err returns *Problems with what was noted, or nil.
func (c *Checker) Err() error {
	if len(c.found) == 0 {
		return nil
	}
	return &Problems{List: c.found}
}

// line returns the line of field, or of the nearest field around it.
func (c *Checker) line(field string) int {
	if c.file == nil {
		return 0
	}
	for field != "" {
		if n, ok := c.lookup(field); ok {
			return n
		}
		field = field[:max(strings.LastIndexAny(field, ".["), 0)]
	}
	return 0
}

func (c *Checker) lookup(field string) (int, bool) {
	path, err := yaml.PathString("$." + field)
	if err != nil {
		return 0, false
	}
	node, err := path.FilterFile(c.file)
	if err != nil || node == nil || node.GetToken() == nil {
		return 0, false
	}
	return firstLine(node), true
}

// firstLine returns the line on which node starts; the token of a mapping is
// the colon of its first entry.
func firstLine(node ast.Node) int {
	if m, ok := node.(*ast.MappingNode); ok && len(m.Values) > 0 {
		return m.Values[0].Key.GetToken().Position.Line
	}
	return node.GetToken().Position.Line
}
