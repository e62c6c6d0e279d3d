package dispatch

import (
	"testing"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/query"
)

// TestQueueIsBounded checks that an attempt over the bound is refused at once, and that
// attempts are queued again when there is room.
func TestQueueIsBounded(t *testing.T) {
	m := newTestMachine(t, testView(1, 1, 1, 1, 1))
	m.maxQueued = 2
	refusals := func(actions []Action) (n int) {
		for _, a := range actions {
			if r, ok := a.(Refuse); ok && r.Reason == query.ReasonOverloaded {
				n++
			}
		}
		return n
	}
	for q := 1; q <= 3; q++ { // one runs, two wait
		if n := refusals(m.Handle(offered(q), start)); n != 0 {
			t.Fatalf("attempt %d was refused", q)
		}
	}
	if n := refusals(m.Handle(offered(4), start)); n != 1 {
		t.Errorf("%d refusals over the bound, want 1", n)
	}
	m.Handle(reply(1, 0), start)
	if n := refusals(m.Handle(offered(5), start)); n != 0 {
		t.Error("refused with room in the queue")
	}
}
