package hosted

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/catalog"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/fleet"
)

// leafHeartbeat is the time between two writes of a leaf's entry, and entryTTL the shortest silence
// after which an entry may lapse.
const (
	leafHeartbeat = 1200 * time.Millisecond
	entryTTL      = 2 * leafHeartbeat
	// reregisterTime is the time in which leaves whose entries lapsed register again.
	reregisterTime = 2200 * time.Millisecond
)

// entryList is the list of leaves of one service in a store. The lock of the store guards it.
type entryList struct{ entries map[string]catalog.Leaf }

// list returns the entries in order.
func (l *entryList) list() (out []catalog.Leaf) {
	for _, id := range slices.Sorted(maps.Keys(l.entries)) {
		out = append(out, l.entries[id])
	}
	return out
}

// newLeafFleet makes a settled fleet in three zones with a bound, over a service with leaves that
// write heartbeats.
func newLeafFleet(t *testing.T, instances int, bound time.Duration, leaves int) (*testFleet, *entryList) {
	f := newTestFleet(t, instances)
	f.zones = 3
	f.tunables.FreshnessBound = bound
	f.tunables.Catalog.FreshnessBound = bound
	f.tunables.Catalog.EntryTTL, f.tunables.Catalog.ReregisterWithin = entryTTL, reregisterTime
	l := &entryList{entries: make(map[string]catalog.Leaf)}
	for i := range leaves {
		id := fmt.Sprintf("leaf-%02d", i)
		l.entries[id] = catalog.Leaf{ID: id, Service: "s", Zone: "z0", Address: "127.0.0.1:1", Slots: 2}
	}
	f.store.leaves, f.store.heartbeat = l.list, leafHeartbeat
	f.store.config = wideConfig()
	f.settle()
	return f, l
}

// usable returns the names of the leaves to which an instance may send requests.
func usable(n *Node) map[string]bool {
	out := make(map[string]bool)
	v := n.View()
	for i := range v.Leaves {
		if !v.Leaves[i].Draining {
			out[v.Leaves[i].Name] = true
		}
	}
	return out
}

// withRole returns the names of the instances in some roles.
func (f *testFleet) withRole(roles ...fleet.Role) map[string]bool {
	out := make(map[string]bool)
	for name, role := range f.roles() {
		if slices.Contains(roles, role) {
			out[name] = true
		}
	}
	return out
}

// TestLeafThatIsRemovedWithoutDrainMarkGetsNoWorkAfterBound removes leaves' entries without a drain
// mark while the store serves, but not all instances: no other instance may use one for longer than the bound.
func TestLeafThatIsRemovedWithoutDrainMarkGetsNoWorkAfterBound(t *testing.T) {
	const leaves, removals, interval = 40, 10, 1700 * time.Millisecond
	for _, tc := range []struct {
		name      string
		instances int
		bound     time.Duration
		disturb   func(f *testFleet) (disturbed map[string]bool)
	}{
		{"all served", 24, 5 * time.Second, func(*testFleet) map[string]bool { return nil }},
		{"reader killed", 24, 5 * time.Second, killReader},
		{"reader cut off", 24, 5 * time.Second, cutOff(fleet.RoleReader)},
		{"reader and leads cut off", 24, 5 * time.Second, cutOff(fleet.RoleReader, fleet.RoleZoneLead)},
		{"reader and leads cut off, short bound", 8, 3 * time.Second, cutOff(fleet.RoleReader, fleet.RoleZoneLead)},
		{"reader and leads cut off, long bound", 24, 6 * time.Second, cutOff(fleet.RoleReader, fleet.RoleZoneLead)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, list := newLeafFleet(t, tc.instances, tc.bound, leaves)
				defer f.stopAll()
				disturbed := tc.disturb(f)
				removed := make(map[string]time.Time)
				next := time.Now()
				worst := time.Duration(0)
				for end := next.Add((removals + 4) * interval); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
					if len(removed) < removals && !time.Now().Before(next) {
						id := fmt.Sprintf("leaf-%02d", len(removed))
						f.store.update(func(*sharedStore) { delete(list.entries, id) })
						removed[id] = time.Now()
						next = next.Add(interval)
					}
					worst = max(worst, f.longestUse(removed, disturbed))
				}
				t.Logf("removed leaves in use for %v at most", worst)
				if worst > tc.bound {
					t.Errorf("a removed leaf was in use for %v, want at most %v", worst, tc.bound)
				}
			})
		})
	}
}

