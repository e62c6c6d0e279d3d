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

// settleTime lets lists and first digests pass.
const settleTime = 3 * time.Second

func TestInForceEverywhereWithinTwoSeconds(t *testing.T) {
	runFleet(t, 8, func(f *fleet) {
		time.Sleep(settleTime)
		for i := range 5 {
			took := f.within(2*time.Second, f.accept(f.entries[i], i+2))
			t.Logf("in force at 8 entries %v after acceptance", took)
		}
	})
}

// TestEachWayAlone leaves only one of watch, poll and digest working.
func TestEachWayAlone(t *testing.T) {
	ways := map[string]func(e *entry){
		"watch":  func(e *entry) { e.noGet.Store(true); e.noPeers.Store(true) },
		"poll":   func(e *entry) { e.noWatch.Store(true); e.noPeers.Store(true) },
		"digest": func(e *entry) { e.noGet.Store(true); e.noWatch.Store(true) },
	}
	for name, switchOff := range ways {
		t.Run(name, func(t *testing.T) {
			runFleet(t, 8, func(f *fleet) {
				time.Sleep(settleTime)
				f.within(2*time.Second, f.accept(f.entries[0], 2))
				for _, e := range f.entries {
					switchOff(e)
				}
				time.Sleep(settleTime)
				t.Logf("by %s alone %v", name, f.within(2*time.Second, f.accept(f.entries[3], 3)))
			})
		})
	}
}

// TestStoreGoneAfterAcceptance takes the whole platform away at the moment of
// acceptance, also from half of the entries before it.
func TestStoreGoneAfterAcceptance(t *testing.T) {
	runFleet(t, 8, func(f *fleet) {
		time.Sleep(settleTime)
		f.within(2*time.Second, f.accept(f.entries[0], 2))
		for _, e := range f.entries[4:] {
			e.noStore.Store(true)
		}
		generation := f.accept(f.entries[0], 3)
		f.store.SetFaults(platformtest.Faults{Down: true})
		for _, e := range f.entries {
			e.noStore.Store(true)
		}
		t.Logf("with the store gone in force after %v", f.within(5*time.Second, generation))
	})
}

// TestHalfCutFromTheStore saves while half of the entries can't reach it.
func TestHalfCutFromTheStore(t *testing.T) {
	runFleet(t, 8, func(f *fleet) {
		time.Sleep(settleTime)
		for _, e := range f.entries[4:] {
			e.noStore.Store(true)
		}
		f.within(2*time.Second, f.accept(f.entries[1], 2))
		if r := f.entries[7].save(3); r.State != operators.Refused {
			t.Errorf("a save at an entry without the store: %+v", r.Outcome)
		}
	})
}

// TestRestartDuringOutage replaces every entry, one after the other, while the
// platform gives neither configuration nor list.
func TestRestartDuringOutage(t *testing.T) {
	runFleet(t, 8, func(f *fleet) {
		time.Sleep(settleTime)
		generation := f.accept(f.entries[0], 2)
		f.within(2*time.Second, generation)
		for _, e := range f.entries {
			e.noStore.Store(true)
			e.noList.Store(true)
		}
		for i, e := range f.entries {
			e.stop()
			e.start(uint64(100 + i))
			f.within(5*time.Second, generation)
		}
	})
}

// TestNothingIsServedWithoutADocument checks a fresh entry that reaches no one.
func TestNothingIsServedWithoutADocument(t *testing.T) {
	runFleet(t, 1, func(f *fleet) {
		time.Sleep(time.Minute)
		if f.entries[0].control.Load().View() != nil {
			t.Error("a view without a document")
		}
	})
}

// TestOperatorsRacing has ten operators save over the same version at the same
// time, again and again, while replies are lost and reads are stale.
func TestOperatorsRacing(t *testing.T) {
	runFleet(t, 8, func(f *fleet) {
		time.Sleep(settleTime)
		base := f.accept(f.entries[0], 2)
		f.within(2*time.Second, base)
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
			f.within(2*time.Second, won)
			f.holds(time.Second, won)
			base = won
		}
	})
}

// TestLostReplyWithTheStoreGone checks that a submitter is told "unknown".
func TestLostReplyWithTheStoreGone(t *testing.T) {
	runFleet(t, 2, func(f *fleet) {
		time.Sleep(settleTime)
		f.accept(f.entries[0], 2)
		f.store.SetFaults(platformtest.Faults{LoseReplies: 1, FailReads: 1})
		f.entries[0].noWatch.Store(true)
		f.entries[1].noStore.Store(true)
		if r := f.entries[0].save(3); r.State != operators.Unknown {
			t.Errorf("outcome %+v, want unknown", r.Outcome)
		}
		f.store.SetFaults(platformtest.Faults{})
		f.entries[1].noStore.Store(false)
		f.within(5*time.Second, 2)
	})
}

// TestInvalidDocumentInTheStore checks that a foreign write does no harm and
// can be replaced.
func TestInvalidDocumentInTheStore(t *testing.T) {
	runFleet(t, 3, func(f *fleet) {
		time.Sleep(settleTime)
		generation := f.accept(f.entries[0], 2)
		f.within(2*time.Second, generation)
		foreign, err := f.store.Put(context.Background(), platformapi.KindConfig, platformapi.NameConfig, generation, []byte("site = 3"))
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(settleTime)
		current, _ := f.entries[1].control.Load().Current()
		if current.Generation != generation || current.Base != foreign || current.Fault == "" {
			t.Errorf("current %d, base %d, fault %q", current.Generation, current.Base, current.Fault)
		}
		f.within(2*time.Second, f.accept(f.entries[2], 4))
	})
}

// TestLeavingLeafReachesEveryView marks a leaf at one entry.
func TestLeavingLeafReachesEveryView(t *testing.T) {
	runFleet(t, 8, func(f *fleet) {
		time.Sleep(settleTime)
		f.within(2*time.Second, f.accept(f.entries[0], 2))
		leaf := samples.CapBon(samples.CapBonBasePort).Upstreams[0].Shards[3].Leaves[1].ID
		f.entries[5].control.Load().SawLeaving(leaf, 0)
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

// TestStatusNamesEveryInstance checks the generation in force per instance.
func TestStatusNamesEveryInstance(t *testing.T) {
	runFleet(t, 8, func(f *fleet) {
		time.Sleep(settleTime)
		generation := f.accept(f.entries[0], 2)
		time.Sleep(settleTime)
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

// TestSaverAndStoreGone takes the store away at acceptance and the entry that
// saved a moment later: what it pushed must be enough.
func TestSaverAndStoreGone(t *testing.T) {
	runFleet(t, 8, func(f *fleet) {
		time.Sleep(settleTime)
		f.within(2*time.Second, f.accept(f.entries[0], 2))
		for _, e := range f.entries[1:] {
			e.noStore.Store(true)
		}
		generation := f.accept(f.entries[0], 3)
		f.entries[0].noStore.Store(true)
		time.Sleep(10 * time.Millisecond)
		f.entries[0].stop()
		f.entries[0].start(99)
		f.within(5*time.Second, generation)
	})
}
