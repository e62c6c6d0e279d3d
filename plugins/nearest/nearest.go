// Package nearest prefers a leaf of the entry's own zone as long as it is
// expected to answer about as soon as another: bytes between zones are dear, and
// an answer that is early has no more value than one that is in time. It learns
// the delay of each leaf from replies and from attempts that were cancelled, and
// notices a leaf that pauses by its oldest attempt.
package nearest

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/plugin"
	"github.com/fuchsiaroad/fuchsiaroad/plugins/internal/health"
)

// Name is the name that the policy registers under.
const Name = "nearest"

const (
	// crossing is how much sooner a leaf of another zone must be expected to
	// answer: a fifth of the usual objective of a query over shards (100 ms),
	// which a part of a query that answers in time does not miss.
	crossing = 0.020 // seconds
	// delayGain weighs one outcome in a leaf's moving average of delay. A leaf
	// that turned slow is known after two.
	delayGain = 0.3
	// An attempt that was given up took at least as long as it was out. Two without
	// a reply between them, further apart than leaves pause for a moment (120 ms),
	// show a silent leaf: its delay counts silentTimes as long, with silentGain.
	// Alone, the 40 ms after which hedges answer left a silent leaf of the own zone
	// cheaper than one of another for four attempts.
	silentAfter = 150 * time.Millisecond
	silentTimes = 3
	silentGain  = 0.6
	// poolGain weighs one reply in the average over all leaves.
	poolGain = 0.02
	// forget is the time constant with which a delay that is not confirmed falls
	// back to that of the others, so that a leaf which was slow is tried again
	// after about three seconds.
	forget = 2.0 // seconds
	// busyShare is what one attempt in flight adds to a leaf's expected delay,
	// as a share of it: a leaf runs at least two at once.
	busyShare = 0.5
	// overdue times the usual delay makes the oldest attempt in flight a sign
	// that the leaf pauses.
	overdue = 2.5
	// mostFailures bounds the factor that failures add to a leaf's cost.
	mostFailures = 0.95
	// slowStart is how long a leaf that was ejected counts as dearer, at first
	// by slowFactor.
	slowStart  = 3.0 // seconds
	slowFactor = 3.0
)

// leaf is what the policy knows of one leaf.
type leaf struct {
	delay    float64 // moving average, seconds; 0: unknown
	learntAt time.Time
	// unansweredAt is when the first late attempt since the last reply was given
	// up; zero when none was.
	unansweredAt time.Time
	health       health.Leaf
	backAt       time.Time // when an ejected leaf came back
	reportedAt   time.Time // when others last saw it slow
}

