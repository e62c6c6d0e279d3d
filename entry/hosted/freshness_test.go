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

// pickUnserved chooses the instances that the store does not serve: the reader, the leads of all
// zones and about three in ten members.
func pickUnserved(roles map[string]fleet.Role) map[string]bool {
	unserved := make(map[string]bool)
	for i, name := range slices.Sorted(maps.Keys(roles)) {
		if roles[name] != fleet.RoleMember || i%10 < 3 {
			unserved[name] = true
		}
	}
	return unserved
}

// worstAge returns the greatest age of the state of the instances that are not excepted.
func (f *testFleet) worstAge(except map[string]bool) time.Duration {
	synctest.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	worst := time.Duration(0)
	for _, r := range f.running {
		if !except[r.node.config.Instance] {
			worst = max(worst, r.node.control.stateAge())
		}
	}
	return worst
}

// TestUnservedLeadsDoNotMakeServedInstancesStale has the store serve neither the reader nor any
// lead: the state of the instances that it serves stays younger than eight tenths of the bound.
func TestUnservedLeadsDoNotMakeServedInstancesStale(t *testing.T) {
	for _, c := range []struct {
		name   string
		size   int
		silent bool
	}{{"61 refused", 61, false}, {"61 silent", 61, true}, {"195 silent", 195, true}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				worst := worstServedAge(t, c.size, c.silent)
				t.Logf("worst age %v", worst)
				if limit := testBound * 8 / 10; worst >= limit {
					t.Errorf("state of a served instance was %v old, want less than %v", worst, limit)
				}
			})
		})
	}
}

// worstServedAge returns the greatest age of the state of the instances that the store serves, in
// ten seconds in which it does not serve the others.
func worstServedAge(t *testing.T, size int, silent bool) time.Duration {
	f := newTestFleet(t, size)
	f.zones = 3
	f.settle()
	defer f.stopAll()
	unserved := pickUnserved(f.roles())
	isUnserved := func(name string) bool { return unserved[name] }
	f.store.update(func(s *sharedStore) {
		if silent {
			s.isSilent = isUnserved
		} else {
			s.refuses = isUnserved
		}
	})
	worst := time.Duration(0)
	for range 200 {
		time.Sleep(50 * time.Millisecond)
		worst = max(worst, f.worstAge(unserved))
	}
	return worst
}

// TestLeadWithHangingReadSyncsFromItsMember has the store answer only one member: what the member
// reads reaches its lead with the member's next sync, although the lead's own read still hangs.
func TestLeadWithHangingReadSyncsFromItsMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 20)
		f.zones = 1
		f.settle()
		defer f.stopAll()
		var lead, served *Node
		for _, r := range f.running {
			if _, role := r.node.membership.syncSource(time.Now()); role == fleet.RoleReader {
				lead = r.node
			} else {
				served = r.node
			}
		}
		worst := time.Duration(0)
		for round := range 8 {
			want := uint64(round + 2)
			f.store.update(func(s *sharedStore) { s.isSilent = func(string) bool { return true } })
			time.Sleep(2*testBound + time.Duration(round)*300*time.Millisecond)
			f.store.update(func(s *sharedStore) {
				s.version = want
				s.isSilent = func(name string) bool { return name != served.config.Instance }
			})
			read := f.await(served, want)
			f.await(lead, want)
			worst = max(worst, time.Since(read))
		}
		t.Logf("worst delay %v", worst)
		if limit := testBound/8 + peerSilenceTimeout; worst > limit {
			t.Errorf("the lead had a member's state %v after the member, want at most %v", worst, limit)
		}
	})
}

// TestReaderRecoversSoonAfterSilentStore has the store not answer the only instance of a fleet until
// its time-outs and retry delays are longest: once the store answers again, the instance is fresh
// within the bound, whatever it waits for at that moment.
func TestReaderRecoversSoonAfterSilentStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSettledFleet(t, 1)
		defer f.stopAll()
		n := f.findRunning(instanceName(0)).node
		worst := time.Duration(0)
		for phase := range 40 {
			f.store.update(func(s *sharedStore) { s.isSilent = func(string) bool { return true } })
			time.Sleep(10*time.Second + time.Duration(phase)*90*time.Millisecond)
			f.store.update(func(s *sharedStore) { s.isSilent = nil; s.version++ })
			served := time.Now()
			f.await(n, uint64(phase+2))
			worst = max(worst, time.Since(served))
		}
		t.Logf("fresh after %v at most", worst)
		if limit := testBound * 8 / 10; worst >= limit {
			t.Errorf("fresh %v after the store served it, want less than %v", worst, limit)
		}
	})
}

// slowLinkStore is a store whose answers begin at once, but whose configuration takes long to transfer.
type slowLinkStore struct {
	fakeStore
	transfer time.Duration
}

func (s *slowLinkStore) Config(ctx context.Context) (*catalog.Config, error) {
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

// TestLargeConfigIsReadOverSlowLink has the transfer of the configuration take longer than an
// instance waits for the first byte of an answer.
func TestLargeConfigIsReadOverSlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &slowLinkStore{fakeStore: fakeStore{version: 1}, transfer: 5 * minReadTimeout / 2}
		n, end := startNode(t, store)
		defer end()
		time.Sleep(testBound)
		worst := time.Duration(0)
		for range 100 {
			time.Sleep(50 * time.Millisecond)
			synctest.Wait()
			worst = max(worst, n.control.stateAge())
		}
		if limit := testBound * 8 / 10; worst >= limit {
			t.Errorf("the reader's state was %v old, want less than %v", worst, limit)
		}
		if err := newStoreReader(n.control).readInRole(t.Context(), &storeRead{role: fleet.RoleMember}); err != nil {
			t.Errorf("a member did not read it: %v", err)
		}
	})
}

