package query

import (
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/view"
)

// VersionSource tells which index versions the leaves were last seen to serve.
// snapshot.Tracker implements it. The runtime lets it observe an event's
// Versions before it hands the event to the machine.
type VersionSource interface {
	// Pin returns the version that covers the largest known share of the
	// service, the newest of equals; 0 when nothing is known.
	Pin(service string) uint64
	// Next returns the best version other than after; 0 when there is none.
	Next(service string, after uint64) uint64
	// Share is the part in [0, 1] of the service's key space whose shards were
	// last seen to serve the version.
	Share(service string, version uint64) float64
	// Serves reports whether anything is known of a leaf (an index in the
	// view), and whether it was last seen to serve the version.
	Serves(leaf int, version uint64) (known, serves bool)
	// Passed reports whether a leaf was last seen to serve only newer versions:
	// since versions grow, it will not serve this one again.
	Passed(leaf int, version uint64) bool
}

// Budget limits repetition. Each call that returns true spends one token.
type Budget interface {
	TakeHedge(now time.Time) bool
	TakeRetry(now time.Time) bool
}

// ShardBudget limits the arrivals at a shard beyond the first of a request,
// whatever their cause. Each call that returns true spends one. The indexes are
// those of the query's current view.
type ShardBudget interface {
	TakeRepeat(upstream, shard int, now time.Time) bool
}

// Config is what a query needs to know. It is not changed by the machine.
type Config struct {
	View     *view.View
	Service  *view.Service
	Start    time.Time
	Deadline time.Time
	Versions VersionSource
	Budget   Budget
	// ShardBudget bounds repetition by shard; nil sets no bound.
	ShardBudget ShardBudget
	// HedgeAfter is how long a sent attempt of the upstream may take before it
	// is hedged; 0, or a nil function, means no hedge.
	HedgeAfter func(upstream int) time.Duration
	// SettleMargin is how long before its objective an answer is due, so that it
	// reaches the caller in time; 0 means a fifth of the objective.
	SettleMargin time.Duration
	// Groups are parts that other instances are to gather; see Group.
	Groups []Group
	// OnlyShards limits the query to whole shards, for an instance that gathers them for
	// another; nil: all shards. Such a query gives interim answers and is not settled.
	OnlyShards []Group
	// Canary runs one part alone before the rest.
	Canary bool
	// Suspect marks a fingerprint that was on a leaf that broke: one part
	// alone, and a second break ends the query.
	Suspect bool
	// Seed is a hash of the fingerprint. It chooses the part that runs alone,
	// so that all entries choose the same shard for one request.
	Seed uint64
}
