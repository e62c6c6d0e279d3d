package greatest

import (
	"bytes"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestCombineMatchesSorting compares the result with sorting all records.
func TestCombineMatchesSorting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var bodies [][]byte
		var all [][]byte
		for range rapid.IntRange(0, 5).Draw(t, "parts") {
			// With few distinct byte values, equal records occur.
			body := rapid.SliceOfN(rapid.SampledFrom([]byte{0, 1, 255}), 0, 70).Draw(t, "body")
			bodies = append(bodies, body)
			all = append(all, slices.Collect(slices.Chunk(body[:len(body)/recordSize*recordSize], recordSize))...)
		}
		slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
		maxRecords := rapid.IntRange(0, 8).Draw(t, "most")
		want := bytes.Join(all[:min(maxRecords, len(all))], nil)
		if got := New().Combine(bodies, maxRecords); !bytes.Equal(got, want) {
			t.Fatalf("got %x, want %x", got, want)
		}
	})
}
