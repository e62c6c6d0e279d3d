package query

import (
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/keyrange"
)

// Group is a part of the query that another instance is asked to gather: whole
// shards of one upstream. That instance asks their leaves and repeats within its own
// limits. It replies when an answer is due with all that it has, and again with each
// part that comes later.
type Group struct {
	Upstream int // index in the view of the start
	Ranges   []keyrange.Range
}

// OfferGroup asks the runtime to have a group gathered. What was not accepted is
// reported by NotSent, and asked of the leaves by this query then.
type OfferGroup struct {
	Attempt AttemptID
	Group   int // index in Config.Groups
	Version uint64
}

// Gathered is a reply of the instance that gathers a group. What its last one leaves
// uncovered is given up: the repetition that the route allows has been made there.
type Gathered struct {
	Attempt AttemptID
	Version uint64
	// Ranges are covered by this reply; none is a reply too.
	Ranges []keyrange.Range
	// HasMore says that more replies may come.
	HasMore bool
	// Sent, Hedges and Retries count that instance's attempts since its last reply.
	Sent, Hedges, Retries int
	// Attachment is the runtime's own, handed on with the answer unread.
	Attachment any
}

// Interim is what a query of some shards only has when an answer is due, and again
// with each part that comes later. It goes on until all is there or the deadline:
// whoever asked for it knows whether the whole answer is useful without the rest.
type Interim struct{ Answer Answer }

func (OfferGroup) isAction() {}
func (Interim) isAction()    {}
func (Gathered) isEvent()    {}

// askGroups offers the groups, each as one attempt of all of its parts. A request
// that may break leaves is not handed on, nor is one that may run only once.
func (m *Machine) askGroups() {
	if !m.gate.open || m.cfg.Suspect || !m.idempotent() || m.moves > 0 {
		return
	}
	for g := range m.cfg.Groups {
		m.offerGroup(g)
	}
}

// offerGroup offers one group.
func (m *Machine) offerGroup(g int) {
	parts := m.partsOf(&m.cfg.Groups[g])
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
	m.act(OfferGroup{Attempt: id, Group: g, Version: m.version})
}

// partsOf lists the waiting parts of a group.
func (m *Machine) partsOf(g *Group) []int {
	set := keyrange.NewSet(g.Ranges...)
	var out []int
	for i := range m.parts {
		p := &m.parts[i]
		if p.state == partWaiting && m.spaces[p.space].first == g.Upstream && set.Contains(p.need) {
			out = append(out, i)
		}
	}
	return out
}

// sentGroup notes that another instance may run the group's parts from here on. It
// may make all the attempts that the route allows.
func (m *Machine) sentGroup(a *attempt) {
	m.count.groups++
	for _, i := range a.group {
		p := &m.parts[i]
		p.reached = true
		p.runs += max(1, m.cfg.Service.Config.Attempts)
	}
}

// gathered takes in the reply to a group.
func (m *Machine) gathered(ev Gathered, now time.Time) {
	p := m.lookup(ev.Attempt)
	if p == nil || p.group == nil || p.state != stateSent {
		m.count.ignored++
		return
	}
	m.count.sent += ev.Sent
	m.count.hedges += ev.Hedges
	m.count.retries += ev.Retries
	if m.takeGroup(*p, ev) {
		m.checkSettle(now)
	}
	if ev.HasMore {
		m.shrink(ev.Attempt, p)
		return
	}
	m.end(ev.Attempt, stateReplied)
	for _, i := range p.group {
		m.settleGrouped(i)
	}
}

// shrink settles the parts of a group that are covered; the others are awaited.
func (m *Machine) shrink(id AttemptID, a *attempt) {
	var left []int
	for _, i := range a.group {
		p := &m.parts[i]
		if !m.current().covered.Covers(p.space, p.need) {
			left = append(left, i)
			continue
		}
		p.live.drop(id)
		m.cover(i)
	}
	a.group = left
	if len(left) == 0 {
		m.end(id, stateReplied)
	}
}

// takeGroup keeps what a group's reply covers. Nothing of a reply is taken that
// states another version, or keys that are not of the group or are held already.
func (m *Machine) takeGroup(a attempt, ev Gathered) bool {
	if len(ev.Ranges) == 0 {
		return false
	}
	if m.version == 0 {
		m.pinFirst(ev.Version)
	}
	space := m.parts[a.part].space
	set := keyrange.NewSet(ev.Ranges...)
	if ev.Version != m.version || !m.within(a.group, ev.Ranges, set.Size()) ||
		!m.current().add(stored{space: space, ranges: set.Ranges(), leaf: noLeaf, carried: ev.Attachment}) {
		m.count.ignored++
		return false
	}
	m.openGate() // leaves ran the request to its end
	m.score(ev.Version)
	return true
}

// within reports whether ranges are disjoint, which their joint size shows, and
// of a group's parts.
func (m *Machine) within(group []int, ranges []keyrange.Range, joint uint64) bool {
	var own keyrange.Set
	for _, i := range group {
		own.Add(m.parts[i].need)
	}
	var sum uint64
	for _, r := range ranges {
		if r.Empty() || !own.Contains(r) {
			return false
		}
		sum += r.Size()
	}
	return sum == joint
}

// settleGrouped settles a part of a group after its last reply.
func (m *Machine) settleGrouped(i int) {
	if !m.idle(i) {
		return
	}
	if m.current().covered.Covers(m.parts[i].space, m.parts[i].need) {
		m.cover(i)
		return
	}
	m.giveUp(i, MissingNotGathered)
}

// groupNotSent handles the word that no instance took the group over: its parts are
// asked here, as if it had not been offered.
func (m *Machine) groupNotSent(a attempt) {
	for _, i := range a.group {
		if m.idle(i) {
			m.ask(i, attempt{})
		}
	}
}

// groupLost handles the loss of the instance that gathered a group. How often the
// leaves were asked is not known, so they are asked again only where the route sets
// no bound.
func (m *Machine) groupLost(a attempt, now time.Time) {
	for _, i := range a.group {
		m.retryPart(i, failure{reason: MissingBroken, ran: true, costs: true}, now)
	}
}

// leave ends a group's attempt because one of its parts is settled otherwise; the
// others are asked here.
func (m *Machine) leave(id AttemptID, settled int, now time.Time) {
	a := *m.lookup(id)
	m.withdraw(id)
	for _, i := range a.group {
		if i == settled {
			continue
		}
		if a.state == stateSent {
			m.retryPart(i, failure{reason: MissingBroken, ran: true, costs: true}, now)
		} else if m.idle(i) {
			m.ask(i, attempt{})
		}
	}
}

// tellInterim gives what a query of some shards only has so far, once it is due.
func (m *Machine) tellInterim(now time.Time) {
	if m.cfg.OnlyShards == nil || m.finished || m.settle.IsZero() || now.Before(m.settle) {
		return
	}
	share := m.share(m.version)
	if m.reported && share <= m.reportedShare {
		return
	}
	m.reported, m.reportedShare = true, share
	m.act(Interim{Answer: m.answer(MissingSettled)})
}
