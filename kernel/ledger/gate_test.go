package ledger

import (
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"
)

func TestGate(t *testing.T) {
	g := NewGate(3, DefaultConfig(), rand.New(rand.NewPCG(1, 2)))
	now := worldStart
	expect := func(e GateEvent, want ...GateAction) []GateAction {
		t.Helper()
		got := g.Handle(e, now)
		if !slices.EqualFunc(got, want, func(x, y GateAction) bool { return reflect.TypeOf(x) == reflect.TypeOf(y) }) {
			t.Fatalf("after %T: got %+v, want the types of %+v", e, got, want)
		}
		return got
	}
	expect(GateTick{}, Probe{})
	expect(GateTick{}) // one probe at a time
	expect(ProbeDone{}, Open{})
	expect(CallFailed{})
	expect(CallFailed{})
	expect(CallDone{}) // a success in between: not in a row
	expect(CallFailed{})
	expect(CallFailed{})
	closing := expect(CallFailed{RetryAfter: 2 * time.Second}, Close{}, GateWakeAt{})
	if got := closing[0].(Close).RetryAfter; got < 2*time.Second {
		t.Fatalf("closed for %v, less than the store asked for", got)
	}
	expect(CallFailed{})
	expect(GateTick{}) // not yet
	now = closing[1].(GateWakeAt).At
	expect(GateTick{}, Probe{})
	expect(CallDone{}) // a call that was in flight opens nothing
	again := expect(ProbeFailed{}, Close{}, GateWakeAt{})
	now = again[1].(GateWakeAt).At
	expect(GateTick{}, Probe{})
	expect(ProbeDone{}, Open{})
}

// A store that reads but takes no writes is tried ever less often.
func TestGateBacksOffFromAStoreThatTakesNoWrites(t *testing.T) {
	g := NewGate(1, DefaultConfig(), rand.New(rand.NewPCG(1, 2)))
	now := worldStart
	g.Handle(GateTick{}, now)
	g.Handle(ProbeDone{}, now)
	var delay time.Duration
	for range 10 {
		delay = g.Handle(CallFailed{}, now)[0].(Close).RetryAfter
		now = now.Add(delay)
		g.Handle(GateTick{}, now)
		g.Handle(ProbeDone{}, now)
	}
	if delay < g.backoff.Max/2 {
		t.Fatalf("after ten closings the delay is %v", delay)
	}
	g.Handle(CallDone{}, now)
	if again := g.Handle(CallFailed{}, now)[0].(Close).RetryAfter; again > 2*g.backoff.Min {
		t.Fatalf("after a success the delay is %v", again)
	}
}
