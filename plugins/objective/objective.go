// Package objective is the repetition policy that hedges after a fixed share of the service's
// latency objective. It has no budgets: the shards' own limits on repeats bound it.
package objective

import (
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/plugin"
)

// Name is the name under which the policy is registered.
const Name = "objective"

const (
	// hedgeShare is the share of the objective after which a hedge is sent: the time that
	// remains is enough for one more exchange.
	hedgeShare = 0.25
	// shedPause is how long no hedge is sent after a leaf or a queue refused work because of
	// overload.
	shedPause = 20 * time.Millisecond
)

type policy struct {
	hedgeAfter time.Duration
	lastShed   time.Time
}

// New returns a new, independent policy.
func New(cfg plugin.RepetitionConfig) plugin.Repetition {
	return &policy{hedgeAfter: time.Duration(hedgeShare * float64(cfg.Objective))}
}

// Deposit does nothing: the shards' limits count the requests.
func (p *policy) Deposit() {}

// HedgeAfter returns hedgeShare of the objective; without an objective there is no hedge.
func (p *policy) HedgeAfter(plugin.Quantiler) (time.Duration, bool) {
	return p.hedgeAfter, p.hedgeAfter > 0
}

// TakeHedge refuses for shedPause after work was refused because of overload.
func (p *policy) TakeHedge(now time.Time) bool {
	return p.lastShed.IsZero() || now.Sub(p.lastShed) >= shedPause
}

// TakeRetry always grants, as the shards' limits bound the retries.
func (p *policy) TakeRetry(time.Time) bool { return true }

// RecordShed notes the time of the overload.
func (p *policy) RecordShed(now time.Time) { p.lastShed = now }