type policy struct {
	rand         *rand.Rand
	leaves       []leaf
	peers        health.Peers
	delay        float64 // moving average over all leaves, seconds
	observations []plugin.Observation
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

// Pick takes the candidate with the least cost, one of equals by chance.
func (p *policy) Pick(candidates []plugin.Candidate, now time.Time) (int, string) {
	best, least := 0, math.Inf(1)
	start := p.rand.IntN(len(candidates))
	for k := range candidates {
		i := (start + k) % len(candidates)
		if cost := p.cost(candidates[i], now); cost < least {
			best, least = i, cost
		}
	}
	c := candidates[best]
	switch {
	case p.leaf(c.Key).health.StartProbe(now):
		return best, "probe"
	case len(candidates) == 1:
		return best, "only choice"
	case c.Local:
		return best, "least delay, own zone"
	default:
		return best, "least delay, other zone"
	}
}

// about is by how much later than the best a candidate may be expected to answer and
// still count as about as good: a tenth of the usual objective of a query over shards
// (100 ms).
const about = 0.010 // seconds

// NearBest implements plugin.NearBestLister.
func (p *policy) NearBest(candidates []plugin.Candidate, now time.Time) []int {
	best := 0
	costs := make([]float64, len(candidates))
	for i, c := range candidates {
		costs[i] = p.cost(c, now)
		if costs[i] < costs[best] {
			best = i
		}
	}
	out := []int{best}
	for i, cost := range costs {
		if i != best && cost <= costs[best]+about {
			out = append(out, i)
		}
	}
	return out
}

// cost is the expected delay in seconds, with the price of crossing zones.
func (p *policy) cost(c plugin.Candidate, now time.Time) float64 {
	l := p.leaf(c.Key)
	delay := p.expected(l, now)
	cost := delay * (1 + busyShare*float64(c.InFlight))
	if oldest := c.OldestAge.Seconds(); oldest > overdue*delay {
		cost = max(cost, oldest)
	}
	cost = cost / (1 - min(l.health.FailureRate, mostFailures)) * l.slow(now)
	if !c.Local {
		cost += crossing
	}
	return cost
}

// expected is a leaf's delay as far as it is still known.
func (p *policy) expected(l *leaf, now time.Time) float64 {
	if l.delay == 0 {
		return p.delay
	}
	kept := math.Exp(-now.Sub(l.learntAt).Seconds() / forget)
	return p.delay + (l.delay-p.delay)*kept
}

// slow is the factor of slow start, which falls to 1.
func (l *leaf) slow(now time.Time) float64 {
	if l.backAt.IsZero() {
		return 1
	}
	left := 1 - now.Sub(l.backAt).Seconds()/slowStart
	return 1 + max(0, left)*(slowFactor-1)
}

// RecordResult teaches delay and health. An attempt that was cancelled, or that met
// its deadline, took at least as long as it was out.
func (p *policy) RecordResult(key int, s plugin.AttemptResult, now time.Time) {
	l := p.leaf(key)
	switch {
	case s.OK:
		l.unansweredAt = time.Time{}
		p.learn(l, s.Latency.Seconds(), delayGain, now)
		health.UpdateMean(&p.delay, s.Latency.Seconds(), poolGain)
	case s.Cancelled, s.TimedOut:
		p.givenUp(l, s.Latency.Seconds(), now)
	}
	p.sight(key, s, now)
	if p.peers.RecordOutcome(&l.health, len(p.leaves), !s.OK, health.OutcomeWeight(s, p.delay), now) {
		l.backAt = now
	}
}

// givenUp teaches an attempt that ended without a reply.
func (p *policy) givenUp(l *leaf, took float64, now time.Time) {
	late := took > overdue*p.delay
	if late && l.unansweredAt.IsZero() {
		l.unansweredAt = now
	}
	if late && now.Sub(l.unansweredAt) >= silentAfter {
		p.learn(l, silentTimes*took, silentGain, now)
		return
	}
	if took > p.expected(l, now) {
		p.learn(l, took, delayGain, now)
	}
}

// learn adds one delay to a leaf's average. What was known and not confirmed
// since has faded first.
func (p *policy) learn(l *leaf, took, gain float64, now time.Time) {
	if l.delay != 0 {
		l.delay = p.expected(l, now)
	}
	health.UpdateMean(&l.delay, took, gain)
	l.learntAt = now
}

// Bounds of what is sent to other instances.
const (
	// slowTimes the usual delay makes an outcome slow.
	slowTimes = 3
	// failedTook stands for the delay of an attempt that failed.
	failedTook = 500 * time.Millisecond
	// clearFor is for how long after others saw a leaf slow a good reply is sent.
	clearFor = 3 * time.Second
	// mostObservations bounds what waits to be sent.
	mostObservations = 128
)

// sight keeps an outcome that others should know of.
func (p *policy) sight(key int, s plugin.AttemptResult, now time.Time) {
	if len(p.observations) >= mostObservations || p.delay == 0 {
		return
	}
	seen := plugin.Observation{Key: key, Elapsed: s.Latency, At: now}
	switch late := s.Latency.Seconds() > slowTimes*p.delay; {
	case s.Failed:
		seen.Elapsed, seen.Slow = failedTook, true
	case late && (s.OK || s.Cancelled || s.TimedOut):
		seen.Slow = true
	case s.OK && now.Sub(p.leaf(key).reportedAt) < clearFor:
	default:
		return
	}
	p.observations = append(p.observations, seen)
}

// Observations implements plugin.ObservationSharer.
func (p *policy) Observations() []plugin.Observation {
	out := p.observations
	p.observations = nil
	return out
}

// PeerReported implements plugin.ObservationSharer. What this instance has seen since counts more.
func (p *policy) PeerReported(key int, took time.Duration, at time.Time) {
	l := p.leaf(key)
	if !at.After(l.learntAt) || !at.After(l.reportedAt) {
		return
	}
	l.reportedAt = at
	l.delay = max(p.expected(l, at), took.Seconds())
	// Instances forget at different times, so that not all of them try the leaf
	// again at the same moment.
	l.learntAt = at.Add(time.Duration(p.rand.Float64() * float64(forgetSpread)))
}

// forgetSpread is by how much later some instances forget what they were sent.
const forgetSpread = 1500 * time.Millisecond

// RecordLoadHint is not used: what load endpoints say lags.
func (p *policy) RecordLoadHint(int, int, int, time.Time) {}
