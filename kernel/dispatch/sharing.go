package dispatch

import (
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/plugin"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/slowness"
)

// Observations returns what the routing policy saw since the last call that other
// instances should know of. A policy that shares nothing gives none.
func (m *Machine) Observations() []slowness.Observation {
	sharer, ok := m.routing.(plugin.ObservationSharer)
	if !ok {
		return nil
	}
	seen := sharer.Observations()
	if len(seen) == 0 {
		return nil
	}
	ids := make(map[int]string, len(m.leaves))
	for id, l := range m.leaves {
		ids[l.key] = id
	}
	out := make([]slowness.Observation, 0, len(seen))
	for _, s := range seen {
		if id, ok := ids[s.Key]; ok {
			out = append(out, slowness.Observation{Leaf: id, Elapsed: s.Elapsed, Slow: s.Slow, At: s.At})
		}
	}
	return out
}

// CrossZoneShard is a shard whose next attempt would go to a leaf of another zone.
type CrossZoneShard struct {
	Shard int // index in the view
	// Leaves are those that would be about as good, by their indexes in the view.
	Leaves []int
}

// CrossZoneShards lists the shards whose next attempt would go to a leaf of another zone.
func (m *Machine) CrossZoneShards(now time.Time) []CrossZoneShard {
	var out []CrossZoneShard
	for _, s := range m.shards {
		if !m.gather(&attempt{shard: s}, now) {
			continue
		}
		good := m.comparable(now)
		if m.candidates[good[0]].Local {
			continue
		}
		a := CrossZoneShard{Shard: s.index}
		for _, i := range good {
			if !m.candidates[i].Local {
				a.Leaves = append(a.Leaves, m.chosen[i].index)
			}
		}
		out = append(out, a)
	}
	return out
}

// comparable lists the candidates that are about as good as the best, which is first.
func (m *Machine) comparable(now time.Time) []int {
	if c, ok := m.routing.(plugin.NearBestLister); ok {
		return c.NearBest(m.candidates, now)
	}
	i, _ := m.routing.Pick(m.candidates, now)
	return []int{i}
}

// peersReported passes the reports of other instances to the routing policy.
func (m *Machine) peersReported(list []slowness.SlowLeaf) {
	sharer, ok := m.routing.(plugin.ObservationSharer)
	if !ok {
		return
	}
	for _, s := range list {
		if l := m.leaves[s.Leaf]; l != nil {
			sharer.PeerReported(l.key, s.Elapsed, s.At)
		}
	}
}
