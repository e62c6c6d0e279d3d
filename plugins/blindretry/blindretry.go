// Package blindretry is the baseline repetition policy that retries whatever
// was declined, without a budget and without hedges. The query machine's own
// bound on attempts of a part (3) is its only limit.
package blindretry

import (
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/plugin"
)

// Name is the name that the policy registers under.
const Name = "blind-retry"

type policy struct{}

// New returns an independent instance.
func New(plugin.RepetitionConfig) plugin.Repetition { return policy{} }

// Deposit is ignored.
func (policy) Deposit() {}

// HedgeAfter gives no hedge.
func (policy) HedgeAfter(plugin.Quantiler) (time.Duration, bool) { return 0, false }

// TakeHedge refuses.
func (policy) TakeHedge(time.Time) bool { return false }

// TakeRetry always grants.
func (policy) TakeRetry(time.Time) bool { return true }

// RecordShed is ignored.
func (policy) RecordShed(time.Time) {}
