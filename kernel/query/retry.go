package query

import (
	"time"
)

// failure is why an attempt of a part brought nothing.
type failure struct {
	reason  string
	ran     bool // it may have run on a leaf
	costs   bool // a repetition takes from the retry budget
	crashed bool // the leaf broke; the repetition runs alone
}

// declined handles a leaf's word that it did not run the attempt. A retry is
// safe for any request: the leaf has said that it holds no work of it.
func (m *Machine) declined(ev Declined, now time.Time) {
	p := m.lookup(ev.Attempt)
	if p == nil || (p.state != stateQueued && p.leaf != ev.Leaf) {
		m.count.ignored++
		return
	}
	if p.state == stateAbandoned {
		m.setState(p, stateDeclined)
		return
	}
	if p.state == stateQueued {
		m.noteTried(p, ev.Leaf)
	} else {
		m.parts[p.part].runs--
	}
	a := m.end(ev.Attempt, stateDeclined)
	if a == nil {
		m.count.ignored++
		return
	}
	if ev.Reason == ReasonWrongRange && m.idempotent() && len(ev.Ranges) > 0 {
		if m.idle(a.part) {
			m.replan(a.part, m.here(a, ev.Leaf), ev.Ranges, now)
		}
		return
	}
	costs := ev.Reason == ReasonOverloaded || ev.Reason == ReasonDeadline
	m.retryPart(a.part, failure{reason: string(ev.Reason), costs: costs}, now)
}

// notSent handles the word that an attempt never reached a leaf. After a
// failed dial another leaf is tried, at no cost to any leaf; what the queue
// refused is refused for all leaves of the shard.
func (m *Machine) notSent(ev NotSent, now time.Time) {
	p := m.lookup(ev.Attempt)
	if p != nil && p.state == stateSent {
		// Its bytes may have left before: it is no proof any more.
		m.broken(Broken{Attempt: ev.Attempt, Leaf: p.leaf}, now)
		return
	}
	a := m.end(ev.Attempt, stateNotSent)
	if a == nil {
		return
	}
	if a.group != nil {
		m.groupNotSent(*a)
		return
	}
	m.retryAfter = max(m.retryAfter, ev.RetryAfter)
	if ev.Reason == ReasonDialFailed {
		m.noteTried(a, ev.Leaf)
		m.retryPart(a.part, failure{reason: string(ev.Reason)}, now)
		return
	}
	if !m.idle(a.part) {
		return
	}
	if part := &m.parts[a.part]; a.solo && !part.anyLeaf && m.hasOther(part) {
		part.anyLeaf = true
		part.tries--
		m.gate.cursor = 0
		m.ask(a.part, attempt{retry: a.retry, solo: true})
		return
	}
	m.giveUp(a.part, string(ev.Reason))
}

// broken handles the end of an attempt that may have run.
func (m *Machine) broken(ev Broken, now time.Time) {
	p := m.lookup(ev.Attempt)
	if p == nil || !p.state.live() || (p.state == stateSent && p.leaf != ev.Leaf) {
		m.count.ignored++
		return
	}
	m.end(ev.Attempt, stateBroken)
	a := *p
	if a.group != nil {
		m.groupLost(a, now)
		return
	}
	if ev.Failure != nil {
		m.failure = ev.Failure
	}
	if ev.Crash {
		m.crashed(ev, a, now)
		return
	}
	m.retryPart(a.part, failure{reason: MissingBroken, ran: true, costs: true}, now)
}

// idle reports whether a part is unsettled and has no live attempt.
func (m *Machine) idle(i int) bool {
	p := &m.parts[i]
	return (p.state == partOpen || p.state == partWaiting) && p.live.n == 0
}

// retryPart asks a part again, elsewhere, or gives it up.
func (m *Machine) retryPart(i int, f failure, now time.Time) {
	if !m.idle(i) {
		return
	}
	if !m.mayRetry(&m.parts[i], f, now) {
		m.giveUp(i, f.reason)
		return
	}
	m.ask(i, attempt{retry: true, solo: f.crashed})
}

// mayRetry reports whether a part may be asked again. A request that may have
// run is repeated only if it is idempotent; what cost a leaf work is repeated
// only within the budget. A crash is repeated once per query, by the gate.
func (m *Machine) mayRetry(p *part, f failure, now time.Time) bool {
	if f.ran && !m.idempotent() {
		return false
	}
	if p.tries >= maxTries || !now.Before(m.cfg.Deadline) || !m.hasOther(p) {
		return false
	}
	if !m.mayRunAgain(p) || (f.costs && !m.cfg.Budget.TakeRetry(now)) {
		return false
	}
	return m.mayArrive(p, now)
}

// mayRunAgain reports whether one more leaf of the shard may run the request.
func (m *Machine) mayRunAgain(p *part) bool {
	most := m.cfg.Service.Config.Attempts
	return most <= 0 || p.runs < most
}

// mayArrive reports whether one more attempt of the part may go to a leaf. The
// first arrival at the shard is free, also after dials that failed.
func (m *Machine) mayArrive(p *part, now time.Time) bool {
	if m.cfg.ShardBudget == nil || !p.reached {
		return true
	}
	return m.cfg.ShardBudget.TakeRepeat(m.spaces[p.space].now, p.shard, now)
}

// ask offers a part, or holds it while the gate is closed.
func (m *Machine) ask(i int, a attempt) {
	if m.gate.open {
		m.offer(i, a)
		return
	}
	m.parts[i].state = partWaiting
}

// askAll asks all waiting parts.
func (m *Machine) askAll() {
	for i := range m.parts {
		if m.parts[i].state == partWaiting {
			m.ask(i, attempt{retry: m.parts[i].tries > 0})
		}
	}
}
