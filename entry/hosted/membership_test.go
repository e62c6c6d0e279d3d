package hosted

import (
	"context"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/catalog"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/fleet"
)

// TestBootstrapReadsStoreOnlyFromSeeds bootstraps fleets of two sizes: only the seeds read the
// store, and within 10 s all instances have the configuration and know the whole fleet.
func TestBootstrapReadsStoreOnlyFromSeeds(t *testing.T) {
	for _, size := range []int{20, 80} {
		synctest.Test(t, func(t *testing.T) {
			f := newTestFleet(t, size)
			defer f.stopAll()
			f.startAll(true)
			time.Sleep(10 * time.Second)
			if n := f.countNotInForce(1); n != 0 {
				t.Errorf("%d instances have no configuration after 10 s", n)
			}
			for _, r := range f.running {
				if got := readFleet(r.node.membership, (*fleet.Fleet).Size); got != size {
					t.Errorf("one instance knows %d of %d", got, size)
				}
			}
			// Until the list has the three seeds, each makes two reads per quarter of the bound.
			reads, lists, writes := f.store.takeCounts()
			if most := 3 * 2 * 14; reads > most || lists > 3*10 || writes != size {
				t.Errorf("%d instances: %d reads, %d lists, %d writes; want at most %d, 30 and %d", size, reads, lists, writes, most, size)
			}
		})
	}
}

// TestFullRestartWhileStoreRefusesSome stops all instances at once and starts them again while the
// store refuses three in ten: all serve soon, with state from the seeds or the store, and none
// writes its announcement again.
func TestFullRestartWhileStoreRefusesSome(t *testing.T) {
	for _, size := range []int{20, 80} {
		synctest.Test(t, func(t *testing.T) {
			f := newSettledFleet(t, size)
			f.stopAll()
			f.store.update(func(s *sharedStore) {
				s.version = 2
				s.refuses = func(name string) bool { return name[len(name)-1] >= '7' }
			})
			f.store.takeCounts()
			f.startAll(false)
			defer f.stopAll()
			time.Sleep(500 * time.Millisecond)
			if n := f.countNotInForce(2); n != 0 {
				t.Errorf("%d of %d instances don't serve half a second after the last has started", n, size)
			}
			// Each reads the store once, as no seed has state yet; the refused ones retry until a
			// seed has.
			reads, lists, writes := f.store.takeCounts()
			if reads > 6*size || lists > 3*size || writes != 0 {
				t.Errorf("%d instances: %d reads, %d lists, %d writes", size, reads, lists, writes)
			}
		})
	}
}

// TestRestartedInstanceReadsNoStore stops one instance and starts it again: it gets its state from
// the seeds, without a read of the store.
func TestRestartedInstanceReadsNoStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSettledFleet(t, 40)
		defer f.stopAll()
		const one = 17
		f.stop(peerAddress(one))
		time.Sleep(2 * time.Second)
		f.store.takeCounts()
		f.start(one, false)
		time.Sleep(50 * time.Millisecond)
		if n := f.countNotInForce(1); n != 0 {
			t.Error("it does not serve 50 ms after its start")
		}
		if reads, lists, writes := f.store.takeCounts(); reads > 2 || lists > 0 || writes > 0 { // the reader's own
			t.Errorf("%d reads, %d lists, %d writes", reads, lists, writes)
		}
	})
}

// TestFullRestartWithoutSeeds stops all instances and starts all but the seeds: they serve by the store.
func TestFullRestartWithoutSeeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSettledFleet(t, 40)
		f.stopAll()
		for i := seedCount; i < f.size; i++ {
			f.start(i, false)
		}
		defer f.stopAll()
		time.Sleep(500 * time.Millisecond)
		if n := f.countNotInForce(1); n != seedCount {
			t.Errorf("%d instances don't serve after half a second, want the %d that are gone", n, seedCount)
		}
	})
}

