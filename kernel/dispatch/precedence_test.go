package dispatch

import (
	"testing"
	"time"
)

// TestLessUrgentYields refuses half of the urgent queries: of the less urgent ones, which
// would all fit, no greater share is taken in, and all of them again once no urgent one
// has been refused for a moment.
func TestLessUrgentYields(t *testing.T) {
	m := newTestMachine(t, testView(1, 1, 1, 1, 1))
	now := start
	taken := 0
	ask := func() bool {
		yields := m.ShouldYield(2, now)
		m.RecordDecision(2, !yields, now)
		return !yields
	}
	const queries = 200
	for i := range queries {
		m.RecordDecision(1, i%2 == 0, now)
		if ask() {
			taken++
		}
		now = now.Add(10 * time.Millisecond)
	}
	if share := float64(taken) / queries; share < 0.45 || share > 0.55 {
		t.Errorf("%.2f of the less urgent queries taken in beside 0.5 of the urgent ones", share)
	}
	now = now.Add(precedenceLasts + time.Millisecond)
	if !ask() {
		t.Error("a less urgent query yields though no urgent one is refused")
	}
}

// TestUrgentNeverYields refuses all of the less urgent queries.
func TestUrgentNeverYields(t *testing.T) {
	m := newTestMachine(t, testView(1, 1, 1, 1, 1))
	for range 100 {
		m.RecordDecision(2, false, start)
		if m.ShouldYield(1, start) {
			t.Fatal("an urgent query yields to a less urgent one")
		}
		m.RecordDecision(1, true, start)
	}
}

// TestFewQueriesYieldToNobody asks too seldom for a share to say anything.
func TestFewQueriesYieldToNobody(t *testing.T) {
	m := newTestMachine(t, testView(1, 1, 1, 1, 1))
	m.RecordDecision(0, false, start)
	if m.ShouldYield(1, start) {
		t.Error("one refused query is no reason to refuse another")
	}
}
