package dispatch

import (
	"container/heap"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/query"
)

// expiryHeap orders waiting attempts by deadline. Each knows its place, so that
// one that waits no more leaves in O(log n) and nothing of it is kept.
type expiryHeap []*attempt

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (h expiryHeap) Len() int { return len(h) }

// Less orders by deadline.
func (h expiryHeap) Less(i, j int) bool { return h[i].deadline.Before(h[j].deadline) }

// Swap exchanges two attempts.
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place, h[j].place = i, j
}

// Push appends an attempt.
func (h *expiryHeap) Push(x any) {
	a := x.(*attempt)
	a.place = len(*h)
	*h = append(*h, a)
}

// Pop removes the last attempt.
func (h *expiryHeap) Pop() any {
	old := *h
	a := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	a.place = noPlace
	return a
}

// noPlace is attempt.place outside the heap.
const noPlace = -1

func (h *expiryHeap) push(a *attempt) { heap.Push(h, a) }

func (h *expiryHeap) remove(a *attempt) {
	if a.place != noPlace {
		heap.Remove(h, a.place)
	}
}

// first returns the waiting attempt with the earliest deadline, or nil.
func (h expiryHeap) first() *attempt {
	if len(h) == 0 {
		return nil
	}
	return h[0]
}

// expire refuses, at once, what can't finish any more.
func (m *Machine) expire(now time.Time) {
	for a := m.expiry.first(); a != nil && m.hopeless(a, now); a = m.expiry.first() {
		m.unqueue(a)
		m.refuse(a.ticket, query.ReasonDeadline, m.drainTime(a.shard))
		if a.solo {
			m.serve(a.shard, now) // the leaf that was kept for it is free
		}
	}
}

// hopeless reports whether the attempt can't finish by its deadline if it
// started now.
func (m *Machine) hopeless(a *attempt, now time.Time) bool {
	return !now.Add(m.needed(a, now)).Before(a.deadline)
}

// needed is the least time to finish. While other work waits it is the median,
// so that a slot goes to work which more likely than not finishes in time.
func (m *Machine) needed(a *attempt, now time.Time) time.Duration {
	if m.unbounded || !m.times.known(now) {
		return 0
	}
	if a.shard.queue.length > 1 {
		return m.times.median
	}
	return m.times.least
}

// askWake asks for a Tick at the next expiry, or soon while work waits for a
// leaf that no reply will free.
func (m *Machine) askWake(now time.Time) {
	a := m.expiry.first()
	if a == nil {
		return
	}
	at := a.deadline.Add(-m.needed(a, now))
	if len(m.stalled) > 0 {
		at = earlier(at, now.Add(pollInterval))
	}
	if !m.wake.IsZero() && !at.Before(m.wake) && m.wake.After(now) {
		return
	}
	m.wake = at
	m.actions = append(m.actions, WakeAt{At: at})
}

// pollInterval is how often work that waits for no running attempt is tried again.
const pollInterval = 5 * time.Millisecond

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
