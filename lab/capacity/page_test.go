package capacity

import (
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const (
	page       = "../../docs/CAPACITY.md"
	slopesFile = "../../docs/capacity-slopes.yaml"
)

func TestPageSaysWhatItsSlopesGive(t *testing.T) {
	slopes, err := Read(slopesFile)
	if err != nil {
		t.Fatal(err)
	}
	if err := Check(page, slopes); err != nil {
		t.Error(err)
	}
}

func TestCheckFindsAChangedFigure(t *testing.T) {
	slopes, err := Read(slopesFile)
	if err != nil {
		t.Fatal(err)
	}
	data, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	file := t.TempDir() + "/CAPACITY.md"
	if err := os.WriteFile(file, []byte(strings.Replace(string(data), "| node |", "| node  |", 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	if Check(file, slopes) == nil {
		t.Error("a changed row was not found")
	}
}

func TestSlopeFitsALine(t *testing.T) {
	s := NewSlope("x", "bytes", "slots", []Point{{Size: 1, Value: 5}, {Size: 2, Value: 7}, {Size: 4, Value: 11}})
	if d := cmp.Diff([]float64{2, 3}, []float64{s.Per, s.Fixed}); d != "" {
		t.Errorf("(-want +got)\n%s", d)
	}
}
