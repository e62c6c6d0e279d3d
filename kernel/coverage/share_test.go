package coverage

import (
	"math/rand/v2"
	"testing"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/keyrange"
)

// TestShareOfEqualShardsIsExact covers k of n shards of equal size in a random order. A share
// that was summed up falls short of a least coverage that is just reached: ten times 1/20 is
// less than 0.5.
func TestShareOfEqualShardsIsExact(t *testing.T) {
	for n := 1; n <= 130; n++ {
		universe := keyrange.Range{To: uint64(n)}
		var shards []keyrange.Range
		for i := range uint64(n) {
			shards = append(shards, keyrange.Range{From: i, To: i + 1})
		}
		m := NewMap([]*Grid{NewGrid(universe, shards)})
		for k, i := range rand.New(rand.NewPCG(1, uint64(n))).Perm(n) {
			m.Add(0, shards[i])
			if got, want := m.Share(), float64(k+1)/float64(n); got != want {
				t.Fatalf("%d of %d shards: share %v, want %v", k+1, n, got, want)
			}
		}
	}
}
