package capacity

import (
	"fmt"
	"os"
	"strings"
)

const (
	beginMark = "<!-- begin of the part that `make capacity` writes -->\n"
	endMark   = "<!-- end of the part that `make capacity` writes -->\n"
)

// Render returns the part of the page that follows from slopes.
func Render(slopes *Slopes) (string, error) {
	var b strings.Builder
	fmt.Fprintf(&b, "Measured on %s.\n\n## Slopes\n\n", slopes.Machine)
	b.WriteString("| slope | what | over | measured at | fixed | for each |\n| --- | --- | --- | --- | ---: | ---: |\n")
	for _, s := range slopes.Slopes {
		points := make([]string, 0, len(s.Points))
		for _, p := range s.Points {
			points = append(points, fmt.Sprintf("%.0f: %s", p.Size, number(p.Value)))
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s |\n", s.Name, s.Of, s.Over, strings.Join(points, ", "), number(s.Fixed), number(s.Per))
	}
	for _, part := range []struct {
		title string
		size  Size
	}{{"Today: 8 instances", Today()}, {"In two years: 1,700 instances", TwoYears()}} {
		rows, err := Model(part.size, slopes)
		if err != nil {
			return "", err
		}
		fmt.Fprintf(&b, "\n## %s\n\n| role | cost | value | limit | worked out from | mechanism |\n| --- | --- | ---: | ---: | --- | --- |\n", part.title)
		for _, r := range rows {
			fmt.Fprintf(&b, "| %s | %s | %s %s | %s | %s | %s |\n", r.Role, r.Cost, number(r.Value), r.Unit, limit(r), r.Working, r.Mechanism)
		}
	}
	return b.String(), nil
}

// limit returns the limit of r, and whether the value is over it.
func limit(r Row) string {
	switch {
	case r.Limit == 0:
		return "-"
	case r.Value > r.Limit:
		return fmt.Sprintf("**over %s %s**", number(r.Limit), r.Unit)
	default:
		return fmt.Sprintf("%s %s", number(r.Limit), r.Unit)
	}
}

// number writes three digits that count.
func number(x float64) string {
	switch {
	case x == 0:
		return "0"
	case x >= 1000 || x <= -1000:
		return fmt.Sprintf("%.0f", x)
	default:
		return fmt.Sprintf("%.3g", x)
	}
}

// Check returns an error unless the page in file holds what slopes give.
func Check(file string, slopes *Slopes) error {
	page, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	want, err := Render(slopes)
	if err != nil {
		return err
	}
	_, rest, found := strings.Cut(string(page), beginMark)
	got, _, ended := strings.Cut(rest, endMark)
	if !found || !ended || strings.TrimSpace(got) != strings.TrimSpace(want) {
		return fmt.Errorf("%s does not say what its slopes give; run make capacity", file)
	}
	return nil
}

// Update writes what slopes give into the page in file.
func Update(file string, slopes *Slopes) error {
	page, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	part, err := Render(slopes)
	if err != nil {
		return err
	}
	before, rest, found := strings.Cut(string(page), beginMark)
	_, after, ended := strings.Cut(rest, endMark)
	if !found || !ended {
		return fmt.Errorf("%s lacks the lines that mark the part to write", file)
	}
	return os.WriteFile(file, []byte(before+beginMark+"\n"+part+"\n"+endMark+after), 0o644)
}
