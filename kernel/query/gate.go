package query

import (
	"slices"
	"time"
)

// gate holds back the fan-out of a request that may crash leaves. While it is closed
// one part at a time is offered alone, as a probe; it opens when the request has run
// to its end on a leaf.
type gate struct {
	open       bool
	provedSafe bool      // the request ran to its end on a leaf, of this query or another
	crashes    int       // leaves that crashed while they ran this query
	cursor     int       // offset at which the search for the next probe continues
	notBefore  time.Time // no probe is offered before
}

// probeSlots is the number of time slots over which the requests that were on one
// leaf when it crashed spread their probes, so that they don't run at the same time
// again. A slot is as long as the attempt had run at the crash, but all slots together
// take at most half of the time that is left to the deadline.
const probeSlots = 8

// recordCompletedRun opens the gate after the request ran to its end on a leaf. It
// emits a Verdict for a probe and for the first such run.
func (m *Machine) recordCompletedRun(id AttemptID, a attempt) {
	if a.solo || !m.gate.provedSafe {
		m.emit(Verdict{Attempt: id, Leaf: a.leaf, Solo: a.solo})
	}
	m.openGate()
}

// openGate opens the gate and asks all waiting parts.
func (m *Machine) openGate() {
	m.gate.provedSafe = true
	if m.gate.open {
		return
	}
	m.gate.open = true
	m.askWaiting()
}

// handleCleared opens the gate because another query has shown the request to be
// safe. A probe that is still queued is withdrawn, since its part need not run
// alone then.
func (m *Machine) handleCleared() {
	if m.gate.open || m.spaces == nil {
		m.gate.provedSafe = true
		return
	}
	m.withdrawQueued()
	m.openGate()
}

// handleCrash handles a leaf that crashed while the request had one of its slots. The
// cause may be this request or another one on the leaf, so the request is tried on one
// more leaf, alone; a second crash ends the query.
func (m *Machine) handleCrash(ev Broken, a attempt, now time.Time) {
	m.gate.crashes++
	m.emit(Verdict{Attempt: ev.Attempt, Leaf: ev.Leaf, Crashed: true, Solo: a.solo})
	if a.solo && (m.cfg.Suspect || m.gate.crashes > 1) {
		m.finish(MissingCrashed)
		return
	}
	if m.gate.provedSafe || !m.idempotent() {
		m.retryEarlierLeaves(a)
		m.retryPart(a.part, failure{reason: MissingCrashed, mayHaveRun: true, crashed: true}, now)
		return
	}
	m.closeGate(now, now.Sub(m.cfg.Start)-a.sentAt)
	m.holdCrashedPart(a.part, now)
}

// retryEarlierLeaves allows the leaves of earlier attempts again for a request that is
// known to be safe, if its part has no untried leaf. Only the leaf that crashed last
// stays excluded.
func (m *Machine) retryEarlierLeaves(a attempt) {
	p := &m.parts[a.part]
	if m.gate.provedSafe && !m.hasUntriedLeaf(p) {
		p.tried = nil
		m.recordTried(&a, a.leaf)
	}
}

// holdCrashedPart makes a part wait after its leaf crashed. The part that runs alone is
// selected anew by the seed, so that the requests which were on the crashed leaf go on
// to different leaves.
func (m *Machine) holdCrashedPart(i int, now time.Time) {
	if !m.isIdle(i) {
		return
	}
	if !m.mayRetry(&m.parts[i], failure{mayHaveRun: true}, now) {
		m.giveUpPart(i, MissingCrashed)
		return
	}
	m.parts[i].state = partWaiting
	m.gate.cursor = 0
}

// closeGate closes the gate and withdraws the attempts that were not sent yet; those
// that were sent go on. ran is how long the attempt had run when its leaf crashed.
func (m *Machine) closeGate(now time.Time, ran time.Duration) {
	if m.gate.notBefore.IsZero() {
		slot := time.Duration(hashSeed(m.cfg.Seed^probeSlots) % probeSlots)
		length := min(ran, m.cfg.Deadline.Sub(now)/(2*probeSlots))
		m.gate.notBefore = now.Add(slot * length)
	}
	if !m.gate.open {
		return
	}
	m.gate.open = false
	m.gate.cursor = 0
	m.withdrawQueued()
}

