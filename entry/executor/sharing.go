package executor

import (
	"maps"
	"slices"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/dispatch"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/slowness"
)

// allPools lists the pools.
func (e *Executor) allPools() []*pool {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return slices.Collect(maps.Values(e.pools))
}

// Sightings returns what was seen of leaves since the last call that other
// instances should know of.
func (e *Executor) Sightings() []slowness.Sighting {
	var out []slowness.Sighting
	for _, p := range e.allPools() {
		p.mu.Lock()
		out = append(out, p.machine.Sightings()...)
		p.mu.Unlock()
	}
	return out
}

// TellSlow passes on what other instances saw.
func (e *Executor) TellSlow(list []slowness.Slow) {
	for _, p := range e.allPools() {
		p.mu.Lock()
		p.handleAndUnlock(dispatch.SlowTold{Leaves: list})
	}
}
