// Package budgeted hedges after a quantile of the upstream's latency and
// repeats only what a share of the first sub-requests pays for.
package budgeted

import (
	"math"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/plugin"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/repetition"
)

// Name is the name that the policy registers under.
const Name = "budgeted"

const (
	// shedPause is how long no hedge is sent after a leaf or queue was overloaded.
	shedPause = 250 * time.Millisecond
	// The hedge delay is at least a multiple of the median: multipleLeast with
	// a full budget and multipleMost with an empty one, so that hedges start as
	// early as the budget can pay for.
	multipleLeast = 2.0
	multipleMost  = 3.2
)

type policy struct {
	budget   *repetition.Budget
	quantile float64
	lastShed time.Time
	shed     bool
}

// New returns an independent instance.
func New(cfg plugin.RepetitionConfig) plugin.Repetition {
	return &policy{
		budget:   repetition.NewBudget(cfg.HedgeBudget, cfg.RetryBudget),
		quantile: cfg.HedgeQuantile,
	}
}

// Deposit credits one first sub-request.
func (p *policy) Deposit() { p.budget.Deposit() }

// HedgeAfter is the configured latency quantile, or later when the budget
// can't pay for so many hedges.
func (p *policy) HedgeAfter(q plugin.Quantiler) (time.Duration, bool) {
	if p.quantile <= 0 || p.quantile >= 1 {
		return 0, false
	}
	d := q.Quantile(p.quantile)
	multiple := multipleLeast * math.Pow(multipleMost/multipleLeast, 1-p.budget.HedgeFill())
	later := time.Duration(multiple * float64(q.Quantile(0.5)))
	return max(d, later), d > 0
}

// TakeHedge spends from the budget, but never shortly after overload.
func (p *policy) TakeHedge(now time.Time) bool {
	if p.shed && now.Sub(p.lastShed) < shedPause {
		return false
	}
	return p.budget.TakeHedge(now)
}

// TakeRetry spends from the budget.
func (p *policy) TakeRetry(now time.Time) bool { return p.budget.TakeRetry(now) }

// RecordShed notes overload.
func (p *policy) RecordShed(now time.Time) { p.lastShed, p.shed = now, true }
