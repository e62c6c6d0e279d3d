package executor

import (
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/entry/telemetry"
)

// sawRun notes that a leaf ran the request to its end: it breaks none.
func (r *run) recordCompletion() {
	if !r.completed.Swap(true) {
		r.executor.quarantine.recordSuccess(r.fingerprint)
	}
}

// lost notes that the connection to a leaf ended under an attempt, and reports
// whether that counts as the leaf's crash. It does once the request is suspected: a
// fan-out is when half of the shards that it asks have been lost and none has answered, since what
// breaks a leaf breaks each that runs it, and fewer losses have other causes.
func (e *Executor) recordLeafLoss(a *attempt) bool {
	r := a.run
	switch {
	case e.config.SuspectAfterLosses <= 0 || r.completed.Load():
		return false
	case r.suspected.Load():
		return true
	}
	enough := max(e.config.SuspectAfterLosses, int(r.directShards.Load())/2)
	suspect, actions := e.quarantine.recordLoss(r.fingerprint, e.leafState.incarnation(a.leafID), enough, time.Now())
	if !suspect {
		return false
	}
	r.suspected.Store(true)
	e.logDecision(a, telemetry.Decision{Part: prefixQuery, What: "suspect", Leaf: a.leafID, Why: r.fingerprint, More: []any{"lost", enough}})
	e.applyQuarantineActions(actions)
	return true
}
