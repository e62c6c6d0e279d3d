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

// TestFirstStartReadsLittle starts fleets of two sizes for the first time: only the seeds
// read the store, and all know the fleet soon.
func TestFirstStartReadsLittle(t *testing.T) {
	for _, size := range []int{20, 80} {
		synctest.Test(t, func(t *testing.T) {
			c := newCity(t, size)
			defer c.stopAll()
			c.startAll(true)
			time.Sleep(10 * time.Second)
			if n := c.behind(1); n != 0 {
				t.Errorf("%d instances have no configuration after 10 s", n)
			}
			for _, r := range c.running {
				if got := look(r.node.fleet, (*fleet.Fleet).Size); got != size {
					t.Errorf("one instance knows %d of %d", got, size)
				}
			}
			// Three seeds read twice each quarter of the bound until the list has them.
			reads, lists, writes := c.store.count()
			if most := 3 * 2 * 14; reads > most || lists > 3*10 || writes != size {
				t.Errorf("%d instances: %d reads, %d lists, %d writes; want at most %d, 30 and %d", size, reads, lists, writes, most, size)
			}
		})
	}
}

// TestRestartOfAllWhileSomeAreRefused ends all instances at once and starts them again
// while the store refuses three in ten: all serve soon, by what the seeds and the
// store say, and the announcements from before are not written again.
func TestRestartOfAllWhileSomeAreRefused(t *testing.T) {
	for _, size := range []int{20, 80} {
		synctest.Test(t, func(t *testing.T) {
			c := settled(t, size)
			c.stopAll()
			c.store.set(func(s *sharedStore) {
				s.version = 2
				s.refused = func(name string) bool { return name[len(name)-1] >= '7' }
			})
			c.store.count()
			c.startAll(false)
			defer c.stopAll()
			time.Sleep(500 * time.Millisecond)
			if n := c.behind(2); n != 0 {
				t.Errorf("%d of %d instances don't serve half a second after the last has started", n, size)
			}
			// Each reads the store once, as no seed knows anything yet; the refused ones
			// try it until a seed does.
			reads, lists, writes := c.store.count()
			if reads > 6*size || lists > 3*size || writes != 0 {
				t.Errorf("%d instances: %d reads, %d lists, %d writes", size, reads, lists, writes)
			}
		})
	}
}

// TestOneThatStartsAgainReadsNothing ends one instance and starts it again: the seeds know
// all that it needs.
func TestOneThatStartsAgainReadsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := settled(t, 40)
		defer c.stopAll()
		const one = 17
		c.stop(address(one))
		time.Sleep(2 * time.Second)
		c.store.count()
		c.start(one, false)
		time.Sleep(50 * time.Millisecond)
		if n := c.behind(1); n != 0 {
			t.Error("it does not serve 50 ms after its start")
		}
		if reads, lists, writes := c.store.count(); reads > 2 || lists > 0 || writes > 0 { // the reader's own
			t.Errorf("%d reads, %d lists, %d writes", reads, lists, writes)
		}
	})
}

// TestRestartOfAllWithoutSeeds ends all instances; the seeds don't come back.
func TestRestartOfAllWithoutSeeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := settled(t, 40)
		c.stopAll()
		for i := seedCount; i < c.size; i++ {
			c.start(i, false)
		}
		defer c.stopAll()
		time.Sleep(500 * time.Millisecond)
		if n := c.behind(1); n != seedCount {
			t.Errorf("%d instances don't serve after half a second, want the %d that are gone", n, seedCount)
		}
	})
}

// TestStartOfAllInAnOutageCostsLittle ends all instances and starts them while the store refuses
// all: each reads it once, and again when it is back; its probes between cost a tenth of a read.
func TestStartOfAllInAnOutageCostsLittle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size = 60
		c := settled(t, size)
		defer c.stopAll()
		c.stopAll()
		c.store.count()
		c.store.set(func(s *sharedStore) { s.refused = func(string) bool { return true } })
		c.startAll(false)
		time.Sleep(15 * time.Second)
		reads, lists, _ := c.store.count()
		t.Logf("%d instances: %d reads, %d lists in an outage of 15 s", size, reads, lists)
		if reads > 5*size || lists > 2*size {
			t.Errorf("%d instances: %d reads, %d lists in an outage of 15 s", size, reads, lists)
		}
		c.store.set(func(s *sharedStore) { s.version, s.refused = 2, nil })
		time.Sleep(1500 * time.Millisecond)
		if n := c.behind(2); n != 0 {
			t.Errorf("%d instances don't serve 1.5 s after the outage", n)
		}
	})
}

