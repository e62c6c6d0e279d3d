package dispatch

import (
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/plugin"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/query"
)

// serve dispatches the shard's waiting attempts while leaves have room.
func (m *Machine) serve(s *shard, now time.Time) {
	m.demote(s, now)
	s.order.ObserveOldestWait(s.queue.oldest(now), now)
	for s.queue.length > 0 {
		a, i, why := m.next(s, now)
		if a == nil {
			m.stall(s)
			return
		}
		if m.hopeless(a, now) {
			m.unqueue(a)
			m.refuse(a.ticket, query.ReasonDeadline, m.drainTime(s))
			continue
		}
		m.dispatch(a, m.chosen[i], why, now)
	}
}

// stall notes a shard that has waiting work and no running attempt whose end
// would serve it.
func (m *Machine) stall(s *shard) {
	if !s.stalled && s.inFlight() == 0 {
		s.stalled = true
		m.stalled = append(m.stalled, s)
	}
}

// demote sets the attempts apart that can't have their full value any more: a slot that
// they got would make another query late too. With admission by the objective it keeps
// 402 answers in time a second at twice a capacity of 405, where there were 2 (two kinds
// of query over 20 shards, in virtual time).
func (m *Machine) demote(s *shard, now time.Time) {
	if m.unbounded || s.queue.inTime() == 0 {
		return
	}
	at := now.Add(m.times.median)
	s.queue.demote(func(a *attempt) bool { return a.due.Before(a.deadline) && !at.Before(a.due) })
}

// next finds the attempt to serve and its leaf: those that can be in time before the
// others, callers in turn, within a caller its priorities in turn, and within those the
// order policy's end of the queue. The leaf is m.chosen[i].
func (m *Machine) next(s *shard, now time.Time) (a *attempt, i int, why string) {
	if !m.anyRoom(s) {
		return nil, 0, ""
	}
	if a, i, why = m.nextOf(s, false, now); a == nil {
		a, i, why = m.nextOf(s, true, now)
	}
	return a, i, why
}

// nextOf finds the next attempt among those that can be in time, or among the others.
func (m *Machine) nextOf(s *shard, late bool, now time.Time) (a *attempt, i int, why string) {
	newest := s.order.NewestFirst() && !late
	for _, q := range s.queue.inTurn() {
		for _, r := range q.inTurn() {
			list := r.list(late)
			for k := range min(scanDepth, len(list)) {
				a := at(list, k, newest)
				if m.gather(a, now) {
					i, why := m.routing.Pick(m.candidates, now)
					return a, i, why
				}
			}
		}
	}
	return nil, 0, ""
}

// anyRoom reports whether a leaf of the shard could take any attempt.
func (m *Machine) anyRoom(s *shard) bool {
	for _, l := range s.leaves {
		if l.room() || (l.reserved != nil && l.inFlight == 0) {
			return true
		}
	}
	return false
}

// gather fills m.candidates with the leaves that may take the attempt now.
func (m *Machine) gather(a *attempt, now time.Time) bool {
	m.candidates, m.chosen = m.candidates[:0], m.chosen[:0]
	all := m.tooFewUsable(a.shard, now)
	for _, l := range a.shard.leaves {
		if !m.takes(l, a) {
			continue
		}
		if !all && !m.routing.Usable(l.key, now) {
			continue
		}
		m.candidates = append(m.candidates, plugin.Candidate{
			Key: l.key, InFlight: l.inFlight, Limit: l.limit.Limit(), Local: l.local, OldestAge: l.oldest(now),
		})
		m.chosen = append(m.chosen, l)
	}
	if len(m.chosen) == 0 && a.solo {
		m.reserve(a, now)
	}
	return len(m.chosen) > 0
}

// takes reports whether the leaf may take the attempt now.
func (m *Machine) takes(l *leaf, a *attempt) bool {
	if a.avoids(l) || l.leaving || l.share < 1 {
		return false
	}
	if a.solo {
		return l.inFlight == 0 && (l.reserved == nil || l.reserved == a)
	}
	return l.room()
}

// tooFewUsable reports whether less than half of the shard's leaves are
// usable: ejection then takes a bounded share only, and all are used again.
func (m *Machine) tooFewUsable(s *shard, now time.Time) bool {
	present, usable := 0, 0
	for _, l := range s.leaves {
		if l.leaving || l.share < 1 {
			continue
		}
		present++
		if m.routing.Usable(l.key, now) {
			usable++
		}
	}
	return 2*usable < present
}

// reserve keeps the least busy leaf from new work until the attempt that must
// run alone can have it.
func (m *Machine) reserve(a *attempt, now time.Time) {
	var best *leaf
	for _, l := range a.shard.leaves {
		if l.reserved == a {
			return
		}
		if l.reserved != nil || l.leaving || l.share < 1 || a.avoids(l) || !m.routing.Usable(l.key, now) {
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

// dispatch sends the attempt to the leaf.
func (m *Machine) dispatch(a *attempt, l *leaf, why string, now time.Time) {
	delete(m.waiting, a.ticket)
	a.shard.queue.serve(a)
	m.expiry.remove(a)
	m.release(a)
	a.leaf, a.started = l, now
	l.inFlight++
	l.out = append(l.out, now)
	l.solo = a.solo
	a.saturated = l.inFlight >= l.limit.Limit()
	m.running[a.ticket] = a
	m.actions = append(m.actions, Dispatch{
		Ticket: a.ticket, Shard: a.shard.index, Leaf: l.index, QueueTime: now.Sub(a.offered), Reason: why,
	})
}
