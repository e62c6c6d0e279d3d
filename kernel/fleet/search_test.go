package fleet

import (
	"testing"
)

// TestSearchTurnsCoverTheZone counts the instances that have their turn in each round of a
// search, for zones of several sizes.
func TestSearchTurnsCoverTheZone(t *testing.T) {
	for size, want := range map[int][]int{1: {1}, 2: {2}, 3: {2, 1}, 20: {2, 2, 4, 8, 4}, 350: {2, 2, 4, 8, 16, 32, 64, 128, 94}} {
		list := append(zoneOf("a", size), zoneOf("b", 7)...)
		got := make(map[float64]int)
		for _, self := range list[:size] {
			f := New(self, settings)
			f.ApplyStoreList(list, start)
			got[f.StoreSearchTurn()]++
		}
		if len(got) != len(want) {
			t.Errorf("a zone of %d: %d rounds, want %d", size, len(got), len(want))
		}
		for round, instances := range want {
			turn := 0.0
			if len(want) > 1 {
				turn = float64(round) / float64(len(want)-1)
			}
			if got[turn] != instances {
				t.Errorf("a zone of %d: %d instances at turn %v, want %d", size, got[turn], turn, instances)
			}
		}
	}
}
