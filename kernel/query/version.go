package query

import (
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/coverage"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/keyrange"
)

// shareTolerance is the rounding error up to which two shares count as equal.
const shareTolerance = 1e-9

// MeetsCoverage reports whether a share of the key space is at least the least coverage of a
// service, apart from rounding.
func MeetsCoverage(share, least float64) bool { return share >= least-shareTolerance }

// versionResults holds the accepted replies of one index version. Replies of different
// versions are never combined in one answer.
type versionResults struct {
	grids   []*coverage.Grid
	covered *coverage.Map
	replies []acceptedReply
	// lostShare is the share that was given up because leaves lack the version.
	lostShare float64
}

// acceptedReply is a valid reply; a Gathered is stored as one too, with noLeaf.
type acceptedReply struct {
	space      int // index in Machine.spaces
	ranges     []keyrange.Range
	leaf       int
	body       []byte
	attachment any
}

// resultsAt returns the results at a version; it creates them if there are none.
func (m *Machine) resultsAt(version uint64) *versionResults {
	res := m.resultsByVersion[version]
	if res == nil {
		res = &versionResults{grids: m.grids, covered: coverage.NewMap(m.grids), replies: make([]acceptedReply, 0, len(m.parts))}
		m.resultsByVersion[version] = res
	}
	return res
}

// currentResults returns the results at the pinned version.
func (m *Machine) currentResults() *versionResults { return m.resultsAt(m.version) }

// addReply stores a reply and reports whether it did. A reply that overlaps stored
// ones replaces them if it holds all of their keys, and is rejected otherwise.
func (res *versionResults) addReply(r acceptedReply) bool {
	if res.overlaps(r) && !res.replaceOverlapped(r) {
		return false
	}
	for _, x := range r.ranges {
		res.covered.Add(r.space, x)
	}
	res.replies = append(res.replies, r)
	return true
}

// overlaps reports whether any key of the reply is covered already.
func (res *versionResults) overlaps(r acceptedReply) bool {
	for _, x := range r.ranges {
		if res.covered.Overlaps(r.space, x) {
			return true
		}
	}
	return false
}

// replaceOverlapped removes the replies that r overlaps and reports true, if r holds
// every key of theirs: no key is lost then, and none is stored twice.
func (res *versionResults) replaceOverlapped(r acceptedReply) bool {
	set := keyrange.NewSet(r.ranges...)
	var kept []acceptedReply
	for _, old := range res.replies {
		if old.space != r.space || !old.overlapsSet(&set) {
			kept = append(kept, old)
			continue
		}
		for _, x := range old.ranges {
			if !set.Contains(x) {
				return false
			}
		}
	}
	res.replies = kept
	return true
}

// overlapsSet reports whether any range of the reply shares a key with the set.
func (r *acceptedReply) overlapsSet(set *keyrange.Set) bool {
	for _, x := range r.ranges {
		if set.Overlaps(x) {
			return true
		}
	}
	return false
}

// updateBestVersion makes a version the best one if it has more coverage than the best
// so far, or as much and is newer.
func (m *Machine) updateBestVersion(version uint64) {
	share := m.coveredShare(version)
	best := m.coveredShare(m.bestVersion)
	if share > best || (share == best && version > m.bestVersion) {
		m.bestVersion = version
	}
}

// coveredShare returns the share of the query's key space that is covered at a version.
func (m *Machine) coveredShare(version uint64) float64 {
	if res := m.resultsByVersion[version]; res != nil {
		return res.covered.Share()
	}
	return 0
}

// tryMoveVersion moves the whole query to another version if leaves lack the pinned
// one, the other can cover more of the service, and the time left exceeds the slowest
// reply so far. It reports whether it did.
func (m *Machine) tryMoveVersion(now time.Time) bool {
	lost := m.currentResults().lostShare
	if m.version == 0 || lost <= shareTolerance || m.versionMoves >= maxVersionMoves {
		return false
	}
	if !m.idempotent() || m.cfg.Deadline.Sub(now) < m.slowestReply {
		return false
	}
	name := m.cfg.Service.Config.Name
	next := m.cfg.Versions.Pin(name)
	if next == m.version {
		next = m.cfg.Versions.Next(name, m.version)
	}
	if next == 0 || m.attainableShare(next) <= 1-lost+shareTolerance {
		return false
	}
	m.moveToVersion(next)
	return true
}

// attainableShare returns the largest share that a version can cover, by what the
// leaves were last seen to serve and what was given up at the version.
func (m *Machine) attainableShare(version uint64) float64 {
	share := m.cfg.Versions.Share(m.cfg.Service.Config.Name, version)
	if res := m.resultsByVersion[version]; res != nil {
		share = min(share, 1-res.lostShare)
	}
	return share
}

// moveToVersion withdraws all attempts and asks for all parts at another version. The
// results at the old version are kept: they are the answer if they stay the best.
func (m *Machine) moveToVersion(version uint64) {
	m.withdrawAll()
	m.version = version
	m.versionMoves++
	m.planParts()
}
