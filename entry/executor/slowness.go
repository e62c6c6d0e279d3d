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

// Observations returns what was seen of leaves since the last call that other
// instances should know of.
func (e *Executor) Observations() []slowness.Observation {
	var out []slowness.Observation
	for _, p := range e.allPools() {
		p.mu.Lock()
		out = append(out, p.machine.Observations()...)
		p.mu.Unlock()
	}
	return out
}

// ApplySlowLeaves passes on what other instances saw.
func (e *Executor) ApplySlowLeaves(list []slowness.SlowLeaf) {
	for _, p := range e.allPools() {
		p.handle(func() dispatch.Event { return dispatch.SlowLeavesReported{Leaves: list} })
	}
}
