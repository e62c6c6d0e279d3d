// Package greatest keeps the greatest records of all replies, compared byte by
// byte. Records have one fixed size; equal ones all count.
package greatest

import (
	"bytes"
	"container/heap"
	"slices"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/plugin"
)

// Name is the name that the combiner registers under.
const Name = "greatest-records"

// recordSize is the length of a record in bytes. A shorter rest of a body is no
// record.
const recordSize = 16

type combiner struct{}

// New returns the combiner; it has no state.
func New() plugin.Combiner { return combiner{} }

// Combine returns the most greatest records, greatest first. It holds no more
// than that many at a time.
func (combiner) Combine(bodies [][]byte, most int) []byte {
	if most <= 0 {
		return nil
	}
	kept := make(smallest, 0, most)
	for _, body := range bodies {
		for ; len(body) >= recordSize; body = body[recordSize:] {
			kept.offer(body[:recordSize], most)
		}
	}
	slices.SortFunc(kept, func(a, b []byte) int { return bytes.Compare(b, a) })
	out := make([]byte, 0, len(kept)*recordSize)
	for _, r := range kept {
		out = append(out, r...)
	}
	return out
}

// smallest is a heap whose first record is the smallest kept.
type smallest [][]byte

// offer keeps a record if it is among the most greatest so far.
func (s *smallest) offer(record []byte, most int) {
	switch {
	case len(*s) < most:
		heap.Push(s, record)
	case bytes.Compare(record, (*s)[0]) > 0:
		(*s)[0] = record
		heap.Fix(s, 0)
	}
}

// Len is part of heap.Interface.
func (s smallest) Len() int { return len(s) }

// Less is part of heap.Interface.
func (s smallest) Less(i, j int) bool { return bytes.Compare(s[i], s[j]) < 0 }

// Swap is part of heap.Interface.
func (s smallest) Swap(i, j int) { s[i], s[j] = s[j], s[i] }

// Push is part of heap.Interface.
func (s *smallest) Push(x any) { *s = append(*s, x.([]byte)) }

// Pop is part of heap.Interface.
func (s *smallest) Pop() any {
	old := *s
	x := old[len(old)-1]
	*s = old[:len(old)-1]
	return x
}
