// Package warmup decides which connection to open next, so that connections
// stand before the work comes and no leaf meets a storm of dials: at most one
// dial is out per leaf, and dials of a leaf start at least one dial cost apart.
package warmup

import (
	"container/heap"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/machine"
)

// The machine has the kernel's one shape.
var _ machine.Machine[Event, Action] = (*Machine)(nil)

// Pauses after failed dials double from the first to the most.
const (
	firstPause = 100 * time.Millisecond
	mostPause  = 10 * time.Second
)

// Event is an input of the machine.
type Event interface{ isEvent() }

// Targets gives the leaves that connections are wanted to. Leaves that are not
// named are forgotten.
type Targets struct{ Leaves []Target }

// Target is the wish for one leaf.
type Target struct {
	Leaf string
	// Connections is the number to hold open, this entry's share at most.
	Connections int
	// DialCost is the usual time of a new connection.
	DialCost time.Duration
}

// Opened says that a dial made a connection.
type Opened struct{ Leaf string }

// Failed says that a dial failed.
type Failed struct{ Leaf string }

// Closed says that an open connection has gone.
type Closed struct{ Leaf string }

// Tick says that the time asked for by WakeAt has passed.
type Tick struct{}

func (Targets) isEvent() {}
func (Opened) isEvent()  {}
func (Failed) isEvent()  {}
func (Closed) isEvent()  {}
func (Tick) isEvent()    {}

// Action is an output of the machine.
type Action interface{ isAction() }

// Dial asks for one new connection; Opened or Failed must follow.
type Dial struct{ Leaf string }

// WakeAt asks for a Tick at or after At; it replaces an earlier wish.
type WakeAt struct{ At time.Time }

func (Dial) isAction()   {}
func (WakeAt) isAction() {}

// leaf is one leaf's state.
type leaf struct {
	target  Target
	open    int
	dialing bool
	queued  bool      // is in one of the heaps
	next    time.Time // no dial starts before
	pause   time.Duration
}

// Machine plans the dials of one entry.
type Machine struct {
	// most is the number of dials out at once over all leaves.
	most    int
	out     int
	leaves  map[string]*leaf
	ready   leafHeap // may be dialled now, or are short no more
	paused  leafHeap // wait for their next dial
	actions []Action
}

// New returns a machine that keeps at most the given number of dials out at
// once, and at least one.
func New(most int) *Machine {
	return &Machine{
		most:   max(1, most),
		leaves: make(map[string]*leaf),
		ready:  leafHeap{less: byOpen},
		paused: leafHeap{less: byNext},
	}
}

// Handle takes one event. The actions are valid until the next call.
func (m *Machine) Handle(ev Event, now time.Time) []Action {
	m.actions = m.actions[:0]
	switch ev := ev.(type) {
	case Targets:
		m.retarget(ev.Leaves, now)
	case Opened:
		if l := m.ended(ev.Leaf); l != nil {
			l.open++
			l.pause = 0
			m.queue(l, now)
		}
	case Failed:
		if l := m.ended(ev.Leaf); l != nil {
			l.pause = min(max(firstPause, 2*l.pause), mostPause)
			l.next = now.Add(l.pause)
			m.queue(l, now)
		}
	case Closed:
		if l := m.leaves[ev.Leaf]; l != nil {
			m.closed(l, now)
		}
	case Tick:
	}
	m.plan(now)
	return m.actions
}

// closed notes that a connection has gone. Its rank among the ready leaves has
// changed, so they are ordered again when it is one of them.
func (m *Machine) closed(l *leaf, now time.Time) {
	l.open = max(0, l.open-1)
	if l.queued {
		heap.Init(&m.ready)
		return
	}
	m.queue(l, now)
}

// retarget takes over new wishes and keeps what is known of the leaves. A leaf
// with a dial out is kept until the dial has ended.
func (m *Machine) retarget(targets []Target, now time.Time) {
	for _, l := range m.leaves {
		l.target.Connections = 0
	}
	for _, t := range targets {
		l := m.leaves[t.Leaf]
		if l == nil {
			l = &leaf{}
			m.leaves[t.Leaf] = l
		}
		l.target = t
		m.queue(l, now)
	}
	for name, l := range m.leaves {
		if l.target.Connections == 0 && l.open == 0 && !l.dialing && !l.queued {
			delete(m.leaves, name)
		}
	}
}

// ended notes the end of a dial, and returns nil for one that was not asked for.
func (m *Machine) ended(name string) *leaf {
	l := m.leaves[name]
	if l == nil || !l.dialing {
		return nil
	}
	l.dialing = false
	m.out--
	return l
}

// wants reports whether the leaf is short of connections.
func (l *leaf) wants() bool { return !l.dialing && l.open < l.target.Connections }

// queue puts a leaf that is short of connections where plan finds it.
func (m *Machine) queue(l *leaf, now time.Time) {
	if !l.wants() || l.queued {
		return
	}
	l.queued = true
	if l.next.After(now) {
		heap.Push(&m.paused, l)
		return
	}
	heap.Push(&m.ready, l)
}

// plan starts what may start, the leaves with the fewest connections first, so
// that every leaf can be reached before any has its full share. It costs
// O(log leaves) for each dial.
func (m *Machine) plan(now time.Time) {
	for len(m.paused.leaves) > 0 && !m.paused.leaves[0].next.After(now) {
		heap.Push(&m.ready, heap.Pop(&m.paused))
	}
	for m.out < m.most && len(m.ready.leaves) > 0 {
		l := heap.Pop(&m.ready).(*leaf)
		l.queued = false
		if l.wants() {
			m.dial(l, now)
		}
	}
	if m.out < m.most && len(m.paused.leaves) > 0 {
		m.actions = append(m.actions, WakeAt{At: m.paused.leaves[0].next})
	}
}

// dial starts one dial.
func (m *Machine) dial(l *leaf, now time.Time) {
	l.dialing = true
	l.next = now.Add(l.target.DialCost)
	m.out++
	m.actions = append(m.actions, Dial{Leaf: l.target.Leaf})
}

// leafHeap is a heap.Interface of leaves.
type leafHeap struct {
	leaves []*leaf
	less   func(a, b *leaf) bool
}

// byOpen ranks by the number of connections, then by name.
func byOpen(a, b *leaf) bool {
	if a.open != b.open {
		return a.open < b.open
	}
	return a.target.Leaf < b.target.Leaf
}

// byNext ranks by the earliest time of the next dial.
func byNext(a, b *leaf) bool { return a.next.Before(b.next) }

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (h *leafHeap) Len() int { return len(h.leaves) }

// Less compares two leaves.
func (h *leafHeap) Less(i, j int) bool { return h.less(h.leaves[i], h.leaves[j]) }

// Swap exchanges two leaves.
func (h *leafHeap) Swap(i, j int) { h.leaves[i], h.leaves[j] = h.leaves[j], h.leaves[i] }

// Push appends a leaf.
func (h *leafHeap) Push(x any) { h.leaves = append(h.leaves, x.(*leaf)) }

// Pop removes the last leaf.
func (h *leafHeap) Pop() any {
	last := len(h.leaves) - 1
	l := h.leaves[last]
	h.leaves = h.leaves[:last]
	return l
}
