package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Digest returns the digest to send to a peer. The caller fills in Generation and Hash, which
// this machine does not know. The limits on its lists bound its size, which does not grow
// with the fleet.
func (m *Machine) Digest(now time.Time) *Digest {
	return &Digest{
		Instance: m.cfg.Instance, Draining: m.draining,
		Leaving: m.digestLeaving(now), Generations: m.digestGenerations(now),
	}
}

// digestLeaving lists the fresh observations, the latest first, and a few older ones chosen
// at random. Nearly all entries know the older ones, and one that does not receives them
// within some rounds.
func (m *Machine) digestLeaving(now time.Time) []LeavingLeaf {
	var fresh, old []LeavingLeaf
	for _, leaf := range slices.Sorted(maps.Keys(m.leavingLeaves)) {
		l := LeavingLeaf{Leaf: leaf, StartedAtMS: m.leavingLeaves[leaf].startedAtMS, Age: now.Sub(m.leavingLeaves[leaf].seenAt)}
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
		out = append(out, RelayedGeneration{Instance: id, Generation: p.generation, Age: now.Sub(p.asOf)})
	}
	return out
}

// PeerStatus is the last known state of a peer.
type PeerStatus struct {
	Instance   string
	Generation uint64        // of the configuration in force there
	Hash       string        // of that configuration
	Age        time.Duration // since the state was current
	Draining   bool
}

// PeerStatuses lists the last known states of all peers, in order of instance.
func (m *Machine) PeerStatuses(now time.Time) []PeerStatus {
	var out []PeerStatus
	for _, id := range slices.Sorted(maps.Keys(m.peers)) {
		p := m.peers[id]
		out = append(out, PeerStatus{Instance: id, Generation: p.generation, Hash: p.hash, Age: now.Sub(p.asOf), Draining: p.draining})
	}
	return out
}
