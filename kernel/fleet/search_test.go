package fleet

import (
	"testing"
)

// TestEveryMemberOfAZoneHasItsTurn counts the members of each round of a search.
func TestEveryMemberOfAZoneHasItsTurn(t *testing.T) {
	for size, want := range map[int][]int{1: {1}, 2: {2}, 3: {2, 1}, 20: {2, 2, 4, 8, 4}, 350: {2, 2, 4, 8, 16, 32, 64, 128, 94}} {
		list := append(zone("a", size), zone("b", 7)...)
		got := make(map[float64]int)
		for _, self := range list[:size] {
			f := New(self, settings)
			f.ApplyStoreList(list, start)
			got[f.StoreSearchTurn()]++
		}
		if len(got) != len(want) {
			t.Errorf("a zone of %d: %d rounds, want %d", size, len(got), len(want))
		}
		for round, members := range want {
			turn := 0.0
			if len(want) > 1 {
				turn = float64(round) / float64(len(want)-1)
			}
			if got[turn] != members {
				t.Errorf("a zone of %d: %d members at turn %v, want %d", size, got[turn], turn, members)
			}
		}
	}
}
