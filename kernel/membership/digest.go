package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Digest returns what to tell a peer. The caller fills in what other parts
// know: generation and hash. Its size is bounded by the limits on
// its lists and does not grow with the fleet.
func (m *Machine) Digest(now time.Time) *Digest {
	return &Digest{
		Instance: m.cfg.Instance, Draining: m.draining,
		Leaving: m.digestLeaving(now), Generations: m.digestGenerations(now),
	}
}

// digestLeaving lists the freshest sightings first.
func (m *Machine) digestLeaving(now time.Time) []LeavingLeaf {
	leaves := slices.SortedFunc(maps.Keys(m.marks), func(a, b string) int {
		if c := m.marks[b].Compare(m.marks[a]); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	var out []LeavingLeaf
	for _, leaf := range leaves {
		age := now.Sub(m.marks[leaf])
		if age >= m.cfg.MarkLife || len(out) == m.cfg.MaxLeaving {
			break
		}
		out = append(out, LeavingLeaf{Leaf: leaf, Age: age})
	}
	return out
}

// digestGenerations relays a random sample of other instances' generations.
func (m *Machine) digestGenerations(now time.Time) []RelayedGeneration {
	ids := slices.Sorted(maps.Keys(m.peers))
	m.rand.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	var out []RelayedGeneration
	for _, id := range ids[:min(len(ids), m.cfg.MaxGenerations)] {
		p := m.peers[id]
		out = append(out, RelayedGeneration{Instance: id, Generation: p.generation, Age: now.Sub(p.heard)})
	}
	return out
}

// Generation is the generation in force at a peer, as last heard.
type Generation struct {
	Instance   string
	Generation uint64
	Hash       string
	Age        time.Duration
	Draining   bool
}

// Generations lists what is known of the peers, in order of instance.
func (m *Machine) Generations(now time.Time) []Generation {
	var out []Generation
	for _, id := range slices.Sorted(maps.Keys(m.peers)) {
		p := m.peers[id]
		out = append(out, Generation{Instance: id, Generation: p.generation, Hash: p.hash, Age: now.Sub(p.heard), Draining: p.draining})
	}
	return out
}
