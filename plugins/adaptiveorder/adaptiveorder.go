// Package adaptiveorder is the order policy that serves the oldest query first while the queue
// keeps emptying, and the newest first while a standing queue shows overload.
package adaptiveorder

import (
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/plugin"
)

// Name is the name under which the policy is registered.
const Name = "adaptive"

// A queue is overloaded when, each time it is served within overloadInterval, the oldest attempt
// has waited more than maxWaitShare of its allowed time. The oldest attempts will then hardly
// finish in time, while the newest still can.
const (
	maxWaitShare     = 0.5
	overloadInterval = 100 * time.Millisecond
)

type policy struct {
	aboveSince time.Time // when the wait exceeded maxWaitShare; zero while it does not
	overloaded bool
}

// New returns a new, independent policy.
func New() plugin.Order { return &policy{} }

// ObserveOldestWait updates the state of overload by the share of its allowed time that the
// oldest attempt has waited.
func (p *policy) ObserveOldestWait(waited float64, now time.Time) {
	if waited <= maxWaitShare {
		p.aboveSince, p.overloaded = time.Time{}, false
		return
	}
	if p.aboveSince.IsZero() {
		p.aboveSince = now
	}
	p.overloaded = now.Sub(p.aboveSince) >= overloadInterval
}

// NewestFirst is true during overload.
func (p *policy) NewestFirst() bool { return p.overloaded }
