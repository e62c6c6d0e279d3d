package executor

import (
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/entry/telemetry"
)

// recordCompletion records that a leaf ran the request to completion, so that the request
// isn't suspected of crashing leaves.
func (r *run) recordCompletion() {
	if !r.completed.Swap(true) {
		r.executor.clearLosses(r.fingerprint)
	}
}

// recordLeafLoss records that the connection to a leaf ended under an attempt, and reports
// whether that counts as a crash of the leaf. It does once the request is suspected. A
// fan-out is suspected when as many leaves were lost as half of the shards to which this
// instance has sent it, and none has replied: a request that crashes a leaf crashes each
// leaf that runs it, and fewer losses have other causes.
func (e *Executor) recordLeafLoss(a *attempt) bool {
	r := a.run
	switch {
	case e.config.SuspectAfterLosses <= 0 || r.completed.Load():
		return false
	case r.suspected.Load():
		return true
	}
	threshold := max(e.config.SuspectAfterLosses, int(r.sentShards.Load())/2)
	suspect, actions := e.quarantine.recordLoss(r.fingerprint, e.leafState.incarnation(a.leafID), threshold, time.Now())
	if !suspect {
		e.saveLosses(r.fingerprint)
		return false
	}
	r.suspected.Store(true)
	e.logDecision(a, telemetry.Decision{Component: prefixQuery, Event: "suspect", Leaf: a.leafID, Reason: r.fingerprint, Extra: []any{"lost", threshold}})
	e.applyQuarantineActions(actions, fromLeaf)
	e.saveSuspect(r.fingerprint)
	return true
}