// withdrawQueued withdraws all attempts that were not sent yet and makes their parts
// wait. These attempts do not count as tries.
func (m *Machine) withdrawQueued() {
	for i := range m.attempts {
		a := &m.attempts[i]
		if a.state != stateQueued {
			continue
		}
		m.withdrawAttempt(AttemptID(i + 1))
		if a.group != nil {
			m.holdIdle(a.group)
			continue
		}
		if !a.hedge {
			m.parts[a.part].tries--
		}
		m.holdIdle([]int{a.part})
	}
}

// holdIdle makes those of the parts wait that have no live attempt.
func (m *Machine) holdIdle(parts []int) {
	for _, i := range parts {
		if m.isIdle(i) {
			m.parts[i].state = partWaiting
		}
	}
}

// offerNextProbe offers the next waiting part alone, once nothing else is live: the end
// of a live attempt may open the gate too. The seed, and whether a leaf has crashed
// before, select the part and the leaf. All entries therefore try a request on the same
// two leaves, so that it crashes at most these two, however late the entries learn of
// each other's crashes. Two requests that were on one leaf when it crashed are likely to
// go on to different leaves, so that the harmless one is cleared.
func (m *Machine) offerNextProbe(now time.Time) {
	if m.finished || m.gate.open || m.liveCount > 0 || m.openParts == 0 || now.Before(m.gate.notBefore) {
		return
	}
	if !m.offerProbeFrom(m.gate.cursor) && m.gate.cursor > 0 {
		m.offerProbeFrom(0)
	}
}

// offerProbeFrom offers the first waiting part at or after the cursor as a probe, and
// reports whether there was one.
func (m *Machine) offerProbeFrom(cursor int) bool {
	n := len(m.parts)
	for k := cursor; k < n; k++ {
		i := (m.probeIndex(n) + k) % n
		if m.parts[i].state != partWaiting {
			continue
		}
		m.gate.cursor = k + 1
		m.offerPart(i, attempt{retry: m.parts[i].tries > 0, solo: true})
		return true
	}
	return false
}

// probeIndex selects one of n parts or leaves by the seed: one before the first crash
// and, if n > 1, a different one after it.
func (m *Machine) probeIndex(n int) int {
	size := uint64(n)
	first := m.cfg.Seed % size
	if n < 2 || !m.hasCrashed() {
		return int(first)
	}
	return int((first + 1 + hashSeed(m.cfg.Seed)%(size-1)) % size)
}

// hasCrashed reports whether a leaf crashed while it ran the request, in this query or
// in another one.
func (m *Machine) hasCrashed() bool { return m.gate.crashes > 0 || m.cfg.Suspect }

// hashSeed hashes a seed by the finalizer of splitmix64.
func hashSeed(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// probeLeaf returns the leaf on which a part runs alone, selected by the seed, or noLeaf
// if the part's shard has no eligible one.
func (m *Machine) probeLeaf(p *part) int {
	leaves := m.leavesOf(p)
	n := len(leaves)
	if n == 0 {
		return noLeaf
	}
	start := m.probeIndex(n)
	if len(m.parts) > 1 {
		// The second probe goes to another shard, so its leaf is chosen
		// independently of the first one's.
		h := hashSeed(m.cfg.Seed ^ 1)
		if m.hasCrashed() {
			h = hashSeed(m.cfg.Seed ^ 2)
		}
		start = int(h % uint64(n))
	}
	for k := range n {
		leaf := leaves[(start+k)%n]
		if !m.view.Leaves[leaf].Draining && !m.lacksVersion(leaf) && !slices.Contains(p.tried, leaf) {
			return leaf
		}
	}
	return noLeaf
}

// avoidAllBut lists all leaves of a part's shard but one, and the leaves that were
// tried. If leaf is noLeaf it lists the tried leaves only.
func (m *Machine) avoidAllBut(leaf int, p *part) []int {
	out := slices.Clone(p.tried)
	if leaf == noLeaf {
		return out
	}
	for _, l := range m.leavesOf(p) {
		if l != leaf && !slices.Contains(out, l) {
			out = append(out, l)
		}
	}
	return out
}