// TestFullRestartInOutageLimitsStoreCalls stops all instances and starts them while the store refuses
// all: each reads it once, and again when it recovers. The probes between cost a tenth of a read.
func TestFullRestartInOutageLimitsStoreCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size = 60
		f := newSettledFleet(t, size)
		defer f.stopAll()
		f.stopAll()
		f.store.takeCounts()
		f.store.update(func(s *sharedStore) { s.refuses = func(string) bool { return true } })
		f.startAll(false)
		time.Sleep(15 * time.Second)
		reads, lists, _ := f.store.takeCounts()
		t.Logf("%d instances: %d reads, %d lists in an outage of 15 s", size, reads, lists)
		if reads > 5*size || lists > 2*size {
			t.Errorf("%d instances: %d reads, %d lists in an outage of 15 s", size, reads, lists)
		}
		f.store.update(func(s *sharedStore) { s.version, s.refuses = 2, nil })
		time.Sleep(1500 * time.Millisecond)
		if n := f.countNotInForce(2); n != 0 {
			t.Errorf("%d instances don't serve 1.5 s after the outage", n)
		}
	})
}

// TestOutageCostsTheSameInALargeFleet has the store refuse all instances for 20 s: the number of
// calls does not grow with the fleet.
func TestOutageCostsTheSameInALargeFleet(t *testing.T) {
	for _, size := range []int{20, 80} {
		synctest.Test(t, func(t *testing.T) {
			f := newSettledFleet(t, size)
			defer f.stopAll()
			f.store.takeCounts()
			f.store.update(func(s *sharedStore) { s.refuses = func(string) bool { return true } })
			time.Sleep(20 * time.Second)
			// The reader tries each half second at most, and a lead and two members of each of
			// five zones each 1.2 s; each attempt makes two calls.
			reads, _, _ := f.store.takeCounts()
			t.Logf("%d instances: %d reads in an outage of 20 s", size, reads)
			if most := 2 * (40 + 3*defaultZones*20*10/12); reads > most {
				t.Errorf("%d instances: %d reads in an outage of 20 s, want at most %d", size, reads, most)
			}
			f.store.update(func(s *sharedStore) { s.version, s.refuses = 2, nil })
			time.Sleep(testBound)
			if n := f.countNotInForce(2); n != 0 {
				t.Errorf("%d of %d instances are behind after the outage", n, size)
			}
		})
	}
}

// TestConfigChangeWhileReaderIsRefused has the store refuse the reader and many others, and
// then changes the configuration: the change is in force everywhere within the bound.
func TestConfigChangeWhileReaderIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSettledFleet(t, 40)
		defer f.stopAll()
		var reader string
		for _, r := range f.running {
			if _, role := r.node.membership.syncSource(time.Now()); role == fleet.RoleReader {
				reader = r.node.config.Instance
			}
		}
		f.store.update(func(s *sharedStore) {
			s.refuses = func(name string) bool { return name == reader || name[len(name)-1] >= '7' }
		})
		time.Sleep(time.Second)
		f.store.update(func(s *sharedStore) { s.version = 2 })
		time.Sleep(testBound)
		if n := f.countNotInForce(2); n != 0 {
			t.Errorf("%d instances are behind", n)
		}
	})
}

// TestOneServedMemberUpdatesTheFleet has the store refuse all instances but one member: what it
// reads reaches all others.
func TestOneServedMemberUpdatesTheFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSettledFleet(t, 20)
		defer f.stopAll()
		var served string
		for _, r := range f.running {
			if _, role := r.node.membership.syncSource(time.Now()); role == fleet.RoleMember {
				served = r.node.config.Instance
			}
		}
		f.store.update(func(s *sharedStore) {
			s.version = 2
			s.refuses = func(name string) bool { return name != served }
		})
		time.Sleep(6 * testBound)
		if n := f.countNotInForce(2); n != 0 {
			t.Errorf("%d instances are behind", n)
		}
	})
}

// TestStoppedLeadsCauseNoStoreReads stops the lead of each zone: the members ask another
// lead and don't read the store.
func TestStoppedLeadsCauseNoStoreReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSettledFleet(t, 40)
		defer f.stopAll()
		for address, r := range maps.Clone(f.running) {
			if _, role := r.node.membership.syncSource(time.Now()); role == fleet.RoleZoneLead {
				f.stop(address)
			}
		}
		f.store.takeCounts()
		time.Sleep(3 * time.Second)
		// The reader reads twice each quarter of the bound.
		if reads, _, _ := f.store.takeCounts(); reads > 2*(4+1)+2*defaultZones {
			t.Errorf("%d reads while leads are gone", reads)
		}
	})
}

