package control_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/api/platformapi"
	"github.com/fuchsiaroad/fuchsiaroad/config/samples"
	"github.com/fuchsiaroad/fuchsiaroad/entry/operators"
	"github.com/fuchsiaroad/fuchsiaroad/entry/platform/platformtest"
)

// convergenceTime is enough for all entries to read the list of instances and to
// exchange first digests.
const convergenceTime = 3 * time.Second

func TestSaveIsInForceEverywhereWithinTwoSeconds(t *testing.T) {
	runFleet(t, 8, func(f *fleet) {
		time.Sleep(convergenceTime)
		for i := range 5 {
			took := f.waitInForce(2*time.Second, f.mustSave(f.entries[i], i+2))
			t.Logf("in force at 8 entries %v after acceptance", took)
		}
	})
}

// TestEachDistributionPathSuffices disables all but one of watch, poll and digests;
// that one alone must bring a saved version to all entries within 2 s.
func TestEachDistributionPathSuffices(t *testing.T) {
	paths := map[string]func(e *entry){
		"watch":  func(e *entry) { e.noGet.Store(true); e.noPeers.Store(true) },
		"poll":   func(e *entry) { e.noWatch.Store(true); e.noPeers.Store(true) },
		"digest": func(e *entry) { e.noGet.Store(true); e.noWatch.Store(true) },
	}
	for name, disableOthers := range paths {
		t.Run(name, func(t *testing.T) {
			runFleet(t, 8, func(f *fleet) {
				time.Sleep(convergenceTime)
				f.waitInForce(2*time.Second, f.mustSave(f.entries[0], 2))
				for _, e := range f.entries {
					disableOthers(e)
				}
				time.Sleep(convergenceTime)
				t.Logf("by %s alone %v", name, f.waitInForce(2*time.Second, f.mustSave(f.entries[3], 3)))
			})
		})
	}
}

// TestVersionSpreadsThoughStoreFailsAfterSave cuts half of the entries off from the
// store before a save and takes the whole store down right after it is accepted.
// Digests alone must spread the version.
func TestVersionSpreadsThoughStoreFailsAfterSave(t *testing.T) {
	runFleet(t, 8, func(f *fleet) {
		time.Sleep(convergenceTime)
		f.waitInForce(2*time.Second, f.mustSave(f.entries[0], 2))
		for _, e := range f.entries[4:] {
			e.noStore.Store(true)
		}
		generation := f.mustSave(f.entries[0], 3)
		f.store.SetFaults(platformtest.Faults{Down: true})
		for _, e := range f.entries {
			e.noStore.Store(true)
		}
		t.Logf("with the store gone in force after %v", f.waitInForce(5*time.Second, generation))
	})
}

// TestSaveWithHalfOfTheEntriesCutFromTheStore saves at an entry with the store
// while half of the entries can't reach it; a save at one of those is refused.
func TestSaveWithHalfOfTheEntriesCutFromTheStore(t *testing.T) {
	runFleet(t, 8, func(f *fleet) {
		time.Sleep(convergenceTime)
		for _, e := range f.entries[4:] {
			e.noStore.Store(true)
		}
		f.waitInForce(2*time.Second, f.mustSave(f.entries[1], 2))
		if r := f.entries[7].save(3); r.State != operators.Refused {
			t.Errorf("a save at an entry without the store: %+v", r.Outcome)
		}
	})
}

// TestRestartedEntriesGetTheDocumentFromPeers restarts every entry, one after
// the other, while the platform provides neither the configuration nor the list.
func TestRestartedEntriesGetTheDocumentFromPeers(t *testing.T) {
	runFleet(t, 8, func(f *fleet) {
		time.Sleep(convergenceTime)
		generation := f.mustSave(f.entries[0], 2)
		f.waitInForce(2*time.Second, generation)
		for _, e := range f.entries {
			e.noStore.Store(true)
			e.noList.Store(true)
		}
		for i, e := range f.entries {
			e.stop()
			e.start(uint64(100 + i))
			f.waitInForce(5*time.Second, generation)
		}
	})
}

// TestNoViewWithoutADocument checks an entry whose store holds no document.
func TestNoViewWithoutADocument(t *testing.T) {
	runFleet(t, 1, func(f *fleet) {
		time.Sleep(time.Minute)
		if f.entries[0].control.Load().View() != nil {
			t.Error("a view without a document")
		}
	})
}

