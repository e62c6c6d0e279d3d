package query

import (
	"slices"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/keyrange"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/view"
)

// Values of an index that refers to nothing.
const (
	noLeaf     = view.NoLeaf
	noShard    = -1
	noUpstream = view.NoUpstream
)

// partState is the state of a part.
type partState uint8

const (
	partWaiting  partState = iota // not offered yet, or held back while the gate is closed
	partOpen                      // an attempt of it was offered
	partCovered                   // accepted replies cover its keys
	partGivenUp                   // not asked again, for the reason in part.reason
	partReplaced                  // new parts ask for the keys that it still misses
)

// part is a key range that is asked of one shard.
type part struct {
	space        int // index in Machine.spaces
	keys         keyrange.Range
	shard        int // index in the upstream's shards, or noShard
	state        partState
	reason       string
	live         liveAttempts
	tried        []int // leaves that were tried, as indexes in the current view
	tries        int   // attempts offered, hedges not counted
	hedged       bool  // a hedge of it was offered
	reachedLeaf  bool  // an attempt of it was sent to a leaf
	possibleRuns int   // attempts that may have run
	// probeAnyLeaf allows a probe of the part on any leaf of its shard. It is set
	// when the leaf that the seed selects could not take the probe.
	probeAnyLeaf bool
	// lostShare is the share of the key space that was given up with the part.
	// lostToVersion is set if the part could be covered at another index version.
	lostShare     float64
	lostToVersion bool
	nextInCell    int // index of the next part in the same cell, plus one; 0 for none
}

// liveAttempts holds the live attempts of a part: at most one and its hedge.
type liveAttempts struct {
	ids [2]AttemptID
	n   int
}

// add appends an attempt; it panics if there are two already.
func (l *liveAttempts) add(id AttemptID) {
	l.ids[l.n] = id
	l.n++
}

// remove deletes an attempt, if present.
func (l *liveAttempts) remove(id AttemptID) {
	for i := range l.n {
		if l.ids[i] == id {
			l.n--
			l.ids[i] = l.ids[l.n]
			return
		}
	}
}

// planParts replaces all parts by one for each shard's range that is not covered
// at the pinned version yet, and asks them. A non-idempotent request goes to the
// first shard only.
func (m *Machine) planParts() {
	m.parts = m.parts[:0]
	m.openParts = 0
	m.givenUpShare = 0
	m.grids = m.newGrids()
	res := m.currentResults()
	res.lostShare = 0
	for i := range m.spaces {
		m.spaces[i].cellHeads = make([]int, res.grids[i].CellCount())
		shards := m.shards(i)
		if !m.idempotent() && len(shards) > 1 {
			shards = shards[:1]
		}
		for s := range shards {
			if limit := m.spaces[i].limit; limit != nil && !limit.Contains(shards[s].Range) {
				continue
			}
			for _, r := range res.covered.Missing(i, shards[s].Range) {
				m.addPart(part{space: i, keys: r, shard: s})
			}
		}
	}
	m.offerGroups()
	m.askWaiting()
}

// shards returns the shards of a space in the current view, or nil if the view lacks
// the upstream.
func (m *Machine) shards(space int) []view.Shard {
	u := m.spaces[space].currentUpstream
	if u == noUpstream {
		return nil
	}
	return m.view.Upstreams[u].Shards
}

// addPart cuts a part at the borders of the grid's cells and adds each piece as a
// waiting part, in the list of its cell.
func (m *Machine) addPart(p part) {
	grid := m.currentResults().grids[p.space]
	first, end := grid.CellRange(p.keys)
	for c := first; c < end; c++ {
		piece := p
		piece.keys = p.keys.Intersect(grid.Cell(c))
		piece.state = partWaiting
		piece.live = liveAttempts{}
		piece.nextInCell = m.spaces[p.space].cellHeads[c]
		m.parts = append(m.parts, piece)
		m.spaces[p.space].cellHeads[c] = len(m.parts)
		m.openParts++
	}
}

// offerPart emits an Offer for a new attempt of a part. The caller sets the flags
// of the attempt; offerPart sets its other fields.
func (m *Machine) offerPart(i int, a attempt) {
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
	m.emit(Offer{
		Attempt:  id,
		Part:     Part{Upstream: m.spaces[p.space].currentUpstream, Range: p.keys},
		Shard:    p.shard,
		Version:  a.version,
		Avoid:    m.leavesToAvoid(p, a.solo),
		Hedge:    a.hedge,
		Retry:    a.retry,
		Solo:     a.solo,
		Deadline: m.cfg.Deadline,
	})
}

