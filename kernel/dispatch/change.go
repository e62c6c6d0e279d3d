package dispatch

import (
	"slices"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/keyrange"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/query"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/view"
)

// changeView installs a new view. Running attempts keep their leaf. Queued ones move to
// the shard with the same key range; without such a shard they are refused, so that the
// query asks the new shards.
func (m *Machine) changeView(v *view.View, now time.Time) {
	old := m.shards
	m.installView(v)
	byRange := make(map[keyrange.Range]*shard, len(m.shards))
	for _, s := range m.shards {
		byRange[s.keys] = s
	}
	for _, s := range old {
		m.moveWaiting(s, byRange[s.keys])
	}
	for _, a := range m.running {
		if s := byRange[a.shard.keys]; s != nil {
			a.shard = s
		}
	}
	for _, s := range m.shards {
		m.serve(s, now)
	}
}

// moveWaiting moves the queued attempts and the latency estimate of a shard to its
// successor, which is nil when its key range is gone. It refuses the attempts when no
// leaf can take them.
func (m *Machine) moveWaiting(from, to *shard) {
	var waiting []*attempt
	for _, q := range from.queue.active {
		waiting = append(waiting, q.all()...)
	}
	for _, a := range waiting {
		m.releaseReservation(a)
		if to == nil || !to.acceptsWork() {
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

// installView replaces the shards by those of the view, in which it finds the upstream
// by name. An upstream that is gone has no shards.
func (m *Machine) installView(v *view.View) {
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

// addLeaf updates the state of a leaf from the view, and creates it for a new leaf.
func (m *Machine) addLeaf(index int, in view.Leaf) *leaf {
	l := m.leaves[in.ID]
	if l == nil {
		l = &leaf{id: in.ID, key: m.nextLeafKey, limit: m.newLimit()}
		m.nextLeafKey++
		m.leaves[in.ID] = l
	}
	l.index = index
	l.local = in.Zone == m.zone
	l.leaving = in.Draining
	l.connections = in.Connections
	l.limit.SetShare(in.Connections)
	m.byIndex[index] = l
	return l
}
