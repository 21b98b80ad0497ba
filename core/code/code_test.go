package code

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const page = "../../docs/CODES.md"

// TestPage compares the table of the page with the table in code.
func TestPage(t *testing.T) {
	data, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	var got, want []string
	for line := range strings.Lines(string(data)) {
		if strings.HasPrefix(line, "| `") {
			got = append(got, strings.TrimSpace(line))
		}
	}
	for _, e := range Table() {
		want = append(want, fmt.Sprintf("| `%d` | `%s` | `%s` | %d | %s |", e.Code, e.Name, e.Outcome, e.Status, e.Meaning))
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("rows of docs/CODES.md (-code +page):\n%s", diff)
	}
}

// TestTable checks that numbers and names are unique, and that the thousands
// of a number stand for its outcome class.
func TestTable(t *testing.T) {
	names := map[string]bool{}
	last := Code(0)
	for _, e := range Table() {
		if e.Code <= last || names[e.Name] || e.Status == 0 || e.Meaning == "" {
			t.Errorf("row %v is out of order, double or not whole", e)
		}
		if diff := cmp.Diff(Outcome(e.Code/1000), e.Outcome); diff != "" {
			t.Errorf("outcome of %d (-number +row):\n%s", e.Code, diff)
		}
		last, names[e.Name] = e.Code, true
	}
	if got := Code(1).Outcome(); got != Unknown {
		t.Errorf("an unlisted code is %v, not unknown", got)
	}
}
