package fleet

const (
	// coordinatorsShare is the part of a limit that is divided among the coordinators: the
	// instances that run the queries over many shards for the whole fleet. othersShare is
	// divided among all others, which run their own queries while no stronger instance
	// accepts them.
	coordinatorsShare = 0.6
	othersShare       = 0.3
	// The remaining tenth covers the time in which instances hold different lists: one
	// that is gone still counts by the old list while another has its share by the new one.
)

// ConnectionShare is this instance's share of a leaf's connection limit, which all instances
// divide; at least 1. Where a few strong instances run the queries over many shards, an
// even share would leave most connections to instances that open none.
func (f *Fleet) ConnectionShare(limit, shards int) int {
	even := max(1, limit/f.Size())
	if coordinators, includesSelf := f.concentratedCoordinators(shards); includesSelf {
		return max(even, int(coordinatorsShare*float64(limit))/coordinators)
	}
	return even
}

// UsesTransientConnections reports whether this instance's share of a leaf's connection limit
// is less than one connection, because the fleet is larger than the limit. Such an instance
// closes a connection after each exchange: if it kept one open, the leaf would refuse those
// of other instances.
func (f *Fleet) UsesTransientConnections(limit, shards int) bool {
	coordinators, includesSelf := f.concentratedCoordinators(shards)
	switch {
	case coordinators == 0:
		return limit < f.Size()
	case includesSelf:
		return int(coordinatorsShare*float64(limit)) < coordinators
	default:
		return int(othersShare*float64(limit)) < f.Size()-coordinators
	}
}

// listedAllowanceShare is this instance's share, in (0, 1] and by the last list, of the
// repeats that the fleet may send to an upstream of that many shards beyond those earned by
// requests. The instances that run the queries send the repeats, so an even share would
// leave most of the allowance unused.
func (f *Fleet) listedAllowanceShare(shards int) float64 {
	coordinators, includesSelf := f.concentratedCoordinators(shards)
	switch {
	case coordinators == 0:
		return 1 / float64(f.Size())
	case includesSelf:
		return coordinatorsShare / float64(coordinators)
	default:
		return othersShare / float64(f.Size()-coordinators)
	}
}

// concentratedCoordinators returns how many instances run the fleet's queries over that many
// shards, and whether this one is among them. It returns 0 and false where each instance
// runs its own queries.
func (f *Fleet) concentratedCoordinators(shards int) (coordinators int, includesSelf bool) {
	if !f.hasList || !ShouldForward(shards) {
		return 0, false
	}
	if 2*f.composition.Coordinators > f.Size() {
		return 0, false
	}
	return f.composition.Coordinators, f.composition.IsCoordinator
}

// Composition is what this instance's shares of the fleet-wide limits are computed from.
type Composition struct {
	// Size is the number of instances. Coordinators is the number of those that run
	// queries over many shards, and IsCoordinator reports whether this instance does.
	Size, Coordinators int
	IsCoordinator      bool
}

// Composition returns the composition of the fleet by the last list.
func (f *Fleet) Composition() Composition { return f.composition }

// updateComposition computes the composition once per list, as every request reads it.
func (f *Fleet) updateComposition() {
	n, includesSelf := f.countCoordinators()
	f.composition = Composition{Size: f.Size(), Coordinators: n, IsCoordinator: includesSelf}
}

// countCoordinators counts the instances without a far stronger one in their zone and
// reports whether this one is among them. An instance that did not announce its CPUs counts.
func (f *Fleet) countCoordinators() (n int, includesSelf bool) {
	strongest := map[string]float64{f.self.Zone: f.self.CPUs}
	for _, m := range f.members {
		strongest[m.instance.Zone] = max(strongest[m.instance.Zone], m.instance.CPUs)
	}
	isCoordinator := func(i Instance) bool { return i.CPUs <= 0 || strongest[i.Zone] < minCPURatio*i.CPUs }
	for _, m := range f.members {
		if isCoordinator(m.instance) {
			n++
		}
	}
	if includesSelf = isCoordinator(f.self); includesSelf {
		n++
	}
	return n, includesSelf
}
