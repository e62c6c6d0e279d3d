// Package roundrobin is the baseline routing policy: each leaf in turn, regardless of its
// latency and failures.
package roundrobin

import (
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/plugin"
)

// Name is the name under which the policy is registered.
const Name = "round-robin"

type policy struct{ next int }

// New returns a new, independent policy.
func New(plugin.RoutingConfig) plugin.Routing { return &policy{} }

// Usable is always true: no leaf is ejected.
func (*policy) Usable(int, time.Time) bool { return true }

// Pick takes the candidates in turn.
func (p *policy) Pick(candidates []plugin.Candidate, _ time.Time) (int, string) {
	p.next++
	return p.next % len(candidates), "in turn"
}

// RecordResult ignores the result.
func (*policy) RecordResult(int, plugin.AttemptResult, time.Time) {}

// RecordLoadHint ignores the hint.
func (*policy) RecordLoadHint(int, int, int, time.Time) {}
