package dispatch

import (
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/machine"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/plugin"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/query"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/view"
)

// The machine has the kernel's one shape.
var _ machine.Machine[Event, Action] = (*Machine)(nil)

// scanDepth bounds how many of a caller's waiting attempts are tried when the
// first ones avoid the leaves that have room.
const scanDepth = 4

// Machine dispatches the attempts of one upstream at one entry.
type Machine struct {
	queueBound int // most attempts that wait per shard; 0: no bound
	upstream   string
	zone       string
	unbounded  bool
	newOrder   func() plugin.Order
	newLimit   func() plugin.Limit
	routing    plugin.Routing
	leaves     map[string]*leaf
	keys       int // next leaf key
	byIndex    map[int]*leaf
	shards     []*shard
	weights    map[string]float64 // caller shares by name
	running    map[Ticket]*attempt
	waiting    map[Ticket]*attempt
	// stalled are the shards with waiting work and none running.
	stalled    []*shard
	times      times
	precedence precedence
	expiry     expiryHeap
	wake       time.Time // the Tick asked for, zero for none
	actions    []Action

	candidates []plugin.Candidate // scratch
	chosen     []*leaf            // scratch, beside candidates
}

// Handle takes one event. The actions are valid until the next call.
func (m *Machine) Handle(ev Event, now time.Time) []Action {
	m.actions = m.actions[:0]
	switch ev := ev.(type) {
	case Offered:
		m.offer(ev, now)
	case Withdrawn:
		m.withdraw(ev.Ticket, now)
	case Finished:
		m.finish(ev, now)
	case ViewChanged:
		m.change(ev.View, now)
	case LoadHint:
		if l := m.byIndex[ev.Leaf]; l != nil {
			m.routing.RecordLoadHint(l.key, ev.InFlight, ev.Queued, now)
		}
	case SlowLeavesReported:
		m.peersReported(ev.Leaves)
	case Tick:
		m.tick(now)
	}
	m.expire(now)
	m.askWake(now)
	return m.actions
}

// offer queues an attempt and serves its shard.
func (m *Machine) offer(ev Offered, now time.Time) {
	if ev.Shard < 0 || ev.Shard >= len(m.shards) {
		m.refuse(ev.Ticket, query.ReasonWrongRange, 0)
		return
	}
	s := m.shards[ev.Shard]
	if !s.present() {
		m.refuse(ev.Ticket, query.ReasonNoLeaf, 0)
		return
	}
	a := &attempt{
		ticket: ev.Ticket, shard: s, caller: ev.Caller, priority: ev.Priority, deadline: ev.Deadline,
		due: ev.Due, offered: now, hedge: ev.Hedge, solo: ev.Solo, place: noPlace,
	}
	if a.due.IsZero() || a.due.After(a.deadline) {
		a.due = a.deadline
	}
	m.setAvoid(a, ev)
	if a.hedge && !m.hedgeFits(a) {
		m.refuse(ev.Ticket, query.ReasonOverloaded, 0)
		return
	}
	if m.hopeless(a, now) {
		m.refuse(ev.Ticket, query.ReasonDeadline, m.drainTime(s))
		return
	}
	if m.full(s) || !m.fits(a, now) {
		m.refuse(ev.Ticket, query.ReasonOverloaded, m.drainTime(s))
		return
	}
	m.waiting[a.ticket] = a
	s.queue.push(a, m.weight(a.caller))
	m.serve(s, now)
	if a.queued {
		m.expiry.push(a)
	}
}

// full reports whether the shard's queue has reached its bound.
func (m *Machine) full(s *shard) bool {
	return m.queueBound > 0 && s.queue.length >= m.queueBound
}

// setAvoid turns view indexes into leaves. A retry that would avoid every leaf
// avoids none: its earlier attempts provably did not run.
func (m *Machine) setAvoid(a *attempt, ev Offered) {
	for _, i := range ev.Avoid {
		if l := m.byIndex[i]; l != nil {
			a.avoid = append(a.avoid, l)
		}
	}
	if ev.Hedge {
		return
	}
	for _, l := range a.shard.leaves {
		if !l.leaving && l.share > 0 && !a.avoids(l) {
			return
		}
	}
	a.avoid = nil
}

