package query

import (
	"slices"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/keyrange"
)

// handleReply accepts the reply of a live attempt from the leaf that it was sent to.
// Any other reply is late, repeated or of another attempt or leaf: it is counted as
// ignored and dropped.
func (m *Machine) handleReply(ev Reply, now time.Time) {
	found := m.findAttempt(ev.Attempt)
	if found == nil || found.group != nil || found.state != stateSent || found.leaf != ev.Leaf {
		m.count.ignored++
		return
	}
	m.endAttempt(ev.Attempt, stateReplied)
	a := *found
	m.slowestReply = max(m.slowestReply, now.Sub(m.cfg.Start)-a.sentAt)
	m.recordCompletedRun(ev.Attempt, a)
	if !m.isValidReply(a, ev) {
		m.count.ignored++
		m.retryPart(a.part, failure{reason: MissingBadReply, mayHaveRun: true, spendsRetry: true}, now)
		return
	}
	m.acceptReply(a, ev, now)
}

// isValidReply reports whether a reply states the version that was asked for, and
// non-empty disjoint ranges of the key space that overlap the part.
func (m *Machine) isValidReply(a attempt, ev Reply) bool {
	if ev.Version == 0 || (a.version != 0 && a.version != ev.Version) {
		return false
	}
	p := &m.parts[a.part]
	universe := m.grids[p.space].Universe()
	if len(ev.Ranges) == 1 {
		r := ev.Ranges[0]
		return universe.Contains(r) && r.Overlaps(p.keys)
	}
	var set keyrange.Set
	for _, r := range ev.Ranges {
		if r.Empty() || !universe.Contains(r) || set.Overlaps(r) {
			return false
		}
		set.Add(r)
	}
	return set.Overlaps(p.keys)
}

// acceptReply stores a valid reply under its version and updates the parts that it
// covers.
func (m *Machine) acceptReply(a attempt, ev Reply, now time.Time) {
	space := m.parts[a.part].space
	if m.version == 0 {
		m.pinFirstVersion(ev.Version)
	}
	ranges := ev.Ranges
	if len(ranges) > 1 {
		set := keyrange.NewSet(ranges...)
		ranges = set.Ranges()
	}
	r := acceptedReply{space: space, ranges: ranges, leaf: ev.Leaf, body: ev.Body, attachment: ev.Attachment}
	if !m.resultsAt(ev.Version).addReply(r) {
		m.count.ignored++
		m.askMissing(a.part, m.currentLeaf(&a, ev.Leaf), wholeRange(m.parts[a.part]), now)
		return
	}
	m.updateBestVersion(ev.Version)
	m.scheduleSettle(now)
	if ev.Version != m.version {
		// The attempt was offered before a version was pinned, and the leaf chose
		// another one. The leaf may serve the pinned version too, so it is not
		// avoided.
		m.askMissing(a.part, m.currentLeaf(&a, ev.Leaf), wholeRange(m.parts[a.part]), now)
		return
	}
	for _, i := range m.partsTouching(space, r.ranges) {
		m.updatePart(i, a.part, now)
	}
}

// pinFirstVersion pins the version of the first reply, if none was pinned before.
func (m *Machine) pinFirstVersion(version uint64) {
	m.version = version
	m.resultsAt(version)
}

// partsTouching lists the parts in all cells that the ranges overlap.
func (m *Machine) partsTouching(space int, ranges []keyrange.Range) []int {
	var out []int
	for _, r := range ranges {
		first, end := m.currentResults().grids[space].CellRange(r)
		for c := first; c < end; c++ {
			for i := m.spaces[space].cellHeads[c] - 1; i >= 0; i = m.parts[i].nextInCell - 1 {
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

// updatePart updates part i after an accepted reply to the part with the index replied:
// if no key is missing the part is covered, and if some keys are covered the rest is
// asked again.
func (m *Machine) updatePart(i, replied int, now time.Time) {
	p := &m.parts[i]
	missing := m.currentResults().covered.Missing(p.space, p.keys)
	switch {
	case len(missing) == 0:
		m.coverAndWithdraw(i, now)
	case p.state != partOpen && p.state != partWaiting:
	case i == replied && p.live.n > 0:
		// A hedge is still live; its reply may cover the rest.
	case i == replied:
		m.askMissing(i, noLeaf, nil, now)
	case missing[0] != p.keys:
		p.tried = nil
		m.askMissing(i, noLeaf, nil, now)
	}
}

// wholeRange returns the whole range of a part, as the held ranges for askMissing.
func wholeRange(p part) []keyrange.Range { return []keyrange.Range{p.keys} }

// askMissing withdraws the attempts of a part and asks for its missing keys again,
// see replanPart. A non-idempotent request is not repeated after it ran; its part is
// given up.
func (m *Machine) askMissing(i, leaf int, held []keyrange.Range, now time.Time) {
	if !m.idempotent() {
		m.giveUpPart(i, MissingBadReply)
		return
	}
	m.withdrawPart(i, now)
	m.replanPart(i, leaf, held, now)
}

// scheduleSettle sets the time to answer without the missing parts, once the least
// coverage of the service is reached.
func (m *Machine) scheduleSettle(now time.Time) {
	c := m.cfg.Service.Config
	if (c.Settle <= 0 && c.Objective <= 0) || !m.settleAt.IsZero() {
		return
	}
	if MeetsCoverage(m.coveredShare(m.bestVersion), c.LeastCoverage) {
		m.settleAt = m.settleTime(now)
	}
}

// defaultSettleShare is the fraction of the latency objective after which an answer
// with the least coverage does not wait for its missing parts. It applies until the
// runtime has measured how long an answer takes to reach the caller (SettleMargin).
const defaultSettleShare = 0.8

// settleTime returns the time at which an answer that has the least coverage at now
// is given without its missing parts.
func (m *Machine) settleTime(now time.Time) time.Time {
	c := m.cfg.Service.Config
	if c.Objective <= 0 {
		return now.Add(c.Settle)
	}
	at := m.cfg.Start.Add(time.Duration(defaultSettleShare * float64(c.Objective)))
	if m.cfg.SettleMargin > 0 {
		at = m.cfg.Start.Add(c.Objective - m.cfg.SettleMargin)
	}
	if at.Before(now) {
		return now
	}
	return at
}
