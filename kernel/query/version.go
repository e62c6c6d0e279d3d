package query

import (
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/coverage"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/keyrange"
)

// shareTolerance is the difference of two shares that counts as none.
const shareTolerance = 1e-9

// tally is what was received at one index version. Replies of different
// versions never meet in one tally.
type tally struct {
	grids   []*coverage.Grid
	covered *coverage.Map
	results []stored
	// lost is the share that was given up because leaves lack the version.
	lost float64
}

// stored is an accepted reply.
type stored struct {
	space   int
	ranges  []keyrange.Range
	leaf    int
	body    []byte
	carried any
}

// tally returns what was received at a version.
func (m *Machine) tally(version uint64) *tally {
	t := m.tallies[version]
	if t == nil {
		t = &tally{grids: m.grids, covered: coverage.NewMap(m.grids), results: make([]stored, 0, len(m.parts))}
		m.tallies[version] = t
	}
	return t
}

// current is the tally of the pinned version.
func (m *Machine) current() *tally { return m.tally(m.version) }

// add takes a reply in, unless some of it is held already. A reply that holds
// all keys of the ones it overlaps takes their place.
func (t *tally) add(r stored) bool {
	if t.overlaps(r) && !t.replace(r) {
		return false
	}
	for _, x := range r.ranges {
		t.covered.Add(r.space, x)
	}
	t.results = append(t.results, r)
	return true
}

// overlaps reports whether any key of the reply is held.
func (t *tally) overlaps(r stored) bool {
	for _, x := range r.ranges {
		if t.covered.Overlaps(r.space, x) {
			return true
		}
	}
	return false
}

// replace drops the replies that r overlaps if it holds every key of theirs,
// so that no key is lost and none is there twice.
func (t *tally) replace(r stored) bool {
	set := keyrange.NewSet(r.ranges...)
	var kept []stored
	for _, old := range t.results {
		if old.space != r.space || !old.touches(&set) {
			kept = append(kept, old)
			continue
		}
		for _, x := range old.ranges {
			if !set.Contains(x) {
				return false
			}
		}
	}
	t.results = kept
	return true
}

// touches reports whether any range of the reply shares a key with the set.
func (r *stored) touches(set *keyrange.Set) bool {
	for _, x := range r.ranges {
		if set.Overlaps(x) {
			return true
		}
	}
	return false
}

// score notes the version with the most coverage, the newest of equals.
func (m *Machine) score(version uint64) {
	share := m.share(version)
	best := m.share(m.best)
	if share > best || (share == best && version > m.best) {
		m.best = version
	}
}

// share is what is covered at a version.
func (m *Machine) share(version uint64) float64 {
	if t := m.tallies[version]; t != nil {
		return t.covered.Share()
	}
	return 0
}

// tryMove pins another version, as a whole, when leaves lack the present one,
// another promises more of the service, and the time left allows.
func (m *Machine) tryMove(now time.Time) bool {
	lost := m.current().lost
	if m.version == 0 || lost <= shareTolerance || m.moves >= maxMoves {
		return false
	}
	if !m.idempotent() || m.cfg.Deadline.Sub(now) < m.slowest {
		return false
	}
	name := m.cfg.Service.Config.Name
	next := m.cfg.Versions.Pin(name)
	if next == m.version {
		next = m.cfg.Versions.Next(name, m.version)
	}
	if next == 0 || m.promise(next) <= 1-lost+shareTolerance {
		return false
	}
	m.move(next)
	return true
}

// promise is the share that a version may still give.
func (m *Machine) promise(version uint64) float64 {
	share := m.cfg.Versions.Share(m.cfg.Service.Config.Name, version)
	if t := m.tallies[version]; t != nil {
		share = min(share, 1-t.lost)
	}
	return share
}

// move goes on with another version. What was received at the present one is
// kept apart, in case that it stays the best.
func (m *Machine) move(version uint64) {
	m.withdrawAll()
	m.version = version
	m.moves++
	m.plan()
}
