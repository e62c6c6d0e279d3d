package executor

import (
	"sync"

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
}

func newKnowledge() *knowledge { return &knowledge{} }

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
	if k.tracker == nil {
		k.tracker = snapshot.New(v)
		return
	}
	k.tracker.SetView(v)
}

// saw notes the versions that a leaf says it serves.
func (k *knowledge) saw(leafID string, versions []uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if i, ok := k.index[leafID]; ok {
		k.tracker.Observe(i, versions)
	}
}

// versions is the knowledge as one query sees it, with the indexes of its view.
type versions struct {
	knowledge *knowledge
	view      *view.View
}

// Pin implements query.VersionSource.
func (s versions) Pin(service string) uint64 {
	s.knowledge.mu.Lock()
	defer s.knowledge.mu.Unlock()
	return s.knowledge.tracker.Pin(service)
}

// Next implements query.VersionSource.
func (s versions) Next(service string, after uint64) uint64 {
	s.knowledge.mu.Lock()
	defer s.knowledge.mu.Unlock()
	return s.knowledge.tracker.Next(service, after)
}

// Share implements query.VersionSource.
func (s versions) Share(service string, version uint64) float64 {
	s.knowledge.mu.Lock()
	defer s.knowledge.mu.Unlock()
	return s.knowledge.tracker.Share(service, version)
}

// Serves implements query.VersionSource.
func (s versions) Serves(leaf int, version uint64) (known, serves bool) {
	k := s.knowledge
	k.mu.Lock()
	defer k.mu.Unlock()
	if s.view != k.view {
		i, ok := k.index[s.view.Leaves[leaf].ID]
		if !ok {
			return false, false
		}
		leaf = i
	}
	return k.tracker.Serves(leaf, version)
}
