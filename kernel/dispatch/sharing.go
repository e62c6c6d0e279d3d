package dispatch

import (
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/plugin"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/slowness"
)

// Observations returns the observations of the routing policy since the last call that
// are of use to other instances, or nil for a policy that shares none.
func (m *Machine) Observations() []slowness.Observation {
	sharer, ok := m.routing.(plugin.ObservationSharer)
	if !ok {
		return nil
	}
	observations := sharer.Observations()
	if len(observations) == 0 {
		return nil
	}
	ids := make(map[int]string, len(m.leaves))
	for id, l := range m.leaves {
		ids[l.key] = id
	}
	out := make([]slowness.Observation, 0, len(observations))
	for _, o := range observations {
		if id, ok := ids[o.Key]; ok {
			out = append(out, slowness.Observation{Leaf: id, Elapsed: o.Elapsed, Slow: o.Slow, At: o.At})
		}
	}
	return out
}

// CrossZoneShard is a shard whose next attempt would go to a leaf in another
// availability zone.
type CrossZoneShard struct {
	Shard int // index in the view
	// Leaves are the about equally good leaves in other zones, by their indexes in the
	// view.
	Leaves []int
}

// CrossZoneShards returns the shards whose next attempt would go to another availability
// zone.
func (m *Machine) CrossZoneShards(now time.Time) []CrossZoneShard {
	var out []CrossZoneShard
	for _, s := range m.shards {
		if !m.collectCandidates(&attempt{shard: s}, now) {
			continue
		}
		best := m.comparable(now)
		if m.candidates[best[0]].Local {
			continue
		}
		c := CrossZoneShard{Shard: s.index}
		for _, i := range best {
			if !m.candidates[i].Local {
				c.Leaves = append(c.Leaves, m.candidateLeaves[i].index)
			}
		}
		out = append(out, c)
	}
	return out
}

// comparable returns the indexes of the candidates that are about as good as the best
// one, which comes first.
func (m *Machine) comparable(now time.Time) []int {
	if c, ok := m.routing.(plugin.NearBestLister); ok {
		return c.NearBest(m.candidates, now)
	}
	i, _ := m.routing.Pick(m.candidates, now)
	return []int{i}
}

// applyPeerReports passes the slow leaves that other instances reported to the routing
// policy.
func (m *Machine) applyPeerReports(list []slowness.SlowLeaf) {
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
