// Package blindretry is the baseline repetition policy that retries every declined attempt,
// without a budget and without hedges. Its only limit is the query machine's bound of 3
// attempts for each part of a query.
package blindretry

import (
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/plugin"
)

// Name is the name under which the policy is registered.
const Name = "blind-retry"

type policy struct{}

// New returns a new, independent policy.
func New(plugin.RepetitionConfig) plugin.Repetition { return policy{} }

// Deposit does nothing, as there are no budgets.
func (policy) Deposit() {}

// HedgeAfter returns false: there are no hedges.
func (policy) HedgeAfter(plugin.Quantiler) (time.Duration, bool) { return 0, false }

// TakeHedge always refuses.
func (policy) TakeHedge(time.Time) bool { return false }

// TakeRetry always grants.
func (policy) TakeRetry(time.Time) bool { return true }

// RecordShed does nothing.
func (policy) RecordShed(time.Time) {}
