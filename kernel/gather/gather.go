// Package gather plans which shards of a query are gathered by instances in other
// availability zones. Traffic between zones is expensive. A shard whose sub-request
// would go to a leaf in another zone, because no leaf in the own zone is available or
// fast enough, is delegated to an instance of that zone. That instance merges all
// replies that it gathers into one.
package gather

// minGroupSize is the number of shards from which delegating a group saves bytes between
// zones, whatever the size of their replies: four sub-requests with their replies are
// 1.5 to 5.1 KB, and the messages of a group of four 0.8 to 1.7 KB
// (TestGroupMessagesAreSmallerFromFourParts).
const minGroupSize = 4

// Group is the shards that an instance of one zone is to gather.
type Group struct {
	Zone   string
	Shards []int // indexes
}

// RemoteShard is a shard whose sub-request would go to a leaf in another zone.
type RemoteShard struct {
	Index int
	// Zones are the zones of its leaves that are about equally good choices.
	Zones []string
}

// PlanGroups groups shards by zone. It repeatedly takes the zone that has the most of
// the remaining shards and puts all of those into its group, while groups have at least
// minGroupSize shards. The remaining shards are in no group and are queried directly.
// hasGatherer reports whether a zone has an instance that can gather; pick returns an
// index in [0, n), to choose among n zones with equally many shards.
func PlanGroups(shards []RemoteShard, hasGatherer func(zone string) bool, pick func(n int) int) []Group {
	remaining := shards
	var groups []Group
	for len(remaining) >= minGroupSize {
		zone, zoneShards := largestGroup(remaining, hasGatherer, pick)
		if len(zoneShards) < minGroupSize {
			break
		}
		groups = append(groups, Group{Zone: zone, Shards: zoneShards})
		remaining = removeShards(remaining, zoneShards)
	}
	return groups
}

// largestGroup returns the zone that has the most of the shards and the indexes of
// these, among the zones with a gatherer. The zone is empty when there is none.
func largestGroup(shards []RemoteShard, hasGatherer func(string) bool, pick func(int) int) (zone string, zoneShards []int) {
	byZone := make(map[string][]int)
	var zones []string // ordered by first shard, so that only pick decides between equals
	for _, s := range shards {
		for _, z := range s.Zones {
			if byZone[z] == nil {
				zones = append(zones, z)
			}
			if n := len(byZone[z]); n == 0 || byZone[z][n-1] != s.Index {
				byZone[z] = append(byZone[z], s.Index)
			}
		}
	}
	largest := 0
	var best []string
	for _, z := range zones {
		n := len(byZone[z])
		if n < largest || !hasGatherer(z) {
			continue
		}
		if n > largest {
			largest, best = n, nil
		}
		best = append(best, z)
	}
	if len(best) == 0 {
		return "", nil
	}
	zone = best[pick(len(best))]
	return zone, byZone[zone]
}

// removeShards returns the shards except those with the removed indexes, which are in
// the same order as the shards.
func removeShards(shards []RemoteShard, removed []int) []RemoteShard {
	var out []RemoteShard
	for _, s := range shards {
		if len(removed) > 0 && removed[0] == s.Index {
			removed = removed[1:]
			continue
		}
		out = append(out, s)
	}
	return out
}
