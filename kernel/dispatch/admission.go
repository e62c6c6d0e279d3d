package dispatch

import (
	"math/rand/v2"
	"time"
)

// LoadEstimator tells how a query's parts would fare on one upstream; *Machine is one.
type LoadEstimator interface {
	CountServableShards(caller string, priority int, within, patience time.Duration) (fit, total int, wait time.Duration)
	// ShouldYield says that a more urgent query is refused so often that this one is, too.
	ShouldYield(priority int, now time.Time) bool
	// RecordDecision is called with each decision.
	RecordDecision(priority int, taken bool, now time.Time)
}

// Decision says whether a query is taken in. A refused query has run nowhere.
type Decision struct {
	Admitted bool
	// RetryAfter is when a refused caller should come back.
	RetryAfter time.Duration
	// ServableShare is the share of shards that would answer in time, in [0, 1].
	ServableShare float64
	// YieldedToUrgent says that it was refused for more urgent queries.
	YieldedToUrgent bool
}

// Patience is the share of a query's time that it may spend in a queue here.
// It falls by patienceDown with each answer that came short for lack of time
// and rises by patienceUp with each useful one while there is refusal, so it
// settles where one admitted query in a hundred comes short.
const (
	patienceStart = 0.25
	patienceLeast = 0.05
	patienceMost  = 0.9
	patienceUp    = 0.001
	patienceDown  = 0.1
)

// Bounds of RetryAfter, and the time over which arrivals are averaged.
const (
	leastRetryAfter = 50 * time.Millisecond
	mostRetryAfter  = 30 * time.Second
	rateWindow      = time.Second
)

// QueryRequest is what admission needs to know of a query.
type QueryRequest struct {
	Caller string
	// Share is the caller's document.Caller.Share, at least 1.
	Share int
	// Priority is the service's; 0 is the most urgent.
	Priority int
	// TimeLeft is the time in which an answer has its full value.
	TimeLeft time.Duration
	// LeastCoverage is the share of shards from which the answer is useful.
	LeastCoverage float64
}

// Admission decides on whole queries of one service at one entry, so that no
// work goes to parts of a query whose other parts can't be served.
type Admission struct {
	rand *rand.Rand
	// refused is the number of callers that were asked to come back and have
	// not been taken in since.
	refused float64
	// admitted is a decaying count of admissions over rateWindow.
	admitted float64
	last     time.Time
	// patience is a share in [patienceLeast, patienceMost].
	patience    float64
	lastRefusal time.Time
	usage       usage
}

// NewAdmission returns an admission with its own seeded randomness.
func NewAdmission(seed uint64) *Admission {
	return &Admission{rand: rand.New(rand.NewPCG(seed, seed)), patience: patienceStart, usage: newUsage()}
}

// Admit decides on a query over the given upstreams. At least one shard must fit.
func (a *Admission) Admit(q QueryRequest, upstreams []LoadEstimator, now time.Time) Decision {
	a.age(now)
	factor := a.usage.offered(q.Caller, q.Share, now)
	patience := time.Duration(min(patienceMost, a.patience*factor) * float64(q.TimeLeft))
	fit, total := 0, 0
	var wait time.Duration
	for _, u := range upstreams {
		f, t, w := u.CountServableShards(q.Caller, q.Priority, q.TimeLeft, patience)
		fit, total, wait = fit+f, total+t, max(wait, w)
	}
	d := Decision{ServableShare: 1}
	if total > 0 {
		d.ServableShare = float64(fit) / float64(total)
	}
	d.Admitted = (fit > 0 || total == 0) && d.ServableShare >= q.LeastCoverage
	for _, u := range upstreams {
		d.YieldedToUrgent = d.YieldedToUrgent || d.Admitted && u.ShouldYield(q.Priority, now)
	}
	d.Admitted = d.Admitted && !d.YieldedToUrgent
	for _, u := range upstreams {
		u.RecordDecision(q.Priority, d.Admitted, now)
	}
	if d.Admitted {
		a.admitted++
		a.usage.admitted(q.Caller)
		a.refused = max(0, a.refused-1)
		return d
	}
	a.refused++
	a.lastRefusal = now
	d.RetryAfter = a.retryAfter(wait)
	return d
}

// RecordAnswer tells how an admitted query ended: useful when it met the least
// coverage while the answer had its full value, late when it did not since it had to
// wait (and not because a shard has no leaf, or a leaf is slow, say: to take in fewer
// queries would mend neither).
func (a *Admission) RecordAnswer(useful, late bool, now time.Time) {
	switch {
	case late:
		a.patience = max(patienceLeast, a.patience-patienceDown)
	case useful && !a.lastRefusal.IsZero() && now.Sub(a.lastRefusal) < rateWindow:
		a.patience = min(patienceMost, a.patience+patienceUp)
	}
}

// age lets the count of admissions decay.
func (a *Admission) age(now time.Time) {
	if a.last.IsZero() {
		a.last = now
	}
	kept := max(0, 1-float64(now.Sub(a.last))/float64(rateWindow))
	a.admitted *= kept
	a.last = now
}

// retryAfter spreads the refused callers over the time that it takes to serve
// them all at the present rate, after the queue has emptied.
func (a *Admission) retryAfter(wait time.Duration) time.Duration {
	backlog := time.Duration(a.refused / max(1, a.admitted) * float64(rateWindow))
	wait = min(wait, mostRetryAfter/2)
	backlog = min(backlog, mostRetryAfter-wait) // bounded before the jitter, so that nobody gets the bound itself
	d := wait + time.Duration(a.rand.Float64()*float64(backlog))
	return max(d, jittered(a.rand, leastRetryAfter))
}

// jittered returns d and up to as much again.
func jittered(r *rand.Rand, d time.Duration) time.Duration {
	return d + time.Duration(r.Float64()*float64(d))
}
