package query

import (
	"container/heap"
	"time"
)

// hedgeQueue is a heap of sent attempts, ordered by the time at which to hedge them.
type hedgeQueue []hedgeEntry

// hedgeEntry is a sent attempt and the time at which to hedge it.
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

// nextDue returns the earliest due time; false if the queue is empty.
func (q hedgeQueue) nextDue() (time.Time, bool) {
	if len(q) == 0 {
		return time.Time{}, false
	}
	return q[0].due, true
}

// scheduleHedge queues a sent attempt for a hedge, if it may be hedged. A hedge
// repeats work that may still run, so only idempotent requests are hedged.
func (m *Machine) scheduleHedge(id AttemptID, a *attempt, now time.Time) {
	p := &m.parts[a.part]
	after := m.spaces[p.space].hedgeAfter
	if after <= 0 || a.hedge || a.solo || p.hedged || !m.idempotent() {
		return
	}
	heap.Push(&m.hedges, hedgeEntry{due: now.Add(after), id: id})
}

// startDueHedges offers the hedges that are due and drops the entries of attempts
// that have ended.
func (m *Machine) startDueHedges(now time.Time) {
	for len(m.hedges) > 0 && !m.finished {
		top := m.hedges[0]
		a := m.findAttempt(top.id)
		if a.state == stateSent && top.due.After(now) {
			return
		}
		heap.Pop(&m.hedges)
		if a.state == stateSent {
			m.hedgePart(a.part, now)
		}
	}
}

// hedgePart offers a second attempt of a part, if the part still waits for its first
// one and the budgets allow it.
func (m *Machine) hedgePart(i int, now time.Time) {
	p := &m.parts[i]
	if p.state != partOpen || p.live.n != 1 || p.hedged || !m.gate.open {
		return
	}
	if !now.Before(m.cfg.Deadline) || !m.hasUntriedLeaf(p) || !m.mayRunAgain(p) {
		return
	}
	if !m.cfg.Budget.TakeHedge(now) || !m.takeShardRepeat(p, RepeatHedge, now) {
		return
	}
	p.hedged = true
	m.offerPart(i, attempt{hedge: true})
}
