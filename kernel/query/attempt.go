package query

import (
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/view"
)

// attemptState is how far an attempt got.
type attemptState uint8

const (
	stateQueued    attemptState = iota // offered and not yet sent
	stateSent                          // its bytes may have reached the leaf
	stateDeclined                      // the leaf says that it did not run
	stateNotSent                       // refused by the queue, or the dial failed
	stateReplied                       // it ran to its end
	stateBroken                        // it ended without a reply after it was sent
	stateRecalled                      // withdrawn before it was sent
	stateAbandoned                     // withdrawn after it was sent
)

// live reports whether an end of the attempt is still awaited.
func (s attemptState) live() bool { return s == stateQueued || s == stateSent }

// provedNotRun reports whether the attempt certainly ran nowhere.
func (s attemptState) provedNotRun() bool {
	switch s {
	case stateQueued, stateDeclined, stateNotSent, stateRecalled:
		return true
	default:
		return false
	}
}

// attempt is one offer of a part.
type attempt struct {
	view    *view.View // of its offer, by which its events name leaves
	part    int
	group   []int // all parts of a group, part first; nil for an attempt of one part
	leaf    int   // as its Sent named it
	version uint64
	sentAt  time.Duration // since the query's start
	state   attemptState
	hedge   bool
	retry   bool
	solo    bool
}

// lookup returns an attempt of this query, or nil.
func (m *Machine) lookup(id AttemptID) *attempt {
	if id == 0 || id > AttemptID(len(m.attempts)) {
		return nil
	}
	return &m.attempts[id-1]
}

// end moves a live attempt to its last state and returns it; nil when the
// attempt is unknown or not live any more.
func (m *Machine) end(id AttemptID, state attemptState) *attempt {
	a := m.lookup(id)
	if a == nil || !a.state.live() {
		return nil
	}
	m.setState(a, state)
	m.parts[a.part].live.drop(id)
	for _, i := range a.group {
		m.parts[i].live.drop(id)
	}
	m.liveCount--
	return a
}

// setState keeps the number of attempts that may have run.
func (m *Machine) setState(a *attempt, state attemptState) {
	if !a.state.provedNotRun() {
		m.mayHaveRun--
	}
	a.state = state
	if !a.state.provedNotRun() {
		m.mayHaveRun++
	}
}

// withdraw takes back a live attempt.
func (m *Machine) withdraw(id AttemptID) {
	a := m.lookup(id)
	if a == nil || !a.state.live() {
		return
	}
	next := stateRecalled
	if a.state == stateSent {
		next = stateAbandoned
	}
	m.end(id, next)
	m.act(Withdraw{Attempt: id})
}

// sent notes that an attempt's bytes may have reached a leaf.
func (m *Machine) sent(ev Sent, now time.Time) {
	a := m.lookup(ev.Attempt)
	if a == nil {
		return
	}
	if a.state == stateRecalled {
		// The runtime should not have sent it; the outcome stays truthful.
		m.setState(a, stateAbandoned)
		return
	}
	if a.state != stateQueued {
		return
	}
	m.setState(a, stateSent)
	a.leaf = ev.Leaf
	a.sentAt = now.Sub(m.cfg.Start)
	if a.group != nil {
		m.sentGroup(a)
		return
	}
	m.noteTried(a, ev.Leaf)
	m.parts[a.part].reached = true
	m.parts[a.part].runs++
	m.count.sent++
	if a.hedge {
		m.count.hedges++
	}
	if a.retry {
		m.count.retries++
	}
	m.scheduleHedge(ev.Attempt, a, now)
}

// here is a leaf, named by the view of an attempt's offer, in the current view.
func (m *Machine) here(a *attempt, leaf int) int {
	if a.view == m.view {
		return leaf
	}
	return translate(a.view, m.view, m.spaces[m.parts[a.part].space].now, leaf)
}

// noteTried remembers a leaf for the part of an attempt.
func (m *Machine) noteTried(a *attempt, leaf int) {
	if leaf = m.here(a, leaf); leaf != noLeaf {
		p := &m.parts[a.part]
		p.tried = append(p.tried, leaf)
	}
}
