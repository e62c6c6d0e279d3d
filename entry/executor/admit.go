package executor

import (
	"math/rand/v2"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/entry/telemetry"
)

// admit decides on a whole query before any part of it is queued: a query of
// which too few parts would finish in time is refused at once, and costs the
// leaves nothing.
func (e *Executor) admit(r *run) *RefusedError {
	left := time.Until(r.request.Deadline)
	if left <= 0 {
		return refuse(RefusedDeadline, leastRetryAfter, "the deadline has passed")
	}
	fit, total := 0, 0
	var wait time.Duration
	for _, upstream := range r.request.Service.Upstreams {
		f, n, w := r.pool(upstream).fit(r.request.Caller.Name, left)
		fit += f
		total += n
		wait = max(wait, w)
	}
	least := r.request.Service.Config.LeastCoverage
	if fit > 0 && float64(fit) >= least*float64(total) {
		return nil
	}
	e.config.Log.Decide(telemetry.Decision{Part: partQuery, What: "refuse", Query: r.stamp, Why: "too few parts would finish in time", Took: wait})
	return refuse(RefusedOverloaded, jitter(max(wait, leastRetryAfter)), "too few parts would finish in time")
}

// jitter spreads callers that come back: between one and two times d.
func jitter(d time.Duration) time.Duration {
	return d + rand.N(d)
}

// fit asks how many of the upstream's shards could serve a new attempt in time.
func (p *pool) fit(caller string, within time.Duration) (fit, total int, wait time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.machine.Fit(caller, within)
}

// Quantile implements plugin.Quantiler over the pool's recent latencies.
func (p *pool) Quantile(q float64) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.machine.Quantile(q)
}
