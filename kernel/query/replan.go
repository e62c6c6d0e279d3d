package query

import (
	"slices"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/keyrange"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/view"
)

// replanPart replaces part i by new parts for its missing keys, planned by the
// shards of the current view. held are the ranges that the leaf which was asked does
// hold: the new parts may ask that leaf for them again, and avoid it for the rest.
// leaf is its index in the current view, or noLeaf.
func (m *Machine) replanPart(i int, leaf int, held []keyrange.Range, now time.Time) {
	old := m.parts[i]
	m.parts[i].state = partReplaced
	m.openParts--
	for _, r := range m.currentResults().covered.Missing(old.space, old.keys) {
		for _, piece := range splitByHeld(r, held) {
			m.replanPiece(old, piece, leaf, now)
		}
	}
}

// piece is a missing range of a part.
type piece struct {
	r    keyrange.Range
	held bool // the leaf that was asked holds it
}

// splitByHeld cuts r into the pieces that are held and those that are not.
func splitByHeld(r keyrange.Range, held []keyrange.Range) []piece {
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

// replanPiece asks for one piece of a replaced part: one new part for each shard that
// the piece overlaps. Keys without a shard are given up.
func (m *Machine) replanPiece(old part, pc piece, leaf int, now time.Time) {
	rest := []keyrange.Range{pc.r}
	shards := m.shards(old.space)
	for _, s := range m.shardsOverlapping(old.space, pc.r) {
		child := part{space: old.space, keys: shards[s].Range.Intersect(pc.r), shard: s, tries: old.tries, reachedLeaf: old.reachedLeaf, possibleRuns: old.possibleRuns, tried: slices.Clone(old.tried)}
		rest = subtractRange(rest, child.keys)
		if pc.held && leaf != noLeaf {
			child.tried = slices.DeleteFunc(child.tried, func(l int) bool { return l == leaf })
		}
		for _, i := range m.addPieces(child) {
			m.retryPart(i, failure{reason: string(ReasonWrongRange)}, now)
		}
	}
	for _, r := range rest {
		for _, i := range m.addPieces(part{space: old.space, keys: r, shard: noShard}) {
			m.giveUpPart(i, MissingNoShard)
		}
	}
}

// addPieces calls addPart and returns the indexes of the pieces that it added.
func (m *Machine) addPieces(p part) []int {
	first := len(m.parts)
	m.addPart(p)
	var out []int
	for i := first; i < len(m.parts); i++ {
		out = append(out, i)
	}
	return out
}

// subtractRange returns the ranges without the keys of r.
func subtractRange(rs []keyrange.Range, r keyrange.Range) []keyrange.Range {
	var out []keyrange.Range
	without := keyrange.NewSet(r)
	for _, x := range rs {
		out = append(out, without.Missing(x)...)
	}
	return out
}

// shardsOverlapping lists the shards of space i that overlap r, ordered by their
// first key. It takes O(log shards) and the number of results; the first call after a
// change of the view sorts the shards.
func (m *Machine) shardsOverlapping(i int, r keyrange.Range) []int {
	sp := &m.spaces[i]
	shards := m.shards(i)
	if sp.shardOrder == nil {
		sp.shardOrder = make([]int, len(shards))
		for s := range shards {
			sp.shardOrder[s] = s
		}
		slices.SortStableFunc(sp.shardOrder, func(a, b int) int { return compareStart(shards[a].Range, shards[b].Range) })
	}
	first, _ := slices.BinarySearchFunc(sp.shardOrder, r.From, func(s int, key uint64) int {
		if shards[s].Range.To <= key {
			return -1
		}
		return 1
	})
	var out []int
	for _, s := range sp.shardOrder[first:] {
		if shards[s].Range.From >= r.To {
			break
		}
		out = append(out, s)
	}
	return out
}

// compareStart orders ranges by their first key.
func compareStart(a, b keyrange.Range) int {
	switch {
	case a.From < b.From:
		return -1
	case a.From > b.From:
		return 1
	default:
		return 0
	}
}

// handleViewChanged switches to a newer view and translates the indexes that the
// parts hold. Parts of an idempotent request that were given up for a reason which
// the new view may have removed are asked again. Live attempts continue.
func (m *Machine) handleViewChanged(v *view.View, now time.Time) {
	old := m.view
	for i := range m.spaces {
		m.spaces[i].shardOrder = nil
		m.spaces[i].currentUpstream = v.UpstreamIndex(m.cfg.View.Upstreams[m.spaces[i].startUpstream].Name)
	}
	m.view = v
	for i := range len(m.parts) {
		p := &m.parts[i]
		for k := range p.tried {
			p.tried[k] = translateLeaf(old, v, m.spaces[p.space].currentUpstream, p.tried[k])
		}
		p.tried = slices.DeleteFunc(p.tried, func(l int) bool { return l == noLeaf })
		p.shard = noShard
		if shards := m.shardsOverlapping(p.space, p.keys); len(shards) > 0 {
			p.shard = shards[0]
		}
	}
	if !m.idempotent() {
		return
	}
	for i := range len(m.parts) {
		if m.parts[i].state != partGivenUp || !mayChangeWithView(m.parts[i].reason) {
			continue
		}
		m.reopenPart(i)
		m.parts[i].tried = nil
		m.parts[i].tries = 0
		m.replanPart(i, noLeaf, nil, now)
	}
}

// mayChangeWithView reports whether the reason for which a part was given up may not
// hold in a newer view.
func mayChangeWithView(reason string) bool {
	return reason == string(ReasonWrongRange) || reason == string(ReasonNoLeaf) || reason == MissingNoShard
}

// reopenPart turns a part that was given up into an open one.
func (m *Machine) reopenPart(i int) {
	p := &m.parts[i]
	m.givenUpShare -= p.lostShare
	if p.lostToVersion {
		m.currentResults().lostShare -= p.lostShare
	}
	p.lostShare, p.lostToVersion = 0, false
	p.state = partOpen
	m.openParts++
}

// translateLeaf translates a leaf's index in one view to its index in another, by the
// leaf's ID. upstream is an index in the view to. It returns noLeaf if that upstream
// has no such leaf.
func translateLeaf(from, to *view.View, upstream, leaf int) int {
	if leaf < 0 || leaf >= len(from.Leaves) || upstream == noUpstream {
		return noLeaf
	}
	return to.Upstreams[upstream].LeafIndex(from.Leaves[leaf].ID)
}
