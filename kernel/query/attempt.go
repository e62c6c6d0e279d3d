package query

import (
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/view"
)

// attemptState is the lifecycle state of an attempt.
type attemptState uint8

const (
	stateQueued    attemptState = iota // offered, not sent yet
	stateSent                          // its bytes may have reached the leaf
	stateDeclined                      // the leaf states that it did not run the attempt
	stateNotSent                       // the queue refused it, or the dial failed
	stateReplied                       // the leaf ran it and replied
	stateBroken                        // sent, then ended without a reply; it may have run
	stateRecalled                      // withdrawn before it was sent
	stateAbandoned                     // withdrawn after it was sent
)

// live reports whether the attempt has not ended yet.
func (s attemptState) live() bool { return s == stateQueued || s == stateSent }

// provedNotRun reports whether it is certain that no leaf ran the attempt.
func (s attemptState) provedNotRun() bool {
	switch s {
	case stateQueued, stateDeclined, stateNotSent, stateRecalled:
		return true
	default:
		return false
	}
}

// attempt is one offer of a part, or of all parts of a group.
type attempt struct {
	view    *view.View // the view at its offer; its events use leaf indexes of this view
	part    int        // index in Machine.parts
	group   []int      // the indexes of all parts of a group, part included; nil unless it is a group's attempt
	leaf    int        // index in view, from Sent; noLeaf before
	version uint64
	sentAt  time.Duration // since the start of the query
	state   attemptState
	hedge   bool
	retry   bool
	solo    bool // a probe that runs alone
}

// findAttempt returns the attempt with the ID, or nil if the query has none.
func (m *Machine) findAttempt(id AttemptID) *attempt {
	if id == 0 || id > AttemptID(len(m.attempts)) {
		return nil
	}
	return &m.attempts[id-1]
}

// endAttempt moves a live attempt to a final state and returns it. It returns nil
// if the attempt is unknown or has ended before.
func (m *Machine) endAttempt(id AttemptID, state attemptState) *attempt {
	a := m.findAttempt(id)
	if a == nil || !a.state.live() {
		return nil
	}
	m.setAttemptState(a, state)
	m.parts[a.part].live.remove(id)
	for _, i := range a.group {
		m.parts[i].live.remove(id)
	}
	m.liveCount--
	return a
}

// setAttemptState changes the state of an attempt and updates mayHaveRun.
func (m *Machine) setAttemptState(a *attempt, state attemptState) {
	if !a.state.provedNotRun() {
		m.mayHaveRun--
	}
	a.state = state
	if !a.state.provedNotRun() {
		m.mayHaveRun++
	}
}

// withdrawAttempt cancels an attempt if it is live.
func (m *Machine) withdrawAttempt(id AttemptID) {
	a := m.findAttempt(id)
	if a == nil || !a.state.live() {
		return
	}
	final := stateRecalled
	if a.state == stateSent {
		final = stateAbandoned
	}
	m.endAttempt(id, final)
	m.emit(Withdraw{Attempt: id})
}

// handleSent records that an attempt's bytes may have reached a leaf.
func (m *Machine) handleSent(ev Sent, now time.Time) {
	a := m.findAttempt(ev.Attempt)
	if a == nil {
		return
	}
	if a.state == stateRecalled {
		// The runtime must not send a withdrawn attempt. If it does so, the
		// attempt counts as one that may have run, so that the outcome is not
		// "not run".
		m.setAttemptState(a, stateAbandoned)
		return
	}
	if a.state != stateQueued {
		return
	}
	m.setAttemptState(a, stateSent)
	a.leaf = ev.Leaf
	a.sentAt = now.Sub(m.cfg.Start)
	if a.group != nil {
		m.recordGroupSent(a)
		return
	}
	m.recordTried(a, ev.Leaf)
	m.parts[a.part].reachedLeaf = true
	m.parts[a.part].possibleRuns++
	m.count.sent++
	if a.hedge {
		m.count.hedges++
	}
	if a.retry {
		m.count.retries++
	}
	m.scheduleHedge(ev.Attempt, a, now)
}

// currentLeaf translates a leaf index of an attempt's view to the current view. It
// returns noLeaf if the current view does not have the leaf.
func (m *Machine) currentLeaf(a *attempt, leaf int) int {
	if a.view == m.view {
		return leaf
	}
	return translateLeaf(a.view, m.view, m.spaces[m.parts[a.part].space].currentUpstream, leaf)
}

// recordTried adds a leaf, an index in the attempt's view, to the tried leaves of
// the attempt's part.
func (m *Machine) recordTried(a *attempt, leaf int) {
	if leaf = m.currentLeaf(a, leaf); leaf != noLeaf {
		p := &m.parts[a.part]
		p.tried = append(p.tried, leaf)
	}
}
