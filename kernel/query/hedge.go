package query

import (
	"container/heap"
	"time"
)

// hedgeQueue orders sent attempts by the time at which they are hedged.
type hedgeQueue []hedgeEntry

// hedgeEntry is one sent attempt.
type hedgeEntry struct {
	due time.Time
	id  AttemptID
}

// Len is part of heap.Interface.
func (q hedgeQueue) Len() int { return len(q) }

// Less is part of heap.Interface.
func (q hedgeQueue) Less(i, j int) bool { return q[i].due.Before(q[j].due) }

// Swap is part of heap.Interface.
func (q hedgeQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push is part of heap.Interface.
func (q *hedgeQueue) Push(x any) { *q = append(*q, x.(hedgeEntry)) }

// Pop is part of heap.Interface.
func (q *hedgeQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// next is the earliest due time.
func (q hedgeQueue) next() (time.Time, bool) {
	if len(q) == 0 {
		return time.Time{}, false
	}
	return q[0].due, true
}

// scheduleHedge notes when a sent attempt is to be hedged, if it may be.
// Hedging repeats work that may still run: only idempotent requests allow it.
func (m *Machine) scheduleHedge(id AttemptID, a *attempt, now time.Time) {
	p := &m.parts[a.part]
	after := m.spaces[p.space].hedgeAfter
	if after <= 0 || a.hedge || a.solo || p.hedged || !m.idempotent() {
		return
	}
	heap.Push(&m.hedges, hedgeEntry{due: now.Add(after), id: id})
}

// fireHedges starts the hedges that are due and drops those not needed.
func (m *Machine) fireHedges(now time.Time) {
	for len(m.hedges) > 0 && !m.finished {
		top := m.hedges[0]
		a := m.lookup(top.id)
		if a.state == stateSent && top.due.After(now) {
			return
		}
		heap.Pop(&m.hedges)
		if a.state == stateSent {
			m.hedge(a.part, now)
		}
	}
}

// hedge offers a second attempt of a part.
func (m *Machine) hedge(i int, now time.Time) {
	p := &m.parts[i]
	if p.state != partOpen || p.live.n != 1 || p.hedged || !m.gate.open {
		return
	}
	if !now.Before(m.cfg.Deadline) || !m.hasOther(p) || !m.mayRunAgain(p) {
		return
	}
	if !m.cfg.Budget.TakeHedge(now) || !m.mayArrive(p, now) {
		return
	}
	p.hedged = true
	m.offer(i, attempt{hedge: true})
}
