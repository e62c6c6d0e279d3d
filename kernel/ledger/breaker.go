package ledger

import (
	"math/rand/v2"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/backoff"
)

// BreakerEvent is an input of the Breaker.
type BreakerEvent interface{ isBreakerEvent() }

// CallSucceeded reports that the store answered a write, by success or conflict.
type CallSucceeded struct{}

// CallFailed reports that the store did not answer a call or rate-limited it.
type CallFailed struct{ RetryAfter time.Duration }

// ProbeSucceeded reports that the store answered a probe.
type ProbeSucceeded struct{}

// ProbeFailed reports that a probe failed or was rate-limited.
type ProbeFailed struct{ RetryAfter time.Duration }

// BreakerTick reports that the time of a BreakerWakeAt has come.
type BreakerTick struct{}

func (CallSucceeded) isBreakerEvent()  {}
func (CallFailed) isBreakerEvent()     {}
func (ProbeSucceeded) isBreakerEvent() {}
func (ProbeFailed) isBreakerEvent()    {}
func (BreakerTick) isBreakerEvent()    {}

// BreakerAction is an output of the Breaker.
type BreakerAction interface{ isBreakerAction() }

// RefuseClaims asks the buckets to refuse claims without calling the store.
type RefuseClaims struct{ RetryAfter time.Duration }

// AcceptClaims asks the buckets to accept claims again.
type AcceptClaims struct{}

// Probe asks for one read that shows whether the store is back.
type Probe struct{}

// BreakerWakeAt asks for a BreakerTick at or after At.
type BreakerWakeAt struct{ At time.Time }

func (RefuseClaims) isBreakerAction()  {}
func (AcceptClaims) isBreakerAction()  {}
func (Probe) isBreakerAction()         {}
func (BreakerWakeAt) isBreakerAction() {}

// Breaker is the circuit breaker between all buckets of an instance and the
// store. While it refuses claims, one probe at a time is sent, with growing
// jittered delays, instead of a call per bucket and claim. A probe only reads,
// so only a successful write resets the delays. A new Breaker refuses claims,
// and its first probe is due at once.
type Breaker struct {
	// FailureThreshold is the number of consecutive failed calls after which
	// the Breaker refuses claims.
	FailureThreshold int

	rng                 *rand.Rand
	backoff             backoff.Backoff
	accepting           bool
	probing             bool
	consecutiveFailures int
	probeAt             time.Time
}

// NewBreaker returns a Breaker that refuses claims until the first probe
// succeeds, and again after failureThreshold consecutive failures. cfg gives
// the bounds of the delay between probes.
func NewBreaker(failureThreshold int, cfg Config, rng *rand.Rand) *Breaker {
	return &Breaker{
		FailureThreshold: failureThreshold,
		rng:              rng,
		backoff:          backoff.Backoff{Min: cfg.RetryMin, Max: cfg.RetryMax},
	}
}

// Handle applies an event and returns the actions to take.
func (b *Breaker) Handle(event BreakerEvent, now time.Time) []BreakerAction {
	switch e := event.(type) {
	case CallSucceeded:
		b.consecutiveFailures = 0
		b.backoff.Reset()
	case CallFailed:
		b.consecutiveFailures++
		if b.accepting && b.consecutiveFailures >= b.FailureThreshold {
			b.accepting = false
			return b.scheduleProbe(e.RetryAfter, now)
		}
	case ProbeSucceeded:
		b.probing = false
		b.accepting = true
		b.consecutiveFailures = 0
		return []BreakerAction{AcceptClaims{}}
	case ProbeFailed:
		b.probing = false
		return b.scheduleProbe(e.RetryAfter, now)
	case BreakerTick:
		if !b.accepting && !b.probing && !now.Before(b.probeAt) {
			b.probing = true
			return []BreakerAction{Probe{}}
		}
	}
	return nil
}

// scheduleProbe schedules the next probe, after at least the delay that the
// store asked for, up to the backoff's maximum.
func (b *Breaker) scheduleProbe(minDelay time.Duration, now time.Time) []BreakerAction {
	delay := max(b.backoff.Next(b.rng), min(minDelay, b.backoff.Max))
	b.probeAt = now.Add(delay)
	return []BreakerAction{RefuseClaims{RetryAfter: delay}, BreakerWakeAt{At: b.probeAt}}
}