// await waits until an instance has a version in force and returns the time of that.
func (f *testFleet) await(n *Node, want uint64) time.Time {
	f.t.Helper()
	for end := time.Now().Add(20 * testBound); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		synctest.Wait()
		if configVersion(n) == want {
			return time.Now()
		}
	}
	f.t.Fatalf("%s has version %d after %v, want %d", n.config.Instance, configVersion(n), 20*testBound, want)
	return time.Time{}
}

// TestServedInstancesStayWithinBound changes at random, again and again, which instances the store
// serves and how it fails the others, and stops and starts instances. The state of an instance that
// has run and been served for longer than the bound is never older than the bound.
func TestServedInstancesStayWithinBound(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { runStoreFaults(t, rand.New(rand.NewPCG(seed, 30))) })
		})
	}
}

// runStoreFaults makes twenty random changes of which instances the store serves.
func runStoreFaults(t *testing.T, random *rand.Rand) {
	f := newTestFleet(t, 6+random.IntN(30))
	f.zones = 1 + random.IntN(4)
	f.settle()
	defer f.stopAll()
	servedSince := make(map[string]time.Time) // since when each instance has run and been served
	for range 20 {
		unserved := make(map[string]bool)
		share := random.Float64()
		for i := range f.size {
			_, running := f.running[peerAddress(i)]
			if stops := random.IntN(20) == 0; stops && running {
				f.stop(peerAddress(i))
			} else if !running {
				f.start(i, false)
			}
			unserved[instanceName(i)] = random.Float64() < share
		}
		for leader, role := range f.roles() {
			unserved[leader] = unserved[leader] || role != fleet.RoleMember && random.IntN(2) == 0
		}
		silent := random.IntN(2) == 0
		f.store.update(func(s *sharedStore) {
			isUnserved := func(name string) bool { return unserved[name] }
			if s.isSilent, s.refuses = nil, isUnserved; silent {
				s.isSilent, s.refuses = isUnserved, nil
			}
		})
		for range 5 + random.IntN(80) {
			f.checkServedAges(servedSince, unserved)
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// checkServedAges records since when each instance has run and been served, and checks the age of the
// state of those that have been for longer than the bound.
func (f *testFleet) checkServedAges(servedSince map[string]time.Time, unserved map[string]bool) {
	synctest.Wait()
	now := time.Now()
	for i := range f.size {
		r, running := f.running[peerAddress(i)]
		if !running || unserved[instanceName(i)] {
			delete(servedSince, instanceName(i))
			continue
		}
		if _, ok := servedSince[instanceName(i)]; !ok {
			servedSince[instanceName(i)] = now
		}
		if age := r.node.control.stateAge(); now.Sub(servedSince[instanceName(i)]) > testBound && age > testBound {
			f.t.Fatalf("%s is %v old and has been served for %v", instanceName(i), age, now.Sub(servedSince[instanceName(i)]))
		}
	}
}

// TestServedInstancesStayWithinBoundDuringPeerFaults checks the same while calls between instances
// get no answer in one direction, instances answer others slowly, and readers and leads leave.
func TestServedInstancesStayWithinBoundDuringPeerFaults(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { runPeerFaults(t, rand.New(rand.NewPCG(seed, 31))) })
		})
	}
}

// runPeerFaults makes fifteen random changes of which instances reach each other. The store serves
// most instances.
func runPeerFaults(t *testing.T, random *rand.Rand) {
	f := newTestFleet(t, 6+random.IntN(30))
	f.zones = 1 + random.IntN(4)
	f.settle()
	defer f.stopAll()
	servedSince := make(map[string]time.Time)
	for range 15 {
		for i := range f.size {
			if _, running := f.running[peerAddress(i)]; !running {
				f.start(i, false)
			}
		}
		var leaving []string
		unserved, noRepliesFrom, noRepliesTo := make(map[string]bool), make(map[string]bool), make(map[string]bool)
		share := random.Float64() / 2
		for name, role := range f.roles() {
			unserved[name] = random.Float64() < share
			noRepliesFrom[name], noRepliesTo[name] = random.Float64() < share, random.Float64() < share
			if role != fleet.RoleMember && random.IntN(4) == 0 {
				r := f.findRunning(name)
				r.node.lifecycle.Set(lifecycle.Leaving)
				leaving = append(leaving, r.node.config.PeerAddress)
			}
		}
		f.store.update(func(s *sharedStore) { s.isSilent = func(name string) bool { return unserved[name] } })
		f.update(func() {
			f.dropsReplies = func(from, to string) bool { return noRepliesTo[from] || noRepliesFrom[to] }
			f.slowReplyDelay = time.Duration(random.IntN(3)) * 100 * time.Millisecond
		})
		for tick := range 5 + random.IntN(80) {
			if tick == 4 {
				for _, address := range leaving {
					f.stop(address)
				}
			}
			f.checkServedAges(servedSince, unserved)
			time.Sleep(100 * time.Millisecond)
		}
	}
}
