// Package fifo is the baseline order policy: the oldest query is always served first.
package fifo

import (
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/plugin"
)

// Name is the name under which the policy is registered.
const Name = "fifo"

type policy struct{}

// New returns a new, independent policy.
func New() plugin.Order { return policy{} }

// ObserveOldestWait ignores the wait.
func (policy) ObserveOldestWait(float64, time.Time) {}

// NewestFirst is always false.
func (policy) NewestFirst() bool { return false }
