package hosted

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http/httptrace"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/entry/lifecycle"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/catalog"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/fleet"
)

// unserved are the instances that the store does not serve: the reader, the leads of all zones
// and every third member.
func unserved(roles map[string]fleet.Role) map[string]bool {
	out := make(map[string]bool)
	for i, name := range slices.Sorted(maps.Keys(roles)) {
		if roles[name] != fleet.RoleMember || i%10 < 3 {
			out[name] = true
		}
	}
	return out
}

// worstAge is the greatest age of the state of the instances that are not excepted.
func (c *city) worstAge(except map[string]bool) time.Duration {
	synctest.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	worst := time.Duration(0)
	for _, r := range c.running {
		if !except[r.node.config.Instance] {
			worst = max(worst, r.node.control.age())
		}
	}
	return worst
}

// TestUnservedLeadsDoNotMakeServedInstancesStale has the store serve neither the reader nor any
// lead: the instances that it serves stay within eight tenths of the bound.
func TestUnservedLeadsDoNotMakeServedInstancesStale(t *testing.T) {
	for _, c := range []struct {
		name   string
		size   int
		silent bool
	}{{"61 refused", 61, false}, {"61 silent", 61, true}, {"195 silent", 195, true}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				worst := worstAgeServed(t, c.size, c.silent)
				t.Logf("worst age %v", worst)
				if limit := bound * 8 / 10; worst >= limit {
					t.Errorf("state of a served instance was %v old, want less than %v", worst, limit)
				}
			})
		})
	}
}

// worstAgeServed is the greatest age of the state of the instances that the store serves, in ten
// seconds in which it does not serve the others.
func worstAgeServed(t *testing.T, size int, silent bool) time.Duration {
	c := newCity(t, size)
	c.zones = 3
	c.settle()
	defer c.stopAll()
	out := unserved(c.roles())
	isOut := func(name string) bool { return out[name] }
	c.store.set(func(s *sharedStore) {
		if silent {
			s.silent = isOut
		} else {
			s.refused = isOut
		}
	})
	worst := time.Duration(0)
	for range 200 {
		time.Sleep(50 * time.Millisecond)
		worst = max(worst, c.worstAge(out))
	}
	return worst
}

// TestLeadWithSilentReadLearnsFromItsMember has the store answer one member only: what it reads
// reaches its lead with the member's next sync, although the lead waits for a read of its own.
func TestLeadWithSilentReadLearnsFromItsMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCity(t, 20)
		c.zones = 1
		c.settle()
		defer c.stopAll()
		var lead, served *Node
		for _, r := range c.running {
			if _, role := r.node.fleet.source(time.Now()); role == fleet.RoleReader {
				lead = r.node
			} else {
				served = r.node
			}
		}
		worst := time.Duration(0)
		for round := range 8 {
			want := uint64(round + 2)
			c.store.set(func(s *sharedStore) { s.silent = func(string) bool { return true } })
			time.Sleep(2*bound + time.Duration(round)*300*time.Millisecond)
			c.store.set(func(s *sharedStore) {
				s.version = want
				s.silent = func(name string) bool { return name != served.config.Instance }
			})
			read := c.await(served, want)
			c.await(lead, want)
			worst = max(worst, time.Since(read))
		}
		t.Logf("worst delay %v", worst)
		if limit := bound/8 + syncTimeout; worst > limit {
			t.Errorf("the lead had a member's state %v after the member, want at most %v", worst, limit)
		}
	})
}

// TestReaderLearnsSoonAfterSilenceOfTheStore lets the store be silent to an instance that nobody
// else can tell anything, until its waits are longest: served again, it is fresh within the bound,
// whatever it waits for at that moment.
func TestReaderLearnsSoonAfterSilenceOfTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := settled(t, 1)
		defer c.stopAll()
		n := c.byName(name(0)).node
		worst := time.Duration(0)
		for phase := range 40 {
			c.store.set(func(s *sharedStore) { s.silent = func(string) bool { return true } })
			time.Sleep(10*time.Second + time.Duration(phase)*90*time.Millisecond)
			c.store.set(func(s *sharedStore) { s.silent = nil; s.version++ })
			served := time.Now()
			c.await(n, uint64(phase+2))
			worst = max(worst, time.Since(served))
		}
		t.Logf("fresh after %v at most", worst)
		if limit := bound * 8 / 10; worst >= limit {
			t.Errorf("fresh %v after the store served it, want less than %v", worst, limit)
		}
	})
}

// slowLink is a store whose answers begin at once and whose configuration takes its time on the way.
type slowLink struct {
	fakeStore
	transfer time.Duration
}

