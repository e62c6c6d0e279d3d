package executor

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/api/leafapi"
	"github.com/fuchsiaroad/fuchsiaroad/entry/leafclient"
	"github.com/fuchsiaroad/fuchsiaroad/entry/telemetry"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/dispatch"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/query"
)

// Prefixes of decision lines.
const (
	prefixDispatch = "dispatch"
	prefixQuery    = "query"
)

// exchange runs one dispatched attempt and reports its result to the query and to
// the pool.
func (e *Executor) exchange(p *pool, s dispatchedAttempt) {
	a := s.attempt
	defer a.cancel()
	e.logDecision(a, telemetry.Decision{Component: prefixDispatch, Event: "dispatch", Leaf: s.leaf.ID, Reason: s.action.Reason, Duration: s.action.QueueTime, Class: telemetry.Routine})
	a.run.recordQueueWait(s.action.QueueTime)
	leaf := a.leafIndex(s.leaf.ID)
	// The deadline is checked again right before sending: an instance that was
	// paused since the decision must not start work past the deadline.
	if s.ctx.Err() != nil {
		e.repeatLimiters.endUnsent(a)
		p.finishAttempt(a, dispatch.OutcomeCancelled, 0)
		a.run.mail.put(query.NotSent{Attempt: a.offer.Attempt, Reason: query.ReasonDeadline})
		return
	}
	// A request is only suspected of crashing a leaf that was up when it was
	// sent: a leaf that closes every connection proves nothing about the request.
	up := e.leafState.isUp(s.leaf.ID)
	target := leafclient.Target{ID: s.leaf.ID, Name: s.leaf.Name, Address: s.leaf.Address, Connections: s.leaf.Connections, DialCost: s.dialCost}
	request := &leafclient.Request{ID: a.run.id, Attempt: a.token, Version: a.offer.Version, Range: a.offer.Part.Range, Body: a.run.request.Body, Forwarded: a.run.request.Forwarded, Merged: a.run.request.Service.Config.TopK > 0, OnDiscard: func(reason leafclient.DiscardReason) { e.reportDiscard(a, s.leaf.ID, reason) }}
	reply, err := e.config.LeafClient.Run(s.ctx, target, request, func() bool {
		return e.awaitCurrentState(s.ctx) && a.run.maySend(s.ctx, a) && a.run.confirmSend(a, leaf)
	})
	e.repeatLimiters.endExchange(a, err)
	if err != nil {
		a.run.service.metrics.CountAttempt(attemptOutcome(s.ctx, err), s.action.QueueTime)
		e.handleFailure(s.ctx, p, a, failedExchange{leaf: leaf, up: up, err: err})
		return
	}
	a.run.recordCompletion()
	a.run.recordReplyTime(a, time.Since(a.started))
	e.RecordStatus(s.leaf.ID, reply.LeafStatus)
	a.run.service.metrics.CountAttempt(telemetry.AttemptReply, s.action.QueueTime)
	p.finishAttempt(a, dispatch.OutcomeReply, reply.Service)
	a.run.mail.put(query.Reply{Attempt: a.offer.Attempt, Leaf: leaf, Version: reply.Version, Ranges: reply.Ranges, Body: reply.Body, Versions: reply.Versions, Attachment: reply.Attachment})
}

// attemptOutcome returns the metrics' label of a failed exchange.
func attemptOutcome(ctx context.Context, err error) telemetry.AttemptOutcome {
	var declined *leafclient.DeclinedError
	var broken *leafclient.BrokenError
	switch {
	case errors.As(err, &declined):
		return telemetry.AttemptDeclined
	case errors.As(err, &broken) && broken.Cause == leafclient.CauseDeadline:
		return telemetry.AttemptDeadline
	case ctx.Err() != nil:
		return telemetry.AttemptCancelled
	case errors.As(err, &broken):
		return telemetry.AttemptBroken
	default:
		return telemetry.AttemptNoConnection
	}
}

// failedExchange is an exchange that got no reply.
type failedExchange struct {
	leaf int  // index in the attempt's view
	up   bool // the leaf was up when the request was sent
	err  error
}

