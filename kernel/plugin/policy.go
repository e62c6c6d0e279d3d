package plugin

import (
	"math/rand/v2"
	"time"
)

// The registries. Each value constructs one independent policy instance.
var (
	Routings    = NewRegistry[func(RoutingConfig) Routing]("routing")
	Orders      = NewRegistry[func() Order]("order")
	Limits      = NewRegistry[func() Limit]("limit")
	Repetitions = NewRegistry[func(RepetitionConfig) Repetition]("repetition")
	Placements  = NewRegistry[func(PlacementConfig) Placement]("placement")
	Combiners   = NewRegistry[func() Combiner]("combiner")
)

// AttemptResult is the end of one dispatched attempt as policies see it.
type AttemptResult struct {
	// At most one of these is true; none is for an attempt that was cancelled
	// or declined for another reason.
	OK       bool // a whole reply came
	Shed     bool // the leaf declined it as overloaded
	Failed   bool // no connection or a broken exchange
	TimedOut bool // the deadline passed while it ran
	// Cancelled says that it was withdrawn while it ran, for instance because
	// another copy answered first.
	Cancelled bool
	// Latency is the time from dispatch to the end.
	Latency time.Duration
	// Service is the time it held a slot of the leaf, 0 when the leaf did not say.
	Service time.Duration
	// Saturated says that the leaf's limit was reached when this attempt was
	// dispatched, so that the limit and not the demand set the concurrency.
	Saturated bool
	// Backlog says that further work waits at this entry for the leaf's shard.
	Backlog bool
}

// Candidate is a leaf that may take an attempt now.
type Candidate struct {
	// Key is a small integer that names the leaf for the machine's life.
	Key      int
	InFlight int // attempts of this entry on the leaf
	Limit    int // present limit of InFlight
	Local    bool
	// OldestAge is for how long the oldest of them has been out, 0 without any.
	OldestAge time.Duration
}

// RoutingConfig is given to a routing policy's constructor.
type RoutingConfig struct {
	Rand *rand.Rand
}

// Routing chooses among the leaves of a shard. One instance serves one
// upstream at one entry.
type Routing interface {
	// Usable reports whether the leaf may get ordinary work; peers is the
	// number of leaves in its shard. An ejected leaf is not usable but for probes.
	Usable(key int, now time.Time) bool
	// Pick returns the index of the chosen candidate and a short reason.
	// There is at least one candidate.
	Pick(candidates []Candidate, now time.Time) (int, string)
	// RecordResult reports an attempt's end.
	RecordResult(key int, s AttemptResult, now time.Time)
	// RecordLoadHint passes on what the load endpoint said; it may lie or lag.
	RecordLoadHint(key, inFlight, queued int, now time.Time)
}

// Observation is an outcome at a leaf that other instances should know of.
type Observation struct {
	Key int // Candidate.Key
	// Elapsed is how long the attempt took, or was out before it was given up.
	Elapsed time.Duration
	// Slow says that this was far more than usual; else it shows that a leaf
	// which was reported to be slow is not.
	Slow bool
	At   time.Time
}

// ObservationSharer is a Routing that shares what it sees with other instances, and heeds them.
type ObservationSharer interface {
	// Observations returns what was seen since the last call.
	Observations() []Observation
	// PeerReported takes another instance's report that a leaf took so long, at the given time.
	PeerReported(key int, took time.Duration, at time.Time)
}

// NearBestLister is a Routing that tells which candidates are about as good as the best.
type NearBestLister interface {
	// NearBest returns their indexes, the best one first.
	NearBest(candidates []Candidate, now time.Time) []int
}

// Order decides which end of a queue is served.
type Order interface {
	// ObserveOldestWait reports, at a moment of service, which share of its time the
	// oldest attempt has waited, in [0, 1].
	ObserveOldestWait(oldest float64, now time.Time)
	// NewestFirst says that the newest query goes first.
	NewestFirst() bool
}

// Limit decides how many attempts of this entry may be on one leaf at once.
type Limit interface {
	// Limit is the present limit, in [1, share] for a share of at least 1.
	Limit() int
	// SetShare gives the entry's connection share of the leaf.
	SetShare(share int)
	// RecordResult reports an attempt's end.
	RecordResult(s AttemptResult, now time.Time)
}

// RepetitionConfig is given to a repetition policy's constructor; see
// document.Service for the fields.
type RepetitionConfig struct {
	HedgeBudget   float64
	HedgeQuantile float64
	RetryBudget   float64
	Objective     time.Duration
}

// Repetition decides when a sub-request is sent again. One instance serves one
// service at one entry.
type Repetition interface {
	// Deposit credits one first sub-request.
	Deposit()
	// HedgeAfter is how long to wait before a hedge; false means no hedge.
	HedgeAfter(q Quantiler) (time.Duration, bool)
	// TakeHedge and TakeRetry spend from the budgets; false means not now.
	TakeHedge(now time.Time) bool
	TakeRetry(now time.Time) bool
	// RecordShed reports that a leaf or a queue refused work for overload.
	RecordShed(now time.Time)
}

// Quantiler gives quantiles of an upstream's recent latency.
type Quantiler interface {
	// Quantile returns 0 while too little has been seen.
	Quantile(q float64) time.Duration
}

// PlacementConfig is given to a placement policy's constructor.
type PlacementConfig struct {
	// Headroom is the number of live entries that any entry's list may miss
	// without the limit of a leaf being exceeded.
	Headroom int
}

// Placement divides the leaves' connections among entries.
type Placement interface {
	// Share is the number of connections that entry self may hold to the leaf.
	// entries is the live list that self sees, itself included.
	Share(leafID string, limit int, self string, entries []string) int
	// Via returns the entry through which self reaches the leaf; self means directly.
	Via(leafID, self string, entries []string) string
}

// Combiner merges the replies of a query's parts into one body.
type Combiner interface {
	// Combine returns at most most records of the bodies, in the combiner's
	// order. The bodies stay as they are.
	Combine(bodies [][]byte, most int) []byte
}
