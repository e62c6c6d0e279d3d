package executor

import (
	"sync"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/margin"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/query"
)

// ownDelay estimates how late this instance writes answers. A lock guards the estimator.
type ownDelay struct {
	mu        sync.Mutex
	estimator margin.DelayEstimator
}

// settleMargin returns how long before the objective an answer must be settled, given the
// network delay from and to its caller; 0 without an objective.
func (d *ownDelay) settleMargin(objective, networkDelay time.Duration) time.Duration {
	if objective <= 0 {
		return 0
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return margin.ForObjective(objective, networkDelay, d.estimator.UpperBound(margin.InitialOwnDelay))
}

// RecordWritten adds an answer that has been written to the estimate. Only an answer that
// was settled at a planned time shows how late this instance is.
func (e *Executor) RecordWritten(a *query.Answer, at time.Time) {
	if a == nil || a.SettledAt.IsZero() {
		return
	}
	e.ownDelay.mu.Lock()
	defer e.ownDelay.mu.Unlock()
	e.ownDelay.estimator.Observe(at.Sub(a.SettledAt))
}
