// Package adaptiveorder serves the oldest query first while the queue keeps
// emptying, and the newest first while a standing queue shows overload.
package adaptiveorder

import (
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/plugin"
)

// Name is the name that the policy registers under.
const Name = "adaptive"

// A queue stands when the oldest attempt waited longer than target at every
// service during one interval.
const (
	target   = 20 * time.Millisecond
	interval = 100 * time.Millisecond
)

type policy struct {
	aboveSince time.Time // zero while the queue is short
	overloaded bool
}

// New returns an independent instance.
func New() plugin.Order { return &policy{} }

// Queued takes the wait of the oldest attempt at a moment of service.
func (p *policy) Queued(oldest time.Duration, now time.Time) {
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
