package burst

import (
	"testing"
	"time"
)

// fullLeaves is a service of two leaves with eight slots that decline what they have no slot
// for, asked by many entries that do not know of each other's requests.
func fullLeaves(entries int, load float64) Params {
	p := Default(1, load)
	p.Replicas, p.Slots, p.Entries, p.Connections = 2, 8, entries, 26*entries
	p.Stragglers, p.Dist = 0, Fixed
	p.LeafQueue, p.Deadline = 1, 1500*time.Millisecond
	p.Policies.Routing, p.Repetition = "nearest", "objective"
	p.Duration, p.Warm = 6*time.Second, time.Second
	p.Kinds = []Kind{{Name: "one", Part: 1, Work: 10 * time.Millisecond, Objective: 300 * time.Millisecond, Priority: 1, LeastCoverage: 1}}
	return p
}

// TestFullLeavesAreNotTakenForBroken asks for less than the leaves can serve: what they
// decline while their slots are taken must not put them out of use.
func TestFullLeavesAreNotTakenForBroken(t *testing.T) {
	const want = 0.95
	for _, entries := range []int{8, 120} {
		for _, load := range []float64{0.7, 0.8} {
			if got := mustRun(t, fullLeaves(entries, load)).Kinds[0].InTime; got < want {
				t.Errorf("%d entries, load %.1f: %.3f in time, want %.2f", entries, load, got, want)
			}
		}
	}
}
