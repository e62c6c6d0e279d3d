package executor

import (
	"hash/maphash"
	"sync"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/dispatch"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/plugin"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/view"
)

// Policies holds the registered names of the policies to use.
type Policies struct {
	Dispatch   dispatch.Policies
	Repetition string
}

// Check returns an error if a name is not registered.
func (p Policies) Check() error {
	if _, err := plugin.Routings.Get(p.Dispatch.Routing); err != nil {
		return err
	}
	if _, err := plugin.Orders.Get(p.Dispatch.Order); err != nil {
		return err
	}
	if _, err := plugin.Limits.Get(p.Dispatch.Limit); err != nil {
		return err
	}
	_, err := plugin.Repetitions.Get(p.Repetition)
	return err
}

// dispatchConfig returns the configuration of one upstream's dispatch machine. The
// seed differs from upstream to upstream.
func (p Policies) dispatchConfig(c Config, v *view.View, upstream int) dispatch.Config {
	return dispatch.Config{
		Upstream: upstream, View: v, Zone: c.Zone, Policies: p.Dispatch, MaxQueued: c.MaxQueue,
		Seed: c.Seed ^ maphash.String(hashSeed, v.Upstreams[upstream].Name),
	}
}

// hashSeed makes the seeds of one process differ from those of another.
var hashSeed = maphash.MakeSeed()

// repetition is a service's repetition policy, guarded by a lock. It outlives single
// queries, since the budgets for hedges and retries are earned over many of them.
type repetition struct {
	mu     sync.Mutex
	policy plugin.Repetition
	config plugin.RepetitionConfig
}

// newRepetition returns the policy of the given name.
func newRepetition(name string, config plugin.RepetitionConfig) *repetition {
	newPolicy, err := plugin.Repetitions.Get(name)
	if err != nil {
		panic(err) // Policies.Check ran before: the registry is fixed
	}
	return &repetition{policy: newPolicy(config), config: config}
}

// TakeHedge implements query.Budget.
func (r *repetition) TakeHedge(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.policy.TakeHedge(now)
}

// TakeRetry implements query.Budget.
func (r *repetition) TakeRetry(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.policy.TakeRetry(now)
}

// deposit credits the budgets with the first attempts of a query, one for each of n shards.
func (r *repetition) deposit(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for range n {
		r.policy.Deposit()
	}
}

// recordShed records that an attempt was refused because of overload.
func (r *repetition) recordShed(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.policy.RecordShed(now)
}

// hedgeDelay returns a function that returns the hedge delay of an upstream, by its index
// in the query's view; 0 means no hedge.
func (r *repetition) hedgeDelay(q *run) func(int) time.Duration {
	return func(upstream int) time.Duration {
		p := q.pool(upstream)
		r.mu.Lock()
		defer r.mu.Unlock()
		d, ok := r.policy.HedgeAfter(p)
		if !ok {
			return 0
		}
		return d
	}
}
