// Package gather decides which parts of a query over many shards another instance is
// to gather. Bytes between availability zones are dear: a shard that would be asked
// of a leaf in another zone, since none in the own one is there or fast enough, is
// asked by an instance of that zone, which merges all that it gathered into one reply.
package gather

// leastParts is the number of parts from which a group pays whatever their size: four
// parts with their requests are 1.5 to 5.1 KB, and the messages of a group of four 0.8 to
// 1.7 KB (TestGroupPaysFromFourParts).
const leastParts = 4

// Group is the work of one zone.
type Group struct {
	Zone   string
	Shards []int // indexes
}

// RemoteShard is a shard that would be asked of a leaf in another zone.
type RemoteShard struct {
	Index int
	// Zones are those of its leaves that would be about as good.
	Zones []string
}

// PlanGroups groups shards by zone; able says whether a zone has an instance to ask. The zone
// that holds the most of what is left takes all of that; pick chooses one of so many
// equals. What no group takes is asked directly.
func PlanGroups(shards []RemoteShard, able func(zone string) bool, pick func(n int) int) []Group {
	left := shards
	var out []Group
	for len(left) >= leastParts {
		zone, held := fullest(left, able, pick)
		if len(held) < leastParts {
			break
		}
		out = append(out, Group{Zone: zone, Shards: held})
		left = without(left, held)
	}
	return out
}

// fullest is the zone with an instance to ask that holds the most of the shards, and
// which it holds.
func fullest(shards []RemoteShard, able func(string) bool, pick func(int) int) (zone string, held []int) {
	byZone := make(map[string][]int)
	var zones []string // in the order of their first shard, so that the choice is pick's alone
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
	most := 0
	var best []string
	for _, z := range zones {
		n := len(byZone[z])
		if n < most || !able(z) {
			continue
		}
		if n > most {
			most, best = n, nil
		}
		best = append(best, z)
	}
	if len(best) == 0 {
		return "", nil
	}
	zone = best[pick(len(best))]
	return zone, byZone[zone]
}

// without lists the shards less some, whose indexes are given in the same order.
func without(shards []RemoteShard, gone []int) []RemoteShard {
	var out []RemoteShard
	for _, s := range shards {
		if len(gone) > 0 && gone[0] == s.Index {
			gone = gone[1:]
			continue
		}
		out = append(out, s)
	}
	return out
}
