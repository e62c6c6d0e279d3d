package repetition

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestWindowAllowsRatioAndSlack checks the bound of one span and its end.
func TestWindowAllowsRatioAndSlack(t *testing.T) {
	w := NewRepeatLimiter(RepeatLimit{Ratio: 0.2, Slack: 3, Window: 10 * time.Second})
	now := time.Unix(1000, 0)
	for range 50 {
		w.CountRequest(now)
	}
	taken := 0
	for w.TakeRepeat(now) {
		taken++
	}
	if taken != 13 {
		t.Fatalf("%d repeats, want 0.2 x 50 + 3", taken)
	}
	if w.TakeRepeat(now.Add(9 * time.Second)) {
		t.Error("a repeat was allowed within the span of the others")
	}
	if !w.TakeRepeat(now.Add(11 * time.Second)) {
		t.Error("no repeat was allowed after the span")
	}
}

// TestWindowHoldsInAnySpan compares the repeats of every span with its requests.
func TestWindowHoldsInAnySpan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := RepeatLimit{Ratio: 0.2, Slack: 2, Window: 10 * time.Second}
		w := NewRepeatLimiter(limit)
		now := time.Unix(1000, 0)
		var requests, repeats []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "gap")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				w.CountRequest(now)
				requests = append(requests, now)
				continue
			}
			if w.TakeRepeat(now) {
				repeats = append(repeats, now)
			}
		}
		for _, end := range repeats {
			from := end.Add(-limit.Window)
			if got, most := within(repeats, from, end), limit.Ratio*float64(within(requests, from, end))+limit.Slack; float64(got) > most {
				t.Fatalf("%d repeats in a span that allows %.1f", got, most)
			}
		}
	})
}

// within counts the times in (from, to].
func within(times []time.Time, from, to time.Time) int {
	n := 0
	for _, at := range times {
		if at.After(from) && !at.After(to) {
			n++
		}
	}
	return n
}
