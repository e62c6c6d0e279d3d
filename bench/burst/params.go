// Package burst is a focused event-queue fake of leaf slots that drives the
// real dispatch, admission and repetition decisions in virtual time. It models
// slots, queues inside leaves, delays, stragglers and shedding, and no other
// fault: it is a load model and not a cluster.
package burst

import (
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/dispatch"
)

// Work is the distribution of the time that a sub-request holds a slot.
type Work int

// The distributions of work, before stragglers.
const (
	Exponential Work = iota // mean Params.Work
	Fixed                   // always Params.Work
)

// Caller is one source of queries.
type Caller struct {
	Name  string
	Share int     // document.Caller.Share
	Part  float64 // of the arrivals; the parts add up to 1
}

// Params describes one run.
type Params struct {
	Name     string
	Entries  int
	Shards   int // each query asks all of them
	Replicas int
	Slots    int
	// Connections is a leaf's connection limit over all entries.
	Connections int
	// Load is offered work over capacity, from the first moment on.
	Load     float64
	Duration time.Duration // of arrivals
	Warm     time.Duration // not measured
	// Burst ends the arrivals early, 0 lets them last; who comes back still does.
	Burst    time.Duration
	Deadline time.Duration
	Work     time.Duration
	Dist     Work
	// Stragglers is the share of executions that take StragglerFactor times
	// the median of the others.
	Stragglers      float64
	StragglerFactor float64
	Delay           time.Duration // between entry and leaf, each way
	Callers         []Caller
	LeastCoverage   float64
	// Shedding is the number of leaves, of each shard's first ones, that
	// decline everything.
	Shedding int
	// LyingLeaves of each shard report no load at all, the others a deep
	// queue; Hints turns the load endpoint on.
	Hints       bool
	LyingLeaves int
	// Return makes refused callers come back when they were told to.
	Return bool
	Seed   uint64

	Policies   dispatch.Policies
	Admission  bool
	Repetition string
	// HedgeBudget, HedgeQuantile and RetryBudget are a service's settings.
	HedgeBudget   float64
	HedgeQuantile float64
	RetryBudget   float64
	// OneQueue puts all callers into one queue.
	OneQueue bool
	// NoCancel lets running work run on after its query has ended.
	NoCancel bool
	// MostAttempts bounds the attempts of one part.
	MostAttempts int
}

// Default is a burst on one size of today with the production policies: 8
// entries, 2 leaves of 2 slots and 25 connections a shard.
func Default(shards int, load float64) Params {
	return Params{
		Entries: 8, Shards: shards, Replicas: 2, Slots: 2, Connections: 25,
		Load: load, Duration: 10 * time.Second, Warm: time.Second,
		Deadline: 200 * time.Millisecond, Work: 10 * time.Millisecond,
		Stragglers: 0.05, StragglerFactor: 10, Delay: 500 * time.Microsecond,
		Callers: []Caller{{Name: "a", Share: 1, Part: 1}}, LeastCoverage: 0.9,
		Seed: 1, Policies: dispatch.DefaultPolicies(), Admission: true,
		Repetition: "budgeted", HedgeBudget: 0.05, HedgeQuantile: 0.95, RetryBudget: 0.1,
		MostAttempts: 3,
	}
}

// Baseline turns the parameters to the baseline policies. It does not cancel
// and keeps all callers in one queue.
func (p Params) Baseline() Params {
	p.Name += " baseline"
	p.Policies, p.Admission, p.Repetition = dispatch.BaselinePolicies(), false, "blind-retry"
	p.NoCancel, p.OneQueue = true, true
	return p
}

// meanWork is the mean time that an execution holds a slot.
func (p Params) meanWork() time.Duration {
	straggling := p.Stragglers * p.StragglerFactor * float64(p.median())
	return time.Duration((1-p.Stragglers)*float64(p.Work) + straggling)
}

// rate is the arrivals of queries per second.
func (p Params) rate() float64 {
	return p.Load * float64(p.Replicas*p.Slots) / p.meanWork().Seconds()
}
