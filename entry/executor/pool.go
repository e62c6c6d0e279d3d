package executor

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/entry/telemetry"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/dispatch"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/query"
	kernelrepetition "github.com/fuchsiaroad/fuchsiaroad/kernel/repetition"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/view"
)

// pool drives the dispatch machine of one upstream under a lock. It owns the
// attempts that are queued or running there.
type pool struct {
	executor *Executor
	name     string
	sequence atomic.Uint64 // of view, for the check without the lock that view is new enough

	mu       sync.Mutex
	machine  *dispatch.Machine
	view     *view.View
	upstream int // index in view
	attempts map[dispatch.Ticket]*attempt
	timer    *time.Timer
	wakeAt   time.Time
}

// attempt is one attempt of one query in this pool.
type attempt struct {
	ticket  dispatch.Ticket
	run     *run
	view    *view.View // the indexes in offer refer to it
	pool    *pool
	offer   query.Offer
	token   string // unguessable, on the wire
	started time.Time
	cancel  context.CancelFunc // nil while queued
	leafID  string
	// delivery limits the repeats of the request at the shard; nil: they have no limit.
	delivery *kernelrepetition.Delivery
	sentAt   time.Time // right before the bytes are written; zero while nothing is sent

	withdrawn bool // guarded by the run's lock
}

// newPool returns the pool of an upstream.
func newPool(e *Executor, name string, v *view.View, upstream int) *pool {
	p := &pool{executor: e, name: name, view: v, upstream: upstream, attempts: make(map[dispatch.Ticket]*attempt)}
	machine, err := dispatch.New(e.config.Policies.dispatchConfig(e.config, v, upstream))
	if err != nil {
		panic(err) // the view is valid and Policies.Check ran before
	}
	p.machine = machine
	p.sequence.Store(v.Sequence)
	return p
}

// setView moves the pool to a newer view. A view without the upstream is ignored, so
// that the pool can complete the attempts that it has.
func (p *pool) setView(v *view.View) {
	if v.Sequence <= p.sequence.Load() {
		return
	}
	p.handle(func() dispatch.Event {
		upstream := v.UpstreamIndex(p.name)
		if v.Sequence <= p.view.Sequence || upstream == view.NoUpstream {
			return nil
		}
		p.view, p.upstream = v, upstream
		p.sequence.Store(v.Sequence)
		return dispatch.ViewChanged{View: v}
	})
}

// enqueue queues an attempt, or tells the query that no leaf serves its shard.
func (p *pool) enqueue(a *attempt) {
	known := true
	p.handle(func() dispatch.Event {
		var shard int
		if shard, known = p.shardIndex(a); !known {
			return nil
		}
		p.attempts[a.ticket] = a
		return dispatch.Offered{
			Ticket: a.ticket, Shard: shard, Caller: a.run.request.Caller.Name, Priority: a.run.request.Service.Config.Priority,
			Deadline: a.offer.Deadline, Due: a.run.fullValueUntil,
			Avoid: p.translateLeaves(a.view, a.offer.Avoid), Hedge: a.offer.Hedge, Retry: a.offer.Retry, Solo: a.offer.Solo,
		}
	})
	if !known {
		p.executor.repeatLimiters.endUnsent(a)
		a.run.mail.put(query.NotSent{Attempt: a.offer.Attempt, Reason: query.ReasonNoLeaf})
	}
}

// shardIndex returns the index in the pool's view of the shard that serves the attempt's
// part, and whether there is one. The query may use an older view than the pool.
func (p *pool) shardIndex(a *attempt) (int, bool) {
	if a.view == p.view {
		return a.offer.Shard, true
	}
	for i, s := range p.view.Upstreams[p.upstream].Shards {
		if s.Range.From <= a.offer.Part.Range.From && a.offer.Part.Range.From < s.Range.To {
			return i, true
		}
	}
	return 0, false
}

// translateLeaves converts leaf indexes of the view from into those of the pool's view. It
// leaves out NoLeaf, which stands for a leaf that only the pool's newer view has, and
// leaves that the pool's view lacks.
func (p *pool) translateLeaves(from *view.View, leaves []int) []int {
	if from == p.view || len(leaves) == 0 {
		return leaves
	}
	var out []int
	for _, leaf := range leaves {
		if leaf == view.NoLeaf {
			continue
		}
		i := p.view.Upstreams[p.upstream].LeafIndex(from.Leaves[leaf].ID)
		if i != view.NoLeaf {
			out = append(out, i)
		}
	}
	return out
}