// TestOutageCostsTheSameInALargeFleet takes the store away for 20 s.
func TestOutageCostsTheSameInALargeFleet(t *testing.T) {
	for _, size := range []int{20, 80} {
		synctest.Test(t, func(t *testing.T) {
			c := settled(t, size)
			defer c.stopAll()
			c.store.count()
			c.store.set(func(s *sharedStore) { s.refused = func(string) bool { return true } })
			time.Sleep(20 * time.Second)
			// The reader tries each half second at most, a lead and two members of each of
			// five zones each 1.2 s: two calls each.
			reads, _, _ := c.store.count()
			t.Logf("%d instances: %d reads in an outage of 20 s", size, reads)
			if most := 2 * (40 + 3*zones*20*10/12); reads > most {
				t.Errorf("%d instances: %d reads in an outage of 20 s, want at most %d", size, reads, most)
			}
			c.store.set(func(s *sharedStore) { s.version, s.refused = 2, nil })
			time.Sleep(bound)
			if n := c.behind(2); n != 0 {
				t.Errorf("%d of %d instances are behind after the outage", n, size)
			}
		})
	}
}

// TestReaderIsRefused has the store refuse the reader and many others, while a version
// comes: it is in force everywhere within the bound after they could have noticed.
func TestReaderIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := settled(t, 40)
		defer c.stopAll()
		var reader string
		for _, r := range c.running {
			if _, role := r.node.fleet.source(time.Now()); role == fleet.RoleReader {
				reader = r.node.config.Instance
			}
		}
		c.store.set(func(s *sharedStore) {
			s.refused = func(name string) bool { return name == reader || name[len(name)-1] >= '7' }
		})
		time.Sleep(time.Second)
		c.store.set(func(s *sharedStore) { s.version = 2 })
		time.Sleep(bound)
		if n := c.behind(2); n != 0 {
			t.Errorf("%d instances are behind", n)
		}
	})
}

// TestOneThatIsNotRefusedIsEnough has the store refuse all instances but one that is no
// lead: what it reads reaches all.
func TestOneThatIsNotRefusedIsEnough(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := settled(t, 20)
		defer c.stopAll()
		var served string
		for _, r := range c.running {
			if _, role := r.node.fleet.source(time.Now()); role == fleet.RoleMember {
				served = r.node.config.Instance
			}
		}
		c.store.set(func(s *sharedStore) {
			s.version = 2
			s.refused = func(name string) bool { return name != served }
		})
		time.Sleep(6 * bound)
		if n := c.behind(2); n != 0 {
			t.Errorf("%d instances are behind", n)
		}
	})
}

// TestLeadThatLeavesCostsNoReads stops the lead of each zone: its members ask another one
// and don't read the store.
func TestLeadThatLeavesCostsNoReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := settled(t, 40)
		defer c.stopAll()
		for address, r := range maps.Clone(c.running) {
			if _, role := r.node.fleet.source(time.Now()); role == fleet.RoleZoneLead {
				c.stop(address)
			}
		}
		c.store.count()
		time.Sleep(3 * time.Second)
		// The reader reads twice each quarter of the bound.
		if reads, _, _ := c.store.count(); reads > 2*(4+1)+2*zones {
			t.Errorf("%d reads while leads are gone", reads)
		}
	})
}

// TestStartFindsTheOthers starts an instance without seeds where others are announced: it
// knows of them before the first request can have come.
func TestStartFindsTheOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &announced{fakeStore: fakeStore{version: 1}, list: []fleet.Instance{{Name: "j", Zone: "z", CPUs: 2, AnnouncementID: 1}, {Name: "k", Zone: "y", CPUs: 1, AnnouncementID: 1}}}
		n, end := start(t, store)
		defer end()
		time.Sleep(time.Millisecond)
		synctest.Wait()
		if got := look(n.fleet, (*fleet.Fleet).Size); got != 3 {
			t.Errorf("a fleet of %d a millisecond after the start, want 3", got)
		}
	})
}

// announced is a store with the announcements of instances that ran before.
type announced struct {
	fakeStore
	list []fleet.Instance
}

func (s *announced) Instances(context.Context) ([]fleet.Instance, []catalog.BadEntry, error) {
	return s.list, nil, nil
}

// TestNobodyIsBehindWhileSomeAreRefused has the store refuse the reader, a lead and many
// others for long: what every instance knows stays younger than eight tenths of the bound, so
// that a leaf which leaves gets no work after it although calls take their time.
func TestNobodyIsBehindWhileSomeAreRefused(t *testing.T) {
	for _, refusedLeads := range []int{0, 1, 2} {
		synctest.Test(t, func(t *testing.T) {
			c := settled(t, 40)
			defer c.stopAll()
			refused := make(map[string]bool)
			leads := 0
			for _, r := range c.running {
				name := r.node.config.Instance
				_, role := r.node.fleet.source(time.Now())
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
			c.store.set(func(s *sharedStore) { s.refused = func(name string) bool { return refused[name] } })
			worst := time.Duration(0)
			for range 300 {
				time.Sleep(100 * time.Millisecond)
				synctest.Wait()
				for _, r := range c.running {
					worst = max(worst, ms(r.node.control.ageMS(time.Now())))
				}
			}
			if most := bound * 8 / 10; worst >= most {
				t.Errorf("%d leads refused: one instance's state was %v old, want less than %v", refusedLeads, worst, most)
			}
		})
	}
}
