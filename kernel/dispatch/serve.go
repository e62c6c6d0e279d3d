package dispatch

import (
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/plugin"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/query"
)

// serve dispatches the queued attempts of a shard while its leaves have room.
func (m *Machine) serve(s *shard, now time.Time) {
	m.demote(s, now)
	s.order.ObserveOldestWait(s.queue.maxWaitedShare(now), now)
	for s.queue.length > 0 {
		a, i, reason := m.nextAttempt(s, now)
		if a == nil {
			m.stall(s)
			return
		}
		if m.missesDeadline(a, now) {
			m.dequeue(a)
			m.refuse(a.ticket, query.ReasonDeadline, m.drainTime(s))
			continue
		}
		m.dispatch(a, m.candidateLeaves[i], reason, now)
	}
}

// stall adds a shard to Machine.stalled if no attempt runs on it whose end would serve
// its queue.
func (m *Machine) stall(s *shard) {
	if !s.stalled && s.inFlight() == 0 {
		s.stalled = true
		m.stalled = append(m.stalled, s)
	}
}

// demote sets apart the queued attempts that can't end by the objective: a slot given to
// one of them would make another query late too. Together with admission by the
// objective this keeps 402 answers a second in time at twice a capacity of 405, instead
// of 2 (two kinds of query over 20 shards, simulated).
func (m *Machine) demote(s *shard, now time.Time) {
	if m.unbounded || s.queue.onTimeCount() == 0 {
		return
	}
	end := now.Add(m.latency.median)
	s.queue.demote(func(a *attempt) bool { return a.due.Before(a.deadline) && !end.Before(a.due) })
}

// nextAttempt returns the attempt to serve next and the index of its leaf in
// m.candidateLeaves, or nil. Attempts that are not late come first, then callers and
// priorities by fair queueing, and within a priority the end of the queue that the order
// policy chooses.
func (m *Machine) nextAttempt(s *shard, now time.Time) (a *attempt, i int, reason string) {
	if !m.anyLeafHasRoom(s) {
		return nil, 0, ""
	}
	if a, i, reason = m.nextAttemptOf(s, false, now); a == nil {
		a, i, reason = m.nextAttemptOf(s, true, now)
	}
	return a, i, reason
}

// nextAttemptOf returns the next attempt among the late ones or among the others.
func (m *Machine) nextAttemptOf(s *shard, late bool, now time.Time) (a *attempt, i int, reason string) {
	newest := s.order.NewestFirst() && !late
	for _, q := range s.queue.byStartTag() {
		for _, c := range q.byStartTag() {
			list := c.attempts(late)
			for k := range min(scanDepth, len(list)) {
				a := attemptAt(list, k, newest)
				if m.collectCandidates(a, now) {
					i, reason := m.routing.Pick(m.candidates, now)
					return a, i, reason
				}
			}
		}
	}
	return nil, 0, ""
}

// anyLeafHasRoom reports whether a leaf of the shard could take any attempt.
func (m *Machine) anyLeafHasRoom(s *shard) bool {
	for _, l := range s.leaves {
		if l.hasRoom() || (l.reserved != nil && l.inFlight == 0) {
			return true
		}
	}
	return false
}

// collectCandidates fills m.candidates and m.candidateLeaves with the leaves that may
// take the attempt now, and reports whether there are any. Without any, a solo attempt
// reserves a leaf.
func (m *Machine) collectCandidates(a *attempt, now time.Time) bool {
	m.candidates, m.candidateLeaves = m.candidates[:0], m.candidateLeaves[:0]
	useEjected := m.tooFewUsable(a.shard, now)
	for _, l := range a.shard.leaves {
		if !m.canTake(l, a) {
			continue
		}
		if !useEjected && !m.routing.Usable(l.key, now) {
			continue
		}
		m.candidates = append(m.candidates, plugin.Candidate{
			Key: l.key, InFlight: l.inFlight, Limit: l.limit.Limit(), Local: l.local, OldestAge: l.oldestAge(now),
		})
		m.candidateLeaves = append(m.candidateLeaves, l)
	}
	if len(m.candidateLeaves) == 0 && a.solo {
		m.reserve(a, now)
	}
	return len(m.candidateLeaves) > 0
}

// canTake reports whether the attempt may be dispatched to the leaf now.
func (m *Machine) canTake(l *leaf, a *attempt) bool {
	if a.avoids(l) || l.leaving || l.connections < 1 {
		return false
	}
	if a.solo {
		return l.inFlight == 0 && (l.reserved == nil || l.reserved == a)
	}
	return l.hasRoom()
}

// tooFewUsable reports whether less than half of the shard's leaves are usable. Ejected
// leaves are then used as well, so that ejection takes at most half of a shard's leaves
// out of service.
func (m *Machine) tooFewUsable(s *shard, now time.Time) bool {
	total, usable := 0, 0
	for _, l := range s.leaves {
		if l.leaving || l.connections < 1 {
			continue
		}
		total++
		if m.routing.Usable(l.key, now) {
			usable++
		}
	}
	return 2*usable < total
}

// reserve reserves the leaf with the fewest attempts in flight for a solo attempt, so
// that it becomes idle.
func (m *Machine) reserve(a *attempt, now time.Time) {
	var best *leaf
	for _, l := range a.shard.leaves {
		if l.reserved == a {
			return
		}
		if l.reserved != nil || l.leaving || l.connections < 1 || a.avoids(l) || !m.routing.Usable(l.key, now) {
			continue
		}
		if best == nil || l.inFlight < best.inFlight {
			best = l
		}
	}
	if best != nil {
		best.reserved = a
	}
}

func (m *Machine) dispatch(a *attempt, l *leaf, reason string, now time.Time) {
	delete(m.waiting, a.ticket)
	a.shard.queue.serve(a)
	m.expiry.remove(a)
	m.releaseReservation(a)
	a.leaf, a.started = l, now
	l.inFlight++
	l.startTimes = append(l.startTimes, now)
	l.solo = a.solo
	a.saturated = l.inFlight >= l.limit.Limit()
	m.running[a.ticket] = a
	m.actions = append(m.actions, Dispatch{
		Ticket: a.ticket, Shard: a.shard.index, Leaf: l.index, QueueTime: now.Sub(a.offered), Reason: reason,
	})
}
