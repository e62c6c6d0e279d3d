package executor

import (
	"sync"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/entry/telemetry"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/dispatch"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/query"
)

// admission guards a service's admission policy by a lock.
type admission struct {
	mu     sync.Mutex
	policy *dispatch.Admission
}

// admit decides on a whole query before any part of it is queued: a query of
// which too few parts would finish in time is refused at once, and costs the
// leaves nothing.
func (e *Executor) admit(r *run) *RefusedError {
	now := time.Now()
	left := r.request.Deadline.Sub(now)
	if left <= 0 {
		return refuse(RefusedDeadline, leastRetryAfter, "the deadline has passed")
	}
	fitters := make([]dispatch.Fitter, 0, len(r.request.Service.Upstreams))
	for _, upstream := range r.request.Service.Upstreams {
		fitters = append(fitters, r.pool(upstream))
	}
	a := r.service.admission
	a.mu.Lock()
	decision := a.policy.Admit(dispatch.QueryRequest{
		Caller: r.request.Caller.Name, Share: r.request.Caller.Share,
		Left: left, LeastCoverage: r.request.Service.Config.LeastCoverage,
	}, fitters, now)
	a.mu.Unlock()
	if decision.Admitted {
		return nil
	}
	e.config.Log.Decide(telemetry.Decision{
		Part: partQuery, What: "refuse", Query: r.stamp, Request: r.request.name(), Why: "too few parts would finish in time",
		More: []any{"service", r.request.Service.Config.Name, "fit", decision.Fit, "left", left, "retry_after", decision.RetryAfter},
	})
	return refuse(RefusedOverloaded, decision.RetryAfter, "too few parts would finish in time")
}

// tellAdmission tells the admission policy how an admitted query ended.
func (r *run) tellAdmission(answer *query.Answer) {
	useful := answer.Share > 0 && answer.Share >= r.request.Service.Config.LeastCoverage
	late := !useful && shortOfTime(answer)
	a := r.service.admission
	a.mu.Lock()
	defer a.mu.Unlock()
	a.policy.Answered(useful, late, time.Now())
}

// shortOfTime reports whether parts are missing for lack of time, and not
// because no leaf serves them.
func shortOfTime(answer *query.Answer) bool {
	for _, m := range answer.Missing {
		switch query.DeclineReason(m.Reason) {
		case query.ReasonDeadline, query.ReasonOverloaded:
			return true
		default:
		}
	}
	return false
}

// Fit implements dispatch.Fitter.
func (p *pool) Fit(caller string, within, patience time.Duration) (fit, total int, wait time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.machine.Fit(caller, within, patience)
}

// Quantile implements plugin.Quantiler over the pool's recent latencies.
func (p *pool) Quantile(q float64) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.machine.Quantile(q)
}
