package ledger

import (
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"
)

func TestGate(t *testing.T) {
	g := NewBreaker(3, DefaultConfig(), rand.New(rand.NewPCG(1, 2)))
	now := worldStart
	expect := func(e BreakerEvent, want ...BreakerAction) []BreakerAction {
		t.Helper()
		got := g.Handle(e, now)
		if !slices.EqualFunc(got, want, func(x, y BreakerAction) bool { return reflect.TypeOf(x) == reflect.TypeOf(y) }) {
			t.Fatalf("after %T: got %+v, want the types of %+v", e, got, want)
		}
		return got
	}
	expect(BreakerTick{}, Probe{})
	expect(BreakerTick{}) // one probe at a time
	expect(ProbeSucceeded{}, AcceptClaims{})
	expect(CallFailed{})
	expect(CallFailed{})
	expect(CallSucceeded{}) // a success in between: not in a row
	expect(CallFailed{})
	expect(CallFailed{})
	closing := expect(CallFailed{RetryAfter: 2 * time.Second}, RefuseClaims{}, BreakerWakeAt{})
	if got := closing[0].(RefuseClaims).RetryAfter; got < 2*time.Second {
		t.Fatalf("closed for %v, less than the store asked for", got)
	}
	expect(CallFailed{})
	expect(BreakerTick{}) // not yet
	now = closing[1].(BreakerWakeAt).At
	expect(BreakerTick{}, Probe{})
	expect(CallSucceeded{}) // a call that was in flight opens nothing
	again := expect(ProbeFailed{}, RefuseClaims{}, BreakerWakeAt{})
	now = again[1].(BreakerWakeAt).At
	expect(BreakerTick{}, Probe{})
	expect(ProbeSucceeded{}, AcceptClaims{})
}

// A store that reads but takes no writes is tried ever less often.
func TestGateBacksOffFromAStoreThatTakesNoWrites(t *testing.T) {
	g := NewBreaker(1, DefaultConfig(), rand.New(rand.NewPCG(1, 2)))
	now := worldStart
	g.Handle(BreakerTick{}, now)
	g.Handle(ProbeSucceeded{}, now)
	var delay time.Duration
	for range 10 {
		delay = g.Handle(CallFailed{}, now)[0].(RefuseClaims).RetryAfter
		now = now.Add(delay)
		g.Handle(BreakerTick{}, now)
		g.Handle(ProbeSucceeded{}, now)
	}
	if delay < g.backoff.Max/2 {
		t.Fatalf("after ten closings the delay is %v", delay)
	}
	g.Handle(CallSucceeded{}, now)
	if again := g.Handle(CallFailed{}, now)[0].(RefuseClaims).RetryAfter; again > 2*g.backoff.Min {
		t.Fatalf("after a success the delay is %v", again)
	}
}
