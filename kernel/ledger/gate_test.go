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
