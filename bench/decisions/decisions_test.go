package decisions

import (
	"fmt"
	"runtime"
	"testing"
)

func BenchmarkDecisions(b *testing.B) {
	for _, d := range All {
		for _, n := range Sizes {
			b.Run(fmt.Sprintf("%s/leaves=%d", d.Name, n), func(b *testing.B) {
				step := d.Make(n)
				b.ReportAllocs()
				b.ResetTimer()
				for i := range b.N {
					step(i)
				}
			})
		}
	}
}

// steps is enough that buffers have reached their size.
const steps = 5000

// cost returns the bytes and allocations of a step.
func cost(step Step) (bytes, allocations float64) {
	i := 0
	allocations = testing.AllocsPerRun(steps, func() {
		step(i)
		i++
	})
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range steps {
		step(i)
		i++
	}
	runtime.ReadMemStats(&after)
	return float64(after.TotalAlloc-before.TotalAlloc) / steps, allocations
}

// TestDecisionsAllocateLittle keeps the memory of a decision independent of
// the number of leaves.
func TestDecisionsAllocateLittle(t *testing.T) {
	for _, d := range All {
		fewBytes, fewAllocs := cost(d.Make(10))
		manyBytes, manyAllocs := cost(d.Make(1000))
		if fewBytes > 1024 || manyBytes > fewBytes+128 || manyAllocs > fewAllocs+1 {
			t.Errorf("%s: %.0f bytes in %.0f allocations at 10 leaves, %.0f in %.0f at 1000",
				d.Name, fewBytes, fewAllocs, manyBytes, manyAllocs)
		}
	}
}
