package executor

import (
	"sync"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/entry/telemetry"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/dispatch"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/query"
)

// admission is a service's admission policy, guarded by a lock.
type admission struct {
	mu     sync.Mutex
	policy *dispatch.Admission
}

// admit decides on a whole query before any part of it is queued: a query of
// which too few parts would finish in time is refused at once, and costs the
// leaves nothing. A query that another instance has admitted is not checked again.
func (e *Executor) admit(r *run) *RefusedError {
	now := time.Now()
	if !now.Before(r.request.Deadline) {
		return refuse(RefusedDeadline, minRetryAfter, "the deadline has passed")
	}
	if r.request.OnlyShards != nil {
		return nil
	}
	estimators := make([]dispatch.LoadEstimator, 0, len(r.request.Service.Upstreams))
	for _, upstream := range r.request.Service.Upstreams {
		estimators = append(estimators, r.pool(upstream))
	}
	left := r.timeToFullValue(now)
	a := r.service.admission
	a.mu.Lock()
	decision := a.policy.Admit(dispatch.QueryRequest{
		Caller: r.request.Caller.Name, Share: r.request.Caller.Share, Priority: r.request.Service.Config.Priority,
		TimeLeft: left, LeastCoverage: r.request.Service.Config.LeastCoverage,
	}, estimators, now)
	a.mu.Unlock()
	if decision.Admitted {
		return nil
	}
	e.config.Log.LogDecision(telemetry.Decision{
		Component: prefixQuery, Event: "refuse", Query: r.stamp, Request: r.request.callerRequestID(), Reason: "too few parts would finish in time",
		Extra: []any{"service", r.request.Service.Config.Name, "fit", decision.ServableShare, "yields", decision.YieldedToUrgent, "left", left, "max_queue_time", decision.MaxQueueTime, "retry_after", decision.RetryAfter},
	})
	return refuse(RefusedOverloaded, decision.RetryAfter, "too few parts would finish in time")
}

// timeToFullValue returns the time left in which an answer has its full value, or the time
// to the deadline if that has passed or there is no objective.
func (r *run) timeToFullValue(now time.Time) time.Duration {
	if left := r.fullValueUntil.Sub(now); left > 0 {
		return left
	}
	return r.request.Deadline.Sub(now)
}

// minLateWaitShare is the share of the objective beyond which the time in a queue here counts
// as the cause of a late answer: it is the shortest wait that admission aims at.
const minLateWaitShare = 0.05

// reportToAdmission tells the admission policy how an admitted query ended.
func (r *run) reportToAdmission(answer *query.Answer) {
	if r.request.OnlyShards != nil {
		return
	}
	now := time.Now()
	config := r.request.Service.Config
	useful := answer.Share > 0 && query.MeetsCoverage(answer.Share, config.LeastCoverage)
	late := !useful && missesForLackOfTime(answer)
	if !r.fullValueUntil.IsZero() {
		useful = useful && !now.After(r.request.Start.Add(config.Objective))
		late = !useful && (late || time.Duration(r.longestWait.Load()) > time.Duration(minLateWaitShare*float64(config.Objective)))
	}
	a := r.service.admission
	a.mu.Lock()
	defer a.mu.Unlock()
	a.policy.RecordAnswer(useful, late, now)
}

// recordQueueWait keeps the time that an attempt waited in a queue here if it is the longest.
func (r *run) recordQueueWait(d time.Duration) {
	for {
		longest := r.longestWait.Load()
		if int64(d) <= longest || r.longestWait.CompareAndSwap(longest, int64(d)) {
			return
		}
	}
}

// missesForLackOfTime reports whether parts are missing for lack of time, and not
// because no leaf serves them.
func missesForLackOfTime(answer *query.Answer) bool {
	for _, m := range answer.Missing {
		switch query.DeclineReason(m.Reason) {
		case query.ReasonDeadline, query.ReasonOverloaded:
			return true
		default:
		}
	}
	return false
}

// CountServableShards implements dispatch.LoadEstimator.
func (p *pool) CountServableShards(caller string, priority int, within, maxQueueTime time.Duration) (fit, total int, wait time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.machine.CountServableShards(caller, priority, within, maxQueueTime)
}

// ShouldYield implements dispatch.LoadEstimator.
func (p *pool) ShouldYield(priority int, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.machine.ShouldYield(priority, now)
}

// RecordDecision implements dispatch.LoadEstimator.
func (p *pool) RecordDecision(priority int, taken bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.machine.RecordDecision(priority, taken, now)
}

// Quantile implements plugin.Quantiler over the pool's recent latencies.
func (p *pool) Quantile(q float64) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.machine.Quantile(q)
}
