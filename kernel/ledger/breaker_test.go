package ledger

import (
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"
)

func TestBreaker(t *testing.T) {
	b := NewBreaker(3, DefaultConfig(), rand.New(rand.NewPCG(1, 2)))
	now := simulationStart
	expect := func(e BreakerEvent, want ...BreakerAction) []BreakerAction {
		t.Helper()
		got := b.Handle(e, now)
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
	expect(CallSucceeded{}) // the failures are not consecutive
	expect(CallFailed{})
	expect(CallFailed{})
	refusal := expect(CallFailed{RetryAfter: 2 * time.Second}, RefuseClaims{}, BreakerWakeAt{})
	if got := refusal[0].(RefuseClaims).RetryAfter; got < 2*time.Second {
		t.Fatalf("claims are refused for %v, less than the store asked for", got)
	}
	expect(CallFailed{})
	expect(BreakerTick{}) // the probe is not due yet
	now = refusal[1].(BreakerWakeAt).At
	expect(BreakerTick{}, Probe{})
	expect(CallSucceeded{}) // a write that was in flight does not end the refusal
	secondRefusal := expect(ProbeFailed{}, RefuseClaims{}, BreakerWakeAt{})
	now = secondRefusal[1].(BreakerWakeAt).At
	expect(BreakerTick{}, Probe{})
	expect(ProbeSucceeded{}, AcceptClaims{})
}

// A store that answers reads but no writes is tried less and less often: a
// successful probe does not reset the delay.
func TestBreakerBacksOffWhileOnlyReadsSucceed(t *testing.T) {
	b := NewBreaker(1, DefaultConfig(), rand.New(rand.NewPCG(1, 2)))
	now := simulationStart
	b.Handle(BreakerTick{}, now)
	b.Handle(ProbeSucceeded{}, now)
	var delay time.Duration
	for range 10 {
		delay = b.Handle(CallFailed{}, now)[0].(RefuseClaims).RetryAfter
		now = now.Add(delay)
		b.Handle(BreakerTick{}, now)
		b.Handle(ProbeSucceeded{}, now)
	}
	if delay < b.backoff.Max/2 {
		t.Fatalf("after ten refusals the delay is %v", delay)
	}
	b.Handle(CallSucceeded{}, now)
	if reset := b.Handle(CallFailed{}, now)[0].(RefuseClaims).RetryAfter; reset > 2*b.backoff.Min {
		t.Fatalf("after a success the delay is %v", reset)
	}
}
