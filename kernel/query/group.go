package query

import (
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/keyrange"
)

// Group is a set of whole shards of one upstream that another instance is asked to
// gather: it queries their leaves and retries and hedges within its own limits. When an
// answer is due it replies with all that it has, and again with each later part.
type Group struct {
	Upstream int // index in the view at the start of the query
	Ranges   []keyrange.Range
}

// OfferGroup asks the runtime to have a group gathered by another instance. If none
// accepts it, the runtime reports NotSent and this query asks the leaves itself.
type OfferGroup struct {
	Attempt AttemptID
	Group   int // index in Config.Groups
	Version uint64
}

// Gathered is a reply of the instance that gathers a group. Parts that its last reply
// leaves uncovered are given up, since that instance has made the retries that the
// route allows.
type Gathered struct {
	Attempt AttemptID
	Version uint64
	// Ranges are the ranges that this reply covers; there may be none.
	Ranges []keyrange.Range
	// HasMore says that more replies may follow.
	HasMore bool
	// Sent, Hedges and Retries count that instance's attempts since its last reply.
	Sent, Hedges, Retries int
	// Attachment is opaque data of the runtime that is passed on to the Result.
	Attachment any
}

// Interim gives the answer so far of a query with OnlyShards, when an answer is due and
// again with each later part. The query goes on until it is complete or the deadline has
// passed: the instance that asked for the shards decides whether its whole answer is
// useful without the rest.
type Interim struct{ Answer Answer }

func (OfferGroup) isAction() {}
func (Interim) isAction()    {}
func (Gathered) isEvent()    {}

// offerGroups offers the groups, each as one attempt of all of its parts. A request that
// may crash leaves or that is not idempotent is not delegated, nor is one whose version
// has moved.
func (m *Machine) offerGroups() {
	if !m.gate.open || m.cfg.Suspect || !m.idempotent() || m.versionMoves > 0 {
		return
	}
	for g := range m.cfg.Groups {
		m.offerGroup(g)
	}
}

// offerGroup offers the waiting parts of the group with the index g, if any.
func (m *Machine) offerGroup(g int) {
	parts := m.waitingParts(&m.cfg.Groups[g])
	if len(parts) == 0 {
		return
	}
	m.attempts = append(m.attempts, attempt{view: m.view, part: parts[0], group: parts, leaf: noLeaf, version: m.version})
	id := AttemptID(len(m.attempts))
	for _, i := range parts {
		m.parts[i].state = partOpen
		m.parts[i].live.add(id)
	}
	m.liveCount++
	m.emit(OfferGroup{Attempt: id, Group: g, Version: m.version})
}

// waitingParts lists the waiting parts of a group.
func (m *Machine) waitingParts(g *Group) []int {
	set := keyrange.NewSet(g.Ranges...)
	var out []int
	for i := range m.parts {
		p := &m.parts[i]
		if p.state == partWaiting && m.spaces[p.space].startUpstream == g.Upstream && set.Contains(p.keys) {
			out = append(out, i)
		}
	}
	return out
}

// recordGroupSent records that another instance may run the group's parts. Each part
// counts as if that instance made all the attempts that the route allows.
func (m *Machine) recordGroupSent(a *attempt) {
	m.count.groups++
	for _, i := range a.group {
		p := &m.parts[i]
		p.reachedLeaf = true
		p.possibleRuns += max(1, m.cfg.Service.Config.Attempts)
	}
}

// handleGathered stores a reply to a group. After the last one it closes the group's
// parts.
func (m *Machine) handleGathered(ev Gathered, now time.Time) {
	a := m.findAttempt(ev.Attempt)
	if a == nil || a.group == nil || a.state != stateSent {
		m.count.ignored++
		return
	}
	m.count.sent += ev.Sent
	m.count.hedges += ev.Hedges
	m.count.retries += ev.Retries
	if m.acceptGroupReply(*a, ev) {
		m.scheduleSettle(now)
	}
	if ev.HasMore {
		m.dropCoveredParts(ev.Attempt, a)
		return
	}
	m.endAttempt(ev.Attempt, stateReplied)
	for _, i := range a.group {
		m.closeGroupPart(i)
	}
}

