package query

import (
	"slices"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/keyrange"
)

// reply takes in a reply of a live attempt from the leaf that it was sent to.
// Any other reply is late, repeated or crossed: it is counted and dropped.
func (m *Machine) reply(ev Reply, now time.Time) {
	p := m.lookup(ev.Attempt)
	if p == nil || p.group != nil || p.state != stateSent || p.leaf != ev.Leaf {
		m.count.ignored++
		return
	}
	m.end(ev.Attempt, stateReplied)
	a := *p
	m.slowest = max(m.slowest, now.Sub(m.cfg.Start)-a.sentAt)
	m.ranToEnd(ev.Attempt, a)
	if !m.valid(a, ev) {
		m.count.ignored++
		m.retryPart(a.part, failure{reason: MissingBadReply, ran: true, costs: true}, now)
		return
	}
	m.accept(a, ev, now)
}

// valid reports whether a reply states the version that was asked, and ranges
// that are disjoint, within the universe and of the part asked.
func (m *Machine) valid(a attempt, ev Reply) bool {
	if ev.Version == 0 || (a.version != 0 && a.version != ev.Version) {
		return false
	}
	p := &m.parts[a.part]
	universe := m.grids[p.space].Universe()
	if len(ev.Ranges) == 1 {
		r := ev.Ranges[0]
		return universe.Contains(r) && r.Overlaps(p.need)
	}
	var set keyrange.Set
	for _, r := range ev.Ranges {
		if r.Empty() || !universe.Contains(r) || set.Overlaps(r) {
			return false
		}
		set.Add(r)
	}
	return set.Overlaps(p.need)
}

// accept keeps a valid reply under its version and settles what it covers.
func (m *Machine) accept(a attempt, ev Reply, now time.Time) {
	space := m.parts[a.part].space
	if m.version == 0 {
		m.pinFirst(ev.Version)
	}
	ranges := ev.Ranges
	if len(ranges) > 1 {
		set := keyrange.NewSet(ranges...)
		ranges = set.Ranges()
	}
	r := stored{space: space, ranges: ranges, leaf: ev.Leaf, body: ev.Body, carried: ev.Carried}
	if !m.tally(ev.Version).add(r) {
		m.count.ignored++
		m.askRest(a.part, m.here(&a, ev.Leaf), whole(m.parts[a.part]), now)
		return
	}
	m.score(ev.Version)
	m.checkSettle(now)
	if ev.Version != m.version {
		// The attempt asked for any version: the leaf may have the pinned one too.
		m.askRest(a.part, m.here(&a, ev.Leaf), whole(m.parts[a.part]), now)
		return
	}
	for _, i := range m.partsAt(space, r.ranges) {
		m.settlePart(i, a.part, now)
	}
}

// pinFirst pins the version of the first reply, when none was known before.
func (m *Machine) pinFirst(version uint64) {
	m.version = version
	m.tally(version)
}

// partsAt lists the parts of the cells that the ranges touch.
func (m *Machine) partsAt(space int, ranges []keyrange.Range) []int {
	var out []int
	for _, r := range ranges {
		first, end := m.current().grids[space].CellRange(r)
		for c := first; c < end; c++ {
			for i := m.spaces[space].cells[c] - 1; i >= 0; i = m.parts[i].next - 1 {
				out = append(out, i)
			}
		}
	}
	if len(ranges) > 1 {
		slices.Sort(out)
		out = slices.Compact(out)
	}
	return out
}

// settlePart looks at a part again after a reply has covered keys near it.
func (m *Machine) settlePart(i, replied int, now time.Time) {
	p := &m.parts[i]
	missing := m.current().covered.Missing(p.space, p.need)
	switch {
	case len(missing) == 0:
		m.coverAt(i, now)
	case p.state != partOpen && p.state != partWaiting:
	case i == replied && p.live.n > 0:
		// A hedge is still running; it may bring the rest.
	case i == replied:
		m.askRest(i, noLeaf, nil, now)
	case missing[0] != p.need:
		p.tried = nil
		m.askRest(i, noLeaf, nil, now)
	}
}

// whole is the range of a part, as one that the leaf asked does hold.
func whole(p part) []keyrange.Range { return []keyrange.Range{p.need} }

// askRest asks what is missing of a part again. A non-idempotent request that
// ran is not asked again.
func (m *Machine) askRest(i, leaf int, held []keyrange.Range, now time.Time) {
	if !m.idempotent() {
		m.giveUp(i, MissingBadReply)
		return
	}
	m.withdrawPart(i, now)
	m.replan(i, leaf, held, now)
}

// checkSettle starts the wait for the rest once enough is covered.
func (m *Machine) checkSettle(now time.Time) {
	c := m.cfg.Service.Config
	if (c.Settle <= 0 && c.Objective <= 0) || !m.settle.IsZero() {
		return
	}
	if m.share(m.best) >= c.LeastCoverage-shareTolerance {
		m.settle = m.settleTime(now)
	}
}

// settleShare is the share of the latency objective after which a useful answer
// is not held back for its missing parts, while nothing is known of the way back.
const settleShare = 0.8

// settleTime is when an answer that is useful now goes out without the rest.
func (m *Machine) settleTime(now time.Time) time.Time {
	c := m.cfg.Service.Config
	if c.Objective <= 0 {
		return now.Add(c.Settle)
	}
	at := m.cfg.Start.Add(time.Duration(settleShare * float64(c.Objective)))
	if m.cfg.SettleBefore > 0 {
		at = m.cfg.Start.Add(c.Objective - m.cfg.SettleBefore)
	}
	if at.Before(now) {
		return now
	}
	return at
}
