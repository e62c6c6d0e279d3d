package fleet

import "math/bits"

// StoreSearchTurn is this instance's turn, from 0 (first) to 1 (last), to read the store while
// the zone searches for an instance that the store answers. From the second round on, each
// round has twice the instances of the one before. A few reads thus find a working instance
// in a usual outage, and the time until every instance has had its turn does not depend on
// the size of the zone.
func (f *Fleet) StoreSearchTurn() float64 {
	rounds := bits.Len(uint(f.ZoneSize() - 1))
	if rounds < 2 {
		return 0
	}
	round := bits.Len(uint(f.countHigherRanked()))
	return float64(max(round-1, 0)) / float64(rounds-1)
}

// countHigherRanked counts the instances of the zone that outrank this one.
func (f *Fleet) countHigherRanked() int {
	higher := 0
	for _, m := range f.members {
		if m.instance.Zone == f.self.Zone && m.instance.outranks(f.self) {
			higher++
		}
	}
	return higher
}
