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

// Gatherer has parts of a query gathered by other instances.
type Gatherer interface {
	// Plan says which parts of a request others are to gather; nil: none. The shards
	// that are away would be asked of leaves in other zones.
	Plan(r *Request, upstream int, away []dispatch.CrossZoneShard) []Group
	// Gather has a group of Plan's gathered and returns with its end; each reply is
	// given to got. Other instances run nothing before sent has been called, once, and
	// has returned true. The error is a *NotGatheredError where nothing has run; after
	// any other the parts may have run.
	Gather(ctx context.Context, r *Request, g Group, sent func() bool, got func(*GatherReply)) error
}

// Group is parts of a query that an instance of a zone is to gather.
type Group struct {
	query.Group
	Zone string
}

// GatherReply is what another instance has gathered since its last reply.
type GatherReply struct {
	Version uint64 // of the index
	Ranges  []keyrange.Range
	// Going says that more replies may come.
	Going bool
	// Sent, Hedges and Retries count its attempts.
	Sent, Hedges, Retries int
	// Carried is handed on with the answer.
	Carried any
}

// NotGatheredError says that no other instance ran anything of a group.
type NotGatheredError struct{ Err error }

// Error implements error.
func (e *NotGatheredError) Error() string { return "group was not gathered: " + e.Err.Error() }

// Unwrap gives the cause.
func (e *NotGatheredError) Unwrap() error { return e.Err }

// gathering is one offered group. It is guarded by the run's lock.
type gathering struct {
	cancel    context.CancelFunc
	withdrawn bool
}

// plan says what others are to gather. What is gathered for another instance is
// not handed on again, nor is a request that may break leaves.
func (e *Executor) plan(req *Request, mode quarantine.Mode) []Group {
	if e.config.Gatherer == nil || req.Only != nil || mode != quarantine.ModeRun || len(req.Service.Upstreams) != 1 {
		return nil
	}
	upstream := req.Service.Upstreams[0]
	away, ok := e.pool(req.View, upstream).away(req.View)
	if !ok || len(away) == 0 {
		return nil
	}
	return e.config.Gatherer.Plan(req, upstream, away)
}

// away lists the shards that would be asked of leaves in other zones, by their
// indexes in the view; false where the pool goes by another view already.
func (p *pool) away(v *view.View) ([]dispatch.CrossZoneShard, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.view != v {
		return nil, false
	}
	return p.machine.CrossZoneShards(time.Now()), true
}

// parts are the groups as the kernel knows them.
func parts(groups []Group) []query.Group {
	out := make([]query.Group, 0, len(groups))
	for _, g := range groups {
		out = append(out, g.Group)
	}
	return out
}

// offerGroup has a group gathered. The run's lock is held.
func (r *run) offerGroup(o query.OfferGroup) {
	ctx, cancel := context.WithCancel(r.work)
	g := &gathering{cancel: cancel}
	r.gathering[o.Attempt] = g
	go r.gather(ctx, o, g)
}

// gather carries one group to its end and reports it to the query.
func (r *run) gather(ctx context.Context, o query.OfferGroup, g *gathering) {
	defer g.cancel()
	group := r.groups[o.Group]
	sent := func() bool { return r.mayGather(o.Attempt, g) }
	replies := 0
	err := r.executor.config.Gatherer.Gather(ctx, r.request, group, sent, func(reply *GatherReply) {
		replies++
		r.gathered(o.Attempt, reply)
	})
	if outcome := groupOutcome(ctx, err, replies); outcome != "" {
		r.service.metrics.CountGroup(outcome)
	}
	if err == nil {
		return
	}
	r.tellNotGathered(ctx, err)
	var not *NotGatheredError
	if errors.As(err, &not) {
		r.mail.put(query.NotSent{Attempt: o.Attempt, Reason: query.ReasonNotAccepted})
		return
	}
	r.mail.put(query.Broken{Attempt: o.Attempt, Leaf: view.NoLeaf, Cause: "gathering instance lost"})
}

// groupOutcome is a group's outcome for the metrics; empty where the query ended before
// anything came. A group whose rest the answer did not wait for was gathered.
func groupOutcome(ctx context.Context, err error, replies int) telemetry.GroupOutcome {
	var not *NotGatheredError
	switch {
	case err == nil, ctx.Err() != nil && replies > 0:
		return telemetry.GroupGathered
	case ctx.Err() != nil:
		return ""
	case errors.As(err, &not):
		return telemetry.GroupNotTaken
	default:
		return telemetry.GroupLost
	}
}

// gathered passes a reply to the query.
func (r *run) gathered(id query.AttemptID, reply *GatherReply) {
	if len(reply.Ranges) > 0 {
		r.sawRun()
	}
	r.mail.put(query.Gathered{
		Attempt: id, Version: reply.Version, Ranges: reply.Ranges, HasMore: reply.Going,
		Sent: reply.Sent, Hedges: reply.Hedges, Retries: reply.Retries, Attachment: reply.Carried,
	})
}

// mayGather tells the machine that another instance may run the group from now on,
// and reports whether it may; see maySend.
func (r *run) mayGather(id query.AttemptID, g *gathering) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.answer != nil || g.withdrawn || !time.Now().Before(r.request.Deadline) {
		return false
	}
	r.step(query.Sent{Attempt: id, Leaf: view.NoLeaf})
	return !g.withdrawn
}

// tellNotGathered logs why a group brought nothing.
func (r *run) tellNotGathered(ctx context.Context, err error) {
	class := telemetry.Failure
	if ctx.Err() != nil {
		class = telemetry.Routine // nobody waits for it
	}
	r.executor.config.Log.LogDecision(telemetry.Decision{
		Component: partQuery, Event: "group failed", Query: r.stamp, Request: r.request.name(), Reason: err.Error(), Duration: time.Since(r.request.Start), Class: class,
	})
}