func (s *slowLink) Config(ctx context.Context) (*catalog.Config, error) {
	if trace := httptrace.ContextClientTrace(ctx); trace != nil {
		trace.GotFirstResponseByte()
	}
	select {
	case <-time.After(s.transfer):
		return s.fakeStore.Config(ctx)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// TestLargeConfigurationIsReadOverASlowLink has the configuration take longer on its way than an
// instance waits for a silent store.
func TestLargeConfigurationIsReadOverASlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &slowLink{fakeStore: fakeStore{version: 1}, transfer: 5 * readTimeout / 2}
		n, end := start(t, store)
		defer end()
		time.Sleep(bound)
		worst := time.Duration(0)
		for range 100 {
			time.Sleep(50 * time.Millisecond)
			synctest.Wait()
			worst = max(worst, n.control.age())
		}
		if limit := bound * 8 / 10; worst >= limit {
			t.Errorf("the reader's state was %v old, want less than %v", worst, limit)
		}
		if err := newStoreReader(n.control).readAs(t.Context(), fleet.RoleMember); err != nil {
			t.Errorf("a member did not read it: %v", err)
		}
	})
}

// await waits until an instance has a version in force and returns when it had.
func (c *city) await(n *Node, want uint64) time.Time {
	c.t.Helper()
	for end := time.Now().Add(20 * bound); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		synctest.Wait()
		if version(n) == want {
			return time.Now()
		}
	}
	c.t.Fatalf("%s has version %d after %v, want %d", n.config.Instance, version(n), 20*bound, want)
	return time.Time{}
}

// TestInstancesInTouchStayWithinTheBound changes at random, again and again, whom the store serves
// and how it fails the others, stops and starts instances: one that has run and been served for a bound
// is never older than the bound.
func TestInstancesInTouchStayWithinTheBound(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playServing(t, rand.New(rand.NewPCG(seed, 30))) })
		})
	}
}

// playServing plays twenty changes of whom the store serves.
func playServing(t *testing.T, random *rand.Rand) {
	c := newCity(t, 6+random.IntN(30))
	c.zones = 1 + random.IntN(4)
	c.settle()
	defer c.stopAll()
	touch := make(map[string]time.Time) // since when each instance is in touch
	for range 20 {
		out := make(map[string]bool)
		share := random.Float64()
		for i := range c.size {
			_, running := c.running[address(i)]
			if stops := random.IntN(20) == 0; stops && running {
				c.stop(address(i))
			} else if !running {
				c.start(i, false)
			}
			out[name(i)] = random.Float64() < share
		}
		for leader, role := range c.roles() {
			out[leader] = out[leader] || role != fleet.RoleMember && random.IntN(2) == 0
		}
		silent := random.IntN(2) == 0
		c.store.set(func(s *sharedStore) {
			isOut := func(name string) bool { return out[name] }
			if s.silent, s.refused = nil, isOut; silent {
				s.silent, s.refused = isOut, nil
			}
		})
		for range 5 + random.IntN(80) {
			c.checkTouch(touch, out)
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// checkTouch notes since when each instance is in touch, and checks the age of those that are.
func (c *city) checkTouch(touch map[string]time.Time, out map[string]bool) {
	synctest.Wait()
	now := time.Now()
	for i := range c.size {
		r, running := c.running[address(i)]
		if !running || out[name(i)] {
			delete(touch, name(i))
			continue
		}
		if _, ok := touch[name(i)]; !ok {
			touch[name(i)] = now
		}
		if age := r.node.control.age(); now.Sub(touch[name(i)]) > bound && age > bound {
			c.t.Fatalf("%s is %v old and has been served for %v", name(i), age, now.Sub(touch[name(i)]))
		}
	}
}

// TestInstancesInTouchStayWithinTheBoundBehindCuts does the same while calls between instances get
// no answer in one direction, instances answer others slowly, and leaders leave.
func TestInstancesInTouchStayWithinTheBoundBehindCuts(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playCuts(t, rand.New(rand.NewPCG(seed, 31))) })
		})
	}
}

// playCuts plays fifteen changes of who reaches whom. The store serves most instances.
func playCuts(t *testing.T, random *rand.Rand) {
	c := newCity(t, 6+random.IntN(30))
	c.zones = 1 + random.IntN(4)
	c.settle()
	defer c.stopAll()
	touch := make(map[string]time.Time)
	for range 15 {
		for i := range c.size {
			if _, running := c.running[address(i)]; !running {
				c.start(i, false)
			}
		}
		var leaving []string
		out, deaf, mute := make(map[string]bool), make(map[string]bool), make(map[string]bool)
		share := random.Float64() / 2
		for name, role := range c.roles() {
			out[name] = random.Float64() < share
			deaf[name], mute[name] = random.Float64() < share, random.Float64() < share
			if role != fleet.RoleMember && random.IntN(4) == 0 {
				r := c.byName(name)
				r.node.lifecycle.Set(lifecycle.Leaving)
				leaving = append(leaving, r.node.config.PeerAddress)
			}
		}
		c.store.set(func(s *sharedStore) { s.silent = func(name string) bool { return out[name] } })
		c.set(func() {
			c.cut = func(from, to string) bool { return mute[from] || deaf[to] }
			c.slow = time.Duration(random.IntN(3)) * 100 * time.Millisecond
		})
		for tick := range 5 + random.IntN(80) {
			if tick == 4 {
				for _, address := range leaving {
					c.stop(address)
				}
			}
			c.checkTouch(touch, out)
			time.Sleep(100 * time.Millisecond)
		}
	}
}
