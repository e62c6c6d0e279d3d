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

// Kind is one kind of query. A run without kinds has one, by Params.Work, whose answers
// have their full value until the deadline.
type Kind struct {
	Name string
	Part float64 // of the arrivals; the parts add up to 1
	Work time.Duration
	// Objective is the time within which an answer has its full value.
	Objective time.Duration
	Priority  int
	// LeastCoverage replaces Params.LeastCoverage.
	LeastCoverage float64
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
	Kinds           []Kind
	// Slow is the share of leaves, spread over the shards, whose work takes SlowFactor
	// times as long.
	Slow, SlowFactor float64
	// Pause stops each leaf for so long, on average every PauseEvery; 0: never.
	Pause, PauseEvery time.Duration
	// DeadlineOnly makes the entries judge by the deadline and not by the objective.
	DeadlineOnly bool
	// LeafQueue is the number of requests that wait inside a leaf before it sheds; 0
	// sets no bound.
	LeafQueue int
	// Rest ends the load of Load at this time; from then on it is RestLoad. 0: never.
	Rest          time.Duration
	RestLoad      float64
	Callers       []Caller
	LeastCoverage float64
	// Shedding is the number of leaves, of each shard's first ones, that
	// decline everything.
	Shedding int
	// LyingLeaves of each shard report no load at all, the others a deep
	// queue; Hints turns the load endpoint on.
	Hints       bool
	LyingLeaves int
	// Return makes refused callers come back when they were asked to.
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

// kinds are the kinds of query; there is at least one.
func (p Params) kinds() []Kind {
	if len(p.Kinds) > 0 {
		return p.Kinds
	}
	return []Kind{{Name: "query", Part: 1, Work: p.Work, LeastCoverage: p.LeastCoverage}}
}

// meanWork is the mean time that an execution holds a slot of a leaf that is not slow.
func (p Params) meanWork() time.Duration {
	mean := 0.0
	for _, k := range p.kinds() {
		straggling := p.Stragglers * p.StragglerFactor * float64(p.median(k))
		mean += k.Part * ((1-p.Stragglers)*float64(k.Work) + straggling)
	}
	return time.Duration(mean)
}

// rate is the arrivals of queries per second.
func (p Params) rate(at time.Duration) float64 {
	load := p.Load
	if p.Rest > 0 && at >= p.Rest {
		load = p.RestLoad
	}
	return load * float64(p.Replicas*p.Slots) / p.meanWork().Seconds()
}
