// Package twochoices compares two leaves by (in flight + 1) times expected
// time, prefers the entry's own zone when they are close, starts new leaves
// slowly, and ejects a leaf whose outcomes are far worse than its peers'.
package twochoices

import (
	"math/rand/v2"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/plugin"
	"github.com/fuchsiaroad/fuchsiaroad/plugins/internal/health"
)

// Name is the name that the policy registers under.
const Name = "two-choices"

const (
	latencyGain = 0.1
	// remoteFactor is how much dearer a leaf in another zone counts.
	remoteFactor = 1.1
	// hintFactor bounds what the load endpoint can add to a leaf's cost.
	hintFactor = 1.03
	hintAge    = time.Second
	// slowStart is how long a leaf that is new or was ejected counts as dearer,
	// at first by slowFactor.
	slowStart  = 5 * time.Second
	slowFactor = 3.0
	// mostFailures bounds the factor that failures add to a leaf's cost.
	mostFailures = 0.95
)

// leaf is what the policy knows of one leaf.
type leaf struct {
	mean     float64 // moving average of latency, seconds; 0 means unknown
	health   health.Leaf
	hintedAt time.Time
	hinted   int
	// slowFrom is when slow start began, zero when it did not.
	slowFrom time.Time
}

type policy struct {
	rand   *rand.Rand
	leaves []leaf
	peers  health.Peers
	// mean is the moving average of latency over all leaves, seconds; a leaf
	// that has not answered yet is taken to be like the others.
	mean float64
}

// New returns an independent instance.
func New(cfg plugin.RoutingConfig) plugin.Routing { return &policy{rand: cfg.Rand} }

// leaf returns the state of the key, which is made when it is new.
func (p *policy) leaf(key int) *leaf {
	for key >= len(p.leaves) {
		p.leaves = append(p.leaves, leaf{})
	}
	return &p.leaves[key]
}

// Usable is false for an ejected leaf until its probe is due.
func (p *policy) Usable(key int, now time.Time) bool { return p.leaf(key).health.Usable(now) }

// Pick compares two random candidates.
func (p *policy) Pick(candidates []plugin.Candidate, now time.Time) (int, string) {
	if len(candidates) == 1 {
		return 0, p.picked(candidates[0].Key, "only choice", now)
	}
	i := p.rand.IntN(len(candidates))
	j := p.rand.IntN(len(candidates) - 1)
	if j >= i {
		j++
	}
	if p.cost(candidates[j], now) < p.cost(candidates[i], now) {
		i = j
	}
	return i, p.picked(candidates[i].Key, "cheaper of two", now)
}

// picked notes a probe of an ejected leaf.
func (p *policy) picked(key int, why string, now time.Time) string {
	if p.leaf(key).health.StartProbe(now) {
		return "probe"
	}
	return why
}

// cost is the expected time until the attempt would end. A leaf that fails
// fast is never idle for long, so failures make it dearer: it must not draw
// the work that it declines.
func (p *policy) cost(c plugin.Candidate, now time.Time) float64 {
	l := p.leaf(c.Key)
	mean := l.mean
	if mean == 0 {
		mean = p.mean
	}
	cost := float64(c.InFlight+1) * mean / (1 - min(l.health.FailureRate, mostFailures))
	if !c.Local {
		cost *= remoteFactor
	}
	if l.hinted > 0 && now.Sub(l.hintedAt) < hintAge {
		cost *= hintFactor
	}
	return cost * l.slow(now)
}

// slow is the factor of slow start, which falls to 1.
func (l *leaf) slow(now time.Time) float64 {
	if l.slowFrom.IsZero() {
		return 1
	}
	left := 1 - float64(now.Sub(l.slowFrom))/float64(slowStart)
	return 1 + max(0, left)*(slowFactor-1)
}

// RecordResult teaches latency and health.
func (p *policy) RecordResult(key int, s plugin.AttemptResult, now time.Time) {
	l := p.leaf(key)
	if s.OK {
		health.UpdateMean(&l.mean, s.Latency.Seconds(), latencyGain)
		health.UpdateMean(&p.mean, s.Latency.Seconds(), latencyGain)
	}
	gain := health.OutcomeWeight(s, p.mean)
	if s.Cancelled && gain > 0 {
		health.UpdateMean(&l.mean, s.Latency.Seconds(), latencyGain) // it took at least that long
	}
	if p.peers.RecordOutcome(&l.health, len(p.leaves), !s.OK, gain, now) {
		l.slowFrom = now
	}
}

// RecordLoadHint keeps the load endpoint's word as a bounded nudge.
func (p *policy) RecordLoadHint(key, _, queued int, now time.Time) {
	l := p.leaf(key)
	l.hinted, l.hintedAt = queued, now
}
