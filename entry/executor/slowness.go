package executor

import (
	"maps"
	"slices"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/dispatch"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/slowness"
)

// allPools returns the pools of all upstreams.
func (e *Executor) allPools() []*pool {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return slices.Collect(maps.Values(e.pools))
}

// Observations returns the observations of leaves' slowness since the previous call, for
// other instances.
func (e *Executor) Observations() []slowness.Observation {
	var out []slowness.Observation
	for _, p := range e.allPools() {
		p.mu.Lock()
		out = append(out, p.machine.Observations()...)
		p.mu.Unlock()
	}
	return out
}

// ApplySlowLeaves passes the slow leaves that other instances reported to all pools.
func (e *Executor) ApplySlowLeaves(list []slowness.SlowLeaf) {
	for _, p := range e.allPools() {
		p.handle(func() dispatch.Event { return dispatch.SlowLeavesReported{Leaves: list} })
	}
}
