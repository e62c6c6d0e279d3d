// Package roundrobin is the baseline routing policy: each leaf in turn,
// whatever it did before.
package roundrobin

import (
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/plugin"
)

// Name is the name that the policy registers under.
const Name = "round-robin"

type policy struct{ next int }

// New returns an independent instance.
func New(plugin.RoutingConfig) plugin.Routing { return &policy{} }

// Usable is always true: nothing is ejected.
func (*policy) Usable(int, time.Time) bool { return true }

// Pick takes the candidates in turn.
func (p *policy) Pick(candidates []plugin.Candidate, _ time.Time) (int, string) {
	p.next++
	return p.next % len(candidates), "in turn"
}

// RecordResult is ignored.
func (*policy) RecordResult(int, plugin.AttemptResult, time.Time) {}

// RecordLoadHint is ignored.
func (*policy) RecordLoadHint(int, int, int, time.Time) {}
