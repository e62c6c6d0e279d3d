// Package coverage computes which keys of a query are covered, from the ranges
// that accepted replies state and from nothing else.
package coverage

import (
	"math"
	"slices"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/keyrange"
)

// Grid cuts one upstream's universe into cells, so that an addition costs
// O(log cells) however many ranges are held. The cells are a matter of speed
// only: they never say that anything is covered. A Grid is immutable.
type Grid struct {
	universe keyrange.Range
	starts   []uint64 // sorted, the first is universe.From
}

// NewGrid cuts the universe at the start of each given shard.
func NewGrid(universe keyrange.Range, shards []keyrange.Range) *Grid {
	starts := make([]uint64, 0, len(shards)+1)
	starts = append(starts, universe.From)
	for _, s := range shards {
		if s.From > universe.From && s.From < universe.To {
			starts = append(starts, s.From)
		}
	}
	if !slices.IsSorted(starts) {
		slices.Sort(starts)
	}
	return &Grid{universe: universe, starts: slices.Compact(starts)}
}

// Universe is the range that counts as the whole.
func (g *Grid) Universe() keyrange.Range { return g.universe }

// CellCount is the number of cells.
func (g *Grid) CellCount() int { return len(g.starts) }

// Cell is the range of cell i.
func (g *Grid) Cell(i int) keyrange.Range {
	if i+1 < len(g.starts) {
		return keyrange.Range{From: g.starts[i], To: g.starts[i+1]}
	}
	return keyrange.Range{From: g.starts[i], To: g.universe.To}
}

// CellRange returns the cells [first, end) that r touches; first == end when none.
func (g *Grid) CellRange(r keyrange.Range) (first, end int) {
	r = r.Intersect(g.universe)
	if r.Empty() {
		return 0, 0
	}
	first, exact := slices.BinarySearch(g.starts, r.From)
	if !exact {
		first--
	}
	end = first + 1
	for end < len(g.starts) && g.starts[end] < r.To {
		end++
	}
	return first, end
}

// Map is the covered keys of one query at one index version, over one or more
// upstreams, each weighing the same. Spaces are addressed by index.
type Map struct {
	spaces []space
	full   int     // spaces covered whole
	share  float64 // running sum; exact only as far as floats go
}

// space is the covered keys of one upstream.
type space struct {
	grid    *Grid
	whole   []bool                // by cell: covered whole
	partial map[int]*keyrange.Set // by cell: what is covered of it
	covered uint64                // keys
}

// NewMap returns an empty map over the given universes.
func NewMap(grids []*Grid) *Map {
	m := &Map{spaces: make([]space, len(grids))}
	for i, g := range grids {
		m.spaces[i] = space{grid: g, whole: make([]bool, g.CellCount())}
	}
	return m
}

// Add covers the keys of r, as far as they lie in the universe.
func (m *Map) Add(i int, r keyrange.Range) {
	s := &m.spaces[i]
	before := s.covered
	first, end := s.grid.CellRange(r)
	for c := first; c < end; c++ {
		s.addCell(c, r.Intersect(s.grid.Cell(c)))
	}
	if s.covered == before {
		return
	}
	size := s.grid.universe.Size()
	m.share += float64(s.covered-before) / float64(size) / float64(len(m.spaces))
	if s.covered == size {
		m.full++
	}
}

// addCell covers keys of one cell.
func (s *space) addCell(c int, r keyrange.Range) {
	if s.whole[c] {
		return
	}
	cell := s.grid.Cell(c)
	set := s.partial[c]
	if set == nil && r == cell {
		s.whole[c] = true
		s.covered += cell.Size()
		return
	}
	if set == nil {
		if s.partial == nil {
			s.partial = make(map[int]*keyrange.Set)
		}
		set = &keyrange.Set{}
		s.partial[c] = set
	}
	before := set.Size()
	set.Add(r)
	s.covered += set.Size() - before
	if set.Size() == cell.Size() {
		s.whole[c] = true
		delete(s.partial, c)
	}
}

// Overlaps reports whether any key of r is covered.
func (m *Map) Overlaps(i int, r keyrange.Range) bool {
	s := &m.spaces[i]
	first, end := s.grid.CellRange(r)
	for c := first; c < end; c++ {
		if s.whole[c] {
			return true
		}
		if set := s.partial[c]; set != nil && set.Overlaps(r.Intersect(s.grid.Cell(c))) {
			return true
		}
	}
	return false
}

// Missing returns the parts of r within the universe that are not covered, in
// order; touching ones are joined.
func (m *Map) Missing(i int, r keyrange.Range) []keyrange.Range {
	s := &m.spaces[i]
	var out []keyrange.Range
	first, end := s.grid.CellRange(r)
	for c := first; c < end; c++ {
		part := r.Intersect(s.grid.Cell(c))
		if s.whole[c] {
			continue
		}
		if set := s.partial[c]; set != nil {
			for _, gap := range set.Missing(part) {
				out = join(out, gap)
			}
			continue
		}
		out = join(out, part)
	}
	return out
}

// Covers reports whether every key of r within the universe is covered.
func (m *Map) Covers(i int, r keyrange.Range) bool { return len(m.Missing(i, r)) == 0 }

// Ranges returns what is covered of a space, in order; touching ranges are joined.
func (m *Map) Ranges(i int) []keyrange.Range {
	s := &m.spaces[i]
	var out []keyrange.Range
	for c := range s.whole {
		if s.whole[c] {
			out = join(out, s.grid.Cell(c))
			continue
		}
		if set := s.partial[c]; set != nil {
			for _, r := range set.Ranges() {
				out = join(out, r)
			}
		}
	}
	return out
}

// join appends r, or lengthens the last range when they touch.
func join(out []keyrange.Range, r keyrange.Range) []keyrange.Range {
	if n := len(out); n > 0 && out[n-1].To == r.From {
		out[n-1].To = r.To
		return out
	}
	return append(out, r)
}

// Complete reports whether every key of every space is covered.
func (m *Map) Complete() bool { return m.full == len(m.spaces) }

// Empty reports whether no key is covered.
func (m *Map) Empty() bool { return m.share == 0 }

// Share is the covered part of the whole in [0, 1]; each space weighs the
// same. It is 1 exactly when the map is complete.
func (m *Map) Share() float64 {
	if m.Complete() {
		return 1
	}
	return min(m.share, math.Nextafter(1, 0))
}

// ShareOf is the share of the whole that a range of a space stands for.
func (m *Map) ShareOf(i int, r keyrange.Range) float64 {
	u := m.spaces[i].grid.universe
	return float64(r.Intersect(u).Size()) / float64(u.Size()) / float64(len(m.spaces))
}
