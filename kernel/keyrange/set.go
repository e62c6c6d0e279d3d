package keyrange

import "slices"

// Set is a set of keys, stored as sorted, disjoint, non-adjacent ranges. The zero
// value is the empty set. With n ranges, Add costs O(log n) comparisons to find its
// place, and O(n) moves in the worst case.
type Set struct {
	ranges []Range
}

// NewSet returns the union of the given ranges.
func NewSet(rs ...Range) Set {
	var s Set
	for _, r := range rs {
		s.Add(r)
	}
	return s
}

// Ranges returns the set's ranges in order. The caller must not change them.
func (s *Set) Ranges() []Range { return s.ranges }

// Size returns the number of keys in the set.
func (s *Set) Size() uint64 {
	var n uint64
	for _, r := range s.ranges {
		n += r.Size()
	}
	return n
}

// firstEndingFrom returns the index of the first range that ends at or after key.
func (s *Set) firstEndingFrom(key uint64) int {
	i, _ := slices.BinarySearchFunc(s.ranges, key, func(r Range, k uint64) int {
		if r.To < k {
			return -1
		}
		return 1
	})
	return i
}

// Add adds the keys of r to the set.
func (s *Set) Add(r Range) {
	if r.Empty() {
		return
	}
	i := s.firstEndingFrom(r.From)
	j := i
	for j < len(s.ranges) && s.ranges[j].From <= r.To {
		r.From = min(r.From, s.ranges[j].From)
		r.To = max(r.To, s.ranges[j].To)
		j++
	}
	s.ranges = slices.Replace(s.ranges, i, j, r)
}

// Overlaps reports whether the set contains any key of r.
func (s *Set) Overlaps(r Range) bool {
	for i := s.firstEndingFrom(r.From); i < len(s.ranges) && s.ranges[i].From < r.To; i++ {
		if s.ranges[i].Overlaps(r) {
			return true
		}
	}
	return false
}

// Contains reports whether the set contains every key of r.
func (s *Set) Contains(r Range) bool { return len(s.Missing(r)) == 0 }

// Missing returns the parts of r that the set does not contain, in order.
func (s *Set) Missing(r Range) []Range {
	var out []Range
	for i := s.firstEndingFrom(r.From); i < len(s.ranges) && s.ranges[i].From < r.To; i++ {
		if s.ranges[i].From > r.From {
			out = append(out, Range{r.From, s.ranges[i].From})
		}
		r.From = max(r.From, s.ranges[i].To)
	}
	if !r.Empty() {
		out = append(out, r)
	}
	return out
}
