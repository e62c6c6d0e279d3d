package executor

import (
	"context"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/entry/telemetry"
)

// An attempt's leaf is chosen some time before the request is sent: in between come a wait for a
// connection and, for a suspect, a claim, and the process may stand still for any time. So
// whether the leaf may still get work is checked again right before the bytes are written.

// withholdReason says why an attempt is not sent although it has a leaf and a connection. It is a
// label value of the metrics.
type withholdReason string

const (
	withholdLeaving withholdReason = "leaf is leaving"
	withholdStale   withholdReason = "list of leaves is stale"
)

// awaitCurrentState waits until the state in force may be acted on, and returns false if the
// attempt's context ends first.
func (e *Executor) awaitCurrentState(ctx context.Context) bool {
	return e.config.State == nil || e.config.State.Await(ctx)
}

// reasonToWithhold returns why an attempt must not be sent to its leaf now, or "".
func (e *Executor) reasonToWithhold(a *attempt) withholdReason {
	switch {
	case e.config.State != nil && !e.config.State.IsCurrent():
		return withholdStale
	case e.leafState.isLeaving(a.leafID):
		return withholdLeaving
	default:
		return ""
	}
}

// reportWithheld counts and logs an attempt that is not sent.
func (e *Executor) reportWithheld(a *attempt, reason withholdReason) {
	e.config.Metrics.CountWithheld(string(reason))
	d := telemetry.Decision{
		Component: prefixDispatch, Event: "withheld", Leaf: a.leafID, Reason: string(reason), Duration: time.Since(a.started), Class: telemetry.Outcome,
	}
	d.Extra = e.leavesAttrs()
	e.logDecision(a, d)
}

// logSend logs a request that is about to be written to a leaf, and the time since the leaf was
// chosen.
func (e *Executor) logSend(a *attempt) {
	if !e.config.Log.DecisionsEnabled() {
		return
	}
	e.logDecision(a, telemetry.Decision{
		Component: prefixDispatch, Event: "sent", Leaf: a.leafID, Duration: time.Since(a.started), Extra: e.leavesAttrs(), Class: telemetry.Send,
	})
}

// leavesAttrs returns the keys and values that describe the list of leaves in force in a log line.
func (e *Executor) leavesAttrs() []any {
	if e.config.StateInfo == nil {
		return nil
	}
	info := e.config.StateInfo()
	return []any{"leaves_age", info.LeavesAge, "leaves_revision", info.LeavesRevision}
}
