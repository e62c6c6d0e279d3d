package query

import "time"

// gate holds back the fan-out of a request that may break leaves until one
// part has run to its end, alone.
type gate struct {
	open    bool
	probe   int // the part that runs alone, or noPart
	proved  bool
	crashes int
	cursor  int // where the search for the next probe goes on
}

// ranToEnd notes that the request ran to its end on a leaf: it is safe.
func (m *Machine) ranToEnd(id AttemptID, a attempt) {
	if a.solo || !m.gate.proved {
		m.act(Verdict{Attempt: id, Leaf: a.leaf, Solo: a.solo})
	}
	m.gate.proved = true
	if m.gate.open {
		return
	}
	m.gate.open = true
	m.gate.probe = noPart
	m.askAll()
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
	if !m.gate.proved {
		m.closeGate()
	}
	m.retryPart(a.part, failure{reason: MissingCrashed, ran: true, crashed: true}, now)
}

// closeGate recalls what was not sent yet. What runs goes on.
func (m *Machine) closeGate() {
	if !m.gate.open {
		return
	}
	m.gate.open = false
	m.gate.cursor = 0
	for i := range m.attempts {
		a := &m.attempts[i]
		if a.state != stateQueued {
			continue
		}
		m.withdraw(AttemptID(i + 1))
		if p := &m.parts[a.part]; len(p.live) == 0 {
			p.state = partWaiting
		}
	}
}

// probeEnded lets the next part run alone when the present one is settled.
func (m *Machine) probeEnded(i int) {
	if m.gate.probe == i {
		m.gate.probe = noPart
	}
	m.nextProbe()
}

// nextProbe offers the next waiting part, alone. The seed decides where the
// search starts, so that all entries try one request on the same shard: its
// leaves are then the most that it can break.
func (m *Machine) nextProbe() {
	if m.gate.open || m.gate.probe != noPart || m.open == 0 {
		return
	}
	if !m.probeFrom(m.gate.cursor) && m.gate.cursor > 0 {
		m.probeFrom(0)
	}
}

// probeFrom offers the first waiting part at or after the cursor.
func (m *Machine) probeFrom(cursor int) bool {
	n := uint64(len(m.parts))
	for k := cursor; k < len(m.parts); k++ {
		i := int((m.cfg.Seed%n + uint64(k)) % n)
		if m.parts[i].state != partWaiting {
			continue
		}
		m.gate.cursor = k + 1
		m.ask(i, attempt{retry: len(m.parts[i].tried) > 0})
		return true
	}
	return false
}
