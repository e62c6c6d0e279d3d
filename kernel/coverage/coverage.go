// Package coverage computes which keys of a query are covered, solely from the
// ranges that accepted replies report.
package coverage

import (
	"math"
	"slices"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/keyrange"
)

// Grid divides the universe, the whole key range, of one upstream into cells, so that
// adding a range costs O(log cells) whatever the number of ranges held. The cells
// only serve lookup speed and have no influence on what is covered. A Grid is
// immutable.
type Grid struct {
	universe keyrange.Range
	starts   []uint64 // sorted, the first is universe.From
}

// NewGrid returns a Grid with a cell boundary at the start of each given shard.
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

// Universe returns the whole key range of the upstream.
func (g *Grid) Universe() keyrange.Range { return g.universe }

// CellCount returns the number of cells.
func (g *Grid) CellCount() int { return len(g.starts) }

// Cell returns the key range of cell i.
func (g *Grid) Cell(i int) keyrange.Range {
	if i+1 < len(g.starts) {
		return keyrange.Range{From: g.starts[i], To: g.starts[i+1]}
	}
	return keyrange.Range{From: g.starts[i], To: g.universe.To}
}

// CellRange returns the indexes [first, end) of the cells that overlap r; first ==
// end when there are none.
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

// Map holds the covered keys of one query at one index version, over one or more
// upstreams of equal weight. A space is the universe of one upstream, addressed by
// its index in the grids of NewMap.
type Map struct {
	spaces     []space
	fullSpaces int // number of spaces covered completely
}

// space holds the covered keys of one upstream.
type space struct {
	grid         *Grid
	fullCells    []bool                // by cell: covered completely
	partialCells map[int]*keyrange.Set // by cell: the covered keys of a partly covered one
	coveredKeys  uint64                // number of keys
}

// NewMap returns an empty map over the universes of the given grids.
func NewMap(grids []*Grid) *Map {
	m := &Map{spaces: make([]space, len(grids))}
	for i, g := range grids {
		m.spaces[i] = space{grid: g, fullCells: make([]bool, g.CellCount())}
	}
	return m
}

// Add marks the keys of r that are in the universe of space i as covered.
func (m *Map) Add(i int, r keyrange.Range) {
	s := &m.spaces[i]
	before := s.coveredKeys
	first, end := s.grid.CellRange(r)
	for c := first; c < end; c++ {
		s.addCell(c, r.Intersect(s.grid.Cell(c)))
	}
	if s.coveredKeys == before {
		return
	}
	if s.coveredKeys == s.grid.universe.Size() {
		m.fullSpaces++
	}
}

// addCell marks the keys of r, which is within cell c, as covered.
func (s *space) addCell(c int, r keyrange.Range) {
	if s.fullCells[c] {
		return
	}
	cell := s.grid.Cell(c)
	set := s.partialCells[c]
	if set == nil && r == cell {
		s.fullCells[c] = true
		s.coveredKeys += cell.Size()
		return
	}
	if set == nil {
		if s.partialCells == nil {
			s.partialCells = make(map[int]*keyrange.Set)
		}
		set = &keyrange.Set{}
		s.partialCells[c] = set
	}
	before := set.Size()
	set.Add(r)
	s.coveredKeys += set.Size() - before
	if set.Size() == cell.Size() {
		s.fullCells[c] = true
		delete(s.partialCells, c)
	}
}

// Overlaps reports whether any key of r in space i is covered.
func (m *Map) Overlaps(i int, r keyrange.Range) bool {
	s := &m.spaces[i]
	first, end := s.grid.CellRange(r)
	for c := first; c < end; c++ {
		if s.fullCells[c] {
			return true
		}
		if set := s.partialCells[c]; set != nil && set.Overlaps(r.Intersect(s.grid.Cell(c))) {
			return true
		}
	}
	return false
}

// Missing returns the parts of r within the universe of space i that are not covered,
// in order, with adjacent ranges merged.
func (m *Map) Missing(i int, r keyrange.Range) []keyrange.Range {
	s := &m.spaces[i]
	var out []keyrange.Range
	first, end := s.grid.CellRange(r)
	for c := first; c < end; c++ {
		part := r.Intersect(s.grid.Cell(c))
		if s.fullCells[c] {
			continue
		}
		if set := s.partialCells[c]; set != nil {
			for _, gap := range set.Missing(part) {
				out = appendMerged(out, gap)
			}
			continue
		}
		out = appendMerged(out, part)
	}
	return out
}

// Covers reports whether every key of r within the universe of space i is covered.
func (m *Map) Covers(i int, r keyrange.Range) bool { return len(m.Missing(i, r)) == 0 }

// Ranges returns the covered ranges of space i, in order, with adjacent ranges merged.
func (m *Map) Ranges(i int) []keyrange.Range {
	s := &m.spaces[i]
	var out []keyrange.Range
	for c := range s.fullCells {
		if s.fullCells[c] {
			out = appendMerged(out, s.grid.Cell(c))
			continue
		}
		if set := s.partialCells[c]; set != nil {
			for _, r := range set.Ranges() {
				out = appendMerged(out, r)
			}
		}
	}
	return out
}

// appendMerged appends r, or extends the last range when r starts at its end.
func appendMerged(out []keyrange.Range, r keyrange.Range) []keyrange.Range {
	if n := len(out); n > 0 && out[n-1].To == r.From {
		out[n-1].To = r.To
		return out
	}
	return append(out, r)
}

// Complete reports whether every key of every space is covered.
func (m *Map) Complete() bool { return m.fullSpaces == len(m.spaces) }

// Empty reports whether no key is covered.
func (m *Map) Empty() bool {
	return !slices.ContainsFunc(m.spaces, func(s space) bool { return s.coveredKeys > 0 })
}

// Share returns the covered share of all keys in [0, 1], with equal weight for each
// space. It is 1 if and only if the map is complete. It is computed from the numbers of
// keys, as a sum of the shares of single replies would differ from them by rounding.
func (m *Map) Share() float64 {
	if m.Complete() {
		return 1
	}
	share := 0.0
	for i := range m.spaces {
		if s := &m.spaces[i]; s.coveredKeys > 0 {
			share += float64(s.coveredKeys) / float64(s.grid.universe.Size())
		}
	}
	return min(share/float64(len(m.spaces)), math.Nextafter(1, 0))
}

// ShareOf returns the share that the keys of r in space i, covered or not, contribute
// to Share when they are covered.
func (m *Map) ShareOf(i int, r keyrange.Range) float64 {
	u := m.spaces[i].grid.universe
	return float64(r.Intersect(u).Size()) / float64(u.Size()) / float64(len(m.spaces))
}
