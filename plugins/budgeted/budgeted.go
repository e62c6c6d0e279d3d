// Package budgeted is the repetition policy that hedges after a quantile of the upstream's
// latency. Its budgets limit hedges and retries to a share of the sub-requests.
package budgeted

import (
	"math"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/plugin"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/repetition"
)

// Name is the name under which the policy is registered.
const Name = "budgeted"

const (
	// shedPause is how long no hedge is sent after a leaf or a queue refused work because of
	// overload.
	shedPause = 250 * time.Millisecond
	// The hedge delay is at least a multiple of the median latency: minMedianMultiple with a
	// full budget and maxMedianMultiple with an empty one, so that hedges start as early as
	// the budget allows.
	minMedianMultiple = 2.0
	maxMedianMultiple = 3.2
)

type policy struct {
	budget   *repetition.Budget
	quantile float64
	lastShed time.Time
	hasShed  bool // lastShed is set
}

// New returns a new, independent policy.
func New(cfg plugin.RepetitionConfig) plugin.Repetition {
	return &policy{
		budget:   repetition.NewBudget(cfg.HedgeBudget, cfg.RetryBudget),
		quantile: cfg.HedgeQuantile,
	}
}

// Deposit credits the budgets with the first attempt of one sub-request.
func (p *policy) Deposit() { p.budget.Deposit() }

// HedgeAfter returns the configured latency quantile, or the multiple of the median that the
// budget allows if that is later. There is no hedge while the latency is unknown.
func (p *policy) HedgeAfter(q plugin.Quantiler) (time.Duration, bool) {
	if p.quantile <= 0 || p.quantile >= 1 {
		return 0, false
	}
	delay := q.Quantile(p.quantile)
	multiple := minMedianMultiple * math.Pow(maxMedianMultiple/minMedianMultiple, 1-p.budget.HedgeFill())
	minDelay := time.Duration(multiple * float64(q.Quantile(0.5)))
	return max(delay, minDelay), delay > 0
}

// TakeHedge spends from the hedge budget. It refuses for shedPause after work was refused
// because of overload.
func (p *policy) TakeHedge(now time.Time) bool {
	if p.hasShed && now.Sub(p.lastShed) < shedPause {
		return false
	}
	return p.budget.TakeHedge(now)
}

// TakeRetry spends from the retry budget.
func (p *policy) TakeRetry(now time.Time) bool { return p.budget.TakeRetry(now) }

// RecordShed notes the time of the overload.
func (p *policy) RecordShed(now time.Time) { p.lastShed, p.hasShed = now, true }
