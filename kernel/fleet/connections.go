package fleet

// runnersPart is the part of a leaf's connections that is divided among the instances
// which run the queries over many shards of all. The rest is for those that run their
// own while no stronger one takes them.
const runnersPart = 0.6

// Connections is this instance's share of the connections that one leaf takes from all
// instances, at least one. Where a few strong instances run the queries over many
// shards, an even share leaves most connections to instances that open none: over 71
// instances it was one each, and 8 of them sent 22,781 of the 25,189 parts that the
// logs of a calm day had.
func (f *Fleet) Connections(limit, shards int) int {
	even := max(1, limit/f.Size())
	if !f.listed || shards < strongShards {
		return even
	}
	runners, self := f.runners()
	if !self || 2*runners > f.Size() {
		return even
	}
	return max(even, int(runnersPart*float64(limit))/runners)
}

// Shape is what the shares of the fleet's limits depend on.
type Shape struct {
	// Size is the number of instances, and Runners of those that run the queries over
	// many shards; Runs reports whether this one does.
	Size, Runners int
	Runs          bool
}

// Shape returns the fleet's shape as far as it is known.
func (f *Fleet) Shape() Shape {
	n, self := f.runners()
	return Shape{Size: f.Size(), Runners: n, Runs: self}
}

// runners counts the instances that have no far stronger one in their zone, and
// reports whether this one is among them. One that did not say its power is.
func (f *Fleet) runners() (n int, self bool) {
	strongest := map[string]float64{f.self.Zone: f.self.Power}
	for _, m := range f.members {
		strongest[m.instance.Zone] = max(strongest[m.instance.Zone], m.instance.Power)
	}
	runs := func(i Instance) bool { return i.Power <= 0 || strongest[i.Zone] < strongEnough*i.Power }
	for _, m := range f.members {
		if runs(m.instance) {
			n++
		}
	}
	if self = runs(f.self); self {
		n++
	}
	return n, self
}
