package control

import (
	"testing"
	"time"
)

// TestSharesShrinkAtOnceAndGrowDelayed changes the set of entries and checks the
// share after each change.
func TestSharesShrinkAtOnceAndGrowDelayed(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	s := newShares()
	s.listKnown = true
	step := func(after time.Duration, entries []string, want, expect int) {
		t.Helper()
		now := start.Add(after)
		s.setEntries(entries, now)
		s.startRound(now)
		if got := s.limit("leaf", want); got != expect {
			t.Errorf("after %v: %d connections, want %d", after, got, expect)
		}
	}
	step(0, []string{"a"}, 20, initialShare)
	step(growDelay-time.Millisecond, []string{"a"}, 20, initialShare)
	if at := s.growAt(); !at.Equal(start.Add(growDelay)) {
		t.Errorf("may grow at %v, want %v later", at, growDelay)
	}
	step(growDelay, []string{"a"}, 20, 20)
	step(growDelay, []string{"a", "b"}, 10, 10)
	step(growDelay+time.Second, []string{"a"}, 20, 10)
	step(2*growDelay+time.Second, []string{"a"}, 20, 20)
	if !s.growAt().IsZero() {
		t.Error("a time to grow with no share delayed")
	}
}
