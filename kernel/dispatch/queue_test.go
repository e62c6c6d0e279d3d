package dispatch

import (
	"fmt"
	"testing"
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
