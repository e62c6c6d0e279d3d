package dispatch

import (
	"container/heap"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/query"
)

// expiryHeap is a heap of the queued attempts by deadline. Each attempt knows its index,
// so that it can be removed in O(log n) when it leaves the queue.
type expiryHeap []*attempt

// Len implements heap.Interface, as do the four methods that follow.
func (h expiryHeap) Len() int { return len(h) }

// Less orders by deadline.
func (h expiryHeap) Less(i, j int) bool { return h[i].deadline.Before(h[j].deadline) }

// Swap exchanges two attempts.
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push appends an attempt.
func (h *expiryHeap) Push(x any) {
	a := x.(*attempt)
	a.heapIndex = len(*h)
	*h = append(*h, a)
}

// Pop removes the last attempt.
func (h *expiryHeap) Pop() any {
	old := *h
	a := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	a.heapIndex = notInHeap
	return a
}

// notInHeap is the heapIndex of an attempt outside the heap.
const notInHeap = -1

func (h *expiryHeap) push(a *attempt) { heap.Push(h, a) }

func (h *expiryHeap) remove(a *attempt) {
	if a.heapIndex != notInHeap {
		heap.Remove(h, a.heapIndex)
	}
}

// first returns the queued attempt with the earliest deadline, or nil.
func (h expiryHeap) first() *attempt {
	if len(h) == 0 {
		return nil
	}
	return h[0]
}

// expire refuses the queued attempts that can't end by their deadline.
func (m *Machine) expire(now time.Time) {
	for a := m.expiry.first(); a != nil && m.missesDeadline(a, now); a = m.expiry.first() {
		m.dequeue(a)
		m.refuse(a.ticket, query.ReasonDeadline, m.drainTime(a.shard))
		if a.solo {
			m.serve(a.shard, now) // its reserved leaf is free for others
		}
	}
}

// missesDeadline reports whether the attempt would not end by its deadline if it were
// dispatched now.
func (m *Machine) missesDeadline(a *attempt, now time.Time) bool {
	return !now.Add(m.timeNeeded(a, now)).Before(a.deadline)
}

// timeNeeded returns the time in which an attempt is assumed to end: the lowQuantile of
// latency or, while other attempts are queued, the median, so that a slot goes to an
// attempt which more likely than not ends in time.
func (m *Machine) timeNeeded(a *attempt, now time.Time) time.Duration {
	if m.unbounded || !m.latency.fresh(now) {
		return 0
	}
	if a.shard.queue.length > 1 {
		return m.latency.median
	}
	return m.latency.low
}

// requestWake asks for a Tick at the next expiry, or after pollInterval while a shard is
// stalled.
func (m *Machine) requestWake(now time.Time) {
	a := m.expiry.first()
	if a == nil {
		return
	}
	at := a.deadline.Add(-m.timeNeeded(a, now))
	if len(m.stalled) > 0 {
		at = earlierOf(at, now.Add(pollInterval))
	}
	if !m.wakeAt.IsZero() && !at.Before(m.wakeAt) && m.wakeAt.After(now) {
		return
	}
	m.wakeAt = at
	m.actions = append(m.actions, WakeAt{At: at})
}

// pollInterval is how often stalled shards are served.
const pollInterval = 5 * time.Millisecond

func earlierOf(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
