package gather

import (
	"flag"
	"os"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if os.Getenv("FUCHSIAROAD_LONG") == "" {
		if err := flag.Set("rapid.seed", "1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// turns returns n shards of two leaves each, in two of the three zones by turns.
func turns(n int) [][]string {
	var out [][]string
	zones := []string{"a", "b", "c"}
	for i := range n {
		out = append(out, []string{zones[i%3], zones[(i+1)%3]})
	}
	return out
}

// away lists the shards that have leaves, and none in a zone.
func away(shards [][]string, own string) []RemoteShard {
	var out []RemoteShard
	for i, zones := range shards {
		if len(zones) > 0 && !slices.Contains(zones, own) {
			out = append(out, RemoteShard{i, zones})
		}
	}
	return out
}

func all(string) bool     { return true }
func first(n int) int     { return 0 }
func last(n int) int      { return n - 1 }
func none(string) bool    { return false }
func onlyC(z string) bool { return z == "c" }

// TestPlan checks who gathers what.
func TestPlan(t *testing.T) {
	for _, tc := range []struct {
		name   string
		shards [][]string
		own    string
		able   func(string) bool
		pick   func(int) int
		want   []Group
	}{
		{"a third is elsewhere", turns(12), "a", all, first, []Group{{"b", []int{1, 4, 7, 10}}}},
		{"the other of two equals", turns(12), "a", all, last, []Group{{"c", []int{1, 4, 7, 10}}}},
		{"one zone has nobody to ask", turns(12), "a", onlyC, first, []Group{{"c", []int{1, 4, 7, 10}}}},
		{"nobody to ask", turns(12), "a", none, first, nil},
		{"too few", turns(9), "a", all, first, nil},
		{"no leaf in the own zone", turns(6), "d", all, first, []Group{{"a", []int{0, 2, 3, 5}}}},
		{"shards without leaves", [][]string{nil, nil, nil, nil, nil}, "a", all, first, nil},
		{"replicas of one zone", [][]string{{"b", "b"}, {"b", "b"}, {"b", "b"}, {"b", "b"}}, "a", all, first, []Group{{"b", []int{0, 1, 2, 3}}}},
	} {
		got := PlanGroups(away(tc.shards, tc.own), tc.able, tc.pick)
		same := slices.EqualFunc(got, tc.want, func(a, b Group) bool { return a.Zone == b.Zone && slices.Equal(a.Shards, b.Shards) })
		if !same {
			t.Errorf("%s: %v, want %v", tc.name, got, tc.want)
		}
	}
}

// TestPlanTakesEachShardOnce draws shards, and checks that no shard is in two groups,
// that all are away, and that each group's zone holds its shards.
func TestPlanTakesEachShardOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zone := rapid.SampledFrom([]string{"a", "b", "c", "d"})
		shards := make(map[int][]string)
		var list []RemoteShard
		for i, zones := range rapid.SliceOfN(rapid.SliceOfN(zone, 0, 3), 0, 40).Draw(t, "zones") {
			if rapid.Bool().Draw(t, "away") {
				shards[i] = zones
				list = append(list, RemoteShard{i, zones})
			}
		}
		seen := make(map[int]bool)
		able := func(z string) bool { return z != "a" }
		for _, g := range PlanGroups(list, able, func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") }) {
			if len(g.Shards) < leastParts {
				t.Fatalf("a group of %d", len(g.Shards))
			}
			for _, i := range g.Shards {
				if seen[i] || g.Zone == "a" || !slices.Contains(shards[i], g.Zone) {
					t.Fatalf("shard %d with leaves in %v is in a group of zone %s", i, shards[i], g.Zone)
				}
				seen[i] = true
			}
		}
	})
}
