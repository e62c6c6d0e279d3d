package dispatch

import (
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/machine"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/plugin"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/query"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/view"
)

// Machine has the interface that all state machines of the kernel share.
var _ machine.Machine[Event, Action] = (*Machine)(nil)

// scanDepth bounds how many queued attempts of a caller and priority are tried when the
// first ones avoid the leaves that have room.
const scanDepth = 4

// Machine queues and dispatches the attempts of one upstream at one instance. It is not
// safe for concurrent use.
type Machine struct {
	maxQueued   int // per shard; 0: no bound
	upstream    string
	zone        string
	unbounded   bool
	newOrder    func() plugin.Order
	newLimit    func() plugin.Limit
	routing     plugin.Routing
	leaves      map[string]*leaf
	nextLeafKey int // key of the next new leaf
	byIndex     map[int]*leaf
	shards      []*shard
	weights     map[string]float64 // shares by caller name
	running     map[Ticket]*attempt
	waiting     map[Ticket]*attempt
	// stalled are the shards with queued attempts and none running, whose end would
	// serve the queue.
	stalled           []*shard
	latency           latencyStats
	priorityAdmission priorityAdmission
	expiry            expiryHeap
	wakeAt            time.Time // time of the requested Tick, zero for none
	actions           []Action

	candidates      []plugin.Candidate // scratch space of collectCandidates
	candidateLeaves []*leaf            // their leaves, by the same index
}

// Handle processes one event and returns the resulting actions. The slice is valid until
// the next call.
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
		m.changeView(ev.View, now)
	case LoadHint:
		if l := m.byIndex[ev.Leaf]; l != nil {
			m.routing.RecordLoadHint(l.key, ev.InFlight, ev.Queued, now)
		}
	case SlowLeavesReported:
		m.applyPeerReports(ev.Leaves)
	case Tick:
		m.tick(now)
	}
	m.expire(now)
	m.requestWake(now)
	return m.actions
}

// offer queues or refuses an attempt and serves its shard.
func (m *Machine) offer(ev Offered, now time.Time) {
	if ev.Shard < 0 || ev.Shard >= len(m.shards) {
		m.refuse(ev.Ticket, query.ReasonWrongRange, 0)
		return
	}
	s := m.shards[ev.Shard]
	if !s.acceptsWork() {
		m.refuse(ev.Ticket, query.ReasonNoLeaf, 0)
		return
	}
	a := &attempt{
		ticket: ev.Ticket, shard: s, caller: ev.Caller, priority: ev.Priority, deadline: ev.Deadline,
		due: ev.Due, offered: now, hedge: ev.Hedge, solo: ev.Solo, heapIndex: notInHeap,
	}
	if a.due.IsZero() || a.due.After(a.deadline) {
		a.due = a.deadline
	}
	m.setAvoid(a, ev)
	if a.hedge && !m.hedgeAllowed(a) {
		m.refuse(ev.Ticket, query.ReasonOverloaded, 0)
		return
	}
	if m.missesDeadline(a, now) {
		m.refuse(ev.Ticket, query.ReasonDeadline, m.drainTime(s))
		return
	}
	if m.queueFull(s) || !m.startsInTime(a, now) {
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

// queueFull reports whether the shard's queue has reached its bound.
func (m *Machine) queueFull(s *shard) bool {
	return m.maxQueued > 0 && s.queue.length >= m.maxQueued
}

// setAvoid resolves the leaves to avoid. A retry that would avoid every leaf avoids
// none, as its earlier attempts provably did not run.
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
		if !l.leaving && l.connections > 0 && !a.avoids(l) {
			return
		}
	}
	a.avoid = nil
}

// hedgeAllowed reports whether a hedge may be queued: the shard has another leaf for it,
// and the queue is so short that the hedge does not add to an overload.
func (m *Machine) hedgeAllowed(a *attempt) bool {
	if m.drainTime(a.shard) > m.latency.median {
		return false
	}
	for _, l := range a.shard.leaves {
		if !l.leaving && l.connections > 0 && !a.avoids(l) {
			return true
		}
	}
	return false
}

// withdraw removes a queued attempt. It ignores a running one, which ends by Finished.
func (m *Machine) withdraw(t Ticket, now time.Time) {
	a := m.waiting[t]
	if a == nil {
		return
	}
	m.dequeue(a)
	m.serve(a.shard, now) // a reserved leaf may be free for others
}

// dequeue removes a queued attempt and all references to it.
func (m *Machine) dequeue(a *attempt) {
	delete(m.waiting, a.ticket)
	a.shard.queue.remove(a)
	m.expiry.remove(a)
	m.releaseReservation(a)
}

// releaseReservation ends a queued attempt's reservation of a leaf.
func (m *Machine) releaseReservation(a *attempt) {
	for _, l := range a.shard.leaves {
		if l.reserved == a {
			l.reserved = nil
		}
	}
}

// finish removes a running attempt from its leaf, reports its end to the policies and
// serves the queues of the leaf.
func (m *Machine) finish(ev Finished, now time.Time) {
	a := m.running[ev.Ticket]
	if a == nil {
		return // unknown, or reported before
	}
	delete(m.running, ev.Ticket)
	l := a.leaf
	l.inFlight--
	l.removeStartTime(a.started)
	if a.solo {
		l.solo = false
	}
	m.reportEnd(a, ev, now)
	m.serveLeaf(l, now)
}

// reportEnd passes an attempt's end to the policies and the latency estimates.
func (m *Machine) reportEnd(a *attempt, ev Finished, now time.Time) {
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
		a.shard.observeLatency(ev.Latency) // either way it occupied the leaf for this long
	}
	if s.OK {
		m.latency.observe(ev.Latency, now)
	}
}

// serveLeaf serves the shards of a leaf that has room again, each of them first in turn.
func (m *Machine) serveLeaf(l *leaf, now time.Time) {
	n := len(l.shards)
	if n == 0 {
		return
	}
	l.firstShard = (l.firstShard + 1) % n
	for i := range n {
		m.serve(l.shards[(l.firstShard+i)%n], now)
	}
}

// tick expires attempts and serves the stalled shards, such as those whose leaves were
// all ejected: no reply would serve them.
func (m *Machine) tick(now time.Time) {
	m.wakeAt = time.Time{}
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

func (m *Machine) refuse(t Ticket, reason query.DeclineReason, after time.Duration) {
	m.actions = append(m.actions, Refuse{Ticket: t, Reason: reason, RetryAfter: after})
}

// weight returns the caller's weight in the queues.
func (m *Machine) weight(caller string) float64 {
	if w, ok := m.weights[caller]; ok {
		return w
	}
	return 1
}

// setWeights takes the weights of the callers from their shares in the view.
func (m *Machine) setWeights(v *view.View) {
	m.weights = make(map[string]float64, len(v.Callers))
	for _, c := range v.Callers {
		m.weights[c.Name] = float64(max(1, c.Share))
	}
}
