package executor

import (
	"maps"
	"sync"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/snapshot"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/view"
)

// knowledge is what replies showed of the leaves' index versions, for all
// queries of this entry. It guards the kernel's tracker by a lock.
type knowledge struct {
	mu      sync.Mutex
	view    *view.View
	tracker *snapshot.Tracker
	index   map[string]int // leaf ID to index in view
	heard   map[string]time.Time
	broke   map[string]time.Time // when a connection to the leaf last broke
}

func newKnowledge() *knowledge {
	return &knowledge{heard: make(map[string]time.Time), broke: make(map[string]time.Time)}
}

// follow moves the tracker to a newer view.
func (k *knowledge) follow(v *view.View) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.view != nil && v.Sequence <= k.view.Sequence {
		return
	}
	k.view = v
	k.index = make(map[string]int, len(v.Leaves))
	for i := range v.Leaves {
		k.index[v.Leaves[i].ID] = i
	}
	gone := func(id string, _ time.Time) bool {
		_, ok := k.index[id]
		return !ok
	}
	maps.DeleteFunc(k.heard, gone)
	maps.DeleteFunc(k.broke, gone)
	if k.tracker == nil {
		k.tracker = snapshot.New(v)
		return
	}
	k.tracker.SetView(v)
}

// saw notes the versions that a leaf says it serves.
func (k *knowledge) saw(leafID string, versions []uint64, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	i, ok := k.index[leafID]
	if !ok {
		return
	}
	k.heard[leafID] = now
	if len(versions) > 0 {
		k.tracker.Observe(i, versions)
	}
}

// sawBreak notes that a connection to the leaf broke.
func (k *knowledge) sawBreak(leafID string, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.broke[leafID] = now
}

// up reports whether the leaf has answered since it last broke a connection.
func (k *knowledge) up(leafID string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return !k.heard[leafID].Before(k.broke[leafID])
}

// lastHeard is when the leaf last said something; the zero time if it has
// broken a connection since.
func (k *knowledge) lastHeard(leafID string) time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.heard[leafID].Before(k.broke[leafID]) {
		return time.Time{}
	}
	return k.heard[leafID]
}

// versions is the knowledge as one query sees it, by the indexes of its view.
type versions struct {
	knowledge *knowledge
	view      *view.View
}

// Pin implements query.VersionSource.
func (s *versions) Pin(service string) uint64 {
	s.knowledge.mu.Lock()
	defer s.knowledge.mu.Unlock()
	return s.knowledge.tracker.Pin(service)
}

// Next implements query.VersionSource.
func (s *versions) Next(service string, after uint64) uint64 {
	s.knowledge.mu.Lock()
	defer s.knowledge.mu.Unlock()
	return s.knowledge.tracker.Next(service, after)
}

// Share implements query.VersionSource.
func (s *versions) Share(service string, version uint64) float64 {
	s.knowledge.mu.Lock()
	defer s.knowledge.mu.Unlock()
	return s.knowledge.tracker.Share(service, version)
}

// Serves implements query.VersionSource.
func (s *versions) Serves(leaf int, version uint64) (known, serves bool) {
	k := s.knowledge
	k.mu.Lock()
	defer k.mu.Unlock()
	i, ok := s.index(leaf)
	if !ok {
		return false, false
	}
	return k.tracker.Serves(i, version)
}

// Passed implements query.VersionSource.
func (s *versions) Passed(leaf int, version uint64) bool {
	k := s.knowledge
	k.mu.Lock()
	defer k.mu.Unlock()
	i, ok := s.index(leaf)
	return ok && k.tracker.Passed(i, version)
}

// index turns a leaf's index in the query's view into the tracker's. The lock is held.
func (s *versions) index(leaf int) (int, bool) {
	if s.view == s.knowledge.view {
		return leaf, true
	}
	i, ok := s.knowledge.index[s.view.Leaves[leaf].ID]
	return i, ok
}
