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

// rotatedZones returns the zones of n shards of two leaves each, which are in two of
// the three zones in rotation.
func rotatedZones(n int) [][]string {
	var out [][]string
	zones := []string{"a", "b", "c"}
	for i := range n {
		out = append(out, []string{zones[i%3], zones[(i+1)%3]})
	}
	return out
}

// remoteShards returns the shards that have leaves, but none in ownZone.
func remoteShards(shards [][]string, ownZone string) []RemoteShard {
	var out []RemoteShard
	for i, zones := range shards {
		if len(zones) > 0 && !slices.Contains(zones, ownZone) {
			out = append(out, RemoteShard{i, zones})
		}
	}
	return out
}

func anyZone(string) bool     { return true }
func pickFirst(n int) int     { return 0 }
func pickLast(n int) int      { return n - 1 }
func noZone(string) bool      { return false }
func onlyZoneC(z string) bool { return z == "c" }

// TestPlanGroups checks the zone and the shards of each group.
func TestPlanGroups(t *testing.T) {
	for _, tc := range []struct {
		name        string
		shards      [][]string
		ownZone     string
		hasGatherer func(string) bool
		pick        func(int) int
		want        []Group
	}{
		{"a third of the shards is remote", rotatedZones(12), "a", anyZone, pickFirst, []Group{{"b", []int{1, 4, 7, 10}}}},
		{"pick chooses the last of two equals", rotatedZones(12), "a", anyZone, pickLast, []Group{{"c", []int{1, 4, 7, 10}}}},
		{"one of two zones has a gatherer", rotatedZones(12), "a", onlyZoneC, pickFirst, []Group{{"c", []int{1, 4, 7, 10}}}},
		{"no gatherer", rotatedZones(12), "a", noZone, pickFirst, nil},
		{"too few shards for a group", rotatedZones(9), "a", anyZone, pickFirst, nil},
		{"no leaf in the own zone", rotatedZones(6), "d", anyZone, pickFirst, []Group{{"a", []int{0, 2, 3, 5}}}},
		{"shards without leaves", [][]string{nil, nil, nil, nil, nil}, "a", anyZone, pickFirst, nil},
		{"both replicas in one zone", [][]string{{"b", "b"}, {"b", "b"}, {"b", "b"}, {"b", "b"}}, "a", anyZone, pickFirst, []Group{{"b", []int{0, 1, 2, 3}}}},
	} {
		got := PlanGroups(remoteShards(tc.shards, tc.ownZone), tc.hasGatherer, tc.pick)
		same := slices.EqualFunc(got, tc.want, func(a, b Group) bool { return a.Zone == b.Zone && slices.Equal(a.Shards, b.Shards) })
		if !same {
			t.Errorf("%s: %v, want %v", tc.name, got, tc.want)
		}
	}
}

// TestPlanGroupsTakesEachShardOnce checks that no shard is in two groups, that all are
// remote, and that each group's zone has leaves of its shards and a gatherer.
func TestPlanGroupsTakesEachShardOnce(t *testing.T) {
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
		hasGatherer := func(z string) bool { return z != "a" }
		for _, g := range PlanGroups(list, hasGatherer, func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") }) {
			if len(g.Shards) < minGroupSize {
				t.Fatalf("a group of %d shards", len(g.Shards))
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
