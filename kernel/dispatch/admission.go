package dispatch

import (
	"math/rand/v2"
	"time"
)

// LoadEstimator estimates how the parts of a query would fare on one upstream. *Machine
// implements it.
type LoadEstimator interface {
	// CountServableShards returns the number of shards whose part of a query would be
	// queued for at most maxQueueTime and end within the given time, the number of all
	// shards, and the longest queueing time.
	CountServableShards(caller string, priority int, within, maxQueueTime time.Duration) (servable, total int, wait time.Duration)
	// ShouldYield reports whether a query of this priority is to be refused because more
	// urgent queries are refused.
	ShouldYield(priority int, now time.Time) bool
	// RecordDecision is called with each decision on a query.
	RecordDecision(priority int, admitted bool, now time.Time)
}

// Decision says whether a query is admitted. A refused query has run nowhere.
type Decision struct {
	Admitted bool
	// RetryAfter is the delay after which the caller of a refused query should retry.
	RetryAfter time.Duration
	// ServableShare is the share of shards that would answer in time, in [0, 1].
	ServableShare float64
	// MaxQueueTime is the longest time in a queue of this instance that was accepted.
	MaxQueueTime time.Duration
	// YieldedToUrgent says that the query was refused because more urgent ones are.
	YieldedToUrgent bool
}

// The queue share is the share of a query's time that it may spend in a queue of this
// instance. It falls by queueShareDecrease with each answer that is incomplete for lack
// of time, and rises by queueShareIncrease with each useful one while queries are
// refused. So it settles where one admitted query in a hundred is incomplete.
const (
	initialQueueShare  = 0.25
	minQueueShare      = 0.05
	maxQueueShare      = 0.9
	queueShareIncrease = 0.001
	queueShareDecrease = 0.1
)

// Bounds of RetryAfter, and the time over which admissions are counted.
const (
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	rateWindow    = time.Second
)

// QueryRequest describes a query to Admission.
type QueryRequest struct {
	Caller string
	// Share is the caller's document.Caller.Share, at least 1.
	Share int
	// Priority is the service's; 0 is the most urgent.
	Priority int
	// TimeLeft is the time until the objective, within which an answer has its full
	// value.
	TimeLeft time.Duration
	// LeastCoverage is the least share of shards that makes an answer useful.
	LeastCoverage float64
}

// Admission admits or refuses whole queries of one service at one instance, so that no
// work is spent on parts of a query whose other parts can't be served. It is not safe
// for concurrent use.
type Admission struct {
	rand *rand.Rand
	// refused is the number of callers that were asked to retry and have not been
	// admitted since.
	refused float64
	// admitted is a decaying count of admissions over rateWindow.
	admitted  float64
	decayedAt time.Time
	// queueShare is in [minQueueShare, maxQueueShare].
	queueShare  float64
	lastRefusal time.Time
	usage       usage
}

// NewAdmission returns an Admission whose jitter is seeded with seed.
func NewAdmission(seed uint64) *Admission {
	return &Admission{rand: rand.New(rand.NewPCG(seed, seed)), queueShare: initialQueueShare, usage: newUsage()}
}

// Admit decides on a query over the given upstreams. At least one shard must be
// servable.
func (a *Admission) Admit(q QueryRequest, upstreams []LoadEstimator, now time.Time) Decision {
	a.decay(now)
	factor := a.usage.recordOffer(q.Caller, q.Share, now)
	maxQueueTime := time.Duration(min(maxQueueShare, a.queueShare*factor) * float64(q.TimeLeft))
	servable, total := 0, 0
	var wait time.Duration
	for _, u := range upstreams {
		s, t, w := u.CountServableShards(q.Caller, q.Priority, q.TimeLeft, maxQueueTime)
		servable, total, wait = servable+s, total+t, max(wait, w)
	}
	d := Decision{ServableShare: 1, MaxQueueTime: maxQueueTime}
	if total > 0 {
		d.ServableShare = float64(servable) / float64(total)
	}
	d.Admitted = (servable > 0 || total == 0) && d.ServableShare >= q.LeastCoverage
	for _, u := range upstreams {
		d.YieldedToUrgent = d.YieldedToUrgent || d.Admitted && u.ShouldYield(q.Priority, now)
	}
	d.Admitted = d.Admitted && !d.YieldedToUrgent
	for _, u := range upstreams {
		u.RecordDecision(q.Priority, d.Admitted, now)
	}
	if d.Admitted {
		a.admitted++
		a.usage.recordAdmission(q.Caller)
		a.refused = max(0, a.refused-1)
		return d
	}
	a.refused++
	a.lastRefusal = now
	d.RetryAfter = a.retryAfter(wait)
	return d
}

// RecordAnswer reports the end of an admitted query: useful if it reached the least
// coverage by the objective, and late if it did not because its parts were queued. Other
// causes, such as a shard without a leaf or a slow leaf, do not make it late, as
// admitting fewer queries would mend none of them.
func (a *Admission) RecordAnswer(useful, late bool, now time.Time) {
	switch {
	case late:
		a.queueShare = max(minQueueShare, a.queueShare-queueShareDecrease)
	case useful && !a.lastRefusal.IsZero() && now.Sub(a.lastRefusal) < rateWindow:
		a.queueShare = min(maxQueueShare, a.queueShare+queueShareIncrease)
	}
}

// decay ages the count of admissions.
func (a *Admission) decay(now time.Time) {
	if a.decayedAt.IsZero() {
		a.decayedAt = now
	}
	kept := max(0, 1-float64(now.Sub(a.decayedAt))/float64(rateWindow))
	a.admitted *= kept
	a.decayedAt = now
}

// retryAfter spreads the refused callers over the time in which all of them can be
// served at the present rate, beginning when the queue has emptied.
func (a *Admission) retryAfter(wait time.Duration) time.Duration {
	backlog := time.Duration(a.refused / max(1, a.admitted) * float64(rateWindow))
	wait = min(wait, maxRetryAfter/2)
	backlog = min(backlog, maxRetryAfter-wait) // before the jitter, so that the retries do not pile up at the bound
	d := wait + time.Duration(a.rand.Float64()*float64(backlog))
	return max(d, jittered(a.rand, minRetryAfter))
}

// jittered returns a duration uniform in [d, 2d).
func jittered(r *rand.Rand, d time.Duration) time.Duration {
	return d + time.Duration(r.Float64()*float64(d))
}