// TestStartListsAnnouncedInstances starts an instance without seeds where others are
// announced: it knows of them before a first request could arrive.
func TestStartListsAnnouncedInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &announcedStore{fakeStore: fakeStore{version: 1}, list: []fleet.Instance{{Name: "j", Zone: "z", CPUs: 2, AnnouncementID: 1}, {Name: "k", Zone: "y", CPUs: 1, AnnouncementID: 1}}}
		n, end := startNode(t, store)
		defer end()
		time.Sleep(time.Millisecond)
		synctest.Wait()
		if got := readFleet(n.membership, (*fleet.Fleet).Size); got != 3 {
			t.Errorf("a fleet of %d a millisecond after the start, want 3", got)
		}
	})
}

// announcedStore is a store that has the announcements of other instances.
type announcedStore struct {
	fakeStore
	list []fleet.Instance
}

func (s *announcedStore) Instances(context.Context, bool) ([]fleet.Instance, []catalog.BadEntry, error) {
	return s.list, nil, nil
}

// TestStateStaysFreshWhileStoreRefusesSome has the store refuse the reader, up to two leads and
// many members for 30 s: the state of every instance stays younger than eight tenths of the bound.
// The rest is for the time of calls, so that a leaving leaf gets no work after the bound.
func TestStateStaysFreshWhileStoreRefusesSome(t *testing.T) {
	for _, refusedLeads := range []int{0, 1, 2} {
		synctest.Test(t, func(t *testing.T) {
			f := newSettledFleet(t, 40)
			defer f.stopAll()
			refused := make(map[string]bool)
			leads := 0
			for _, r := range f.running {
				name := r.node.config.Instance
				_, role := r.node.membership.syncSource(time.Now())
				switch {
				case role == fleet.RoleReader:
					refused[name] = true
				case role == fleet.RoleZoneLead && leads < refusedLeads:
					leads++
					refused[name] = true
				case role == fleet.RoleMember && name[len(name)-1] >= '7':
					refused[name] = true
				}
			}
			f.store.update(func(s *sharedStore) { s.refuses = func(name string) bool { return refused[name] } })
			worst := time.Duration(0)
			for range 300 {
				time.Sleep(100 * time.Millisecond)
				synctest.Wait()
				for _, r := range f.running {
					worst = max(worst, milliseconds(r.node.control.stateAgeMS(time.Now())))
				}
			}
			if most := testBound * 8 / 10; worst >= most {
				t.Errorf("%d leads refused: one instance's state was %v old, want less than %v", refusedLeads, worst, most)
			}
		})
	}
}

// TestRestartWithBootstrapSettingsSpendsNoRepeats starts an instance again while its settings
// still say that the whole fleet starts.
func TestRestartWithBootstrapSettingsSpendsNoRepeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 3)
		defer f.stopAll()
		f.startAll(true)
		time.Sleep(2 * testRepeatWindow)
		address := peerAddress(2)
		spends := func() bool {
			m := f.running[address].node.membership
			return m.repeatSlack(1) > 0 || m.earnsRepeats()
		}
		if !spends() {
			t.Error("an instance of a fleet that has started has no share of the repeats")
		}
		f.running[address].stop()
		f.start(2, true)
		for range 9 {
			time.Sleep(time.Second)
			if spends() {
				t.Fatal("an instance that restarted may send repeats within a window")
			}
		}
		time.Sleep(5 * time.Second)
		if !spends() {
			t.Error("an instance that restarted has no share of the repeats after a window")
		}
	})
}

// TestRestartBeforeOthersKnowInstanceWaitsForTheirLists starts an instance again before and
// after all others count it: only then may it use its share after one window.
func TestRestartBeforeOthersKnowInstanceWaitsForTheirLists(t *testing.T) {
	for _, tc := range []struct {
		restartAfter time.Duration
		uses         bool
	}{{5 * time.Second, false}, {30 * time.Second, true}} {
		synctest.Test(t, func(t *testing.T) {
			f := newTestFleet(t, 3)
			defer f.stopAll()
			f.startAll(true)
			time.Sleep(tc.restartAfter)
			address := peerAddress(2)
			f.running[address].stop()
			f.start(2, false)
			time.Sleep(testRepeatWindow + 3*time.Second)
			if got := f.running[address].node.membership.repeatSlack(1); (got > 0) != tc.uses {
				t.Errorf("restart after %v: share %v a window later, want any: %v", tc.restartAfter, got, tc.uses)
			}
			time.Sleep(listPropagationBound)
			if got := f.running[address].node.membership.repeatSlack(1); got <= 0 {
				t.Errorf("restart after %v: no share when all others count it", tc.restartAfter)
			}
		})
	}
}
