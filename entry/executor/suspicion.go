package executor

import (
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/entry/telemetry"
)

// sawRun notes that a leaf ran the request to its end: it breaks none.
func (r *run) sawRun() {
	if !r.ran.Swap(true) {
		r.executor.quarantine.ran(r.fingerprint)
	}
}

// lost notes that the connection to a leaf ended under an attempt, and reports
// whether that counts as the leaf's crash. It does once the request is suspected: a
// fan-out is when half of the shards that it asks have been lost and none has answered, since what
// breaks a leaf breaks each that runs it, and fewer losses have other causes.
func (e *Executor) lost(a *attempt) bool {
	r := a.run
	switch {
	case e.config.LostToSuspect <= 0 || r.ran.Load():
		return false
	case r.suspect.Load():
		return true
	}
	enough := max(e.config.LostToSuspect, int(r.direct.Load())/2)
	suspect, actions := e.quarantine.lost(r.fingerprint, e.leafState.life(a.leafID), enough, time.Now())
	if !suspect {
		return false
	}
	r.suspect.Store(true)
	e.decide(a, telemetry.Decision{Component: partQuery, Event: "suspect", Leaf: a.leafID, Reason: r.fingerprint, Extra: []any{"lost", enough}})
	e.carryOut(actions)
	return true
}
