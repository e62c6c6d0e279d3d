// Package snapshot tracks the index versions that each leaf was last seen to serve, and
// chooses the version that a query pins, so that an answer is drawn from one snapshot of
// the data.
package snapshot

import (
	"slices"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/view"
)

// fullWeight is the weight of all shards of a service. Weights are fixed-point numbers, so
// that adding and subtracting them is exact.
const fullWeight = 1 << 52

// Tracker tracks the versions of the leaves of one view. It is not safe for
// concurrent use: the owner must guard it.
type Tracker struct {
	view     *view.View
	seen     [][]uint64     // versions by leaf index, sorted; nil if unknown
	replicas [][]replica    // by leaf index: the places of the leaf in shards
	shards   [][]shardCount // by upstream and shard
	queriers [][]querier    // by upstream: the services that query it
	// bySingleUpstream holds, by upstream, the weights shared by all services that query this
	// upstream alone; byName holds, by service name, those of services with several upstreams.
	bySingleUpstream []*serviceWeights
	byName           map[string]*serviceWeights
}

// replica is the place of a leaf in a shard.
type replica struct{ upstream, shard int }

// shardCount counts the leaves of a shard that were last seen to serve each version.
type shardCount struct {
	leavesByVersion map[uint64]int
	size            uint64 // number of keys
}

// querier is a service, or the services that share its weights, as seen from an upstream
// that it queries.
type querier struct {
	weights   *serviceWeights
	keyWeight float64 // fixed-point weight of one key of the upstream
}

// serviceWeights holds, for a service and each version, the total weight of the shards with
// a leaf that serves the version.
type serviceWeights struct {
	byVersion map[uint64]uint64
	best      uint64 // version with the largest weight, unless stale
	stale     bool   // byVersion has changed since best was computed
}

// New returns a tracker for a view. It has not seen any versions.
func New(v *view.View) *Tracker {
	t := &Tracker{view: &view.View{}}
	t.SetView(v)
	return t
}

// SetView replaces the view. It keeps what was seen of leaves that are in the new view too.
func (t *Tracker) SetView(v *view.View) {
	known := t.versionsByID()
	t.view = v
	t.replicas = make([][]replica, len(v.Leaves))
	t.shards = make([][]shardCount, len(v.Upstreams))
	t.queriers = make([][]querier, len(v.Upstreams))
	t.bySingleUpstream = make([]*serviceWeights, len(v.Upstreams))
	t.byName = make(map[string]*serviceWeights)
	for name, s := range v.Services {
		t.addService(name, s)
	}
	for u := range v.Upstreams {
		t.addUpstream(u)
	}
	t.addKnown(known)
}

// versionsByID returns the versions seen, by leaf ID, which stays the same across views.
func (t *Tracker) versionsByID() map[string][]uint64 {
	out := make(map[string][]uint64, len(t.seen))
	for i, versions := range t.seen {
		if versions != nil {
			out[t.view.Leaves[i].ID] = versions
		}
	}
	return out
}

// addService links a service to the upstreams that it queries.
func (t *Tracker) addService(name string, s *view.Service) {
	if len(s.Upstreams) == 1 && t.bySingleUpstream[s.Upstreams[0]] != nil {
		return
	}
	weights := &serviceWeights{byVersion: make(map[uint64]uint64)}
	if len(s.Upstreams) == 1 {
		t.bySingleUpstream[s.Upstreams[0]] = weights
	} else {
		t.byName[name] = weights
	}
	for _, u := range s.Upstreams {
		keys := float64(t.view.Upstreams[u].KeySpace) * float64(len(s.Upstreams))
		t.queriers[u] = append(t.queriers[u], querier{weights: weights, keyWeight: fullWeight / keys})
	}
}

// weightsOf returns the weights of a service, or nil if the view does not have the service.
func (t *Tracker) weightsOf(name string) *serviceWeights {
	if s := t.view.Services[name]; s != nil && len(s.Upstreams) == 1 {
		return t.bySingleUpstream[s.Upstreams[0]]
	}
	return t.byName[name]
}

// addUpstream records the shards of an upstream and their replicas.
func (t *Tracker) addUpstream(u int) {
	up := &t.view.Upstreams[u]
	t.shards[u] = make([]shardCount, len(up.Shards))
	for s := range up.Shards {
		t.shards[u][s] = shardCount{leavesByVersion: make(map[uint64]int), size: up.Shards[s].Range.Size()}
		for _, leaf := range up.Shards[s].Leaves {
			t.replicas[leaf] = append(t.replicas[leaf], replica{u, s})
		}
	}
}