// hedgeFits reports whether a hedge may be queued: there is another leaf for
// it, and the queue is so short that the copy adds nothing to an overload.
func (m *Machine) hedgeFits(a *attempt) bool {
	if m.drainTime(a.shard) > m.times.median {
		return false
	}
	for _, l := range a.shard.leaves {
		if !l.leaving && l.share > 0 && !a.avoids(l) {
			return true
		}
	}
	return false
}

// withdraw drops a queued attempt. A running one ends by Finished.
func (m *Machine) withdraw(t Ticket, now time.Time) {
	a := m.waiting[t]
	if a == nil {
		return
	}
	m.unqueue(a)
	m.serve(a.shard, now) // a reserved leaf may be free for others
}

// unqueue removes a waiting attempt from every place that knows it.
func (m *Machine) unqueue(a *attempt) {
	delete(m.waiting, a.ticket)
	a.shard.queue.remove(a)
	m.expiry.remove(a)
	m.release(a)
}

// release ends a waiting attempt's reservation.
func (m *Machine) release(a *attempt) {
	for _, l := range a.shard.leaves {
		if l.reserved == a {
			l.reserved = nil
		}
	}
}

// finish frees the leaf, teaches the policies and serves what waits.
func (m *Machine) finish(ev Finished, now time.Time) {
	a := m.running[ev.Ticket]
	if a == nil {
		return // unknown or repeated
	}
	delete(m.running, ev.Ticket)
	l := a.leaf
	l.inFlight--
	l.back(a.started)
	if a.solo {
		l.solo = false
	}
	m.learn(a, ev, now)
	m.serveLeaf(l, now)
}

// learn reports an attempt's end to the policies.
func (m *Machine) learn(a *attempt, ev Finished, now time.Time) {
	s := plugin.AttemptResult{
		OK:        ev.Outcome == OutcomeReply,
		Shed:      ev.Outcome == OutcomeShed,
		Failed:    ev.Outcome == OutcomeDialFailed || ev.Outcome == OutcomeBroken,
		TimedOut:  ev.Outcome == OutcomeTimeout,
		Cancelled: ev.Outcome == OutcomeCancelled,
		Latency:   ev.Latency,
		Service:   ev.ServiceTime,
		Saturated: a.saturated,
		Backlog:   a.shard.queue.length > 0,
	}
	a.leaf.limit.RecordResult(s, now)
	m.routing.RecordResult(a.leaf.key, s, now)
	if s.OK || s.TimedOut {
		a.shard.observe(ev.Latency) // either way it held its place for so long
	}
	if s.OK {
		m.times.observe(ev.Latency, now)
	}
}

// serveLeaf serves the shards of a leaf that has room again, each first in turn.
func (m *Machine) serveLeaf(l *leaf, now time.Time) {
	n := len(l.shards)
	if n == 0 {
		return
	}
	l.next = (l.next + 1) % n
	for i := range n {
		m.serve(l.shards[(l.next+i)%n], now)
	}
}

// tick serves the shards that no reply will wake, such as those whose leaves
// were all ejected.
func (m *Machine) tick(now time.Time) {
	m.wake = time.Time{}
	m.expire(now)
	stalled := m.stalled
	m.stalled = nil
	for _, s := range stalled {
		s.stalled = false
	}
	for _, s := range stalled {
		m.serve(s, now)
	}
}

// refuse answers that an attempt will not be dispatched.
func (m *Machine) refuse(t Ticket, reason query.DeclineReason, after time.Duration) {
	m.actions = append(m.actions, Refuse{Ticket: t, Reason: reason, RetryAfter: after})
}

// weight is the caller's share of a contended queue.
func (m *Machine) weight(caller string) float64 {
	if w, ok := m.weights[caller]; ok {
		return w
	}
	return 1
}

// setWeights reads the callers' shares of a view.
func (m *Machine) setWeights(v *view.View) {
	m.weights = make(map[string]float64, len(v.Callers))
	for _, c := range v.Callers {
		m.weights[c.Name] = float64(max(1, c.Share))
	}
}
