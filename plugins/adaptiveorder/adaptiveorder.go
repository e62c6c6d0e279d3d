// Package adaptiveorder serves the oldest query first while the queue keeps
// emptying, and the newest first while a standing queue shows overload.
package adaptiveorder

import (
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/plugin"
)

// Name is the name that the policy registers under.
const Name = "adaptive"

// A queue is overloaded when, at every service during one interval, the oldest
// attempt had waited more than target of its time: what is oldest will hardly
// finish, and what is newest still can.
const (
	target   = 0.5
	interval = 100 * time.Millisecond
)

type policy struct {
	aboveSince time.Time // zero while the queue is short
	overloaded bool
}

// New returns an independent instance.
func New() plugin.Order { return &policy{} }

// ObserveOldestWait takes the share of its time that the oldest attempt has waited.
func (p *policy) ObserveOldestWait(oldest float64, now time.Time) {
	if oldest <= target {
		p.aboveSince, p.overloaded = time.Time{}, false
		return
	}
	if p.aboveSince.IsZero() {
		p.aboveSince = now
	}
	p.overloaded = now.Sub(p.aboveSince) >= interval
}

// NewestFirst is true during overload.
func (p *policy) NewestFirst() bool { return p.overloaded }
