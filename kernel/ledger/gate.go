package ledger

import (
	"math/rand/v2"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/backoff"
)

// GateEvent is an input of the gate.
type GateEvent interface{ isGateEvent() }

// CallDone says that the store took a write, or answered it by a conflict.
type CallDone struct{}

// CallFailed says that the store did not answer, or refused a call for its rate.
type CallFailed struct{ RetryAfter time.Duration }

// ProbeDone says that a probe succeeded.
type ProbeDone struct{}

// ProbeFailed says that a probe failed.
type ProbeFailed struct{ RetryAfter time.Duration }

// GateTick says that a time asked for by GateWakeAt has come.
type GateTick struct{}

func (CallDone) isGateEvent()    {}
func (CallFailed) isGateEvent()  {}
func (ProbeDone) isGateEvent()   {}
func (ProbeFailed) isGateEvent() {}
func (GateTick) isGateEvent()    {}

// GateAction is an output of the gate.
type GateAction interface{ isGateAction() }

// Close asks to refuse claims at once.
type Close struct{ RetryAfter time.Duration }

// Open asks to take claims again.
type Open struct{}

// Probe asks for one call that tells whether the store is back.
type Probe struct{}

// GateWakeAt asks for a GateTick at or after At.
type GateWakeAt struct{ At time.Time }

func (Close) isGateAction()      {}
func (Open) isGateAction()       {}
func (Probe) isGateAction()      {}
func (GateWakeAt) isGateAction() {}

// Gate decides for all buckets of an entry whether the store takes claims.
// While it is closed one probe at a time is made, with growing jittered delays,
// in place of a call per bucket and claim. A probe only reads, so the delays
// begin anew only when a write succeeds. It begins closed, with a probe due.
type Gate struct {
	// Failures in a row close the gate.
	Failures int

	rng     *rand.Rand
	backoff backoff.Backoff
	open    bool
	probing bool
	failed  int
	probeAt time.Time
}

// NewGate makes a closed gate that closes again after failures in a row.
func NewGate(failures int, cfg Config, rng *rand.Rand) *Gate {
	return &Gate{
		Failures: failures,
		rng:      rng,
		backoff:  backoff.Backoff{Min: cfg.RetryMin, Max: cfg.RetryMax},
	}
}

// Handle takes in an event and gives what is to be done.
func (g *Gate) Handle(event GateEvent, now time.Time) []GateAction {
	switch e := event.(type) {
	case CallDone:
		g.failed = 0
		g.backoff.Reset()
	case CallFailed:
		g.failed++
		if g.open && g.failed >= g.Failures {
			g.open = false
			return g.close(e.RetryAfter, now)
		}
	case ProbeDone:
		g.probing = false
		g.open = true
		g.failed = 0
		return []GateAction{Open{}}
	case ProbeFailed:
		g.probing = false
		return g.close(e.RetryAfter, now)
	case GateTick:
		if !g.open && !g.probing && !now.Before(g.probeAt) {
			g.probing = true
			return []GateAction{Probe{}}
		}
	}
	return nil
}

// close plans the next probe.
func (g *Gate) close(hint time.Duration, now time.Time) []GateAction {
	delay := max(g.backoff.Next(g.rng), min(hint, g.backoff.Max))
	g.probeAt = now.Add(delay)
	return []GateAction{Close{RetryAfter: delay}, GateWakeAt{At: g.probeAt}}
}
