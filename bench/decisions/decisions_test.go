package decisions

import (
	"fmt"
	"testing"
)

func BenchmarkDecisions(b *testing.B) {
	for _, d := range All {
		for _, n := range Sizes {
			b.Run(fmt.Sprintf("%s/leaves=%d", d.Name, n), d.Make(n))
		}
	}
}

// TestDecisionsAllocateLittle keeps the memory of a decision independent of
// the number of leaves.
func TestDecisionsAllocateLittle(t *testing.T) {
	for _, d := range All {
		few := testing.Benchmark(d.Make(10))
		many := testing.Benchmark(d.Make(1000))
		if few.AllocedBytesPerOp() > 1024 || many.AllocedBytesPerOp() > few.AllocedBytesPerOp()+128 {
			t.Errorf("%s: %d bytes at 10 leaves and %d at 1000", d.Name, few.AllocedBytesPerOp(), many.AllocedBytesPerOp())
		}
	}
}