// wayShare is the share of the bound that is left for the way to the leaf.
const wayShare = 0.1

// TestLeafThatLeftGetsNoWorkWhileStoreAnswersLate lets leaves leave, by a drain mark and by the removal
// of their entries, while each answer of the store comes late.
func TestLeafThatLeftGetsNoWorkWhileStoreAnswersLate(t *testing.T) {
	const leaves, departures, interval = 40, 20, 1300 * time.Millisecond
	for _, tc := range []struct {
		instances       int
		bound, min, max time.Duration // the answers take min to max
	}{
		{8, 3 * time.Second, 700 * time.Millisecond, 700 * time.Millisecond},
		{8, 3 * time.Second, time.Second, time.Second},
		{8, 3 * time.Second, 1400 * time.Millisecond, 1400 * time.Millisecond},
		{8, 3 * time.Second, 0, 1400 * time.Millisecond},
		{24, 5 * time.Second, 2300 * time.Millisecond, 2300 * time.Millisecond},
		{24, 6 * time.Second, 0, 2800 * time.Millisecond},
	} {
		t.Run(fmt.Sprintf("%d within %v, answers take %v to %v", tc.instances, tc.bound, tc.min, tc.max), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f, list := newLeafFleet(t, tc.instances, tc.bound, leaves)
				defer f.stopAll()
				random := rand.New(rand.NewPCG(1, uint64(tc.max)))
				f.store.update(func(s *sharedStore) {
					s.replyDelay = func() time.Duration { return tc.min + time.Duration(random.Int64N(int64(tc.max-tc.min)+1)) }
				})
				time.Sleep(2 * tc.bound)
				left := make(map[string]time.Time)
				next, worst := time.Now(), time.Duration(0)
				for end := next.Add((departures + 7) * interval); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
					if len(left) < departures && !time.Now().Before(next) {
						id := fmt.Sprintf("leaf-%02d", len(left))
						f.store.update(func(*sharedStore) { list.leave(id, len(left)%2 == 0) })
						left[id] = time.Now()
						next = next.Add(interval)
					}
					worst = max(worst, f.longestUse(left, nil))
				}
				t.Logf("leaves that had left in use for %v at most", worst)
				if limit := tc.bound - time.Duration(wayShare*float64(tc.bound)); worst > limit {
					t.Errorf("a leaf that had left was in use for %v, want at most %v", worst, limit)
				}
			})
		})
	}
}

// TestLeafThatLeavesAfterRestoreGetsNoWorkAfterBound restores the store from a copy that lacks the leaves that
// have started since. They register again, at lower revisions than before, and leave.
func TestLeafThatLeavesAfterRestoreGetsNoWorkAfterBound(t *testing.T) {
	const leaves, late, copied, lost = 20, 10, 500, 300
	for _, instances := range []int{8, 24} {
		t.Run(fmt.Sprintf("%d instances", instances), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, list := newLeafFleet(t, instances, 3*time.Second, leaves)
				defer f.stopAll()
				f.store.update(func(s *sharedStore) {
					s.era, s.revision, s.heartbeat = 1, copied+lost, time.Hour
					for i := range late {
						list.register(fmt.Sprintf("late-%02d", i), s.revision, 50)
					}
				})
				time.Sleep(3 * time.Second)
				f.store.update(func(s *sharedStore) {
					s.era, s.revision = 2, copied
					for i := range late {
						delete(list.entries, fmt.Sprintf("late-%02d", i))
					}
				})
				missing := 0
				for i := range late {
					time.Sleep(200 * time.Millisecond)
					synctest.Wait()
					for _, r := range f.running {
						missing = max(missing, leaves+late-len(usable(r.node)))
					}
					f.store.update(func(s *sharedStore) {
						s.revision++
						list.register(fmt.Sprintf("late-%02d", i), s.revision, 52)
					})
				}
				if missing > 0 {
					t.Errorf("%d leaves were out of use before they could register again", missing)
				}
				left := make(map[string]time.Time)
				worst := time.Duration(0)
				for i := range 3 * late {
					if i < late {
						id := fmt.Sprintf("late-%02d", i)
						f.store.update(func(s *sharedStore) {
							s.revision++
							list.register(id, s.revision, 60)
							list.leave(id, i%2 == 0)
						})
						left[id] = time.Now()
					}
					time.Sleep(250 * time.Millisecond)
					worst = max(worst, f.longestUse(left, nil))
				}
				t.Logf("leaves that had left in use for %v at most", worst)
				if worst > f.tunables.FreshnessBound {
					t.Errorf("a leaf that had left was in use for %v, want at most %v", worst, f.tunables.FreshnessBound)
				}
			})
		})
	}
}

