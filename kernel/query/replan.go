package query

import (
	"slices"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/keyrange"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/view"
)

// replan asks what is still missing of a part anew, by the shards of the
// current view. A leaf that holds only some of it is avoided for the rest.
func (m *Machine) replan(i int, leaf int, held []keyrange.Range, now time.Time) {
	old := m.parts[i]
	m.parts[i].state = partReplaced
	m.open--
	for _, r := range m.current().covered.Missing(old.space, old.need) {
		for _, piece := range cut(r, held) {
			m.replanPiece(old, piece, leaf, now)
		}
	}
}

// piece is a range with the word whether the leaf asked holds it.
type piece struct {
	r    keyrange.Range
	held bool
}

// cut divides r by what is held.
func cut(r keyrange.Range, held []keyrange.Range) []piece {
	set := keyrange.NewSet(held...)
	var out []piece
	for _, gap := range set.Missing(r) {
		out = append(out, piece{r: gap})
	}
	for _, h := range set.Ranges() {
		if x := h.Intersect(r); !x.Empty() {
			out = append(out, piece{r: x, held: true})
		}
	}
	return out
}

// replanPiece asks one piece of an old part.
func (m *Machine) replanPiece(old part, pc piece, leaf int, now time.Time) {
	rest := []keyrange.Range{pc.r}
	shards := m.shards(old.space)
	for _, s := range m.shardsOf(old.space, pc.r) {
		child := part{space: old.space, need: shards[s].Range.Intersect(pc.r), shard: s, tries: old.tries, reached: old.reached, runs: old.runs, tried: slices.Clone(old.tried)}
		rest = subtract(rest, child.need)
		if pc.held && leaf != noLeaf {
			child.tried = slices.DeleteFunc(child.tried, func(l int) bool { return l == leaf })
		}
		for _, i := range m.added(child) {
			m.retryPart(i, failure{reason: string(ReasonWrongRange)}, now)
		}
	}
	for _, r := range rest {
		for _, i := range m.added(part{space: old.space, need: r, shard: noShard}) {
			m.giveUp(i, MissingNoShard)
		}
	}
}

// added files a part and returns the indexes it got.
func (m *Machine) added(p part) []int {
	first := len(m.parts)
	m.addPart(p)
	var out []int
	for i := first; i < len(m.parts); i++ {
		out = append(out, i)
	}
	return out
}

// subtract returns what is left of ranges without r.
func subtract(rs []keyrange.Range, r keyrange.Range) []keyrange.Range {
	var out []keyrange.Range
	without := keyrange.NewSet(r)
	for _, x := range rs {
		out = append(out, without.Missing(x)...)
	}
	return out
}

// shardsOf returns the shards that r touches, in O(log shards) but for the
// first call of a view, which sorts.
func (m *Machine) shardsOf(i int, r keyrange.Range) []int {
	sp := &m.spaces[i]
	shards := m.shards(i)
	if sp.order == nil {
		sp.order = make([]int, len(shards))
		for s := range shards {
			sp.order[s] = s
		}
		slices.SortStableFunc(sp.order, func(a, b int) int { return compareFrom(shards[a].Range, shards[b].Range) })
	}
	first, _ := slices.BinarySearchFunc(sp.order, r.From, func(s int, key uint64) int {
		if shards[s].Range.To <= key {
			return -1
		}
		return 1
	})
	var out []int
	for _, s := range sp.order[first:] {
		if shards[s].Range.From >= r.To {
			break
		}
		out = append(out, s)
	}
	return out
}

// compareFrom orders ranges by their start.
func compareFrom(a, b keyrange.Range) int {
	switch {
	case a.From < b.From:
		return -1
	case a.From > b.From:
		return 1
	default:
		return 0
	}
}

// viewChanged takes a newer view. Parts that were given up because no leaf of
// the old shards held them are asked again; running attempts go on.
func (m *Machine) viewChanged(v *view.View, now time.Time) {
	old := m.view
	for i := range m.spaces {
		m.spaces[i].order = nil
		m.spaces[i].now = v.UpstreamIndex(m.cfg.View.Upstreams[m.spaces[i].first].Name)
	}
	m.view = v
	for i := range len(m.parts) {
		p := &m.parts[i]
		for t := range p.tried {
			p.tried[t] = translate(old, v, m.spaces[p.space].now, p.tried[t])
		}
		p.tried = slices.DeleteFunc(p.tried, func(l int) bool { return l == noLeaf })
		p.shard = noShard
		if at := m.shardsOf(p.space, p.need); len(at) > 0 {
			p.shard = at[0]
		}
	}
	if !m.idempotent() {
		return
	}
	for i := range len(m.parts) {
		if m.parts[i].state != partGivenUp || !ofTheMap(m.parts[i].reason) {
			continue
		}
		m.reopen(i)
		m.parts[i].tried = nil
		m.parts[i].tries = 0
		m.replan(i, noLeaf, nil, now)
	}
}

// ofTheMap reports whether a reason may be gone with a newer view.
func ofTheMap(reason string) bool {
	return reason == string(ReasonWrongRange) || reason == string(ReasonNoLeaf) || reason == MissingNoShard
}

// reopen takes back that a part was given up.
func (m *Machine) reopen(i int) {
	p := &m.parts[i]
	m.given -= p.lost
	if p.forVersion {
		m.current().lost -= p.lost
	}
	p.lost, p.forVersion = 0, false
	p.state = partOpen
	m.open++
}

// translate turns a leaf's index of one view into that of another, or noLeaf.
func translate(from, to *view.View, upstream, leaf int) int {
	if leaf < 0 || leaf >= len(from.Leaves) || upstream == noUpstream {
		return noLeaf
	}
	return to.Upstreams[upstream].LeafIndex(from.Leaves[leaf].ID)
}
