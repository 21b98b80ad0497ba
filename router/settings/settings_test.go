package settings

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const valid = `instance: entry-1
region: east
failure-domain: east-a
listen: 127.0.0.1:8101
admin: 127.0.0.1:8401
control: 127.0.0.1:8201
forward: 127.0.0.1:8301
platform: http://127.0.0.1:8000
`

func TestParseNamesLineFieldAndMend(t *testing.T) {
	tests := []struct{ name, old, new, want string }{
		{"valid", "", "", ""},
		{"unknown field", "region:", "regoin:", `line 2: unknown field "regoin"; remove the field or correct its name`},
		{"missing field", "region: east\n", "", `region: is missing; add a line "region: NAME"`},
		{"host name", "127.0.0.1:8101", "localhost:8101", `line 4: listen: "localhost:8101" is no address: host is not an IP number; write an IP number and a port such as 127.0.0.1:8101`},
		{"no URL", "http://127.0.0.1:8000", "127.0.0.1", `line 8: platform: "127.0.0.1" is no URL; write for example http://127.0.0.1:8000`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Parse([]byte(strings.Replace(valid, tt.old, tt.new, 1)))
			got := ""
			if err != nil {
				got = err.Error()
			}
			if d := cmp.Diff(tt.want, got); d != "" {
				t.Errorf("(-want +got)\n%s", d)
			}
		})
	}
}

func TestFlagOverridesFile(t *testing.T) {
	s, err := Parse([]byte(valid), With("listen", "127.0.0.1:9999"), With("log-format", "json"))
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff([]string{"127.0.0.1:9999", "json", "east"}, []string{s.Listen, s.LogFormat, s.Region}); d != "" {
		t.Errorf("(-want +got)\n%s", d)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse(data)
		if err == nil && s.Instance == "" {
			t.Error("accepted without an instance")
		}
	})
}
