package capacity

import (
	"fmt"
	"os"

	"github.com/goccy/go-yaml"

	"bronzewind.example/core/document"
)

type (
	// Point is one measurement at one size.
	Point struct {
		Size  float64 `yaml:"size"`
		Value float64 `yaml:"value"`
	}

	// Slope is a cost that grows with a size: value = fixed + per * size.
	Slope struct {
		Name   string  `yaml:"name"`
		Of     string  `yaml:"of"`     // what is measured, with its unit
		Over   string  `yaml:"over"`   // what the size counts
		Points []Point `yaml:"points"` // at least three
		Per    float64 `yaml:"per"`
		Fixed  float64 `yaml:"fixed"`
	}

	// Slopes are all measured slopes with the machine that gave them.
	Slopes struct {
		Machine string  `yaml:"machine"`
		Slopes  []Slope `yaml:"slopes"`
	}
)

// NewSlope fits a line to points by least squares.
func NewSlope(name, of, over string, points []Point) Slope {
	s := Slope{Name: name, Of: of, Over: over, Points: points}
	s.fit()
	return s
}

func (s *Slope) fit() {
	n := float64(len(s.Points))
	var sx, sy, sxx, sxy float64
	for _, p := range s.Points {
		sx += p.Size
		sy += p.Value
		sxx += p.Size * p.Size
		sxy += p.Size * p.Value
	}
	s.Per = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	s.Fixed = (sy - s.Per*sx) / n
}

// At returns the cost at size; it is never below 0.
func (s Slope) At(size float64) float64 { return max(s.Fixed+s.Per*size, 0) }

// Read reads slopes from a file and checks that each line fits its points.
func Read(file string) (*Slopes, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	var out Slopes
	if err := document.Decode(data, &out); err != nil {
		return nil, document.InFile(file, err)
	}
	for _, s := range out.Slopes {
		again := NewSlope(s.Name, s.Of, s.Over, s.Points)
		if len(s.Points) < 3 || !near(again.Per, s.Per) || !near(again.Fixed, s.Fixed) {
			return nil, fmt.Errorf("%s: slope %q does not fit its points", file, s.Name)
		}
	}
	return &out, nil
}

// Write writes slopes into a file.
func (s *Slopes) Write(file string) error {
	data, err := yaml.Marshal(s)
	if err != nil {
		return err
	}
	return os.WriteFile(file, data, 0o644)
}

// Get returns the slope called name.
func (s *Slopes) Get(name string) (Slope, error) {
	for _, one := range s.Slopes {
		if one.Name == name {
			return one, nil
		}
	}
	return Slope{}, fmt.Errorf("no slope %q was measured", name)
}

func near(a, b float64) bool {
	d := a - b
	return d*d <= 1e-12*(a*a+b*b)+1e-18
}
