package fleet

import "math/bits"

// StoreSearchTurn is this instance's turn when the members of its zone search for one that the store
// serves: 0 for the first, 1 for the last. Each round has twice the members of the round before, so
// that a few reads find one in a usual outage, and every member has had its turn by a time that
// does not depend on the size of the zone.
func (f *Fleet) StoreSearchTurn() float64 {
	rounds := bits.Len(uint(f.ZoneSize() - 1))
	if rounds < 2 {
		return 0
	}
	round := bits.Len(uint(f.zonePosition()))
	return float64(max(round-1, 0)) / float64(rounds-1)
}

// zonePosition is the number of instances of the zone that rank higher than this one.
func (f *Fleet) zonePosition() int {
	position := 0
	for _, m := range f.members {
		if m.instance.Zone == f.self.Zone && m.instance.outranks(f.self) {
			position++
		}
	}
	return position
}
