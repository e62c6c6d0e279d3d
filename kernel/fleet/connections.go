package fleet

const (
	// runnersPart is the part of a limit that is divided among the instances which run
	// the queries over many shards of all, and othersPart what the others share: they
	// run their own while no stronger one takes them.
	runnersPart = 0.6
	othersPart  = 0.3
	// The tenth that is left covers instances whose lists differ for a while: one that
	// is gone counts until the next list, by which time another has its part.
)

// ConnectionShare is this instance's share of the connections that one leaf takes from all
// instances, at least one. Where a few strong instances run the queries over many
// shards, an even share leaves most connections to instances that open none.
func (f *Fleet) ConnectionShare(limit, shards int) int {
	even := max(1, limit/f.Size())
	if runners, self := f.concentrated(shards); self {
		return max(even, int(runnersPart*float64(limit))/runners)
	}
	return even
}

// UsesTransientConnections reports whether this instance's share of the connections that one leaf takes
// from all instances is less than one: a fleet may be larger than the limit. One that keeps
// a connection all the same would have the leaf refuse those of others.
func (f *Fleet) UsesTransientConnections(limit, shards int) bool {
	runners, self := f.concentrated(shards)
	switch {
	case runners == 0:
		return limit < f.Size()
	case self:
		return int(runnersPart*float64(limit)) < runners
	default:
		return int(othersPart*float64(limit)) < f.Size()-runners
	}
}

// slackOf is this instance's part, in (0, 1], of the repeats of an upstream of so many
// shards that the fleet may make without any request, by the last list. Repeats are
// made where the queries are run: an even part would leave most of them unused.
func (f *Fleet) slackOf(shards int) float64 {
	runners, self := f.concentrated(shards)
	switch {
	case runners == 0:
		return 1 / float64(f.Size())
	case self:
		return runnersPart / float64(runners)
	default:
		return othersPart / float64(f.Size()-runners)
	}
}

// concentrated tells how many instances run the queries over so many shards of all,
// and whether this one is among them; none where each runs its own.
func (f *Fleet) concentrated(shards int) (runners int, self bool) {
	if !f.listed || !ShouldForward(shards) {
		return 0, false
	}
	if 2*f.shape.Coordinators > f.Size() {
		return 0, false
	}
	return f.shape.Coordinators, f.shape.IsCoordinator
}

// Composition is what the shares of the fleet's limits depend on.
type Composition struct {
	// Size is the number of instances, and Coordinators of those that run the queries over
	// many shards; Runs reports whether this one does.
	Size, Coordinators int
	IsCoordinator      bool
}

// Composition returns the fleet's shape as far as it is known.
func (f *Fleet) Composition() Composition { return f.shape }

// reshape computes the shape, which is asked for with each request.
func (f *Fleet) reshape() {
	n, self := f.runners()
	f.shape = Composition{Size: f.Size(), Coordinators: n, IsCoordinator: self}
}

// runners counts the instances that have no far stronger one in their zone, and
// reports whether this one is among them. One that did not say its power is.
func (f *Fleet) runners() (n int, self bool) {
	strongest := map[string]float64{f.self.Zone: f.self.CPUs}
	for _, m := range f.members {
		strongest[m.instance.Zone] = max(strongest[m.instance.Zone], m.instance.CPUs)
	}
	runs := func(i Instance) bool { return i.CPUs <= 0 || strongest[i.Zone] < strongEnough*i.CPUs }
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
