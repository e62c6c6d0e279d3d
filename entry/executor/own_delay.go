package executor

import (
	"sync"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/margin"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/query"
)

// margins guards this instance's estimate of its own delay by a lock.
type ownDelay struct {
	mu        sync.Mutex
	estimator margin.DelayEstimator
}

// before is how long before its objective an answer is due, by the way from and to
// its caller; 0 without an objective.
func (m *ownDelay) settleMargin(objective, way time.Duration) time.Duration {
	if objective <= 0 {
		return 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return margin.ForObjective(objective, way, m.estimator.UpperBound(margin.InitialOwnDelay))
}

// RecordWritten learns from an answer that has been written. Only one that was due at
// a set time shows how late this instance is.
func (e *Executor) RecordWritten(a *query.Answer, at time.Time) {
	if a == nil || a.SettledAt.IsZero() {
		return
	}
	e.ownDelay.mu.Lock()
	defer e.ownDelay.mu.Unlock()
	e.ownDelay.estimator.Observe(at.Sub(a.SettledAt))
}
