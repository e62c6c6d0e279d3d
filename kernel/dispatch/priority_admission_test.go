package dispatch

import (
	"testing"
	"time"
)

// TestLessUrgentQueriesYield refuses half of the urgent queries. No greater share of the
// less urgent ones is admitted, though all would fit; all are admitted again when no
// urgent one was refused recently.
func TestLessUrgentQueriesYield(t *testing.T) {
	m := newTestMachine(t, testView(1, 1, 1, 1, 1))
	now := start
	admitted := 0
	submit := func() bool {
		yields := m.ShouldYield(2, now)
		m.RecordDecision(2, !yields, now)
		return !yields
	}
	const queries = 200
	for i := range queries {
		m.RecordDecision(1, i%2 == 0, now)
		if submit() {
			admitted++
		}
		now = now.Add(10 * time.Millisecond)
	}
	if share := float64(admitted) / queries; share < 0.45 || share > 0.55 {
		t.Errorf("%.2f of the less urgent queries admitted, want 0.5 as of the urgent ones", share)
	}
	now = now.Add(yieldDuration + time.Millisecond)
	if !submit() {
		t.Error("a less urgent query yields though no urgent one is refused")
	}
}

// TestUrgentQueriesNeverYield refuses all of the less urgent queries.
func TestUrgentQueriesNeverYield(t *testing.T) {
	m := newTestMachine(t, testView(1, 1, 1, 1, 1))
	for range 100 {
		m.RecordDecision(2, false, start)
		if m.ShouldYield(1, start) {
			t.Fatal("an urgent query yields to a less urgent one")
		}
		m.RecordDecision(1, true, start)
	}
}

// TestFewRefusalsMakeNoneYield refuses too few queries for their share to mean anything.
func TestFewRefusalsMakeNoneYield(t *testing.T) {
	m := newTestMachine(t, testView(1, 1, 1, 1, 1))
	m.RecordDecision(0, false, start)
	if m.ShouldYield(1, start) {
		t.Error("one refused query is no reason to refuse another")
	}
}
