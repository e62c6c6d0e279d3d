// Package twochoices is the routing policy that picks the cheaper of two random leaves. The
// cost is the expected latency times the attempts in flight plus one. It favors the entry's
// own zone when costs are close, readmits an ejected leaf with a slow start, and ejects a
// leaf that fails far more often than its peers.
package twochoices

import (
	"math/rand/v2"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/plugin"
	"github.com/fuchsiaroad/fuchsiaroad/plugins/internal/health"
)

// Name is the name under which the policy is registered.
const Name = "two-choices"

const (
	latencyWeight = 0.1
	// crossZoneFactor is the factor by which the cost of a leaf in another zone is raised.
	crossZoneFactor = 1.1
	// hintFactor is the factor by which a queue that the load endpoint reports raises the
	// cost, however long it is. A report counts for hintLifetime.
	hintFactor   = 1.03
	hintLifetime = time.Second
	// slowStartTime is how long the cost of a leaf is raised after its ejection, at first by
	// slowStartFactor.
	slowStartTime   = 5 * time.Second
	slowStartFactor = 3.0
	// maxFailureRate bounds the failure rate in a leaf's cost, which is divided by one minus
	// that rate.
	maxFailureRate = 0.95
)

// leaf is the state of one leaf.
type leaf struct {
	mean        float64 // moving average of latency, seconds; 0 means unknown
	health      health.Leaf
	hintedAt    time.Time
	hintedQueue int
	// slowStartedAt is when slow start began, zero when it did not.
	slowStartedAt time.Time
}

type policy struct {
	rand   *rand.Rand
	leaves []leaf
	peers  health.Peers
	// mean is the moving average of latency over all leaves, seconds. It stands for the
	// latency of a leaf that has not answered yet.
	mean float64
}

// New returns a new, independent policy.
func New(cfg plugin.RoutingConfig) plugin.Routing { return &policy{rand: cfg.Rand} }

// leaf returns the state of the leaf with the key, and creates it if needed.
func (p *policy) leaf(key int) *leaf {
	for key >= len(p.leaves) {
		p.leaves = append(p.leaves, leaf{})
	}
	return &p.leaves[key]
}

// Usable is false for an ejected leaf until its next probe is due.
func (p *policy) Usable(key int, now time.Time) bool { return p.leaf(key).health.Usable(now) }

// Pick returns the cheaper of two random candidates.
func (p *policy) Pick(candidates []plugin.Candidate, now time.Time) (int, string) {
	if len(candidates) == 1 {
		return 0, p.startProbe(candidates[0].Key, "only choice", now)
	}
	i := p.rand.IntN(len(candidates))
	j := p.rand.IntN(len(candidates) - 1)
	if j >= i {
		j++
	}
	if p.cost(candidates[j], now) < p.cost(candidates[i], now) {
		i = j
	}
	return i, p.startProbe(candidates[i].Key, "cheaper of two", now)
}

// startProbe notes that the leaf gets an attempt. It returns "probe" if the attempt probes an
// ejected leaf, and otherwise the given reason.
func (p *policy) startProbe(key int, reason string, now time.Time) string {
	if p.leaf(key).health.StartProbe(now) {
		return "probe"
	}
	return reason
}

// cost is the expected time until the attempt would end. Failures raise it: a leaf that
// declines attempts at once has few in flight, and must not attract work for that.
func (p *policy) cost(c plugin.Candidate, now time.Time) float64 {
	l := p.leaf(c.Key)
	mean := l.mean
	if mean == 0 {
		mean = p.mean
	}
	cost := float64(c.InFlight+1) * mean / (1 - min(l.health.FailureRate, maxFailureRate))
	if !c.Local {
		cost *= crossZoneFactor
	}
	if l.hintedQueue > 0 && now.Sub(l.hintedAt) < hintLifetime {
		cost *= hintFactor
	}
	return cost * l.slowStart(now)
}

// slowStart is the factor by which the leaf's cost is raised after an ejection; it falls to 1.
func (l *leaf) slowStart(now time.Time) float64 {
	if l.slowStartedAt.IsZero() {
		return 1
	}
	left := 1 - float64(now.Sub(l.slowStartedAt))/float64(slowStartTime)
	return 1 + max(0, left)*(slowStartFactor-1)
}

// RecordResult updates the leaf's latency and health.
func (p *policy) RecordResult(key int, r plugin.AttemptResult, now time.Time) {
	l := p.leaf(key)
	if r.OK {
		health.UpdateMean(&l.mean, r.Latency.Seconds(), latencyWeight)
		health.UpdateMean(&p.mean, r.Latency.Seconds(), latencyWeight)
	}
	weight := health.OutcomeWeight(r, p.mean)
	if r.Cancelled && weight > 0 {
		health.UpdateMean(&l.mean, r.Latency.Seconds(), latencyWeight) // it would have taken at least that long
	}
	if p.peers.RecordOutcome(&l.health, len(p.leaves), r, weight, now) {
		l.slowStartedAt = now
	}
}

// RecordLoadHint keeps the queue length from the load endpoint, whose effect on the cost is
// bounded.
func (p *policy) RecordLoadHint(key, _, queued int, now time.Time) {
	l := p.leaf(key)
	l.hintedQueue, l.hintedAt = queued, now
}
