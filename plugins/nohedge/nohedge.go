// Package nohedge is the baseline repetition policy that sends neither hedges nor retries.
package nohedge

import (
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/plugin"
)

// Name is the name under which the policy is registered.
const Name = "none"

type policy struct{}

// New returns a new, independent policy.
func New(plugin.RepetitionConfig) plugin.Repetition { return policy{} }

// Deposit does nothing, as there are no budgets.
func (policy) Deposit() {}

// HedgeAfter returns false: there are no hedges.
func (policy) HedgeAfter(plugin.Quantiler) (time.Duration, bool) { return 0, false }

// TakeHedge always refuses.
func (policy) TakeHedge(time.Time) bool { return false }

// TakeRetry always refuses.
func (policy) TakeRetry(time.Time) bool { return false }

// RecordShed does nothing.
func (policy) RecordShed(time.Time) {}
