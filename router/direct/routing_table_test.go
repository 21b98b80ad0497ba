package direct

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestRouteTakesTheLongestPrefix(t *testing.T) {
	table := NewRoutingTable(3, []Route{
		{Name: "all", Host: "a.example", Prefix: "/"},
		{Name: "deep", Host: "a.example", Prefix: "/x/y/"},
		{Name: "mid", Host: "a.example", Prefix: "/x/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	}, nil, Limits{})
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "deep"},
		{"A.example", "/x/z", "mid"},
		{"a.example:8080", "/z", "all"},
		{"b.example", "/x/", "other"},
		{"b.example", "/z", ""},
		{"c.example", "/", ""},
	} {
		got := ""
		if r, ok := table.Route(c.host, c.path); ok {
			got = r.Name
		}
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%s%s (-want +got)\n%s", c.host, c.path, diff)
		}
	}
}
