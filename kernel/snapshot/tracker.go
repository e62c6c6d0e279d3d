// Package snapshot tracks which index versions each leaf was last seen to
// serve, and chooses from that the one version that a query pins.
package snapshot

import (
	"slices"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/view"
)

// shareUnit is the whole of a service in fixed point, so that sums are exact.
const shareUnit = 1 << 52

// Tracker knows the versions of the leaves of one view. It is not safe for
// concurrent use: the owner guards it.
type Tracker struct {
	view   *view.View
	seen   [][]uint64 // versions by leaf index; nil when nothing is known
	places [][]place  // by leaf index: the shards that the leaf replicates
	shards [][]shard  // by upstream and shard
	users  [][]user   // by upstream: the services that ask it
	// lone holds by upstream what all services have in common that ask it alone, and several
	// by name the services that ask more than one.
	lone    []*service
	several map[string]*service
}

// place is a shard that a leaf replicates.
type place struct{ upstream, shard int }

// shard counts the leaves that were last seen to serve each version.
type shard struct {
	serving map[uint64]int
	size    uint64
}

// user is a service that asks an upstream, with the weight of one upstream.
type user struct {
	service *service
	unit    float64 // fixed-point weight of one key
}

// service sums the weight of the shards that serve each version.
type service struct {
	weight map[uint64]uint64
	best   uint64
	stale  bool
}

// New returns a tracker that has seen no leaf.
func New(v *view.View) *Tracker {
	t := &Tracker{view: &view.View{}}
	t.SetView(v)
	return t
}

// SetView takes a new view. What was seen of leaves that are still there is kept.
func (t *Tracker) SetView(v *view.View) {
	known := t.byID()
	t.view = v
	t.places = make([][]place, len(v.Leaves))
	t.shards = make([][]shard, len(v.Upstreams))
	t.users = make([][]user, len(v.Upstreams))
	t.lone = make([]*service, len(v.Upstreams))
	t.several = make(map[string]*service)
	for name, s := range v.Services {
		t.addService(name, s)
	}
	for u := range v.Upstreams {
		t.addUpstream(u)
	}
	t.recount(known)
}

// byID returns what was seen by leaf ID, which outlives a view.
func (t *Tracker) byID() map[string][]uint64 {
	out := make(map[string][]uint64, len(t.seen))
	for i, versions := range t.seen {
		if versions != nil {
			out[t.view.Leaves[i].ID] = versions
		}
	}
	return out
}

// addService links a service to the upstreams it asks.
func (t *Tracker) addService(name string, s *view.Service) {
	if len(s.Upstreams) == 1 && t.lone[s.Upstreams[0]] != nil {
		return
	}
	svc := &service{weight: make(map[uint64]uint64)}
	if len(s.Upstreams) == 1 {
		t.lone[s.Upstreams[0]] = svc
	} else {
		t.several[name] = svc
	}
	for _, u := range s.Upstreams {
		keys := float64(t.view.Upstreams[u].KeySpace) * float64(len(s.Upstreams))
		t.users[u] = append(t.users[u], user{service: svc, unit: shareUnit / keys})
	}
}

// service finds a service by its name; nil: the view does not have it.
func (t *Tracker) service(name string) *service {
	if s := t.view.Services[name]; s != nil && len(s.Upstreams) == 1 {
		return t.lone[s.Upstreams[0]]
	}
	return t.several[name]
}

// addUpstream notes which leaf replicates which shard.
func (t *Tracker) addUpstream(u int) {
	up := &t.view.Upstreams[u]
	t.shards[u] = make([]shard, len(up.Shards))
	for s := range up.Shards {
		t.shards[u][s] = shard{serving: make(map[uint64]int), size: up.Shards[s].Range.Size()}
		for _, leaf := range up.Shards[s].Leaves {
			t.places[leaf] = append(t.places[leaf], place{u, s})
		}
	}
}

// recount adds what is known of the view's leaves; all others are forgotten.
func (t *Tracker) recount(known map[string][]uint64) {
	t.seen = make([][]uint64, len(t.view.Leaves))
	for i := range t.view.Leaves {
		t.seen[i] = known[t.view.Leaves[i].ID]
		for _, v := range t.seen[i] {
			t.gain(i, v)
		}
	}
}

