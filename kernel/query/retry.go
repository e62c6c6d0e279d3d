package query

import (
	"time"
)

// failure says why an attempt of a part gave no usable reply.
type failure struct {
	reason      string
	mayHaveRun  bool // a leaf may have run the attempt
	spendsRetry bool // a retry takes a token of the retry budget
	crashed     bool // the leaf crashed; the retry runs alone
}

// handleDeclined handles a leaf's statement that it did not run the attempt. A retry
// is safe then for any request, also for a non-idempotent one.
func (m *Machine) handleDeclined(ev Declined, now time.Time) {
	found := m.findAttempt(ev.Attempt)
	if found == nil || (found.state != stateQueued && found.leaf != ev.Leaf) {
		m.count.ignored++
		return
	}
	if found.state == stateAbandoned {
		m.setAttemptState(found, stateDeclined)
		return
	}
	if found.state == stateQueued {
		m.recordTried(found, ev.Leaf)
	} else {
		m.parts[found.part].possibleRuns--
	}
	a := m.endAttempt(ev.Attempt, stateDeclined)
	if a == nil {
		m.count.ignored++
		return
	}
	if ev.Reason == ReasonWrongRange && m.idempotent() && len(ev.Ranges) > 0 {
		if m.isIdle(a.part) {
			m.replanPart(a.part, m.currentLeaf(a, ev.Leaf), ev.Ranges, now)
		}
		return
	}
	costs := ev.Reason == ReasonOverloaded || ev.Reason == ReasonDeadline
	m.retryPart(a.part, failure{reason: string(ev.Reason), spendsRetry: costs}, now)
}

// handleNotSent handles an attempt that never reached a leaf. After a failed dial
// another leaf is tried, without a token of the retry budget since no leaf did any
// work. A refusal of the queue holds for all leaves of the shard, so the part is
// given up; only a probe, which was offered to a single leaf, is offered once more
// to any leaf of its shard.
func (m *Machine) handleNotSent(ev NotSent, now time.Time) {
	found := m.findAttempt(ev.Attempt)
	if found != nil && found.state == stateSent {
		// After Sent the bytes may have reached the leaf, so the event does not
		// prove that the attempt did not run.
		m.handleBroken(Broken{Attempt: ev.Attempt, Leaf: found.leaf}, now)
		return
	}
	a := m.endAttempt(ev.Attempt, stateNotSent)
	if a == nil {
		return
	}
	if a.group != nil {
		m.askGroupLocally(*a)
		return
	}
	m.retryAfter = max(m.retryAfter, ev.RetryAfter)
	if ev.Reason == ReasonDialFailed {
		m.recordTried(a, ev.Leaf)
		m.retryPart(a.part, failure{reason: string(ev.Reason)}, now)
		return
	}
	if !m.isIdle(a.part) {
		return
	}
	if part := &m.parts[a.part]; a.solo && !part.probeAnyLeaf && m.hasUntriedLeaf(part) {
		part.probeAnyLeaf = true
		part.tries--
		m.gate.cursor = 0
		m.askPart(a.part, attempt{retry: a.retry, solo: true})
		return
	}
	m.giveUpPart(a.part, string(ev.Reason))
}

// handleBroken handles an attempt that ended without a reply and may have run.
func (m *Machine) handleBroken(ev Broken, now time.Time) {
	found := m.findAttempt(ev.Attempt)
	if found == nil || !found.state.live() || (found.state == stateSent && found.leaf != ev.Leaf) {
		m.count.ignored++
		return
	}
	m.endAttempt(ev.Attempt, stateBroken)
	a := *found
	if a.group != nil {
		m.retryLostGroup(a, now)
		return
	}
	if ev.Failure != nil {
		m.leafFailure = ev.Failure
	}
	if ev.Crash {
		m.handleCrash(ev, a, now)
		return
	}
	m.retryPart(a.part, failure{reason: MissingBroken, mayHaveRun: true, spendsRetry: true}, now)
}

// isIdle reports whether a part is open or waiting and has no live attempt.
func (m *Machine) isIdle(i int) bool {
	p := &m.parts[i]
	return (p.state == partOpen || p.state == partWaiting) && p.live.n == 0
}

// retryPart asks an idle part again on another leaf, or gives it up.
func (m *Machine) retryPart(i int, f failure, now time.Time) {
	if !m.isIdle(i) {
		return
	}
	if !m.mayRetry(&m.parts[i], f, now) {
		m.giveUpPart(i, f.reason)
		return
	}
	m.askPart(i, attempt{retry: true, solo: f.crashed})
}

// mayRetry reports whether a part may be asked again, and takes the retry's tokens from
// the budgets. A request that may have run is retried only if it is
// idempotent. If the failed attempt cost a leaf work, the retry takes a token of the
// retry budget; after a crash the gate allows one retry per query instead.
func (m *Machine) mayRetry(p *part, f failure, now time.Time) bool {
	if f.mayHaveRun && !m.idempotent() {
		return false
	}
	if p.tries >= maxPartTries || !now.Before(m.cfg.Deadline) || !m.hasUntriedLeaf(p) {
		return false
	}
	if !m.mayRunAgain(p) || (f.spendsRetry && !m.cfg.Budget.TakeRetry(now)) {
		return false
	}
	return m.takeShardRepeat(p, RepeatRetry, now)
}

// mayRunAgain reports whether the route's limit of attempts allows one more leaf of
// the shard to run the request.
func (m *Machine) mayRunAgain(p *part) bool {
	limit := m.cfg.Service.Config.Attempts
	return limit <= 0 || p.possibleRuns < limit
}

// takeShardRepeat takes a token of the shard's budget for one more attempt of a part
// and reports whether there was one. The first attempt that reaches the shard needs
// none, also after failed dials.
func (m *Machine) takeShardRepeat(p *part, kind RepeatKind, now time.Time) bool {
	if m.cfg.ShardBudget == nil || !p.reachedLeaf {
		return true
	}
	return m.cfg.ShardBudget.TakeRepeat(m.spaces[p.space].currentUpstream, p.shard, kind, now)
}

// askPart offers an attempt of a part, or lets the part wait while the gate is
// closed.
func (m *Machine) askPart(i int, a attempt) {
	if m.gate.open {
		m.offerPart(i, a)
		return
	}
	m.parts[i].state = partWaiting
}

// askWaiting calls askPart for all waiting parts.
func (m *Machine) askWaiting() {
	for i := range m.parts {
		if m.parts[i].state == partWaiting {
			m.askPart(i, attempt{retry: m.parts[i].tries > 0})
		}
	}
}
