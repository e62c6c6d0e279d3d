package main

import (
	"container/heap"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/membership"
)

// messageDelay is the time of one message between two entries.
const messageDelay = 3 * time.Millisecond

// spreadSizes are the numbers of entries to spread a change among.
var spreadSizes = []int{8, 64, 256, 512}

// spreadRuns is the number of runs with other seeds.
const spreadRuns = 5

// message is a digest on its way.
type message struct {
	at       time.Time
	from, to int
	digest   *membership.Digest
	answer   bool
}

// mail is a heap of messages by arrival.
type mail []message

func (m mail) Len() int           { return len(m) }
func (m mail) Less(i, j int) bool { return m[i].at.Before(m[j].at) }
func (m mail) Swap(i, j int)      { m[i], m[j] = m[j], m[i] }

// Push implements heap.Interface.
func (m *mail) Push(x any) { *m = append(*m, x.(message)) }

// Pop implements heap.Interface.
func (m *mail) Pop() any {
	last := len(*m) - 1
	x := (*m)[last]
	*m = (*m)[:last]
	return x
}

// spread is a fleet of memberships in virtual time to which a change is given. The
// rounds of digests are left out: what is measured is the push alone.
type spread struct {
	machines  []*membership.Machine
	index     map[string]int
	mail      mail
	exchanges int
}

// changedLeaf is the leaf that leaves.
const changedLeaf = "data-0-0"

// newSpread makes so many entries that all know the list.
func newSpread(entries int, seed uint64) *spread {
	s := &spread{index: make(map[string]int)}
	list := instances(entries, 1)
	for i, id := range entryNames(entries) {
		m := membership.New(membership.DefaultConfig(id, seed*1_000_003+uint64(i)))
		m.Handle(membership.ListRead{Instances: list}, epoch)
		s.machines = append(s.machines, m)
		s.index[id] = i
	}
	return s
}

// run gives the change to one entry and follows it to the end. It returns when
// the last entry that was reached by the push learnt it, and how many were.
func (s *spread) run() (took time.Duration, reached int) {
	s.give(0, membership.LeavingObserved{Leaf: changedLeaf}, epoch)
	known := make([]bool, len(s.machines))
	last := epoch
	for s.mail.Len() > 0 {
		m := heap.Pop(&s.mail).(message)
		s.give(m.to, membership.DigestReceived{Digest: m.digest}, m.at)
		if !m.answer {
			s.post(message{at: m.at.Add(messageDelay), from: m.to, to: m.from, digest: s.machines[m.to].Digest(m.at), answer: true})
		}
		if !known[m.to] && s.machines[m.to].Leaving(changedLeaf) {
			known[m.to], last = true, m.at
		}
	}
	for _, m := range s.machines {
		if m.Leaving(changedLeaf) {
			reached++
		}
	}
	return last.Sub(epoch), reached
}

// give hands an event to one entry and posts what it sends.
func (s *spread) give(i int, ev membership.Event, now time.Time) {
	for _, a := range s.machines[i].Handle(ev, now) {
		if send, ok := a.(membership.SendDigest); ok {
			s.exchanges++
			s.post(message{at: now.Add(messageDelay), from: i, to: s.index[send.Peer.Instance], digest: s.machines[i].Digest(now)})
		}
	}
}

func (s *spread) post(m message) { heap.Push(&s.mail, m) }

// measureSpread measures the push of one change, the worst of some runs.
func measureSpread() []Series {
	steps := Series{Name: "push of a change, messages to the last entry reached", Unit: "messages", Per: "entries"}
	share := Series{Name: "push of a change, least share of entries reached", Unit: "", Per: "entries"}
	exchanges := Series{Name: "push of a change, exchanges an entry", Unit: "", Per: "entries"}
	for _, n := range spreadSizes {
		var worst, least, most float64
		least = 1
		for seed := range uint64(spreadRuns) {
			s := newSpread(n, seed+1)
			took, reached := s.run()
			worst = max(worst, float64(took/messageDelay))
			least = min(least, float64(reached)/float64(n))
			most = max(most, float64(s.exchanges)/float64(n))
		}
		size := float64(n)
		steps.Points = append(steps.Points, Point{size, worst})
		share.Points = append(share.Points, Point{size, least})
		exchanges.Points = append(exchanges.Points, Point{size, most})
	}
	out := []Series{steps, share, exchanges}
	for i := range out {
		out[i].Line = fit(out[i].Points)
	}
	return out
}
