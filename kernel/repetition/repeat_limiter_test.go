package repetition

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestRepeatLimiterAllowsRatioAndSlack checks the number of repeats in one window,
// and that repeats are allowed again after it.
func TestRepeatLimiterAllowsRatioAndSlack(t *testing.T) {
	limiter := NewRepeatLimiter(RepeatLimit{Ratio: 0.2, Slack: 3, Window: 10 * time.Second})
	now := time.Unix(1000, 0)
	for range 50 {
		limiter.CountRequest(now)
	}
	taken := 0
	for takeAndSettle(limiter, now) {
		taken++
	}
	if taken != 13 {
		t.Fatalf("%d repeats, want 0.2 x 50 + 3", taken)
	}
	if takeAndSettle(limiter, now.Add(9*time.Second)) {
		t.Error("a repeat was allowed within the window of the others")
	}
	if !takeAndSettle(limiter, now.Add(11*time.Second)) {
		t.Error("no repeat was allowed after the window")
	}
}

// TestLimitHoldsInEveryWindow compares the repeats of every window with its
// requests.
func TestLimitHoldsInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := RepeatLimit{Ratio: 0.2, Slack: 2, Window: 10 * time.Second}
		limiter := NewRepeatLimiter(limit)
		now := time.Unix(1000, 0)
		var requests, repeats []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "gap")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				limiter.CountRequest(now)
				requests = append(requests, now)
				continue
			}
			if takeAndSettle(limiter, now) {
				repeats = append(repeats, now)
			}
		}
		for _, end := range repeats {
			from := end.Add(-limit.Window)
			if got, allowed := countWithin(repeats, from, end), limit.Ratio*float64(countWithin(requests, from, end))+limit.Slack; float64(got) > allowed {
				t.Fatalf("%d repeats in a window that allows %.1f", got, allowed)
			}
		}
	})
}

// countWithin counts the times in (from, to].
func countWithin(times []time.Time, from, to time.Time) int {
	n := 0
	for _, at := range times {
		if at.After(from) && !at.After(to) {
			n++
		}
	}
	return n
}

// takeAndSettle takes a repeat that arrives at once, and reports whether it was allowed.
func takeAndSettle(l *RepeatLimiter, now time.Time) bool {
	r := l.TakeRepeat(now)
	if r == nil {
		return false
	}
	l.Settle(r, now)
	return true
}

// TestHedgesLeaveRoomForRetries wants far more hedges than the limit allows, and one retry a
// second, which it does: a request that has no other chance must not be given up for hedges.
func TestHedgesLeaveRoomForRetries(t *testing.T) {
	const seconds, warm, requests = 90, 30, 10
	limiter := NewRepeatLimiter(RepeatLimit{Ratio: 0.2, Window: 10 * time.Second})
	hedges, refused := 0, 0
	for step := range seconds * requests {
		now := limiterStart.Add(time.Duration(step) * time.Second / requests)
		limiter.CountRequest(now)
		if r := limiter.TakeHedge(now); r != nil {
			limiter.Settle(r, now)
			hedges++
		}
		if step%requests != requests/2 {
			continue
		}
		r := limiter.TakeRepeat(now)
		switch {
		case r != nil:
			limiter.Settle(r, now)
		case step >= warm*requests:
			refused++
		}
	}
	if refused > 0 {
		t.Errorf("%d of %d retries refused although the limit allows them", refused, seconds-warm)
	}
	if hedges < seconds/2 {
		t.Errorf("%d hedges in %d s, want the rest of the limit to be used", hedges, seconds)
	}
}

// TestHedgesUseLimitThatNoRetryWants wants hedges only.
func TestHedgesUseLimitThatNoRetryWants(t *testing.T) {
	limiter := NewRepeatLimiter(RepeatLimit{Slack: 5, Window: 10 * time.Second})
	for i := range 5 {
		if limiter.TakeHedge(limiterStart) == nil {
			t.Fatalf("hedge %d refused, want 5", i+1)
		}
	}
}

var limiterStart = time.Unix(1000, 0)
