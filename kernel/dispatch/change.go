package dispatch

import (
	"slices"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/keyrange"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/query"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/view"
)

// change takes over a new view. Running attempts keep their leaf. Waiting ones
// move to the shard with the same range; where that is gone they are refused,
// so that the query asks the new shards.
func (m *Machine) change(v *view.View, now time.Time) {
	old := m.shards
	m.install(v)
	moved := make(map[keyrange.Range]*shard, len(m.shards))
	for _, s := range m.shards {
		moved[s.keys] = s
	}
	for _, s := range old {
		m.move(s, moved[s.keys])
	}
	for _, a := range m.running {
		if s := moved[a.shard.keys]; s != nil {
			a.shard = s
		}
	}
	for _, s := range m.shards {
		m.serve(s, now)
	}
}

// move gives a shard's waiting attempts and what it learnt to its successor.
func (m *Machine) move(from, to *shard) {
	var items []*attempt
	for _, q := range from.queue.active {
		items = append(items, q.all()...)
	}
	for _, a := range items {
		m.release(a)
		if to == nil || !to.present() {
			delete(m.waiting, a.ticket)
			m.expiry.remove(a)
			a.queued = false
			reason := query.ReasonWrongRange
			if to != nil {
				reason = query.ReasonNoLeaf
			}
			m.refuse(a.ticket, reason, 0)
			continue
		}
		a.shard = to
		a.avoid = slices.DeleteFunc(a.avoid, func(l *leaf) bool { return !slices.Contains(to.leaves, l) })
		if len(a.avoid) == len(to.leaves) {
			a.avoid = nil
		}
		to.queue.push(a, m.weight(a.caller))
	}
	if to != nil {
		to.order, to.meanLatency = from.order, from.meanLatency
	}
	from.queue = fairQueue{}
}

// install resolves the upstream of the view by name. An upstream that is gone
// has no shards.
func (m *Machine) install(v *view.View) {
	m.setWeights(v)
	m.byIndex = make(map[int]*leaf)
	m.shards, m.stalled = nil, nil
	for _, l := range m.leaves {
		l.index, l.shards, l.leaving = -1, nil, true
	}
	for u := range v.Upstreams {
		if v.Upstreams[u].Name != m.upstream {
			continue
		}
		for i, s := range v.Upstreams[u].Shards {
			m.addShard(v, i, s)
		}
	}
	for id, l := range m.leaves {
		if l.index < 0 && l.inFlight == 0 {
			delete(m.leaves, id)
		}
	}
}

// addShard adds one shard of the view with its leaves.
func (m *Machine) addShard(v *view.View, index int, in view.Shard) {
	s := &shard{
		index: index,
		keys:  in.Range,
		queue: fairQueue{callers: make(map[string]*callerQueue)},
		order: m.newOrder(),
	}
	for _, i := range in.Leaves {
		l := m.addLeaf(i, v.Leaves[i])
		l.shards = append(l.shards, s)
		s.leaves = append(s.leaves, l)
	}
	m.shards = append(m.shards, s)
}

// addLeaf finds or makes the leaf's state and updates it.
func (m *Machine) addLeaf(index int, in view.Leaf) *leaf {
	l := m.leaves[in.ID]
	if l == nil {
		l = &leaf{id: in.ID, key: m.keys, limit: m.newLimit()}
		m.keys++
		m.leaves[in.ID] = l
	}
	l.index = index
	l.local = in.Zone == m.zone
	l.leaving = in.Draining
	l.share = in.Connections
	l.limit.SetShare(in.Connections)
	m.byIndex[index] = l
	return l
}
