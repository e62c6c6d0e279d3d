// Package fifo is the baseline queue order: the oldest query first, always.
package fifo

import (
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/plugin"
)

// Name is the name that the policy registers under.
const Name = "fifo"

type policy struct{}

// New returns an independent instance.
func New() plugin.Order { return policy{} }

// ObserveOldestWait is ignored.
func (policy) ObserveOldestWait(float64, time.Time) {}

// NewestFirst is always false.
func (policy) NewestFirst() bool { return false }