// addKnown adds the versions already known of the view's leaves, given by leaf ID.
func (t *Tracker) addKnown(known map[string][]uint64) {
	t.seen = make([][]uint64, len(t.view.Leaves))
	for i := range t.view.Leaves {
		t.seen[i] = known[t.view.Leaves[i].ID]
		for _, v := range t.seen[i] {
			t.addVersion(i, v)
		}
	}
}

// Observe records the versions that a leaf (an index in the view) reports to serve. If they
// are unchanged it costs O(versions). Otherwise it costs O(versions) for each shard that the
// leaf replicates, times the distinct sets of upstreams among the services that query the
// shard's upstream.
func (t *Tracker) Observe(leaf int, versions []uint64) {
	if leaf < 0 || leaf >= len(t.seen) {
		return
	}
	old := t.seen[leaf]
	if old != nil && slices.Equal(old, versions) {
		return
	}
	current := append(make([]uint64, 0, len(versions)), versions...)
	slices.Sort(current)
	current = slices.Compact(current)
	for _, v := range old {
		if !contains(current, v) {
			t.removeVersion(leaf, v)
		}
	}
	for _, v := range current {
		if !contains(old, v) {
			t.addVersion(leaf, v)
		}
	}
	t.seen[leaf] = current
}

// contains reports whether a sorted list of versions contains a version.
func contains(sorted []uint64, version uint64) bool {
	_, ok := slices.BinarySearch(sorted, version)
	return ok
}

// addVersion counts a leaf that has begun to serve the version. Draining leaves don't count.
func (t *Tracker) addVersion(leaf int, version uint64) {
	if t.view.Leaves[leaf].Draining {
		return
	}
	for _, r := range t.replicas[leaf] {
		count := &t.shards[r.upstream][r.shard]
		count.leavesByVersion[version]++
		if count.leavesByVersion[version] > 1 {
			continue
		}
		for _, q := range t.queriers[r.upstream] {
			q.weights.byVersion[version] += uint64(q.keyWeight * float64(count.size))
			q.weights.stale = true
		}
	}
}

// removeVersion counts a leaf that has ceased to serve the version.
func (t *Tracker) removeVersion(leaf int, version uint64) {
	if t.view.Leaves[leaf].Draining {
		return
	}
	for _, r := range t.replicas[leaf] {
		count := &t.shards[r.upstream][r.shard]
		count.leavesByVersion[version]--
		if count.leavesByVersion[version] > 0 {
			continue
		}
		delete(count.leavesByVersion, version)
		for _, q := range t.queriers[r.upstream] {
			q.weights.subtract(version, uint64(q.keyWeight*float64(count.size)))
		}
	}
}

// subtract subtracts the weight of a shard from a version.
func (s *serviceWeights) subtract(version, weight uint64) {
	s.byVersion[version] -= weight
	if s.byVersion[version] == 0 {
		delete(s.byVersion, version)
	}
	s.stale = true
}

// Pin returns the version whose shards cover the largest share of the service, the newest of
// equals; 0 if no versions are known. It costs O(1), or O(versions) after a change.
func (t *Tracker) Pin(name string) uint64 {
	s := t.weightsOf(name)
	if s == nil {
		return 0
	}
	if s.stale {
		s.best = s.bestExcept(0)
		s.stale = false
	}
	return s.best
}

// Next returns the best version other than after; 0 if there is none. It costs O(versions),
// and is called once per change of a query's version.
func (t *Tracker) Next(name string, after uint64) uint64 {
	s := t.weightsOf(name)
	if s == nil {
		return 0
	}
	return s.bestExcept(after)
}

// bestExcept returns the best version other than the excluded one.
func (s *serviceWeights) bestExcept(excluded uint64) uint64 {
	var best, weight uint64
	for v, w := range s.byVersion {
		if v == excluded || v == 0 {
			continue
		}
		if w > weight || (w == weight && v > best) {
			best, weight = v, w
		}
	}
	return best
}

// Share returns the share in [0, 1] of the service's key space whose shards were last seen
// to serve the version. Upstreams of a service weigh the same.
func (t *Tracker) Share(name string, version uint64) float64 {
	s := t.weightsOf(name)
	if s == nil {
		return 0
	}
	return float64(s.byVersion[version]) / fullWeight
}

// Passed reports whether a leaf was last seen to serve only versions newer than the given one.
func (t *Tracker) Passed(leaf int, version uint64) bool {
	if leaf < 0 || leaf >= len(t.seen) {
		return false
	}
	versions := t.seen[leaf]
	return len(versions) > 0 && versions[0] > version
}

// Serves reports whether the versions of a leaf are known, and whether it was last seen to
// serve the given one.
func (t *Tracker) Serves(leaf int, version uint64) (known, serves bool) {
	if leaf < 0 || leaf >= len(t.seen) {
		return false, false
	}
	versions := t.seen[leaf]
	return versions != nil, contains(versions, version)
}
