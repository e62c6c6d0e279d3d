// Package greatest is the combiner that returns the greatest records of all replies, compared
// byte by byte. All records have the same size, and equal records are all kept.
package greatest

import (
	"bytes"
	"container/heap"
	"slices"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/plugin"
)

// Name is the name under which the combiner is registered.
const Name = "greatest-records"

// recordSize is the length of a record in bytes. A shorter remainder of a body is ignored.
const recordSize = 16

type combiner struct{}

// New returns the combiner; it has no state.
func New() plugin.Combiner { return combiner{} }

// Combine returns the greatest maxRecords records, greatest first. It never holds more than
// that many.
func (combiner) Combine(bodies [][]byte, maxRecords int) []byte {
	if maxRecords <= 0 {
		return nil
	}
	kept := make(recordHeap, 0, maxRecords)
	for _, body := range bodies {
		for ; len(body) >= recordSize; body = body[recordSize:] {
			kept.offer(body[:recordSize], maxRecords)
		}
	}
	slices.SortFunc(kept, func(a, b []byte) int { return bytes.Compare(b, a) })
	out := make([]byte, 0, len(kept)*recordSize)
	for _, r := range kept {
		out = append(out, r...)
	}
	return out
}

// recordHeap is a min-heap: its first record is the smallest one kept.
type recordHeap [][]byte

// offer keeps a record if it is among the greatest maxRecords so far.
func (h *recordHeap) offer(record []byte, maxRecords int) {
	switch {
	case len(*h) < maxRecords:
		heap.Push(h, record)
	case bytes.Compare(record, (*h)[0]) > 0:
		(*h)[0] = record
		heap.Fix(h, 0)
	}
}

// Len implements heap.Interface.
func (h recordHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h recordHeap) Less(i, j int) bool { return bytes.Compare(h[i], h[j]) < 0 }

// Swap implements heap.Interface.
func (h recordHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *recordHeap) Push(x any) { *h = append(*h, x.([]byte)) }

// Pop implements heap.Interface.
func (h *recordHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}
