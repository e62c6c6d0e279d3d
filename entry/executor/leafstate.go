package executor

import (
	"maps"
	"sync"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/entry/leafclient"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/quarantine"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/snapshot"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/view"
)

// leafState is what replies showed of the leaves, for all queries of this
// entry: the index versions they serve, when they last spoke and when they last
// broke a connection. It guards the kernel's tracker by a lock.
type leafState struct {
	mu      sync.Mutex
	view    *view.View
	tracker *snapshot.Tracker
	index   map[string]int // leaf ID to index in view
	replied map[string]time.Time
	broke   map[string]time.Time // when a connection to the leaf last broke
	born    map[string]int64     // the start that the leaf last reported
	lives   map[string]int       // how often the leaf has served again after a break
}

func newLeafState() *leafState {
	return &leafState{replied: make(map[string]time.Time), broke: make(map[string]time.Time), born: make(map[string]int64), lives: make(map[string]int)}
}

// follow moves the tracker to a newer view.
func (s *leafState) follow(v *view.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.view != nil && v.Sequence <= s.view.Sequence {
		return
	}
	s.view = v
	s.index = make(map[string]int, len(v.Leaves))
	for i := range v.Leaves {
		s.index[v.Leaves[i].ID] = i
	}
	gone := func(id string, _ time.Time) bool {
		_, ok := s.index[id]
		return !ok
	}
	maps.DeleteFunc(s.replied, gone)
	maps.DeleteFunc(s.broke, gone)
	maps.DeleteFunc(s.born, func(id string, _ int64) bool { return gone(id, time.Time{}) })
	maps.DeleteFunc(s.lives, func(id string, _ int) bool { return gone(id, time.Time{}) })
	if s.tracker == nil {
		s.tracker = snapshot.New(v)
		return
	}
	s.tracker.SetView(v)
}

// saw notes what a leaf says of itself, and returns whether it reported a start that was
// not known.
func (s *leafState) saw(leafID string, said leafclient.LeafStatus, now time.Time) (started bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.index[leafID]
	if !ok {
		return false
	}
	if s.replied[leafID].Before(s.broke[leafID]) {
		s.lives[leafID]++
	}
	s.replied[leafID] = now
	if len(said.Versions) > 0 {
		s.tracker.Observe(i, said.Versions)
	}
	if said.StartMillis == 0 || said.StartMillis == s.born[leafID] {
		return false
	}
	s.born[leafID] = said.StartMillis
	return true
}

// sawBreak notes that a connection to the leaf broke.
func (s *leafState) sawBreak(leafID string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broke[leafID] = now
}

// life is the leaf's present one, or the one that it has just lost.
func (s *leafState) life(leafID string) quarantine.Incarnation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return quarantine.Incarnation{Leaf: leafID, Number: s.lives[leafID]}
}

// up reports whether the leaf has answered since it last broke a connection.
func (s *leafState) up(leafID string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.replied[leafID].Before(s.broke[leafID])
}

// lastReplyOf is when the leaf last said something; the zero time if it has
// broken a connection since.
func (s *leafState) lastReplyOf(leafID string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.replied[leafID].Before(s.broke[leafID]) {
		return time.Time{}
	}
	return s.replied[leafID]
}

// versions is the leaves' state as one query sees it, by the indexes of its view.
type versions struct {
	state *leafState
	view  *view.View
}

// Pin implements query.VersionSource.
func (s *versions) Pin(service string) uint64 {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	return s.state.tracker.Pin(service)
}

// Next implements query.VersionSource.
func (s *versions) Next(service string, after uint64) uint64 {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	return s.state.tracker.Next(service, after)
}

// Share implements query.VersionSource.
func (s *versions) Share(service string, version uint64) float64 {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	return s.state.tracker.Share(service, version)
}

// Serves implements query.VersionSource.
func (s *versions) Serves(leaf int, version uint64) (known, serves bool) {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	i, ok := s.index(leaf)
	if !ok {
		return false, false
	}
	return s.state.tracker.Serves(i, version)
}

// Passed implements query.VersionSource.
func (s *versions) Passed(leaf int, version uint64) bool {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	i, ok := s.index(leaf)
	return ok && s.state.tracker.Passed(i, version)
}

// index turns a leaf's index in the query's view into the tracker's. The lock is held.
func (s *versions) index(leaf int) (int, bool) {
	if s.view == s.state.view {
		return leaf, true
	}
	i, ok := s.state.index[s.view.Leaves[leaf].ID]
	return i, ok
}