// handleFailure converts the client's error to events. Only a dial error or the
// leaf's own decline counts as not run.
func (e *Executor) handleFailure(ctx context.Context, p *pool, a *attempt, x failedExchange) {
	leaf, err := x.leaf, x.err
	var dial *leafclient.DialError
	var declined *leafclient.DeclinedError
	var broken *leafclient.BrokenError
	id := a.offer.Attempt
	class := telemetry.Failure
	if ctx.Err() != nil {
		class = telemetry.Routine // it was withdrawn: another attempt answered, or the query is over
	}
	e.logDecision(a, telemetry.Decision{Component: prefixDispatch, Event: "attempt failed", Leaf: a.leafID, Reason: failureCause(err), Duration: time.Since(a.started), Class: class})
	switch {
	case errors.As(err, &dial):
		outcome := dispatch.OutcomeDialFailed
		if ctx.Err() != nil || errors.Is(err, leafclient.ErrCancelledBeforeSend) {
			outcome = dispatch.OutcomeCancelled
		}
		p.finishAttempt(a, outcome, 0)
		a.run.mail.put(query.NotSent{Attempt: id, Leaf: leaf, Reason: query.ReasonDialFailed})
	case errors.As(err, &declined):
		e.RecordStatus(declined.Leaf, declined.LeafStatus)
		outcome := dispatch.OutcomeDeclined
		if declined.Reason == leafapi.DeclineOverloaded {
			outcome = dispatch.OutcomeShed
		}
		p.finishAttempt(a, outcome, 0)
		a.run.mail.put(query.Declined{Attempt: id, Leaf: leaf, Reason: query.DeclineReason(declined.Reason), Versions: declined.Versions, Ranges: declined.Ranges})
	case errors.As(err, &broken):
		closed := broken.Cause == leafclient.CauseClosed
		lost := broken.Cause == leafclient.CauseLost
		if closed || lost {
			e.leafState.recordBreak(a.leafID, time.Now())
		}
		if ranToEnd(broken) {
			a.run.recordCompletion()
		}
		p.finishAttempt(a, brokenOutcome(broken.Cause), 0)
		crash := closed && x.up || lost && e.recordLeafLoss(a)
		a.run.mail.put(query.Broken{Attempt: id, Leaf: leaf, Cause: string(broken.Cause), Crash: crash, Failure: broken.Failure})
	default:
		p.finishAttempt(a, dispatch.OutcomeBroken, 0)
		a.run.mail.put(query.Broken{Attempt: id, Leaf: leaf, Cause: "internal"})
	}
}

// ranToEnd reports whether a leaf ran a request to its end although it states a failure. At the
// deadline a leaf stops.
func ranToEnd(broken *leafclient.BrokenError) bool {
	forwarded, ok := broken.Failure.(*leafclient.ForwardedResponse)
	if !ok {
		return broken.Failure != nil
	}
	return forwarded.Status != http.StatusGatewayTimeout
}

// brokenOutcome returns the outcome of a broken exchange for the dispatch machine, which
// distinguishes a broken connection from a timeout and a cancellation.
func brokenOutcome(c leafclient.Cause) dispatch.Outcome {
	switch c {
	case leafclient.CauseDeadline:
		return dispatch.OutcomeTimeout
	case leafclient.CauseCancelled:
		return dispatch.OutcomeCancelled
	default:
		return dispatch.OutcomeBroken
	}
}

// failureCause returns the short cause of an error for the log, without addresses.
func failureCause(err error) string {
	var declined *leafclient.DeclinedError
	var broken *leafclient.BrokenError
	switch {
	case errors.As(err, &declined):
		return "declined " + string(declined.Reason)
	case errors.As(err, &broken):
		return "broken " + string(broken.Cause)
	default:
		return "no connection"
	}
}

// RecordStatus records what a leaf reported about itself. It implements probe.StatusRecorder.
func (e *Executor) RecordStatus(leafID string, status leafclient.LeafStatus) {
	if e.leafState.recordStatus(leafID, status, time.Now()) {
		e.config.LeafObserver.ObserveStart(leafID, status.StartMillis)
	}
	if status.Draining {
		e.config.LeafObserver.ObserveDraining(leafID, status.StartMillis)
	}
}

// LastReply returns when the leaf last replied; the zero time if a connection to it has
// broken since.
func (e *Executor) LastReply(leafID string) time.Time { return e.leafState.lastReplyTime(leafID) }

// reportDiscard logs why bytes of a leaf were not taken for the answer to an attempt.
func (e *Executor) reportDiscard(a *attempt, leafID string, reason leafclient.DiscardReason) {
	e.logDecision(a, telemetry.Decision{Component: prefixDispatch, Event: "answer discarded", Leaf: leafID, Reason: string(reason), Class: telemetry.Failure})
}

// logDecision logs a decision about an attempt.
func (e *Executor) logDecision(a *attempt, d telemetry.Decision) {
	if !e.config.Log.DecisionsEnabled() {
		return
	}
	d.Query = a.ticket.Query
	d.Request = a.run.request.callerRequestID()
	d.Shard = a.shardName()
	e.config.Log.LogDecision(d)
}
