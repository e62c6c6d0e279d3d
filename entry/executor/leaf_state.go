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

// leafState is what replies showed about the leaves, for all queries of this
// instance: the index versions that they serve, when they last replied and when a
// connection to them last broke. A lock guards the kernel's tracker.
type leafState struct {
	mu           sync.Mutex
	view         *view.View
	tracker      *snapshot.Tracker
	indexByID    map[string]int       // leaf ID to index in view
	lastReply    map[string]time.Time // when the leaf last replied, by leaf ID
	lastBreak    map[string]time.Time // when a connection to the leaf last broke, by leaf ID
	startMS      map[string]int64     // the start that the leaf last reported, in Unix milliseconds
	incarnations map[string]int       // how often the leaf has replied again after a break
}

func newLeafState() *leafState {
	return &leafState{lastReply: make(map[string]time.Time), lastBreak: make(map[string]time.Time), startMS: make(map[string]int64), incarnations: make(map[string]int)}
}

// setView moves the tracker to a newer view and drops the leaves that it lacks.
func (s *leafState) setView(v *view.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.view != nil && v.Sequence <= s.view.Sequence {
		return
	}
	s.view = v
	s.indexByID = make(map[string]int, len(v.Leaves))
	for i := range v.Leaves {
		s.indexByID[v.Leaves[i].ID] = i
	}
	gone := func(id string, _ time.Time) bool {
		_, ok := s.indexByID[id]
		return !ok
	}
	maps.DeleteFunc(s.lastReply, gone)
	maps.DeleteFunc(s.lastBreak, gone)
	maps.DeleteFunc(s.startMS, func(id string, _ int64) bool { return gone(id, time.Time{}) })
	maps.DeleteFunc(s.incarnations, func(id string, _ int) bool { return gone(id, time.Time{}) })
	if s.tracker == nil {
		s.tracker = snapshot.New(v)
		return
	}
	s.tracker.SetView(v)
}

// recordStatus records what a leaf reported about itself, and returns whether it reported
// a start that was not known.
func (s *leafState) recordStatus(leafID string, status leafclient.LeafStatus, now time.Time) (started bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.indexByID[leafID]
	if !ok {
		return false
	}
	if s.lastReply[leafID].Before(s.lastBreak[leafID]) {
		s.incarnations[leafID]++
	}
	s.lastReply[leafID] = now
	if len(status.Versions) > 0 {
		s.tracker.Observe(i, status.Versions)
	}
	if status.StartMillis == 0 || status.StartMillis == s.startMS[leafID] {
		return false
	}
	s.startMS[leafID] = status.StartMillis
	return true
}

// recordBreak records that a connection to the leaf broke.
func (s *leafState) recordBreak(leafID string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastBreak[leafID] = now
}

// incarnation returns the leaf's current incarnation, or, after a break, the one that
// ended with it.
func (s *leafState) incarnation(leafID string) quarantine.Incarnation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return quarantine.Incarnation{Leaf: leafID, Number: s.incarnations[leafID]}
}

// isUp reports whether the leaf has replied since a connection to it last broke.
func (s *leafState) isUp(leafID string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.lastReply[leafID].Before(s.lastBreak[leafID])
}

// isLeaving reports whether the newest view lacks the leaf or says that it drains.
func (s *leafState) isLeaving(leafID string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.indexByID[leafID]
	return !ok || s.view.Leaves[i].Draining
}

// lastReplyTime returns when the leaf last replied; the zero time if a connection to it
// has broken since.
func (s *leafState) lastReplyTime(leafID string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lastReply[leafID].Before(s.lastBreak[leafID]) {
		return time.Time{}
	}
	return s.lastReply[leafID]
}

// versionSource is the leaves' state for one query, by the leaf indexes of its view.
type versionSource struct {
	state *leafState
	view  *view.View
}

// Pin implements query.VersionSource.
func (s *versionSource) Pin(service string) uint64 {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	return s.state.tracker.Pin(service)
}

// Next implements query.VersionSource.
func (s *versionSource) Next(service string, after uint64) uint64 {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	return s.state.tracker.Next(service, after)
}

// Share implements query.VersionSource.
func (s *versionSource) Share(service string, version uint64) float64 {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	return s.state.tracker.Share(service, version)
}

// Serves implements query.VersionSource.
func (s *versionSource) Serves(leaf int, version uint64) (known, serves bool) {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	i, ok := s.trackerIndex(leaf)
	if !ok {
		return false, false
	}
	return s.state.tracker.Serves(i, version)
}

// Passed implements query.VersionSource.
func (s *versionSource) Passed(leaf int, version uint64) bool {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	i, ok := s.trackerIndex(leaf)
	return ok && s.state.tracker.Passed(i, version)
}

// trackerIndex converts a leaf's index in the query's view to that in the tracker's view.
// It reports false if the tracker's view lacks the leaf. The lock is held.
func (s *versionSource) trackerIndex(leaf int) (int, bool) {
	if s.view == s.state.view {
		return leaf, true
	}
	i, ok := s.state.indexByID[s.view.Leaves[leaf].ID]
	return i, ok
}
