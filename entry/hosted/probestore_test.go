package hosted

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/quarantine"
)

// probe returns the record of a probe of the request f00d.
func probe(number int) quarantine.Record {
	return quarantine.Record{Fingerprint: "f00d", Level: 3*number - 1, Probes: number, ExpiresAt: time.Now().Add(time.Minute)}
}

// newClaimingNodes makes instances over one store, which do not run.
func newClaimingNodes(t *testing.T, store *sharedStore, n int) []*Node {
	var out []*Node
	for i := range n {
		node := newIdleNode(t)
		node.config.Source = storeClient{store, instanceName(i)}
		out = append(out, node)
	}
	return out
}

// TestOneInstanceClaimsEachProbe has several instances claim the same probes.
func TestOneInstanceClaimsEachProbe(t *testing.T) {
	store := &sharedStore{quarantine: make(map[string]QuarantineRecord)}
	nodes := newClaimingNodes(t, store, 4)
	for number := 1; number <= 3; number++ {
		claims := 0
		for _, n := range nodes {
			stored, claimed := n.probeStore.Claim(context.Background(), probe(number))
			if claimed {
				claims++
			} else if stored.Probes != number {
				t.Errorf("probe %d: the refusal says %+v", number, stored)
			}
		}
		if claims != 1 {
			t.Errorf("probe %d was claimed by %d instances", number, claims)
		}
	}
	if _, claimed := nodes[0].probeStore.Claim(context.Background(), probe(1)); claimed {
		t.Error("an earlier probe was claimed after later ones")
	}
}

// TestProbeIsNotClaimedWithoutStore has the store refuse the call.
func TestProbeIsNotClaimedWithoutStore(t *testing.T) {
	store := &sharedStore{quarantine: make(map[string]QuarantineRecord), refuses: func(string) bool { return true }}
	n := newClaimingNodes(t, store, 1)[0]
	if stored, claimed := n.probeStore.Claim(context.Background(), probe(1)); claimed || stored.Fingerprint != "" {
		t.Errorf("claimed %v, stored %+v", claimed, stored)
	}
}

// TestSuspectIsSavedOnceStoreAnswers saves a suspect while the store refuses its calls: the
// record is there soon after it answers again, and it cost few calls.
func TestSuspectIsSavedOnceStoreAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &sharedStore{quarantine: make(map[string]QuarantineRecord), refuses: func(string) bool { return true }}
		n := newClaimingNodes(t, store, 1)[0]
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- n.probeStore.run(ctx) }()
		suspect := quarantine.Record{Fingerprint: "f00d", Level: 1, ExpiresAt: time.Now().Add(time.Hour)}
		n.executor.LoadQuarantine([]quarantine.Record{suspect})
		n.probeStore.Save(suspect.Fingerprint)
		time.Sleep(5 * time.Minute)
		store.update(func(s *sharedStore) { s.refuses = nil })
		time.Sleep(maxWriteRetryDelay + time.Second)
		cancel()
		if err := <-done; !errors.Is(err, context.Canceled) {
			t.Error(err)
		}
		if r, ok := store.quarantine["f00d"]; !ok || r.Level != 1 {
			t.Errorf("stored %+v", store.quarantine)
		}
		if store.quarantineWrites > 12 {
			t.Errorf("%d calls in six minutes", store.quarantineWrites)
		}
	})
}

// TestSuspectOfOutageIsRefusedUntilStoreAnswers takes the store away after a request has become a
// suspect: it reaches no leaf meanwhile, and is served again once the store answers.
func TestSuspectOfOutageIsRefusedUntilStoreAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, farm := newCrashingFleet(t, 3, 20, 2, 3*time.Second)
		defer f.stopAll()
		go f.ask(0, wideRoute, harmlessTarget)
		time.Sleep(leafWork / 2)
		farm.crashAll()
		time.Sleep(5 * time.Second) // the new leaves are known
		f.store.update(func(s *sharedStore) { s.refuses = func(string) bool { return true } })
		time.Sleep(time.Second)
		if f.ask(0, wideRoute, harmlessTarget) {
			t.Error("a suspect was served without a claim")
		}
		f.store.update(func(s *sharedStore) { s.refuses = nil })
		time.Sleep(time.Second)
		if !f.ask(0, wideRoute, harmlessTarget) {
			t.Error("a suspect was not served after the store's return")
		}
	})
}

// TestSaveDoesNotWaitForOthers saves a request while another one's save waits to be tried again.
func TestSaveDoesNotWaitForOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &sharedStore{quarantine: make(map[string]QuarantineRecord), refuses: func(string) bool { return true }}
		n := newClaimingNodes(t, store, 1)[0]
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- n.probeStore.run(ctx) }()
		for _, fingerprint := range []string{"first", "second"} {
			n.executor.LoadQuarantine([]quarantine.Record{{Fingerprint: fingerprint, Level: 1, ExpiresAt: time.Now().Add(time.Hour)}})
			n.probeStore.Save(fingerprint)
			time.Sleep(30 * time.Second)
			store.update(func(s *sharedStore) { s.refuses = nil })
		}
		time.Sleep(saveDelay + time.Second)
		cancel()
		if err := <-done; !errors.Is(err, context.Canceled) {
			t.Error(err)
		}
		if len(store.quarantine) != 2 {
			t.Errorf("stored %+v", store.quarantine)
		}
	})
}
