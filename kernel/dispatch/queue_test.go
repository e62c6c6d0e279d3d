package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// TestPrioritiesShareService keeps the queues of three priorities of one caller full,
// the least urgent one ten times as long, and counts the services. Each priority gets
// half as many as the next more urgent one, and none is starved. A second caller with
// the same share gets as many as all of them.
func TestPrioritiesShareService(t *testing.T) {
	m := newTestMachine(t, testView(1, 1, 1, 1, 1))
	q := 0
	class := map[uint64]string{}
	offer := func(caller string, priority, n int) (actions []Action) {
		for range n {
			q++
			o := offered(q)
			o.Caller, o.Priority = caller, priority
			class[uint64(q)] = fmt.Sprint(caller, priority)
			actions = append(actions, m.Handle(o, start)...)
		}
		return actions
	}
	running := dispatched(offer("a", 2, 1000))[0]
	offer("a", 0, 100)
	offer("a", 1, 100)
	offer("b", 1, 100)
	served := map[string]int{"a2": 1} // the first, which runs
	for range 139 {
		running = dispatched(m.Handle(reply(int(running), 0), start))[0]
		served[class[running]]++
	}
	want := map[string]int{"a0": 40, "a1": 20, "a2": 10, "b1": 70}
	for name, n := range want {
		if got := served[name]; got < n-1 || got > n+1 {
			t.Errorf("served %v of 140, want about %v", served, want)
			break
		}
	}
}

// TestLateAttemptsYield queues attempts until the first ones can't end by the objective.
// The others are served before them, by priority, and the late ones when no other is
// queued.
func TestLateAttemptsYield(t *testing.T) {
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
	offer(6, 0, 0) // no objective: on time until the deadline
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

// TestLateAttemptsAddNoWait checks that the estimated wait of a new query does not
// include late attempts.
func TestLateAttemptsAddNoWait(t *testing.T) {
	m := newTestMachine(t, testView(1, 1, 1, 1, 1))
	for q := range 10 {
		o := offered(q)
		o.Due = start.Add(50 * time.Millisecond)
		m.Handle(o, start)
	}
	now := start.Add(100 * time.Millisecond)
	m.Handle(reply(0, 40*time.Millisecond), now)
	if _, _, wait := m.CountServableShards("a", 0, second, second); wait != 0 {
		t.Errorf("a wait of %v behind late attempts", wait)
	}
	m.Handle(Withdrawn{Ticket: ticket(5)}, now) // one of the late attempts
	if q := m.shards[0].queue; q.length != 7 || q.late != 7 {
		t.Errorf("%d queued, %d of them late, want 7", q.length, q.late)
	}
}
