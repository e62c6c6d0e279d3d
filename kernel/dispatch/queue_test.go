package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// TestPrioritiesShare keeps the queues of three priorities of one caller full, the
// least urgent one ten times as long, and counts services: each rank gets half of
// what the next more urgent one gets, and none is left out. A second caller with the
// same share gets as much as all of them.
func TestPrioritiesShare(t *testing.T) {
	m := newTestMachine(t, testView(1, 1, 1, 1, 1))
	q := 0
	kind := map[uint64]string{}
	offer := func(caller string, priority, n int) (actions []Action) {
		for range n {
			q++
			o := offered(q)
			o.Caller, o.Priority = caller, priority
			kind[uint64(q)] = fmt.Sprint(caller, priority)
			actions = append(actions, m.Handle(o, start)...)
		}
		return actions
	}
	running := dispatched(offer("a", 2, 1000))[0]
	offer("a", 0, 100)
	offer("a", 1, 100)
	offer("b", 1, 100)
	served := map[string]int{"a2": 1} // the running one
	for range 139 {
		running = dispatched(m.Handle(reply(int(running), 0), start))[0]
		served[kind[running]]++
	}
	want := map[string]int{"a0": 40, "a1": 20, "a2": 10, "b1": 70}
	for name, n := range want {
		if got := served[name]; got < n-1 || got > n+1 {
			t.Errorf("served %v of 140, want about %v", served, want)
			break
		}
	}
}

// TestLateWorkYields lets attempts wait until those that came first can't be in time any
// more: whoever still can goes before them, the ranks in turn, and they are served when
// nobody else waits.
func TestLateWorkYields(t *testing.T) {
	m := newTestMachine(t, testView(1, 1, 1, 1, 1))
	offer := func(q, priority int, due time.Duration) []uint64 {
		o := offered(q)
		o.Priority = priority
		if due > 0 {
			o.Due = start.Add(due)
		}
		return dispatched(m.Handle(o, start))
	}
	running := offer(1, 0, second)
	offer(2, 0, 50*time.Millisecond)
	offer(3, 0, 60*time.Millisecond)
	offer(4, 0, 500*time.Millisecond)
	offer(5, 1, 500*time.Millisecond)
	offer(6, 0, 0) // no objective: in time until the deadline
	now := start.Add(100 * time.Millisecond)
	var order []uint64
	for range 5 {
		running = dispatched(m.Handle(reply(int(running[0]), 0), now))
		order = append(order, running...)
	}
	if want := []uint64{5, 4, 6, 2, 3}; !slices.Equal(order, want) {
		t.Errorf("served in the order %v, want %v", order, want)
	}
}

// TestLateWorkIsNoReasonToWait has late attempts wait before a shard: a query that can be
// in time does not wait for them.
func TestLateWorkIsNoReasonToWait(t *testing.T) {
	m := newTestMachine(t, testView(1, 1, 1, 1, 1))
	for q := range 10 {
		o := offered(q)
		o.Due = start.Add(50 * time.Millisecond)
		m.Handle(o, start)
	}
	now := start.Add(100 * time.Millisecond)
	m.Handle(reply(0, 40*time.Millisecond), now)
	if _, _, wait := m.CountServableShards("a", 0, second, second); wait != 0 {
		t.Errorf("a wait of %v behind work that is late", wait)
	}
	m.Handle(Withdrawn{Ticket: ticket(5)}, now) // one that is late leaves the queue
	if n := m.shards[0].queue; n.length != 7 || n.late != 7 {
		t.Errorf("%d wait, %d of them late, want 7", n.length, n.late)
	}
}
