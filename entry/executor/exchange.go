package executor

import (
	"context"
	"errors"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/api/leafapi"
	"github.com/fuchsiaroad/fuchsiaroad/entry/leafclient"
	"github.com/fuchsiaroad/fuchsiaroad/entry/telemetry"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/dispatch"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/query"
)

// Prefixes of decision lines.
const (
	partDispatch = "dispatch"
	partQuery    = "query"
)

// exchange runs one dispatched attempt to its end and reports it to the query
// and to the pool.
func (e *Executor) exchange(p *pool, s start) {
	a := s.attempt
	defer a.cancel()
	e.decide(a, telemetry.Decision{Component: partDispatch, Event: "dispatch", Leaf: s.leaf.ID, Reason: s.action.Reason, Duration: s.action.QueueTime, Class: telemetry.Routine})
	a.run.sawWait(s.action.QueueTime)
	leaf := a.leafIndex(s.leaf.ID)
	// The deadline is looked at again right before the bytes go: an instance
	// that was paused since the decision must not start stale work.
	if s.ctx.Err() != nil {
		p.finish(a, dispatch.OutcomeCancelled, 0)
		a.run.mail.put(query.NotSent{Attempt: a.offer.Attempt, Reason: query.ReasonDeadline})
		return
	}
	// A request is only suspected of breaking a leaf that was up when it was
	// sent: a leaf that breaks whatever comes is lost, and proves nothing.
	up := e.leafState.up(s.leaf.ID)
	target := leafclient.Target{ID: s.leaf.ID, Name: s.leaf.Name, Address: s.leaf.Address, Connections: s.leaf.Connections, DialCost: s.dialCost}
	request := &leafclient.Request{ID: a.run.id, Attempt: a.token, Version: a.offer.Version, Range: a.offer.Part.Range, Body: a.run.request.Body, Forwarded: a.run.request.Passed}
	reply, err := e.config.Leaves.Run(s.ctx, target, request, func() bool { return a.run.maySend(a, leaf) })
	if err != nil {
		a.run.service.metrics.CountAttempt(attemptOutcome(s.ctx, err), s.action.QueueTime)
		e.failed(s.ctx, p, a, exchanged{leaf: leaf, up: up, err: err})
		return
	}
	a.run.sawRun()
	a.run.sawReply(a, time.Since(a.started))
	e.Learn(s.leaf.ID, reply.LeafStatus)
	a.run.service.metrics.CountAttempt(telemetry.AttemptReply, s.action.QueueTime)
	p.finish(a, dispatch.OutcomeReply, reply.Service)
	a.run.mail.put(query.Reply{Attempt: a.offer.Attempt, Leaf: leaf, Version: reply.Version, Ranges: reply.Ranges, Body: reply.Body, Versions: reply.Versions, Attachment: reply.Attachment})
}

// attemptOutcome is the metrics' label of a failed exchange.
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

// exchanged is an exchange that brought no reply.
type exchanged struct {
	leaf int  // index in the attempt's view
	up   bool // the leaf was up when the request was sent
	err  error
}

// failed converts the client's error to events. Only a dial error or the
// leaf's own decline counts as not run.
func (e *Executor) failed(ctx context.Context, p *pool, a *attempt, x exchanged) {
	leaf, err := x.leaf, x.err
	var dial *leafclient.DialError
	var declined *leafclient.DeclinedError
	var broken *leafclient.BrokenError
	id := a.offer.Attempt
	class := telemetry.Failure
	if ctx.Err() != nil {
		class = telemetry.Routine // it was withdrawn: another attempt answered, or the query is over
	}
	e.decide(a, telemetry.Decision{Component: partDispatch, Event: "attempt failed", Leaf: a.leafID, Reason: why(err), Duration: time.Since(a.started), Class: class})
	switch {
	case errors.As(err, &dial):
		outcome := dispatch.OutcomeDialFailed
		if ctx.Err() != nil {
			outcome = dispatch.OutcomeCancelled
		}
		p.finish(a, outcome, 0)
		a.run.mail.put(query.NotSent{Attempt: id, Leaf: leaf, Reason: query.ReasonDialFailed})
	case errors.As(err, &declined):
		e.Learn(declined.Leaf, declined.LeafStatus)
		outcome := dispatch.OutcomeDeclined
		if declined.Reason == leafapi.DeclineOverloaded {
			outcome = dispatch.OutcomeShed
		}
		p.finish(a, outcome, 0)
		a.run.mail.put(query.Declined{Attempt: id, Leaf: leaf, Reason: query.DeclineReason(declined.Reason), Versions: declined.Versions, Ranges: declined.Ranges})
	case errors.As(err, &broken):
		closed := broken.Cause == leafclient.CauseClosed
		lost := broken.Cause == leafclient.CauseLost
		if closed || lost {
			e.leafState.sawBreak(a.leafID, time.Now())
		}
		if broken.Failure != nil {
			a.run.sawRun()
		}
		p.finish(a, brokenOutcome(broken.Cause), 0)
		crash := closed && x.up || lost && e.lost(a)
		a.run.mail.put(query.Broken{Attempt: id, Leaf: leaf, Cause: string(broken.Cause), Crash: crash, Failure: broken.Failure})
	default:
		p.finish(a, dispatch.OutcomeBroken, 0)
		a.run.mail.put(query.Broken{Attempt: id, Leaf: leaf, Cause: "internal"})
	}
}

// brokenOutcome tells the dispatch layer a break from a timeout and a withdrawal.
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

// why is the short cause of an error, without addresses.
func why(err error) string {
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

// Learn keeps what a leaf said of itself. It implements probe.Learner.
func (e *Executor) Learn(leafID string, said leafclient.LeafStatus) {
	if e.leafState.saw(leafID, said, time.Now()) {
		e.config.LeafObserver.SawBorn(leafID, said.StartMillis)
	}
	if said.Draining {
		e.config.LeafObserver.SawLeaving(leafID, said.StartMillis)
	}
}

// LastReply is when the leaf last said something, or the zero time.
func (e *Executor) LastReply(leafID string) time.Time { return e.leafState.lastReplyOf(leafID) }

// decide logs a decision about an attempt.
func (e *Executor) decide(a *attempt, d telemetry.Decision) {
	if !e.config.Log.DecisionsEnabled() {
		return
	}
	d.Query = a.ticket.Query
	d.Request = a.run.request.name()
	d.Shard = a.shardName()
	e.config.Log.LogDecision(d)
}
