package query

import (
	"slices"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/keyrange"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/view"
)

// These stand for the absence of an index.
const (
	noLeaf     = view.NoLeaf
	noShard    = -1
	noUpstream = view.NoUpstream
)

// partState is what becomes of a part.
type partState uint8

const (
	partWaiting  partState = iota // held until another part has shown that the request is safe
	partOpen                      // asked
	partCovered                   // its keys are covered
	partGivenUp                   // nothing more is tried, for a reason
	partReplaced                  // its missing rest is asked as other parts
)

// part is a range that is asked of one shard.
type part struct {
	space   int
	need    keyrange.Range
	shard   int
	state   partState
	reason  string
	live    liveAttempts
	tried   []int // leaves
	tries   int
	hedged  bool
	reached bool // an attempt of it arrived at a leaf
	runs    int  // attempts that may have run
	// anyLeaf lets a part that runs alone go to any leaf, after the one that
	// the seed names could not take it.
	anyLeaf bool
	// lost is the share given up with the part; forVersion tells that another
	// version could still give it.
	lost       float64
	forVersion bool
	next       int // the next part of the cell plus one
}

// liveAttempts are the attempts of a part whose end is awaited: one, and its
// hedge.
type liveAttempts struct {
	ids [2]AttemptID
	n   int
}

// add appends an attempt.
func (l *liveAttempts) add(id AttemptID) {
	l.ids[l.n] = id
	l.n++
}

// drop forgets an attempt.
func (l *liveAttempts) drop(id AttemptID) {
	for i := range l.n {
		if l.ids[i] == id {
			l.n--
			l.ids[i] = l.ids[l.n]
			return
		}
	}
}

// plan makes a part of each range that the pinned version does not cover yet.
func (m *Machine) plan() {
	m.parts = m.parts[:0]
	m.open = 0
	m.given = 0
	m.grids = m.newGrids()
	t := m.current()
	t.lost = 0
	for i := range m.spaces {
		m.spaces[i].cells = make([]int, t.grids[i].Cells())
		shards := m.shards(i)
		if !m.idempotent() && len(shards) > 1 {
			shards = shards[:1]
		}
		for s := range shards {
			if only := m.spaces[i].only; only != nil && !only.Contains(shards[s].Range) {
				continue
			}
			for _, r := range t.covered.Missing(i, shards[s].Range) {
				m.addPart(part{space: i, need: r, shard: s})
			}
		}
	}
	m.askGroups()
	m.askAll()
}

// shards returns the shards of a space in the current view; none when its
// upstream is gone.
func (m *Machine) shards(space int) []view.Shard {
	u := m.spaces[space].now
	if u == noUpstream {
		return nil
	}
	return m.view.Upstreams[u].Shards
}

// addPart files a part under the cells it touches, cut at their borders.
func (m *Machine) addPart(p part) {
	grid := m.current().grids[p.space]
	first, end := grid.Span(p.need)
	for c := first; c < end; c++ {
		piece := p
		piece.need = p.need.Intersect(grid.Cell(c))
		piece.state = partWaiting
		piece.live = liveAttempts{}
		piece.next = m.spaces[p.space].cells[c]
		m.parts = append(m.parts, piece)
		m.spaces[p.space].cells[c] = len(m.parts)
		m.open++
	}
}

// offer puts an attempt of a part to the dispatch layer.
func (m *Machine) offer(i int, a attempt) {
	p := &m.parts[i]
	p.state = partOpen
	a.view = m.view
	a.part = i
	a.leaf = noLeaf
	a.version = m.version
	m.attempts = append(m.attempts, a)
	id := AttemptID(len(m.attempts))
	p.live.add(id)
	m.liveCount++
	if !a.hedge {
		p.tries++
	}
	m.act(Offer{
		Attempt:  id,
		Part:     Part{Upstream: m.spaces[p.space].now, Range: p.need},
		Shard:    p.shard,
		Version:  a.version,
		Avoid:    m.avoid(p, a.solo),
		Hedge:    a.hedge,
		Retry:    a.retry,
		Solo:     a.solo,
		Deadline: m.cfg.Deadline,
	})
}

// leaves returns the leaves of the part's shard.
func (m *Machine) leaves(p *part) []int {
	shards := m.shards(p.space)
	if p.shard < 0 || p.shard >= len(shards) {
		return nil
	}
	return shards[p.shard].Leaves
}

// lacks reports whether a leaf was last seen not to serve the pinned version.
func (m *Machine) lacks(leaf int) bool {
	if m.version == 0 {
		return false
	}
	known, serves := m.cfg.Versions.Serves(leaf, m.version)
	return known && !serves
}

// avoid lists the leaves not to choose: those tried, and those that lack the
// version unless no other is left: they may have it by now.
func (m *Machine) avoid(p *part, solo bool) []int {
	out := slices.Clone(p.tried)
	if solo && !p.anyLeaf {
		return m.avoidAllBut(m.probeLeaf(p), p)
	}
	lacking, others := 0, 0
	for _, leaf := range m.leaves(p) {
		switch {
		case slices.Contains(p.tried, leaf):
		case m.lacks(leaf):
			lacking++
		default:
			others++
		}
	}
	if lacking == 0 || others == 0 {
		return out
	}
	for _, leaf := range m.leaves(p) {
		if m.lacks(leaf) && !slices.Contains(out, leaf) {
			out = append(out, leaf)
		}
	}
	return out
}

// hasOther reports whether the shard has a leaf that may still be tried.
func (m *Machine) hasOther(p *part) bool {
	for _, leaf := range m.leaves(p) {
		passed := m.version != 0 && m.cfg.Versions.Passed(leaf, m.version)
		if !passed && !m.view.Leaves[leaf].Draining && !slices.Contains(p.tried, leaf) {
			return true
		}
	}
	return false
}

// giveUp settles a part without its data.
func (m *Machine) giveUp(i int, reason string) {
	p := &m.parts[i]
	p.state = partGivenUp
	p.reason = reason
	m.open--
	if m.reason == "" {
		m.reason = reason
	}
	t := m.current()
	for _, r := range t.covered.Missing(p.space, p.need) {
		p.lost += t.covered.Weight(p.space, r)
	}
	m.given += p.lost
	p.forVersion = reason == string(ReasonWrongVersion) || slices.ContainsFunc(m.leaves(p), m.lacks)
	if p.forVersion {
		t.lost += p.lost
	}
}

// cover settles a part whose keys are covered.
func (m *Machine) cover(i int) {
	p := &m.parts[i]
	switch p.state {
	case partOpen, partWaiting:
		m.open--
	case partGivenUp:
		m.given -= p.lost
		if p.forVersion {
			m.current().lost -= p.lost
		}
	default:
		return
	}
	p.state = partCovered
}

// coverAt settles a part and takes its other attempts back.
func (m *Machine) coverAt(i int, now time.Time) {
	m.cover(i)
	m.withdrawPart(i, now)
}

// withdrawPart takes back all live attempts of a part.
func (m *Machine) withdrawPart(i int, now time.Time) {
	for m.parts[i].live.n > 0 {
		id := m.parts[i].live.ids[0]
		if m.lookup(id).group != nil {
			m.leave(id, i, now)
			continue
		}
		m.withdraw(id)
	}
}

// withdrawAll takes back all live attempts.
func (m *Machine) withdrawAll() {
	for i := range m.attempts {
		m.withdraw(AttemptID(i + 1))
	}
}
