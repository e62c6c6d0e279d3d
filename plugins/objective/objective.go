// Package objective hedges after a share of the service's latency objective and
// leaves the bound of repetition to the limits of the shards.
package objective

import (
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/plugin"
)

// Name is the name that the policy registers under.
const Name = "objective"

const (
	// hedgeShare is the share of the objective after which a part is asked
	// again: what is left then is enough for one more exchange.
	hedgeShare = 0.25
	// shedPause is how long no hedge is sent after a leaf or queue was overloaded.
	shedPause = 20 * time.Millisecond
)

type policy struct {
	after    time.Duration
	lastShed time.Time
}

// New returns an independent instance.
func New(cfg plugin.RepetitionConfig) plugin.Repetition {
	return &policy{after: time.Duration(hedgeShare * float64(cfg.Objective))}
}

// Deposit is not needed: the shards' limits count requests.
func (p *policy) Deposit() {}

// HedgeAfter is a share of the objective; without one there is no hedge.
func (p *policy) HedgeAfter(plugin.Quantiler) (time.Duration, bool) { return p.after, p.after > 0 }

// TakeHedge refuses shortly after overload.
func (p *policy) TakeHedge(now time.Time) bool {
	return p.lastShed.IsZero() || now.Sub(p.lastShed) >= shedPause
}

// TakeRetry leaves the bound to the shards' limits.
func (p *policy) TakeRetry(time.Time) bool { return true }

// RecordShed notes overload.
func (p *policy) RecordShed(now time.Time) { p.lastShed = now }
