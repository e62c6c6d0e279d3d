// Package nearest is the routing policy that prefers a leaf of the entry's own zone as long as
// it is expected to answer about as soon as the others. Traffic between zones is expensive,
// and an early answer is worth no more than one that is in time. The policy estimates the
// delay of each leaf from replies and from cancelled attempts, and recognizes a leaf that
// pauses by the age of its oldest attempt.
package nearest

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/plugin"
	"github.com/fuchsiaroad/fuchsiaroad/plugins/internal/health"
)

// Name is the name under which the policy is registered.
const Name = "nearest"

const (
	// crossZoneCost is how much sooner a leaf of another zone must be expected to answer to
	// be chosen: a fifth of the usual latency objective of a query over shards (100 ms).
	// A query can wait that long for a part and still be answered in time.
	crossZoneCost = 0.020 // seconds
	// delayWeight is the weight of one outcome in a leaf's moving average of delay. Two
	// outcomes are enough to recognize a leaf that has become slow.
	delayWeight = 0.3
	// An attempt that was given up would have taken at least as long as it ran. If two late
	// ones end without a reply between them, further apart than a short pause of a leaf
	// (120 ms), the leaf has stopped answering: the delay is then multiplied by
	// unansweredFactor and weighted with unansweredWeight. Without this, attempts that are
	// given up after 40 ms, when a hedge is answered, left such a leaf of the own zone
	// cheaper than one of another zone for four attempts.
	unansweredGap    = 150 * time.Millisecond
	unansweredFactor = 3
	unansweredWeight = 0.6
	// allLeavesWeight is the weight of one reply in the average over all leaves.
	allLeavesWeight = 0.02
	// forgetTime is the time constant with which a leaf's delay returns to the average over
	// all leaves while no outcome confirms it. A leaf that was slow is thus tried again
	// after about three seconds.
	forgetTime = 2.0 // seconds
	// inFlightShare is the share of a leaf's expected delay that each attempt in flight adds
	// to it. It is less than 1, as a leaf runs at least two attempts at once.
	inFlightShare = 0.5
	// overdueFactor times a leaf's expected delay is the age from which an attempt in flight
	// shows that the leaf pauses. The same factor times the average over all leaves makes
	// an attempt that was given up late.
	overdueFactor = 2.5
	// maxFailureRate bounds the failure rate in a leaf's cost, which is divided by one minus
	// that rate.
	maxFailureRate = 0.95
	// slowStartTime is how long the cost of a leaf is raised after its ejection, at first
	// by slowStartFactor.
	slowStartTime   = 3.0 // seconds
	slowStartFactor = 3.0
)

// leaf is the state of one leaf.
type leaf struct {
	delay     float64   // moving average, seconds; 0: unknown
	updatedAt time.Time // of the delay
	// unansweredAt is when the first late attempt since the last reply was given up; zero
	// if there is none.
	unansweredAt time.Time
	health       health.Leaf
	readmittedAt time.Time // when the last ejection ended
	reportedAt   time.Time // when another instance last saw the leaf slow
}

type policy struct {
	rand         *rand.Rand
	leaves       []leaf
	peers        health.Peers
	delay        float64              // moving average over all leaves, seconds
	observations []plugin.Observation // to be shared
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

// Pick returns the candidate with the least cost. The random start of the search picks one of
// several with equal costs.
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

// nearBestMargin is how much more than the best candidate's cost another one's may be to count
// as about as good: a tenth of the usual latency objective of a query over shards (100 ms).
const nearBestMargin = 0.010 // seconds

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
		if i != best && cost <= costs[best]+nearBestMargin {
			out = append(out, i)
		}
	}
	return out
}

// cost is the expected delay in seconds, raised for failures, slow start and another zone.
func (p *policy) cost(c plugin.Candidate, now time.Time) float64 {
	l := p.leaf(c.Key)
	delay := p.expectedDelay(l, now)
	cost := delay * (1 + inFlightShare*float64(c.InFlight))
	if oldest := c.OldestAge.Seconds(); oldest > overdueFactor*delay {
		cost = max(cost, oldest)
	}
	cost = cost / (1 - min(l.health.FailureRate, maxFailureRate)) * l.slowStart(now)
	if !c.Local {
		cost += crossZoneCost
	}
	return cost
}

// expectedDelay is the leaf's delay in seconds, moved toward the average over all leaves by the
// time since its last update.
func (p *policy) expectedDelay(l *leaf, now time.Time) float64 {
	if l.delay == 0 {
		return p.delay
	}
	weight := math.Exp(-now.Sub(l.updatedAt).Seconds() / forgetTime)
	return p.delay + (l.delay-p.delay)*weight
}

