package dispatch

import (
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/plugin"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/slowness"
)

// Sightings returns what the routing policy saw since the last call that other
// instances should know of. A policy that shares nothing gives none.
func (m *Machine) Sightings() []slowness.Sighting {
	sharer, ok := m.routing.(plugin.Sharer)
	if !ok {
		return nil
	}
	seen := sharer.Sightings()
	if len(seen) == 0 {
		return nil
	}
	ids := make(map[int]string, len(m.leaves))
	for id, l := range m.leaves {
		ids[l.key] = id
	}
	out := make([]slowness.Sighting, 0, len(seen))
	for _, s := range seen {
		if id, ok := ids[s.Key]; ok {
			out = append(out, slowness.Sighting{Leaf: id, Took: s.Took, Slow: s.Slow, At: s.At})
		}
	}
	return out
}

// Away lists the shards whose next attempt would go to a leaf of another zone, by
// their indexes in the view.
func (m *Machine) Away(now time.Time) []int {
	var out []int
	for _, s := range m.shards {
		if !m.gather(&attempt{shard: s}, now) {
			continue
		}
		if i, _ := m.routing.Pick(m.candidates, now); !m.candidates[i].Local {
			out = append(out, s.index)
		}
	}
	return out
}

// told passes the word of other instances to the routing policy.
func (m *Machine) told(list []slowness.Slow) {
	sharer, ok := m.routing.(plugin.Sharer)
	if !ok {
		return
	}
	for _, s := range list {
		if l := m.leaves[s.Leaf]; l != nil {
			sharer.Told(l.key, s.Took, s.At)
		}
	}
}