// Observe notes what a leaf (an index in the view) says that it serves now. An
// unchanged word costs O(versions); a change, O(versions) for each shard that
// the leaf replicates and set of upstreams that services ask with it.
func (t *Tracker) Observe(leaf int, versions []uint64) {
	if leaf < 0 || leaf >= len(t.seen) {
		return
	}
	old := t.seen[leaf]
	if old != nil && slices.Equal(old, versions) {
		return
	}
	fresh := append(make([]uint64, 0, len(versions)), versions...)
	slices.Sort(fresh)
	fresh = slices.Compact(fresh)
	for _, v := range old {
		if !contains(fresh, v) {
			t.lose(leaf, v)
		}
	}
	for _, v := range fresh {
		if !contains(old, v) {
			t.gain(leaf, v)
		}
	}
	t.seen[leaf] = fresh
}

// contains reports whether a sorted list holds a version.
func contains(sorted []uint64, version uint64) bool {
	_, ok := slices.BinarySearch(sorted, version)
	return ok
}

// gain counts one more leaf that serves the version.
func (t *Tracker) gain(leaf int, version uint64) {
	if t.view.Leaves[leaf].Draining {
		return
	}
	for _, p := range t.places[leaf] {
		sh := &t.shards[p.upstream][p.shard]
		sh.serving[version]++
		if sh.serving[version] > 1 {
			continue
		}
		for _, u := range t.users[p.upstream] {
			u.service.weight[version] += uint64(u.unit * float64(sh.size))
			u.service.stale = true
		}
	}
}

// lose counts one leaf less that serves the version.
func (t *Tracker) lose(leaf int, version uint64) {
	if t.view.Leaves[leaf].Draining {
		return
	}
	for _, p := range t.places[leaf] {
		sh := &t.shards[p.upstream][p.shard]
		sh.serving[version]--
		if sh.serving[version] > 0 {
			continue
		}
		delete(sh.serving, version)
		for _, u := range t.users[p.upstream] {
			u.service.drop(version, uint64(u.unit*float64(sh.size)))
		}
	}
}

// drop takes a shard's weight from a version.
func (s *service) drop(version, weight uint64) {
	s.weight[version] -= weight
	if s.weight[version] == 0 {
		delete(s.weight, version)
	}
	s.stale = true
}

// Pin returns the version that covers the largest known share of the service,
// the newest of equals; 0 when nothing is known. A call costs O(1), or
// O(versions) after a change.
func (t *Tracker) Pin(name string) uint64 {
	s := t.service(name)
	if s == nil {
		return 0
	}
	if s.stale {
		s.best = s.choose(0)
		s.stale = false
	}
	return s.best
}

// Next returns the best version other than after; 0 when there is none. It
// costs O(versions), and is asked once per change of a query's version.
func (t *Tracker) Next(name string, after uint64) uint64 {
	s := t.service(name)
	if s == nil {
		return 0
	}
	return s.choose(after)
}

// choose returns the best version other than the excluded one.
func (s *service) choose(excluded uint64) uint64 {
	var best, weight uint64
	for v, w := range s.weight {
		if v == excluded || v == 0 {
			continue
		}
		if w > weight || (w == weight && v > best) {
			best, weight = v, w
		}
	}
	return best
}

// Share is the part in [0, 1] of the service whose shards were last seen to
// serve the version.
func (t *Tracker) Share(name string, version uint64) float64 {
	s := t.service(name)
	if s == nil {
		return 0
	}
	return float64(s.weight[version]) / shareUnit
}

// Passed reports whether a leaf was last seen to serve only newer versions.
func (t *Tracker) Passed(leaf int, version uint64) bool {
	if leaf < 0 || leaf >= len(t.seen) {
		return false
	}
	versions := t.seen[leaf]
	return len(versions) > 0 && versions[0] > version
}

// Serves reports whether anything is known of a leaf, and whether it was last
// seen to serve the version.
func (t *Tracker) Serves(leaf int, version uint64) (known, serves bool) {
	if leaf < 0 || leaf >= len(t.seen) {
		return false, false
	}
	versions := t.seen[leaf]
	return versions != nil, contains(versions, version)
}
