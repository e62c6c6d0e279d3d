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

// digestLeaving lists fresh observations, the freshest first, and a few older
// ones chosen at random: nearly everyone knows those, and an entry that does
// not hears of them within some rounds.
func (m *Machine) digestLeaving(now time.Time) []LeavingLeaf {
	var fresh, old []LeavingLeaf
	for _, leaf := range slices.Sorted(maps.Keys(m.marks)) {
		l := LeavingLeaf{Leaf: leaf, StartedAtMS: m.marks[leaf].born, Age: now.Sub(m.marks[leaf].seen)}
		switch {
		case l.Age < m.cfg.FreshFor:
			fresh = append(fresh, l)
		case l.Age < m.cfg.LeavingTTL:
			old = append(old, l)
		}
	}
	slices.SortStableFunc(fresh, func(a, b LeavingLeaf) int { return cmp.Compare(a.Age, b.Age) })
	fresh = fresh[:min(len(fresh), m.cfg.MaxLeaving)]
	m.rand.Shuffle(len(old), func(i, j int) { old[i], old[j] = old[j], old[i] })
	return append(fresh, old[:min(len(old), m.cfg.MaxAgedLeaving, m.cfg.MaxLeaving-len(fresh))]...)
}

// digestGenerations relays a random sample of other instances' generations.
func (m *Machine) digestGenerations(now time.Time) []RelayedGeneration {
	ids := slices.Sorted(maps.Keys(m.peers))
	m.rand.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	var out []RelayedGeneration
	for _, id := range ids[:min(len(ids), m.cfg.MaxGenerations)] {
		p := m.peers[id]
		out = append(out, RelayedGeneration{Instance: id, Generation: p.generation, Age: now.Sub(p.seen)})
	}
	return out
}

// PeerStatus is the generation in force at a peer, as last received.
type PeerStatus struct {
	Instance   string
	Generation uint64
	Hash       string
	Age        time.Duration
	Draining   bool
}

// PeerStatuses lists what is known of the peers, in order of instance.
func (m *Machine) PeerStatuses(now time.Time) []PeerStatus {
	var out []PeerStatus
	for _, id := range slices.Sorted(maps.Keys(m.peers)) {
		p := m.peers[id]
		out = append(out, PeerStatus{Instance: id, Generation: p.generation, Hash: p.hash, Age: now.Sub(p.seen), Draining: p.draining})
	}
	return out
}
