package control

import (
	"testing"
	"time"
)

// TestSharesShrinkAtOnceAndGrowLate follows a share through joins and departures.
func TestSharesShrinkAtOnceAndGrowLate(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	s := newShares()
	s.listKnown = true
	step := func(after time.Duration, entries []string, want, expect int) {
		t.Helper()
		now := start.Add(after)
		s.follow(entries, now)
		s.begin(now)
		if got := s.grant("leaf", want); got != expect {
			t.Errorf("after %v: %d connections, want %d", after, got, expect)
		}
	}
	step(0, []string{"a"}, 20, blindShare)
	step(growAfter-time.Millisecond, []string{"a"}, 20, blindShare)
	if at := s.growAt(); !at.Equal(start.Add(growAfter)) {
		t.Errorf("may grow at %v, want %v later", at, growAfter)
	}
	step(growAfter, []string{"a"}, 20, 20)
	step(growAfter, []string{"a", "b"}, 10, 10)
	step(growAfter+time.Second, []string{"a"}, 20, 10)
	step(2*growAfter+time.Second, []string{"a"}, 20, 20)
	if !s.growAt().IsZero() {
		t.Error("asks to grow with nothing held back")
	}
}
