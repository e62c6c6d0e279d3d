package executor

import (
	"errors"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/entry/leafclient"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/query"
	kernelrepetition "github.com/fuchsiaroad/fuchsiaroad/kernel/repetition"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/view"
)

// repeatLimiters limits the hedges and retries at each shard to this instance's share of
// the fleet's limit. Upstreams that share a shard's name share its limit. A lock guards
// the kernel's limiters.
type repeatLimiters struct {
	slackShare func(shards int) float64 // Config.RepeatSlackShare
	earns      func() bool              // Config.EarnsRepeats

	mu         sync.Mutex
	byShard    map[string]*kernelrepetition.RepeatLimiter // by shard name
	unanswered *kernelrepetition.UnansweredAttempts
}

// maxArrivalDelay is the time after the end of an exchange without a response from which on
// its request is taken for one that never arrives.
const maxArrivalDelay = 10 * time.Second

// newRepeatLimiters returns an empty set of limiters.
func newRepeatLimiters(slack func(shards int) float64, earns func() bool) *repeatLimiters {
	if slack == nil {
		slack = func(int) float64 { return 1 }
	}
	if earns == nil {
		earns = func() bool { return true }
	}
	return &repeatLimiters{
		slackShare: slack, earns: earns, byShard: make(map[string]*kernelrepetition.RepeatLimiter),
		unanswered: kernelrepetition.NewUnansweredAttempts(maxArrivalDelay),
	}
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

// delivery returns a new delivery of a request to a shard; nil if its repeats have no limit.
func (l *repeatLimiters) delivery(up *view.Upstream, shard int) *kernelrepetition.Delivery {
	if up.Config.RepeatLimit == nil || shard < 0 || shard >= len(up.Shards) {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return kernelrepetition.NewDelivery(l.limiter(up, shard))
}

// takeRepeat takes one repeat of a shard's limit for a delivery and reports whether it fit.
func (l *repeatLimiters) takeRepeat(d *kernelrepetition.Delivery, up *view.Upstream, shard int, kind query.RepeatKind, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limiter(up, shard) // sets this instance's present share
	if kind == query.RepeatHedge {
		return d.TakeHedge(now)
	}
	return d.TakeRepeat(now)
}

// beginAttempt notes an attempt of a delivery, which may be nil.
func (l *repeatLimiters) beginAttempt(d *kernelrepetition.Delivery) {
	if d == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	d.BeginAttempt()
}

// endUnsent notes that an attempt has ended without being sent.
func (l *repeatLimiters) endUnsent(a *attempt) {
	if a.delivery == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	a.delivery.EndAttempt(time.Now())
}

// endExchange notes the end of an exchange. Only a response proves that the leaf has read
// the request, and all that was sent to it before.
func (l *repeatLimiters) endExchange(a *attempt, err error) {
	if a.delivery == nil {
		return
	}
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case hasResponse(err):
		l.unanswered.Responded(a.leafID, a.sentAt, now)
		a.delivery.EndAttempt(now)
	case a.sentAt.IsZero():
		a.delivery.EndAttempt(now)
	default:
		l.unanswered.Add(a.leafID, a.delivery, now)
	}
}

// hasResponse reports whether an exchange that ended with this error had a response from the
// leaf that belongs to the request.
func hasResponse(err error) bool {
	var declined *leafclient.DeclinedError
	var broken *leafclient.BrokenError
	return err == nil || errors.As(err, &declined) || errors.As(err, &broken) && broken.Cause == leafclient.CauseStatus
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
	if !l.earns() {
		share.Ratio = 0
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
func (r *run) TakeRepeat(upstream, shard int, kind query.RepeatKind, now time.Time) bool {
	if upstream < 0 || upstream >= len(r.view.Upstreams) {
		return false
	}
	up := &r.view.Upstreams[upstream]
	if up.Config.RepeatLimit == nil {
		return true
	}
	if d := r.delivery(up, shard); d != nil && r.executor.repeatLimiters.takeRepeat(d, up, shard, kind, now) {
		return true
	}
	r.service.metrics.RepeatsRefused.Inc(1)
	return false
}

// delivery returns the query's delivery to a shard; nil if the shard is not known or its
// repeats have no limit. The run's lock is held.
func (r *run) delivery(up *view.Upstream, shard int) *kernelrepetition.Delivery {
	if up.Config.RepeatLimit == nil || shard < 0 || shard >= len(up.Shards) {
		return nil
	}
	name := up.Shards[shard].Name
	d, ok := r.deliveries[name]
	if !ok {
		d = r.executor.repeatLimiters.delivery(up, shard)
		r.deliveries[name] = d
	}
	return d
}