// dropCoveredParts removes the covered parts from a group's attempt, which stays live
// for the others. The attempt ends if there are none.
func (m *Machine) dropCoveredParts(id AttemptID, a *attempt) {
	var left []int
	for _, i := range a.group {
		p := &m.parts[i]
		if !m.currentResults().covered.Covers(p.space, p.keys) {
			left = append(left, i)
			continue
		}
		p.live.remove(id)
		m.markCovered(i)
	}
	a.group = left
	if len(left) == 0 {
		m.endAttempt(id, stateReplied)
	}
}

// acceptGroupReply stores a group's reply and reports whether it did. It rejects the
// whole reply if this states another version, keys outside of the group or keys that are
// covered already.
func (m *Machine) acceptGroupReply(a attempt, ev Gathered) bool {
	if len(ev.Ranges) == 0 {
		return false
	}
	if m.version == 0 {
		m.pinFirstVersion(ev.Version)
	}
	space := m.parts[a.part].space
	set := keyrange.NewSet(ev.Ranges...)
	if ev.Version != m.version || !m.isWithinGroup(a.group, ev.Ranges, set.Size()) ||
		!m.currentResults().addReply(acceptedReply{space: space, ranges: set.Ranges(), leaf: noLeaf, attachment: ev.Attachment}) {
		m.count.ignored++
		return false
	}
	m.openGate() // leaves ran the request to its end, so it is safe
	m.updateBestVersion(ev.Version)
	return true
}

// isWithinGroup reports whether the ranges are disjoint and within the given parts.
// unionSize is the number of keys in the union of the ranges; disjoint ranges have as
// many in sum.
func (m *Machine) isWithinGroup(parts []int, ranges []keyrange.Range, unionSize uint64) bool {
	var own keyrange.Set
	for _, i := range parts {
		own.Add(m.parts[i].keys)
	}
	var sum uint64
	for _, r := range ranges {
		if r.Empty() || !own.Contains(r) {
			return false
		}
		sum += r.Size()
	}
	return sum == unionSize
}

// closeGroupPart marks a part as covered or gives it up after the last reply of its
// group.
func (m *Machine) closeGroupPart(i int) {
	if !m.isIdle(i) {
		return
	}
	if m.currentResults().covered.Covers(m.parts[i].space, m.parts[i].keys) {
		m.markCovered(i)
		return
	}
	m.giveUpPart(i, MissingNotGathered)
}

// askGroupLocally asks the leaves for the parts of a group that no instance accepted,
// as if it had not been offered.
func (m *Machine) askGroupLocally(a attempt) {
	for _, i := range a.group {
		if m.isIdle(i) {
			m.askPart(i, attempt{})
		}
	}
}

// retryLostGroup handles the loss of the instance that gathered a group. How often that
// instance asked the leaves is unknown, so the parts are asked again only if the route
// sets no limit of attempts.
func (m *Machine) retryLostGroup(a attempt, now time.Time) {
	for _, i := range a.group {
		m.retryPart(i, failure{reason: MissingBroken, mayHaveRun: true, spendsRetry: true}, now)
	}
}

// splitGroup withdraws a group's attempt because the part with the index done needs no
// further attempt. This query asks the leaves for the other parts.
func (m *Machine) splitGroup(id AttemptID, done int, now time.Time) {
	a := *m.findAttempt(id)
	m.withdrawAttempt(id)
	for _, i := range a.group {
		if i == done {
			continue
		}
		if a.state == stateSent {
			m.retryPart(i, failure{reason: MissingBroken, mayHaveRun: true, spendsRetry: true}, now)
		} else if m.isIdle(i) {
			m.askPart(i, attempt{})
		}
	}
}

// emitInterim emits the answer so far of a query with OnlyShards, once it is due and
// whenever the share has grown since the last one.
func (m *Machine) emitInterim(now time.Time) {
	if m.cfg.OnlyShards == nil || m.finished || m.settleAt.IsZero() || now.Before(m.settleAt) {
		return
	}
	share := m.coveredShare(m.version)
	if m.interimGiven && share <= m.interimShare {
		return
	}
	m.interimGiven, m.interimShare = true, share
	m.emit(Interim{Answer: m.buildAnswer(MissingSettled)})
}
