package executor

import (
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/entry/telemetry"
)

// reportLateSend counts and logs an attempt that is being sent to a leaf that has left, or by a
// list of leaves older than the freshness bound.
func (e *Executor) reportLateSend(a *attempt) {
	age := e.leavesAge()
	reason := e.lateSendReason(a.leafID, age)
	if reason == "" {
		return
	}
	e.config.Metrics.CountLateSend(reason)
	e.logDecision(a, telemetry.Decision{
		Component: prefixDispatch, Event: "late send", Leaf: a.leafID, Reason: reason, Duration: time.Since(a.started), Class: telemetry.Failure,
		Extra: []any{"leaves_age", age},
	})
}

// Reasons of a late send, label values of the metrics.
const (
	lateSendLeaving = "leaf has left"
	lateSendStale   = "list of leaves is stale"
)

// lateSendReason returns why a send to a leaf is late, or "".
func (e *Executor) lateSendReason(leafID string, leavesAge time.Duration) string {
	switch {
	case e.leafState.isLeaving(leafID):
		return lateSendLeaving
	case e.config.FreshnessBound != nil && leavesAge > e.config.FreshnessBound():
		return lateSendStale
	default:
		return ""
	}
}

// leavesAge returns the age of the list of leaves in force, 0 if it is unknown.
func (e *Executor) leavesAge() time.Duration {
	if e.config.Ages == nil {
		return 0
	}
	_, leaves := e.config.Ages()
	return leaves
}
