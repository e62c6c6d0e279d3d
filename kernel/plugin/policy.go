package plugin

import (
	"math/rand/v2"
	"time"
)

// The registries, one for each kind of policy. A registered constructor returns a new,
// independent policy object.
var (
	Routings    = NewRegistry[func(RoutingConfig) Routing]("routing")
	Orders      = NewRegistry[func() Order]("order")
	Limits      = NewRegistry[func() Limit]("limit")
	Repetitions = NewRegistry[func(RepetitionConfig) Repetition]("repetition")
	Placements  = NewRegistry[func(PlacementConfig) Placement]("placement")
	Combiners   = NewRegistry[func() Combiner]("combiner")
)

// AttemptResult is how one dispatched attempt ended.
type AttemptResult struct {
	// At most one of these four is true. None is true for an attempt that was cancelled
	// or that the leaf declined for a reason other than overload.
	OK       bool // a whole reply arrived
	Shed     bool // the leaf declined it as overloaded
	Failed   bool // the connection failed or the exchange broke off
	TimedOut bool // the deadline passed while it ran
	// Cancelled reports that the attempt was withdrawn while it ran, for instance because
	// another attempt of the same sub-request was answered first.
	Cancelled bool
	// Latency is the time from dispatch to the end.
	Latency time.Duration
	// Service is how long the attempt held a slot of the leaf; 0 if the leaf did not say.
	Service time.Duration
	// Saturated reports that the leaf's limit was reached when the attempt was dispatched,
	// so that the limit and not the demand determined the concurrency.
	Saturated bool
	// Backlog reports that more work waits at this entry for the leaf's shard.
	Backlog bool
}

// Candidate is a leaf that may take an attempt now.
type Candidate struct {
	// Key is a small integer that identifies the leaf for the life of the dispatch machine.
	Key      int
	InFlight int  // this entry's attempts that run on the leaf
	Limit    int  // present limit of InFlight
	Local    bool // in the entry's own zone
	// OldestAge is the time since the oldest attempt in flight was dispatched; 0 if there
	// is none.
	OldestAge time.Duration
}

// RoutingConfig is given to a routing policy's constructor.
type RoutingConfig struct {
	Rand *rand.Rand
}

// Routing chooses among the leaves of a shard. One Routing serves one upstream at one entry.
type Routing interface {
	// Usable reports whether the leaf may take an attempt. An ejected leaf is usable only
	// when a probe of it is due.
	Usable(key int, now time.Time) bool
	// Pick returns the index of the chosen candidate and a short reason for the log.
	// There is at least one candidate.
	Pick(candidates []Candidate, now time.Time) (int, string)
	// RecordResult reports how an attempt at the leaf ended.
	RecordResult(key int, result AttemptResult, now time.Time)
	// RecordLoadHint passes on what the leaf's load endpoint reported. The report may be
	// wrong or late.
	RecordLoadHint(key, inFlight, queued int, now time.Time)
}

// Observation is an outcome at a leaf that is worth sharing with other instances.
type Observation struct {
	Key int // Candidate.Key
	// Elapsed is how long the attempt took, or ran until it was given up.
	Elapsed time.Duration
	// Slow reports that Elapsed was far more than usual. If false, the observation shows
	// that a leaf which was reported to be slow is not.
	Slow bool
	At   time.Time
}

// ObservationSharer is a Routing that exchanges observations of leaves with other instances.
// The kernel finds it by a type assertion.
type ObservationSharer interface {
	// Observations returns the observations since the last call.
	Observations() []Observation
	// PeerReported passes on another instance's report that an attempt at the leaf took
	// the elapsed time, which was slow, at the given time.
	PeerReported(key int, elapsed time.Duration, at time.Time)
}

// NearBestLister is a Routing that lists the candidates that are about as good as the best.
// The kernel finds it by a type assertion.
type NearBestLister interface {
	// NearBest returns the indexes of those candidates, the best one first.
	NearBest(candidates []Candidate, now time.Time) []int
}

// Order decides which end of a queue is served first.
type Order interface {
	// ObserveOldestWait reports, whenever the queue is served, the share of its allowed time
	// that the oldest attempt has waited, in [0, 1].
	ObserveOldestWait(waited float64, now time.Time)
	// NewestFirst reports whether the attempts of the newest query are served first.
	NewestFirst() bool
}

// Limit decides how many attempts of this entry may be in flight at one leaf.
type Limit interface {
	// Limit is the present limit, in [1, share] for a share of at least 1.
	Limit() int
	// SetShare sets the entry's share of the leaf's connections.
	SetShare(share int)
	// RecordResult reports how an attempt at the leaf ended.
	RecordResult(result AttemptResult, now time.Time)
}

// RepetitionConfig is given to a repetition policy's constructor; see
// document.Service for the fields.
type RepetitionConfig struct {
	HedgeBudget   float64
	HedgeQuantile float64
	RetryBudget   float64
	Objective     time.Duration
}

// Repetition decides when a sub-request is sent again, as a hedge or a retry. One Repetition
// serves one service at one entry.
type Repetition interface {
	// Deposit credits the budgets with the first attempt of one sub-request.
	Deposit()
	// HedgeAfter returns how long to wait before a hedge; false means no hedge.
	HedgeAfter(q Quantiler) (time.Duration, bool)
	// TakeHedge and TakeRetry spend from the budgets; false means that no hedge or retry
	// may be sent now.
	TakeHedge(now time.Time) bool
	TakeRetry(now time.Time) bool
	// RecordShed reports that a leaf or a queue refused work because of overload.
	RecordShed(now time.Time)
}

// Quantiler gives quantiles of an upstream's recent latency.
type Quantiler interface {
	// Quantile returns 0 while it has too few samples.
	Quantile(q float64) time.Duration
}

// PlacementConfig is given to a placement policy's constructor.
type PlacementConfig struct {
	// Headroom is the number of live entries that may be missing from any entry's list
	// without a leaf's connection limit being exceeded.
	Headroom int
}

// Placement divides each leaf's connection limit among the entries.
type Placement interface {
	// Share returns the number of connections that entry self may hold to the leaf.
	// entries lists the live entries that self knows, itself included.
	Share(leafID string, limit int, self string, entries []string) int
	// Via returns the entry through which self reaches the leaf; self itself means a
	// direct connection.
	Via(leafID, self string, entries []string) string
}

// Combiner merges the replies of a query's parts into one body.
type Combiner interface {
	// Combine returns at most maxRecords records of the bodies, in the combiner's order.
	// It does not modify the bodies.
	Combine(bodies [][]byte, maxRecords int) []byte
}
