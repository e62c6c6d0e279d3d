// Package nohedge is the baseline repetition policy that sends nothing twice.
package nohedge

import (
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/plugin"
)

// Name is the name that the policy registers under.
const Name = "none"

type policy struct{}

// New returns an independent instance.
func New(plugin.RepetitionConfig) plugin.Repetition { return policy{} }

// Deposit is ignored.
func (policy) Deposit() {}

// HedgeAfter gives no hedge.
func (policy) HedgeAfter(plugin.Quantiler) (time.Duration, bool) { return 0, false }

// TakeHedge refuses.
func (policy) TakeHedge(time.Time) bool { return false }

// TakeRetry refuses.
func (policy) TakeRetry(time.Time) bool { return false }

// RecordShed is ignored.
func (policy) RecordShed(time.Time) {}
