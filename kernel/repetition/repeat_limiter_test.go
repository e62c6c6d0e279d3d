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
