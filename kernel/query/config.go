package query

import (
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/view"
)

// VersionSource tells which index versions the leaves were last seen to serve.
// snapshot.Tracker implements it. The runtime passes the Versions of an event to
// it before it delivers the event to the machine.
type VersionSource interface {
	// Pin returns the version that covers the largest known share of the
	// service, the newest of equals; 0 if nothing is known.
	Pin(service string) uint64
	// Next returns the best version other than after; 0 if there is none.
	Next(service string, after uint64) uint64
	// Share returns the fraction of the service's key space, in [0, 1], whose shards
	// were last seen to serve the version.
	Share(service string, version uint64) float64
	// Serves reports whether the versions of a leaf (an index in the view) are known,
	// and whether it was last seen to serve this one.
	Serves(leaf int, version uint64) (known, serves bool)
	// Passed reports whether a leaf was last seen to serve only newer versions. Since
	// the versions of a leaf only grow, it will not serve this one again.
	Passed(leaf int, version uint64) bool
}

// Budget limits hedges and retries. Each call that returns true takes one token.
type Budget interface {
	TakeHedge(now time.Time) bool
	TakeRetry(now time.Time) bool
}

// ShardBudget limits the attempts that reach a shard beyond a request's first one,
// hedges and retries alike. Each call that returns true takes one token. upstream is
// an index in the query's current view, shard one in the upstream's shards.
type ShardBudget interface {
	TakeRepeat(upstream, shard int, kind RepeatKind, now time.Time) bool
}

// RepeatKind is the reason of an attempt beyond a request's first one at a shard.
type RepeatKind uint8

// The kinds of repeat.
const (
	RepeatRetry RepeatKind = iota // the earlier attempts have failed
	RepeatHedge                   // an earlier attempt is slow
)

// Config holds the parameters of one query. The machine does not change it.
type Config struct {
	View     *view.View
	Service  *view.Service
	Start    time.Time
	Deadline time.Time
	Versions VersionSource
	Budget   Budget
	// ShardBudget limits repeated attempts by shard; nil sets no limit.
	ShardBudget ShardBudget
	// HedgeAfter returns the time without a reply after which a sent attempt of the
	// upstream is hedged; 0, or a nil function, means no hedge.
	HedgeAfter func(upstream int) time.Duration
	// SettleMargin is how long before the latency objective an answer without its
	// missing parts is given, so that it reaches the caller in time; 0 means a fifth of
	// the objective.
	SettleMargin time.Duration
	// Groups are the shards that other instances are to gather; see Group.
	Groups []Group
	// OnlyShards limits the query to these shards, for an instance that gathers them
	// for another one; nil means all shards. Such a query emits interim answers and
	// goes on until its end instead of settling for a partial answer.
	OnlyShards []Group
	// Canary runs one part alone first. The others follow when it has run to its end.
	Canary bool
	// Suspect marks a request whose fingerprint was on a leaf when it crashed. One part
	// runs alone first, and one more crash ends the query.
	Suspect bool
	// Seed is a hash of the request's fingerprint. It selects the part that runs alone,
	// so that all entries select the same shard for one request.
	Seed uint64
}
