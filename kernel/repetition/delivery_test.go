package repetition

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestLateArrivalsStayWithinLimit sends attempts that arrive at any time before they end, and
// ends those without a response when the leaf responds to a later one.
func TestLateArrivalsStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := RepeatLimit{Slack: 3, Window: 10 * time.Second}
		limiter := NewRepeatLimiter(limit)
		unanswered := NewUnansweredAttempts(limit.Window)
		now := time.Unix(1000, 0)
		var buffered, repeats []time.Time // arrivals: still to come, and of repeats so far
		stalled := false
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "gap")) * time.Millisecond)
			if rapid.IntRange(0, 9).Draw(t, "leaf") == 0 || (stalled && len(buffered) > 0 && now.Sub(buffered[0]) > 8*time.Second) {
				if stalled = !stalled; !stalled {
					for range buffered {
						repeats = append(repeats, now)
					}
					buffered = nil
					unanswered.Responded("slow", now, now)
				}
			}
			d := NewDelivery(limiter)
			d.BeginAttempt()
			if !d.TakeRepeat(now) {
				d.EndAttempt(now)
				continue
			}
			d.BeginAttempt()
			d.EndAttempt(now) // the second attempt is answered by another leaf
			if stalled {
				buffered = append(buffered, now)
				unanswered.Add("slow", d, now)
			} else {
				repeats = append(repeats, now)
				d.EndAttempt(now)
			}
		}
		slices.SortFunc(repeats, time.Time.Compare)
		for _, end := range repeats {
			if n := countWithin(repeats, end.Add(-limit.Window), end); float64(n) > limit.Slack {
				t.Fatalf("%d repeats arrived in a window that allows %.0f", n, limit.Slack)
			}
		}
	})
}

// TestRepeatOfLostLeafIsSettledAfterWindow has a leaf that never responds again.
func TestRepeatOfLostLeafIsSettledAfterWindow(t *testing.T) {
	limiter := NewRepeatLimiter(RepeatLimit{Slack: 1, Window: 10 * time.Second})
	start := time.Unix(1000, 0)
	d := NewDelivery(limiter)
	d.BeginAttempt()
	if !d.TakeRepeat(start) {
		t.Fatal("no repeat was allowed")
	}
	for _, tc := range []struct {
		after time.Duration
		want  bool
	}{{9 * time.Second, false}, {10 * time.Second, false}, {19 * time.Second, false}, {21 * time.Second, true}} {
		if got := limiter.RemainingRepeats(start.Add(tc.after)) >= 1; got != tc.want {
			t.Errorf("after %v: a repeat is allowed: %v, want %v", tc.after, got, tc.want)
		}
	}
}

// TestUnansweredAttemptsAreForgotten adds attempts at leaves that never respond.
func TestUnansweredAttemptsAreForgotten(t *testing.T) {
	u := NewUnansweredAttempts(10 * time.Second)
	now := time.Unix(1000, 0)
	limiter := NewRepeatLimiter(RepeatLimit{Window: 10 * time.Second})
	for i := range 100 {
		d := NewDelivery(limiter)
		d.BeginAttempt()
		u.Add(string(rune('a'+i%20)), d, now)
		now = now.Add(time.Second)
	}
	left := 0
	for _, waiting := range u.byLeaf {
		left += len(waiting)
	}
	if left > 21 {
		t.Errorf("%d attempts are kept, want those of two periods at most", left)
	}
}