// TestOneOfConcurrentSavesIsAccepted has ten operators save over the same version
// at the same time, in ten rounds, while replies are lost and reads are stale.
func TestOneOfConcurrentSavesIsAccepted(t *testing.T) {
	runFleet(t, 8, func(f *fleet) {
		time.Sleep(convergenceTime)
		base := f.mustSave(f.entries[0], 2)
		f.waitInForce(2*time.Second, base)
		for round := range 10 {
			f.store.SetFaults(platformtest.Faults{
				Latency: 5 * time.Millisecond, Jitter: 20 * time.Millisecond, StaleReads: 0.3,
				LoseRequests: 0.15, LoseReplies: 0.15, DelayEffects: 0.15, EffectDelay: 300 * time.Millisecond,
			})
			results := make(chan operators.SaveResult)
			for i := range 10 {
				go func() { results <- f.entries[i%8].saveOver(100+10*round+i, base) }()
			}
			var won uint64
			accepted := 0
			for range 10 {
				r := <-results
				switch r.State {
				case operators.Accepted:
					accepted++
					won = r.Generation
				case operators.Conflict:
					if !strings.Contains(r.Diff, "+slots = ") {
						t.Errorf("a conflict without its diff: %q", r.Diff)
					}
				default:
					t.Errorf("outcome %+v", r.Outcome)
				}
			}
			if accepted != 1 {
				t.Fatalf("round %d: %d of 10 saves over version %d were accepted", round, accepted, base)
			}
			f.waitInForce(2*time.Second, won)
			f.checkStaysInForce(time.Second, won)
			base = won
		}
	})
}

// TestSaveWithLostReplyAndUnreadableStoreIsUnknown loses the reply to the write and
// fails all reads: the submitter must be told "unknown".
func TestSaveWithLostReplyAndUnreadableStoreIsUnknown(t *testing.T) {
	runFleet(t, 2, func(f *fleet) {
		time.Sleep(convergenceTime)
		f.mustSave(f.entries[0], 2)
		f.store.SetFaults(platformtest.Faults{LoseReplies: 1, FailReads: 1})
		f.entries[0].noWatch.Store(true)
		f.entries[1].noStore.Store(true)
		if r := f.entries[0].save(3); r.State != operators.Unknown {
			t.Errorf("outcome %+v, want unknown", r.Outcome)
		}
		f.store.SetFaults(platformtest.Faults{})
		f.entries[1].noStore.Store(false)
		f.waitInForce(5*time.Second, 2)
	})
}

// TestInvalidDocumentInTheStoreIsRejectedAndReplaceable writes an invalid document to
// the store directly. The version before stays in force, and a save can replace the
// invalid one.
func TestInvalidDocumentInTheStoreIsRejectedAndReplaceable(t *testing.T) {
	runFleet(t, 3, func(f *fleet) {
		time.Sleep(convergenceTime)
		generation := f.mustSave(f.entries[0], 2)
		f.waitInForce(2*time.Second, generation)
		foreign, err := f.store.Put(context.Background(), platformapi.KindConfig, platformapi.NameConfig, generation, []byte("site = 3"))
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(convergenceTime)
		current, _ := f.entries[1].control.Load().Current()
		if current.Generation != generation || current.Base != foreign || current.Fault == "" {
			t.Errorf("current %d, base %d, fault %q", current.Generation, current.Base, current.Fault)
		}
		f.waitInForce(2*time.Second, f.mustSave(f.entries[2], 4))
	})
}

// TestLeavingLeafReachesEveryView observes a leaf's drain mark at one entry and
// checks that all views show the leaf as draining, and no other leaf.
func TestLeavingLeafReachesEveryView(t *testing.T) {
	runFleet(t, 8, func(f *fleet) {
		time.Sleep(convergenceTime)
		f.waitInForce(2*time.Second, f.mustSave(f.entries[0], 2))
		leaf := samples.CapBon(samples.CapBonBasePort).Upstreams[0].Shards[3].Leaves[1].ID
		f.entries[5].control.Load().ObserveDraining(leaf, 0)
		time.Sleep(3 * time.Second)
		for _, e := range f.entries {
			for _, l := range e.control.Load().View().Leaves {
				if l.Draining != (l.ID == leaf) {
					t.Errorf("%s: leaf %s leaving: %v", e.id, l.ID, l.Draining)
				}
			}
		}
	})
}

// TestStatusListsEveryInstance checks that the status of one entry lists all
// eight with the generation in force at each.
func TestStatusListsEveryInstance(t *testing.T) {
	runFleet(t, 8, func(f *fleet) {
		time.Sleep(convergenceTime)
		generation := f.mustSave(f.entries[0], 2)
		time.Sleep(convergenceTime)
		status := f.entries[6].control.Load().ConfigStatus()
		if len(status.Instances) != 8 || status.Highest != generation {
			t.Fatalf("status %+v", status)
		}
		for _, in := range status.Instances {
			if in.Generation != generation {
				t.Errorf("%s is shown at generation %d, want %d", in.Instance, in.Generation, generation)
			}
		}
	})
}

// TestVersionSpreadsThoughSaverAndStoreFail cuts the saving entry off from
// the store after the save, as all others were before it, and restarts that entry
// 10 ms later: the digests that it sent at once must spread the version.
func TestVersionSpreadsThoughSaverAndStoreFail(t *testing.T) {
	runFleet(t, 8, func(f *fleet) {
		time.Sleep(convergenceTime)
		f.waitInForce(2*time.Second, f.mustSave(f.entries[0], 2))
		for _, e := range f.entries[1:] {
			e.noStore.Store(true)
		}
		generation := f.mustSave(f.entries[0], 3)
		f.entries[0].noStore.Store(true)
		time.Sleep(10 * time.Millisecond)
		f.entries[0].stop()
		f.entries[0].start(99)
		f.waitInForce(5*time.Second, generation)
	})
}