// leavesOf returns the leaves of a part's shard, as indexes in the current view.
func (m *Machine) leavesOf(p *part) []int {
	shards := m.shards(p.space)
	if p.shard < 0 || p.shard >= len(shards) {
		return nil
	}
	return shards[p.shard].Leaves
}

// lacksVersion reports whether a leaf was last seen without the pinned version.
func (m *Machine) lacksVersion(leaf int) bool {
	if m.version == 0 {
		return false
	}
	known, serves := m.cfg.Versions.Serves(leaf, m.version)
	return known && !serves
}

// leavesToAvoid lists the leaves that dispatch must not choose for a part: those
// already tried, and those that lack the pinned version. If all untried leaves lack
// the version they stay eligible, since they may have loaded it in the meantime. A
// probe avoids all leaves but the one that probeLeaf selects.
func (m *Machine) leavesToAvoid(p *part, solo bool) []int {
	out := slices.Clone(p.tried)
	if solo && !p.probeAnyLeaf {
		return m.avoidAllBut(m.probeLeaf(p), p)
	}
	lacking, others := 0, 0
	for _, leaf := range m.leavesOf(p) {
		switch {
		case slices.Contains(p.tried, leaf):
		case m.lacksVersion(leaf):
			lacking++
		default:
			others++
		}
	}
	if lacking == 0 || others == 0 {
		return out
	}
	for _, leaf := range m.leavesOf(p) {
		if m.lacksVersion(leaf) && !slices.Contains(out, leaf) {
			out = append(out, leaf)
		}
	}
	return out
}

// hasUntriedLeaf reports whether the part's shard has a leaf that was not tried, is
// not leaving and may still serve the pinned version.
func (m *Machine) hasUntriedLeaf(p *part) bool {
	for _, leaf := range m.leavesOf(p) {
		passed := m.version != 0 && m.cfg.Versions.Passed(leaf, m.version)
		if !passed && !m.view.Leaves[leaf].Draining && !slices.Contains(p.tried, leaf) {
			return true
		}
	}
	return false
}

// giveUpPart stops asking for a part and records the reason and the lost share.
func (m *Machine) giveUpPart(i int, reason string) {
	p := &m.parts[i]
	p.state = partGivenUp
	p.reason = reason
	m.openParts--
	if m.firstReason == "" {
		m.firstReason = reason
	}
	res := m.currentResults()
	for _, r := range res.covered.Missing(p.space, p.keys) {
		p.lostShare += res.covered.ShareOf(p.space, r)
	}
	m.givenUpShare += p.lostShare
	p.lostToVersion = reason == string(ReasonWrongVersion) || slices.ContainsFunc(m.leavesOf(p), m.lacksVersion)
	if p.lostToVersion {
		res.lostShare += p.lostShare
	}
}

// markCovered records that the keys of a part are covered, also if the part was
// given up before.
func (m *Machine) markCovered(i int) {
	p := &m.parts[i]
	switch p.state {
	case partOpen, partWaiting:
		m.openParts--
	case partGivenUp:
		m.givenUpShare -= p.lostShare
		if p.lostToVersion {
			m.currentResults().lostShare -= p.lostShare
		}
	default:
		return
	}
	p.state = partCovered
}

// coverAndWithdraw marks a part as covered and withdraws its live attempts.
func (m *Machine) coverAndWithdraw(i int, now time.Time) {
	m.markCovered(i)
	m.withdrawPart(i, now)
}

// withdrawPart withdraws all live attempts of a part.
func (m *Machine) withdrawPart(i int, now time.Time) {
	for m.parts[i].live.n > 0 {
		id := m.parts[i].live.ids[0]
		if m.findAttempt(id).group != nil {
			m.splitGroup(id, i, now)
			continue
		}
		m.withdrawAttempt(id)
	}
}

// withdrawAll withdraws all live attempts of the query.
func (m *Machine) withdrawAll() {
	for i := range m.attempts {
		m.withdrawAttempt(AttemptID(i + 1))
	}
}
