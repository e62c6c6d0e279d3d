// Package gather decides which parts of a query over many shards another instance is
// to gather. Bytes between availability zones are dear: a shard that would be asked
// of a leaf in another zone, since none in the own one is there or fast enough, is
// asked by an instance of that zone, which merges all that it gathered into one reply.
package gather

// leastParts is the number of parts from which a group pays. A group's messages are
// about 2.5 KB with its merged reply, a part and its request 0.6 to 1.5 KB.
const leastParts = 4

// Group is the work of one zone.
type Group struct {
	Zone   string
	Shards []int // indexes as given to Plan
}

// Plan groups the shards that would be asked of leaves in other zones, which are away.
// The zones of each shard's leaves are given by shard, and able says whether a zone has
// an instance to ask; the own zone has none. The zone that holds the most of what is
// left takes all of that; pick chooses one of so many equals. What no group takes is
// asked directly.
func Plan(shards [][]string, away []int, able func(zone string) bool, pick func(n int) int) []Group {
	left := away
	var out []Group
	for len(left) >= leastParts {
		zone, held := fullest(shards, left, able, pick)
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
func fullest(shards [][]string, among []int, able func(string) bool, pick func(int) int) (zone string, held []int) {
	byZone := make(map[string][]int)
	var zones []string // in the order of their first shard, so that the choice is pick's alone
	for _, i := range among {
		for _, z := range shards[i] {
			if byZone[z] == nil {
				zones = append(zones, z)
			}
			if n := len(byZone[z]); n == 0 || byZone[z][n-1] != i {
				byZone[z] = append(byZone[z], i)
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

// without is a sorted list less another one.
func without(list, gone []int) []int {
	var out []int
	for _, i := range list {
		if len(gone) > 0 && gone[0] == i {
			gone = gone[1:]
			continue
		}
		out = append(out, i)
	}
	return out
}