// withdraw removes a queued attempt, or cancels a running one.
func (p *pool) withdraw(t dispatch.Ticket) {
	var cancel context.CancelFunc
	p.handle(func() dispatch.Event {
		a, ok := p.attempts[t]
		if !ok {
			return nil
		}
		if cancel = a.cancel; cancel != nil {
			return nil
		}
		delete(p.attempts, t)
		p.executor.repeatLimiters.endUnsent(a)
		return dispatch.Withdrawn{Ticket: t}
	})
	if cancel != nil {
		cancel()
	}
}

// finishAttempt reports the end of a running attempt to the machine.
func (p *pool) finishAttempt(a *attempt, outcome dispatch.Outcome, service time.Duration) {
	p.handle(func() dispatch.Event {
		delete(p.attempts, a.ticket)
		return dispatch.Finished{
			Ticket: a.ticket, Leaf: p.view.Upstreams[p.upstream].LeafIndex(a.leafID),
			Outcome: outcome, Latency: time.Since(a.started), ServiceTime: service,
		}
	})
}

// tick lets the machine do its timed work.
func (p *pool) tick() {
	p.handle(func() dispatch.Event {
		p.wakeAt = time.Time{}
		return dispatch.Tick{}
	})
}

// dispatchedAttempt is an attempt that starts to run once the lock is released.
type dispatchedAttempt struct {
	attempt  *attempt
	ctx      context.Context
	action   dispatch.Dispatch
	leaf     *view.Leaf
	dialCost time.Duration
}

// handle passes an event to the machine and performs the machine's actions. event is called
// under the lock and may return nil for no event.
func (p *pool) handle(event func() dispatch.Event) {
	starts, refused := p.handleUnderLock(event)
	for _, s := range starts {
		go p.executor.exchange(p, s)
	}
	for _, r := range refused {
		r.report(p)
	}
}

// handleUnderLock is the part of handle that holds the lock. The lock is released after a
// panic too: net/http recovers the panics of its handlers.
func (p *pool) handleUnderLock(event func() dispatch.Event) (starts []dispatchedAttempt, refused []refusedAttempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	ev := event()
	if ev == nil {
		return nil, nil
	}
	now := time.Now()
	for _, action := range p.machine.Handle(ev, now) {
		switch action := action.(type) {
		case dispatch.Dispatch:
			if s, ok := p.markRunning(action, now); ok {
				starts = append(starts, s)
			}
		case dispatch.Refuse:
			if a, ok := p.attempts[action.Ticket]; ok {
				delete(p.attempts, action.Ticket)
				refused = append(refused, refusedAttempt{a, action})
			}
		case dispatch.WakeAt:
			p.scheduleWake(action.At, now)
		}
	}
	return starts, refused
}

// markRunning marks an attempt as running on the leaf that the machine chose.
func (p *pool) markRunning(d dispatch.Dispatch, now time.Time) (dispatchedAttempt, bool) {
	a, ok := p.attempts[d.Ticket]
	if !ok {
		return dispatchedAttempt{}, false
	}
	leaf := &p.view.Leaves[d.Leaf]
	a.leafID = leaf.ID
	a.started = now
	ctx, cancel := context.WithCancel(a.run.work)
	a.cancel = cancel
	return dispatchedAttempt{attempt: a, ctx: ctx, action: d, leaf: leaf, dialCost: p.view.Upstreams[p.upstream].Config.DialCost}, true
}

// refusedAttempt is an attempt that the machine will not dispatch.
type refusedAttempt struct {
	attempt *attempt
	action  dispatch.Refuse
}

// report logs the refusal and passes it to the query.
func (r refusedAttempt) report(p *pool) {
	p.executor.repeatLimiters.endUnsent(r.attempt)
	p.executor.logDecision(r.attempt, telemetry.Decision{Component: prefixDispatch, Event: "refuse", Reason: string(r.action.Reason)})
	r.attempt.run.mail.put(query.NotSent{Attempt: r.attempt.offer.Attempt, Reason: r.action.Reason, RetryAfter: r.action.RetryAfter})
}

// scheduleWake sets the pool's timer, of which there is one, to the earliest time asked for.
func (p *pool) scheduleWake(at, now time.Time) {
	if !p.wakeAt.IsZero() && !at.Before(p.wakeAt) {
		return
	}
	p.wakeAt = at
	if p.timer == nil {
		p.timer = time.AfterFunc(max(at.Sub(now), 0), p.tick)
		return
	}
	p.timer.Reset(max(at.Sub(now), 0))
}