// register writes a leaf's entry.
func (l *entryList) register(id string, revision uint64, sequence int64) {
	l.entries[id] = catalog.Leaf{ID: id, Service: "s", Zone: "z0", Address: "127.0.0.1:1", Slots: 2, Revision: revision, Sequence: sequence}
}

// leave drains a leaf or removes its entry.
func (l *entryList) leave(id string, drains bool) {
	leaf := l.entries[id]
	leaf.Draining = true
	l.entries[id] = leaf
	if !drains {
		delete(l.entries, id)
	}
}

// TestLeavesWhoseEntriesLapseStayInUse takes the store away from all instances and leaves, so that
// half of the entries lapse. The leaves register again after its return and are in use all the while.
func TestLeavesWhoseEntriesLapseStayInUse(t *testing.T) {
	const leaves, lapsing, lapse = 40, 20, 3600 * time.Millisecond
	for _, tc := range []struct {
		name      string
		instances int
		bound     time.Duration
		outage    time.Duration
		silent    bool
	}{
		{"bound 3 s, 4.5 s refused", 8, 3 * time.Second, 4500 * time.Millisecond, false},
		{"bound 3 s, 4.5 s silent", 8, 3 * time.Second, 4500 * time.Millisecond, true},
		{"bound 5 s, 4.5 s refused", 24, 5 * time.Second, 4500 * time.Millisecond, false},
		{"bound 5 s, 4.5 s silent", 24, 5 * time.Second, 4500 * time.Millisecond, true},
		{"bound 5 s, 20 s silent", 24, 5 * time.Second, 20 * time.Second, true},
		{"bound 6 s, 9 s refused", 24, 6 * time.Second, 9 * time.Second, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, list := newLeafFleet(t, tc.instances, tc.bound, leaves)
				defer f.stopAll()
				all := maps.Clone(list.entries)
				down := func(string) bool { return true }
				f.store.update(func(s *sharedStore) {
					if tc.silent {
						s.isSilent = down
					} else {
						s.refuses = down
					}
				})
				time.Sleep(lapse)
				f.store.update(func(*sharedStore) {
					for i := range lapsing {
						delete(list.entries, fmt.Sprintf("leaf-%02d", i))
					}
				})
				time.Sleep(tc.outage - lapse)
				f.store.update(func(s *sharedStore) { s.isSilent, s.refuses = nil, nil })
				missing := 0
				for range lapsing {
					time.Sleep(100 * time.Millisecond)
					synctest.Wait()
					for _, r := range f.running {
						missing = max(missing, leaves-len(usable(r.node)))
					}
					f.store.update(func(*sharedStore) {
						id := fmt.Sprintf("leaf-%02d", len(list.entries)-leaves+lapsing)
						list.entries[id] = all[id]
					})
				}
				if missing > 0 {
					t.Errorf("%d leaves were out of use at an instance before they could register again", missing)
				}
			})
		})
	}
}

// longestUse returns the longest time since the removal of a leaf that is still in use by an
// instance that is not disturbed.
func (f *testFleet) longestUse(removed map[string]time.Time, disturbed map[string]bool) (worst time.Duration) {
	synctest.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.running {
		if disturbed[r.node.config.Instance] {
			continue
		}
		for id := range usable(r.node) {
			if at, gone := removed[id]; gone {
				worst = max(worst, time.Since(at))
			}
		}
	}
	return worst
}

// killReader ends the instance that reads the store for the others.
func killReader(f *testFleet) map[string]bool {
	for name := range f.withRole(fleet.RoleReader) {
		f.mu.Lock()
		address := f.findRunning(name).node.config.PeerAddress
		f.mu.Unlock()
		f.stop(address)
	}
	return nil
}

// cutOff returns a disturbance that leaves the calls of instances in some roles to the store
// without an answer.
func cutOff(roles ...fleet.Role) func(f *testFleet) map[string]bool {
	return func(f *testFleet) map[string]bool {
		cut := f.withRole(roles...)
		f.store.update(func(s *sharedStore) { s.isSilent = func(name string) bool { return cut[name] } })
		return cut
	}
}
