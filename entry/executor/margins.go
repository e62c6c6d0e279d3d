package executor

import (
	"sync"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/margin"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/query"
)

// margins guards this instance's estimate of its own delay by a lock.
type margins struct {
	mu     sync.Mutex
	margin margin.Margin
}

// before is how long before its objective an answer is due; 0 without one.
func (m *margins) before(objective time.Duration) time.Duration {
	if objective <= 0 {
		return 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.margin.Before(objective)
}

// Written learns from an answer that has been written. Only one that was due at
// a set time shows how late this instance is.
func (e *Executor) Written(a *query.Answer, at time.Time) {
	if a == nil || a.SettledAt.IsZero() {
		return
	}
	e.margins.mu.Lock()
	defer e.margins.mu.Unlock()
	e.margins.margin.Observe(at.Sub(a.SettledAt))
}
