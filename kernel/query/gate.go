package query

import (
	"slices"
	"time"
)

// gate holds back the fan-out of a request that may break leaves until one
// part has run to its end, alone.
type gate struct {
	open    bool
	proved  bool
	crashes int
	cursor  int       // where the search for the next probe goes on
	after   time.Time // no probe before this
}

// Requests that were on one broken leaf run alone at different times too: each
// in one of probeSlots slots. A slot is as long as the request that broke had
// run, but all of them take at most half of the time left.
const probeSlots = 8

// ranToEnd notes that the request ran to its end on a leaf: it is safe.
func (m *Machine) ranToEnd(id AttemptID, a attempt) {
	if a.solo || !m.gate.proved {
		m.act(Verdict{Attempt: id, Leaf: a.leaf, Solo: a.solo})
	}
	m.openGate()
}

// openGate lets the whole fan-out run.
func (m *Machine) openGate() {
	m.gate.proved = true
	if m.gate.open {
		return
	}
	m.gate.open = true
	m.askAll()
}

// cleared opens the gate on another query's word. A probe that is still queued
// need not wait for a leaf alone any more.
func (m *Machine) cleared() {
	if m.gate.open || m.spaces == nil {
		m.gate.proved = true
		return
	}
	m.recallQueued()
	m.openGate()
}

// crashed handles a leaf that broke with the request in a slot. The request,
// guilty or a neighbour, gets one more leaf, alone; a second break ends it.
func (m *Machine) crashed(ev Broken, a attempt, now time.Time) {
	m.gate.crashes++
	m.act(Verdict{Attempt: ev.Attempt, Leaf: ev.Leaf, Crashed: true, Solo: a.solo})
	if a.solo && (m.cfg.Suspect || m.gate.crashes > 1) {
		m.finish(MissingCrashed)
		return
	}
	if m.gate.proved || !m.idempotent() {
		m.mayGoBack(a)
		m.retryPart(a.part, failure{reason: MissingCrashed, ran: true, crashed: true}, now)
		return
	}
	m.closeGate(now, now.Sub(m.cfg.Start)-a.sentAt)
	m.holdCrashed(a.part, now)
}

// mayGoBack lets a request that is not the one that breaks leaves try again
// those that broke under it earlier.
func (m *Machine) mayGoBack(a attempt) {
	p := &m.parts[a.part]
	if m.gate.proved && !m.hasOther(p) {
		p.tried = nil
		m.noteTried(&a, a.leaf)
	}
}

// holdCrashed lets a part wait after its leaf broke. Which part runs alone is
// chosen anew, so that the requests of one broken leaf part ways.
func (m *Machine) holdCrashed(i int, now time.Time) {
	if !m.idle(i) {
		return
	}
	if !m.mayRetry(&m.parts[i], failure{ran: true}, now) {
		m.giveUp(i, MissingCrashed)
		return
	}
	m.parts[i].state = partWaiting
	m.gate.cursor = 0
}

// closeGate recalls what was not sent yet. What runs goes on.
func (m *Machine) closeGate(now time.Time, ran time.Duration) {
	if m.gate.after.IsZero() {
		slot := time.Duration(mix(m.cfg.Seed^probeSlots) % probeSlots)
		length := min(ran, m.cfg.Deadline.Sub(now)/(2*probeSlots))
		m.gate.after = now.Add(slot * length)
	}
	if !m.gate.open {
		return
	}
	m.gate.open = false
	m.gate.cursor = 0
	m.recallQueued()
}

// recallQueued withdraws all attempts that were not sent; their parts wait.
func (m *Machine) recallQueued() {
	for i := range m.attempts {
		a := &m.attempts[i]
		if a.state != stateQueued {
			continue
		}
		m.withdraw(AttemptID(i + 1))
		if a.group != nil {
			m.hold(a.group)
			continue
		}
		if !a.hedge {
			m.parts[a.part].tries--
		}
		m.hold([]int{a.part})
	}
}

// hold lets parts wait that nothing asks for any more.
func (m *Machine) hold(parts []int) {
	for _, i := range parts {
		if m.idle(i) {
			m.parts[i].state = partWaiting
		}
	}
}

// nextProbe offers the next waiting part, alone, once nothing else runs: while
// another part does, its end may show as much. The seed, and whether a leaf
// broke before, decide which part, and on which leaf. All entries therefore try
// one request on the same two leaves, which are the most that it breaks however
// late they hear of each other; and two requests that were on one broken leaf
// are likely to go on to different ones, so that the harmless one is cleared.
func (m *Machine) nextProbe(now time.Time) {
	if m.finished || m.gate.open || m.liveCount > 0 || m.open == 0 || now.Before(m.gate.after) {
		return
	}
	if !m.probeFrom(m.gate.cursor) && m.gate.cursor > 0 {
		m.probeFrom(0)
	}
}

// probeFrom offers the first waiting part at or after the cursor.
func (m *Machine) probeFrom(cursor int) bool {
	n := len(m.parts)
	for k := cursor; k < n; k++ {
		i := (m.probePlace(n) + k) % n
		if m.parts[i].state != partWaiting {
			continue
		}
		m.gate.cursor = k + 1
		m.offer(i, attempt{retry: m.parts[i].tries > 0, solo: true})
		return true
	}
	return false
}

// probePlace is where among n the request runs alone: by the seed before its
// first break, and at another place, if there is one, after it.
func (m *Machine) probePlace(n int) int {
	size := uint64(n)
	first := m.cfg.Seed % size
	if n < 2 || !m.broke() {
		return int(first)
	}
	return int((first + 1 + mix(m.cfg.Seed)%(size-1)) % size)
}

// broke reports whether a leaf broke under the request before.
func (m *Machine) broke() bool { return m.gate.crashes > 0 || m.cfg.Suspect }

// mix hashes a seed by the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// probeLeaf is the leaf on which a part runs alone, or noLeaf.
func (m *Machine) probeLeaf(p *part) int {
	leaves := m.leaves(p)
	n := len(leaves)
	if n == 0 {
		return noLeaf
	}
	start := m.probePlace(n)
	if len(m.parts) > 1 {
		// The second probe is on another shard: any leaf of it will do.
		h := mix(m.cfg.Seed ^ 1)
		if m.broke() {
			h = mix(m.cfg.Seed ^ 2)
		}
		start = int(h % uint64(n))
	}
	for k := range n {
		leaf := leaves[(start+k)%n]
		if !m.view.Leaves[leaf].Draining && !m.lacks(leaf) && !slices.Contains(p.tried, leaf) {
			return leaf
		}
	}
	return noLeaf
}

// avoidAllBut lists the leaves of a part's shard without one. It lists what was
// tried when there is no such leaf.
func (m *Machine) avoidAllBut(leaf int, p *part) []int {
	out := slices.Clone(p.tried)
	if leaf == noLeaf {
		return out
	}
	for _, l := range m.leaves(p) {
		if l != leaf && !slices.Contains(out, l) {
			out = append(out, l)
		}
	}
	return out
}
