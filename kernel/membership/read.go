package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Leaving reports whether a leaf gets no new work.
func (m *Machine) Leaving(leaf string) bool {
	mk, ok := m.marks[leaf]
	return m.listLeaving[leaf] || (ok && mk.held)
}

// Draining reports whether this entry is leaving.
func (m *Machine) Draining() bool { return m.draining }

// Live lists the entries that may hold connections, this one included, in
// order: those listed and those heard of lately. It errs on the long side, so
// that shares of a connection limit err on the small side.
func (m *Machine) Live(now time.Time) []string {
	ids := []string{m.self}
	for id, p := range m.peers {
		if p.listed || (!p.heardAt.IsZero() && now.Sub(p.heardAt) <= heardFor) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Peers lists the entries with a known address, by ID, less this one.
func (m *Machine) Peers() []Entry {
	var out []Entry
	for _, id := range slices.Sorted(maps.Keys(m.peers)) {
		if p := m.peers[id]; p.listed && p.Address != "" {
			e := p.Entry
			e.Leaving = e.Leaving || p.draining
			out = append(out, e)
		}
	}
	return out
}

// Generations lists the generation in force of every known entry, by ID; age
// is since it was true. This entry has its own with age 0.
func (m *Machine) Generations(now time.Time) []Sample {
	out := []Sample{{Instance: m.self, Generation: m.inForce.Generation}}
	for id, p := range m.peers {
		s := Sample{Instance: id, Generation: p.generation}
		if !p.genAt.IsZero() {
			s.Age = now.Sub(p.genAt)
		}
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b Sample) int { return cmp.Compare(a.Instance, b.Instance) })
	return out
}

// Digest builds this entry's digest. Its sequence follows the clock, so that
// it goes on after a restart. Half of the marks are the most recent
// ones, the rest a random choice, so that each is told in the end.
func (m *Machine) Digest(now time.Time) Digest {
	m.sequence = max(m.sequence+1, uint64(now.UnixMilli()))
	return Digest{
		Instance:   m.self,
		Zone:       m.zone,
		Sequence:   m.sequence,
		Generation: m.inForce.Generation,
		Hash:       m.inForce.Hash,
		Draining:   m.draining,
		Marks:      m.someMarks(now),
		Samples:    m.someSamples(now),
	}
}

func (m *Machine) someMarks(now time.Time) []Mark {
	var out []Mark
	for _, leaf := range slices.Sorted(maps.Keys(m.marks)) {
		mk := m.marks[leaf]
		if age := now.Sub(mk.seenAt); mk.held && age < markFor {
			out = append(out, Mark{Leaf: leaf, Age: age})
		}
	}
	byAge := func(a, b Mark) int { return cmp.Compare(a.Age, b.Age) }
	slices.SortStableFunc(out, byAge)
	if len(out) > MaxMarks {
		rest := out[MaxMarks/2:]
		m.rnd.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
		out = out[:MaxMarks]
		slices.SortStableFunc(out, byAge)
	}
	return out
}

func (m *Machine) someSamples(now time.Time) []Sample {
	var out []Sample
	for _, id := range slices.Sorted(maps.Keys(m.peers)) {
		if p := m.peers[id]; !p.genAt.IsZero() && now.Sub(p.genAt) < heardFor {
			out = append(out, Sample{Instance: id, Generation: p.generation, Age: now.Sub(p.genAt)})
		}
	}
	m.rnd.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(MaxSamples, len(out))]
}
