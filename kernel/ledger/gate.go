package ledger

import (
	"math/rand/v2"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/backoff"
)

// BreakerEvent is an input of the gate.
type BreakerEvent interface{ isGateEvent() }

// CallSucceeded says that the store took a write, or answered it by a conflict.
type CallSucceeded struct{}

// CallFailed says that the store did not answer, or refused a call for its rate.
type CallFailed struct{ RetryAfter time.Duration }

// ProbeSucceeded says that a probe succeeded.
type ProbeSucceeded struct{}

// ProbeFailed says that a probe failed.
type ProbeFailed struct{ RetryAfter time.Duration }

// BreakerTick says that a time asked for by GateWakeAt has come.
type BreakerTick struct{}

func (CallSucceeded) isGateEvent()  {}
func (CallFailed) isGateEvent()     {}
func (ProbeSucceeded) isGateEvent() {}
func (ProbeFailed) isGateEvent()    {}
func (BreakerTick) isGateEvent()    {}

// BreakerAction is an output of the gate.
type BreakerAction interface{ isGateAction() }

// RefuseClaims asks to refuse claims at once.
type RefuseClaims struct{ RetryAfter time.Duration }

// AcceptClaims asks to take claims again.
type AcceptClaims struct{}

// Probe asks for one call that tells whether the store is back.
type Probe struct{}

// BreakerWakeAt asks for a GateTick at or after At.
type BreakerWakeAt struct{ At time.Time }

func (RefuseClaims) isGateAction()  {}
func (AcceptClaims) isGateAction()  {}
func (Probe) isGateAction()         {}
func (BreakerWakeAt) isGateAction() {}

// Breaker decides for all buckets of an entry whether the store takes claims.
// While it is closed one probe at a time is made, with growing jittered delays,
// in place of a call per bucket and claim. A probe only reads, so the delays
// begin anew only when a write succeeds. It begins closed, with a probe due.
type Breaker struct {
	// FailureThreshold in a row close the gate.
	FailureThreshold int

	rng     *rand.Rand
	backoff backoff.Backoff
	open    bool
	probing bool
	failed  int
	probeAt time.Time
}

// NewBreaker makes a closed gate that closes again after failures in a row.
func NewBreaker(failures int, cfg Config, rng *rand.Rand) *Breaker {
	return &Breaker{
		FailureThreshold: failures,
		rng:              rng,
		backoff:          backoff.Backoff{Min: cfg.RetryMin, Max: cfg.RetryMax},
	}
}

// Handle takes in an event and gives what is to be done.
func (g *Breaker) Handle(event BreakerEvent, now time.Time) []BreakerAction {
	switch e := event.(type) {
	case CallSucceeded:
		g.failed = 0
		g.backoff.Reset()
	case CallFailed:
		g.failed++
		if g.open && g.failed >= g.FailureThreshold {
			g.open = false
			return g.close(e.RetryAfter, now)
		}
	case ProbeSucceeded:
		g.probing = false
		g.open = true
		g.failed = 0
		return []BreakerAction{AcceptClaims{}}
	case ProbeFailed:
		g.probing = false
		return g.close(e.RetryAfter, now)
	case BreakerTick:
		if !g.open && !g.probing && !now.Before(g.probeAt) {
			g.probing = true
			return []BreakerAction{Probe{}}
		}
	}
	return nil
}

// close plans the next probe.
func (g *Breaker) close(hint time.Duration, now time.Time) []BreakerAction {
	delay := max(g.backoff.Next(g.rng), min(hint, g.backoff.Max))
	g.probeAt = now.Add(delay)
	return []BreakerAction{RefuseClaims{RetryAfter: delay}, BreakerWakeAt{At: g.probeAt}}
}
