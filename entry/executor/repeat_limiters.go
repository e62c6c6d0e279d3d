package executor

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	kernelrepetition "github.com/fuchsiaroad/fuchsiaroad/kernel/repetition"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/view"
)

// repeatLimiters limits the hedges and retries at each shard to this instance's share of
// the fleet's limit. Upstreams that share a shard's name share its limit. A lock guards
// the kernel's limiters.
type repeatLimiters struct {
	slackShare func(shards int) float64 // Config.RepeatSlackShare

	mu      sync.Mutex
	byShard map[string]*kernelrepetition.RepeatLimiter // by shard name
}

// newRepeatLimiters returns an empty set of limiters.
func newRepeatLimiters(slack func(shards int) float64) *repeatLimiters {
	if slack == nil {
		slack = func(int) float64 { return 1 }
	}
	return &repeatLimiters{slackShare: slack, byShard: make(map[string]*kernelrepetition.RepeatLimiter)}
}

// countRequest counts a request at a shard. The instance that asks the shard's leaves
// counts it, as it is the one that may repeat it.
func (l *repeatLimiters) countRequest(up *view.Upstream, shard int, now time.Time) {
	if up.Config.RepeatLimit == nil || shard < 0 || shard >= len(up.Shards) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limiter(up, shard).CountRequest(now)
}

// takeRepeat takes one repeat of a shard's limit and reports whether it fit. Without a
// limit it always does.
func (l *repeatLimiters) takeRepeat(up *view.Upstream, shard int, now time.Time) bool {
	if up.Config.RepeatLimit == nil || shard < 0 || shard >= len(up.Shards) {
		return up.Config.RepeatLimit == nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limiter(up, shard).TakeRepeat(now)
}

// remainingRepeats returns the least number of repeats that fit at any shard, and the
// number of shards that have a limiter; with 0 shards the least is infinite.
func (l *repeatLimiters) remainingRepeats(now time.Time) (least float64, shards int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	least = math.Inf(1)
	for _, limiter := range l.byShard {
		least = min(least, limiter.RemainingRepeats(now))
	}
	return least, len(l.byShard)
}

// RemainingRepeats returns the least number of repeats that this instance may still make
// at any shard, and the number of shards that have a limiter.
func (e *Executor) RemainingRepeats(now time.Time) (least float64, shards int) {
	return e.repeatLimiters.remainingRepeats(now)
}

// ShardRepeats is what this instance has used of its part of the repeat limit at a shard.
type ShardRepeats struct {
	Shard string // its name
	kernelrepetition.RepeatUsage
}

// RepeatUsage returns what this instance has used at each shard that has a limiter, ordered
// by name.
func (e *Executor) RepeatUsage(now time.Time) []ShardRepeats {
	l := e.repeatLimiters
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]ShardRepeats, 0, len(l.byShard))
	for _, name := range slices.Sorted(maps.Keys(l.byShard)) {
		out = append(out, ShardRepeats{Shard: name, RepeatUsage: l.byShard[name].Usage(now)})
	}
	return out
}

// limiter returns a shard's limiter, set to this instance's share of the limit. The lock
// is held.
func (l *repeatLimiters) limiter(up *view.Upstream, shard int) *kernelrepetition.RepeatLimiter {
	limit := up.Config.RepeatLimit
	share := kernelrepetition.RepeatLimit{
		Ratio: limit.Ratio, Slack: limit.Slack * l.slackShare(len(up.Shards)), Window: limit.Window,
	}
	name := up.Shards[shard].Name
	limiter, ok := l.byShard[name]
	if !ok {
		limiter = kernelrepetition.NewRepeatLimiter(share)
		l.byShard[name] = limiter
	}
	limiter.SetLimit(share)
	return limiter
}

// TakeRepeat implements query.ShardBudget. The indexes refer to the query's newest view.
// The run's lock is held.
func (r *run) TakeRepeat(upstream, shard int, now time.Time) bool {
	if upstream < 0 || upstream >= len(r.view.Upstreams) {
		return false
	}
	if r.executor.repeatLimiters.takeRepeat(&r.view.Upstreams[upstream], shard, now) {
		return true
	}
	r.service.metrics.RepeatsRefused.Inc(1)
	return false
}
