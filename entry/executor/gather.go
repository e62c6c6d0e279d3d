package executor

import (
	"context"
	"errors"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/entry/telemetry"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/dispatch"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/keyrange"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/quarantine"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/query"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/view"
)

// Gatherer delegates parts of a query to other instances, which gather them.
type Gatherer interface {
	// Plan returns the groups of parts of a request that other instances are to gather,
	// nil for none. crossZone lists the shards whose leaves would be in other zones.
	Plan(r *Request, upstream int, crossZone []dispatch.CrossZoneShard) []Group
	// Gather has another instance gather a group of Plan's and returns when that is over;
	// it passes each reply to got. It calls sent once, and other instances run nothing
	// unless sent has returned true. The error is a *NotGatheredError if nothing has run;
	// after any other error the parts may have run.
	Gather(ctx context.Context, r *Request, g Group, sent func() bool, got func(*GatherReply)) error
}

// Group is a set of parts of a query that an instance of a zone is to gather.
type Group struct {
	query.Group
	Zone string
}

// GatherReply is what another instance has gathered since its previous reply.
type GatherReply struct {
	Version uint64 // of the index
	Ranges  []keyrange.Range
	// HasMore is set if more replies may come.
	HasMore bool
	// Sent, Hedges and Retries count that instance's attempts.
	Sent, Hedges, Retries int
	// Attachment is opaque data that is passed on with the answer.
	Attachment any
}

// NotGatheredError means that no other instance ran any part of a group.
type NotGatheredError struct{ Err error }

// Error implements error.
func (e *NotGatheredError) Error() string { return "group was not gathered: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *NotGatheredError) Unwrap() error { return e.Err }

// offeredGroup is a group that was offered to another instance. The run's lock guards it.
type offeredGroup struct {
	cancel    context.CancelFunc
	withdrawn bool
}

// planGroups returns the groups that other instances are to gather. A request that is
// gathered for another instance is not delegated again, nor is one that may crash leaves.
func (e *Executor) planGroups(req *Request, mode quarantine.Mode) []Group {
	if e.config.Gatherer == nil || req.OnlyShards != nil || mode != quarantine.ModeRun || len(req.Service.Upstreams) != 1 {
		return nil
	}
	upstream := req.Service.Upstreams[0]
	crossZone, ok := e.pool(req.View, upstream).crossZoneShards(req.View)
	if !ok || len(crossZone) == 0 {
		return nil
	}
	return e.config.Gatherer.Plan(req, upstream, crossZone)
}

// crossZoneShards lists the shards for which leaves in other zones would be asked, by
// their indexes in the view; false if the pool has another view already.
func (p *pool) crossZoneShards(v *view.View) ([]dispatch.CrossZoneShard, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.view != v {
		return nil, false
	}
	return p.machine.CrossZoneShards(time.Now()), true
}

// queryGroups returns the groups in the kernel's type.
func queryGroups(groups []Group) []query.Group {
	out := make([]query.Group, 0, len(groups))
	for _, g := range groups {
		out = append(out, g.Group)
	}
	return out
}

// offerGroup starts the gathering of a group. The run's lock is held.
func (r *run) offerGroup(o query.OfferGroup) {
	ctx, cancel := context.WithCancel(r.work)
	g := &offeredGroup{cancel: cancel}
	r.offeredGroups[o.Attempt] = g
	go r.gatherGroup(ctx, o, g)
}

// gatherGroup has one group gathered and reports the result to the query.
func (r *run) gatherGroup(ctx context.Context, o query.OfferGroup, g *offeredGroup) {
	defer g.cancel()
	group := r.groups[o.Group]
	sent := func() bool { return r.confirmGroupSend(o.Attempt, g) }
	replies := 0
	err := r.executor.config.Gatherer.Gather(ctx, r.request, group, sent, func(reply *GatherReply) {
		replies++
		r.recordGathered(o.Attempt, reply)
	})
	if outcome := groupOutcome(ctx, err, replies); outcome != "" {
		r.service.metrics.CountGroup(outcome)
	}
	if err == nil {
		return
	}
	r.logGroupFailure(ctx, err)
	var notGathered *NotGatheredError
	if errors.As(err, &notGathered) {
		r.mail.put(query.NotSent{Attempt: o.Attempt, Reason: query.ReasonNotAccepted})
		return
	}
	r.mail.put(query.Broken{Attempt: o.Attempt, Leaf: view.NoLeaf, Cause: "gathering instance lost"})
}

// groupOutcome returns a group's outcome for the metrics; empty if the query ended before
// any reply came. A group counts as gathered if some replies came and the answer didn't
// wait for the rest.
func groupOutcome(ctx context.Context, err error, replies int) telemetry.GroupOutcome {
	var notGathered *NotGatheredError
	switch {
	case err == nil, ctx.Err() != nil && replies > 0:
		return telemetry.GroupGathered
	case ctx.Err() != nil:
		return ""
	case errors.As(err, &notGathered):
		return telemetry.GroupNotTaken
	default:
		return telemetry.GroupLost
	}
}

// recordGathered passes a reply to the query.
func (r *run) recordGathered(id query.AttemptID, reply *GatherReply) {
	if len(reply.Ranges) > 0 {
		r.recordCompletion()
	}
	r.mail.put(query.Gathered{
		Attempt: id, Version: reply.Version, Ranges: reply.Ranges, HasMore: reply.HasMore,
		Sent: reply.Sent, Hedges: reply.Hedges, Retries: reply.Retries, Attachment: reply.Attachment,
	})
}

// confirmGroupSend tells the machine that another instance may run the group from this
// moment, and reports whether it may; see confirmSend.
func (r *run) confirmGroupSend(id query.AttemptID, g *offeredGroup) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.answer != nil || g.withdrawn || !time.Now().Before(r.request.Deadline) {
		return false
	}
	r.handleLocked(query.Sent{Attempt: id, Leaf: view.NoLeaf})
	return !g.withdrawn
}

// logGroupFailure logs why a group was not gathered, or not in full.
func (r *run) logGroupFailure(ctx context.Context, err error) {
	class := telemetry.Failure
	if ctx.Err() != nil {
		class = telemetry.Routine // nobody waits for it
	}
	r.executor.config.Log.LogDecision(telemetry.Decision{
		Component: prefixQuery, Event: "group failed", Query: r.stamp, Request: r.request.callerRequestID(), Reason: err.Error(), Duration: time.Since(r.request.Start), Class: class,
	})
}
