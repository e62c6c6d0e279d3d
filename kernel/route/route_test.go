package route

import (
	"testing"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
)

// TestLongestPrefixWins matches the routes of two hosts.
func TestLongestPrefixWins(t *testing.T) {
	table := NewTable([]document.Route{
		{Name: "root", Host: "A.example", Prefix: "/"},
		{Name: "short", Host: "a.example", Prefix: "/titles/"},
		{Name: "long", Host: "a.example", Prefix: "/titles/old/"},
		{Name: "other", Host: "b.example", Prefix: "/titles/"},
	})
	for _, tc := range []struct{ host, path, want string }{
		{"a.example", "/titles/old/7", "long"},
		{"a.example", "/titles/old/", "long"},
		{"a.example", "/titles/old", "short"},
		{"a.example", "/titles/older/7", "short"},
		{"A.EXAMPLE:80", "/titles/7", "short"},
		{"a.example", "/titlesx", "root"},
		{"b.example", "/titles/7", "other"},
		{"b.example", "/", ""},
		{"c.example", "/titles/7", ""},
		{"a.example", "titles", ""},
	} {
		got := ""
		if r := table.Match(tc.host, tc.path); r != nil {
			got = r.Name
		}
		if got != tc.want {
			t.Errorf("%s%s: route %q, want %q", tc.host, tc.path, got, tc.want)
		}
	}
}

// TestPickTargetFollowsWeights checks the share of each target.
func TestPickTargetFollowsWeights(t *testing.T) {
	r := &document.Route{Targets: []document.RouteTarget{{Service: "a", Weight: 3}, {Service: "none"}, {Service: "b", Weight: 1}}}
	counts := map[string]int{}
	const n = 1000
	for i := range n {
		s, ok := PickTarget(r, float64(i)/n)
		if !ok {
			t.Fatal("no target")
		}
		counts[s]++
	}
	if counts["a"] != 750 || counts["b"] != 250 {
		t.Errorf("picked %v, want 750 of a and 250 of b", counts)
	}
	if _, ok := PickTarget(&document.Route{Targets: []document.RouteTarget{{Service: "a"}}}, 0); ok {
		t.Error("a route without weights gave a target")
	}
}
