package keyrange

import "slices"

// Set is a set of keys held as sorted, disjoint, non-touching ranges. The
// zero value is the empty set. Add costs O(n) moves in the worst case, where n
// is the number of ranges held, and O(log n) comparisons.
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

// Size is the number of keys in the set.
func (s *Set) Size() uint64 {
	var n uint64
	for _, r := range s.ranges {
		n += r.Size()
	}
	return n
}

// first returns the index of the first range that ends at or after key.
func (s *Set) first(key uint64) int {
	i, _ := slices.BinarySearchFunc(s.ranges, key, func(r Range, k uint64) int {
		if r.To < k {
			return -1
		}
		return 1
	})
	return i
}

// Add puts the keys of r into the set.
func (s *Set) Add(r Range) {
	if r.Empty() {
		return
	}
	i := s.first(r.From)
	j := i
	for j < len(s.ranges) && s.ranges[j].From <= r.To {
		r.From = min(r.From, s.ranges[j].From)
		r.To = max(r.To, s.ranges[j].To)
		j++
	}
	s.ranges = slices.Replace(s.ranges, i, j, r)
}

// Overlaps reports whether the set holds any key of r.
func (s *Set) Overlaps(r Range) bool {
	for i := s.first(r.From); i < len(s.ranges) && s.ranges[i].From < r.To; i++ {
		if s.ranges[i].Overlaps(r) {
			return true
		}
	}
	return false
}

// Contains reports whether the set holds every key of r.
func (s *Set) Contains(r Range) bool { return len(s.Missing(r)) == 0 }

// Missing returns the parts of r that the set does not hold, in order.
func (s *Set) Missing(r Range) []Range {
	var out []Range
	for i := s.first(r.From); i < len(s.ranges) && s.ranges[i].From < r.To; i++ {
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