// slowStart is the factor by which the leaf's cost is raised after an ejection; it falls to 1.
func (l *leaf) slowStart(now time.Time) float64 {
	if l.readmittedAt.IsZero() {
		return 1
	}
	left := 1 - now.Sub(l.readmittedAt).Seconds()/slowStartTime
	return 1 + max(0, left)*(slowStartFactor-1)
}

// RecordResult updates the leaf's delay and health.
func (p *policy) RecordResult(key int, r plugin.AttemptResult, now time.Time) {
	l := p.leaf(key)
	switch {
	case r.OK:
		l.unansweredAt = time.Time{}
		p.updateDelay(l, r.Latency.Seconds(), delayWeight, now)
		health.UpdateMean(&p.delay, r.Latency.Seconds(), allLeavesWeight)
	case r.Cancelled, r.TimedOut:
		p.recordUnanswered(l, r.Latency.Seconds(), now)
	}
	p.recordObservation(key, r, now)
	if p.peers.RecordOutcome(&l.health, len(p.leaves), r, health.OutcomeWeight(r, p.delay), now) {
		l.readmittedAt = now
	}
}

// recordUnanswered updates the delay by an attempt that was cancelled or reached its deadline.
// It would have taken at least as long as it ran.
func (p *policy) recordUnanswered(l *leaf, elapsed float64, now time.Time) {
	late := elapsed > overdueFactor*p.delay
	if late && l.unansweredAt.IsZero() {
		l.unansweredAt = now
	}
	if late && now.Sub(l.unansweredAt) >= unansweredGap {
		p.updateDelay(l, unansweredFactor*elapsed, unansweredWeight, now)
		return
	}
	if elapsed > p.expectedDelay(l, now) {
		p.updateDelay(l, elapsed, delayWeight, now)
	}
}

// updateDelay adds one delay to the leaf's average, after moving the average toward that of all
// leaves by the time since its last update.
func (p *policy) updateDelay(l *leaf, elapsed, weight float64, now time.Time) {
	if l.delay != 0 {
		l.delay = p.expectedDelay(l, now)
	}
	health.UpdateMean(&l.delay, elapsed, weight)
	l.updatedAt = now
}

// Bounds on the observations that are shared with other instances.
const (
	// slowFactor times the average delay over all leaves is the delay from which an outcome
	// is slow.
	slowFactor = 3
	// failedElapsed is reported as the delay of an attempt that failed.
	failedElapsed = 500 * time.Millisecond
	// recoveryReportTime is how long after another instance saw a leaf slow a reply in the
	// usual time is shared.
	recoveryReportTime = 3 * time.Second
	// maxPendingObservations bounds the observations that wait to be shared.
	maxPendingObservations = 128
)

// recordObservation keeps an outcome that is to be shared: a slow or failed one, or a reply in
// the usual time from a leaf that another instance reported as slow.
func (p *policy) recordObservation(key int, r plugin.AttemptResult, now time.Time) {
	if len(p.observations) >= maxPendingObservations || p.delay == 0 {
		return
	}
	observation := plugin.Observation{Key: key, Elapsed: r.Latency, At: now}
	switch late := r.Latency.Seconds() > slowFactor*p.delay; {
	case r.Failed:
		observation.Elapsed, observation.Slow = failedElapsed, true
	case late && (r.OK || r.Cancelled || r.TimedOut):
		observation.Slow = true
	case r.OK && now.Sub(p.leaf(key).reportedAt) < recoveryReportTime:
	default:
		return
	}
	p.observations = append(p.observations, observation)
}

// Observations implements plugin.ObservationSharer.
func (p *policy) Observations() []plugin.Observation {
	out := p.observations
	p.observations = nil
	return out
}

// PeerReported implements plugin.ObservationSharer. A report that is older than this instance's
// own last outcome at the leaf is ignored.
func (p *policy) PeerReported(key int, elapsed time.Duration, at time.Time) {
	l := p.leaf(key)
	if !at.After(l.updatedAt) || !at.After(l.reportedAt) {
		return
	}
	l.reportedAt = at
	l.delay = max(p.expectedDelay(l, at), elapsed.Seconds())
	// The random delay keeps the instances from trying the leaf again at the same moment.
	l.updatedAt = at.Add(time.Duration(p.rand.Float64() * float64(forgetSpread)))
}

// forgetSpread bounds the random delay until an instance starts to forget a peer's report.
const forgetSpread = 1500 * time.Millisecond

// RecordLoadHint ignores the hint, as load endpoints lag.
func (p *policy) RecordLoadHint(int, int, int, time.Time) {}
