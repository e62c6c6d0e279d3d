package rollout_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/rollout"
)

// TestAnyOrderOfFaults runs saves, stale reads and watch events, lost and delayed writes,
// outages, invalid writes by other programs and restarts in any order.
func TestAnyOrderOfFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t, 3)
		pick := func() *instance { return rapid.SampledFrom(sim.instances).Draw(t, "instance") }
		t.Repeat(map[string]func(*rapid.T){
			"deliver": func(t *rapid.T) {
				if len(sim.queue) == 0 {
					t.Skip()
				}
				sim.deliver(rapid.IntRange(0, len(sim.queue)-1).Draw(t, "message"))
			},
			"submit": func(*rapid.T) {
				in := pick()
				sim.submit(in, in.machine.Base())
			},
			"submit old form": func(t *rapid.T) {
				sim.submit(pick(), rapid.Uint64Range(0, sim.latestGeneration()).Draw(t, "base"))
			},
			"advance": func(t *rapid.T) {
				sim.advance(time.Duration(rapid.IntRange(10, 5000).Draw(t, "ms")) * time.Millisecond)
			},
			"watch": func(t *rapid.T) {
				if sim.latestGeneration() == 0 {
					t.Skip()
				}
				v := sim.store[rapid.Uint64Range(0, sim.latestGeneration()-1).Draw(t, "event")]
				sim.handle(pick(), rollout.VersionSeen{Version: v, Source: rollout.SourceWatch})
			},
			"digest":  func(*rapid.T) { sim.announce(pick()) },
			"restart": func(*rapid.T) { sim.start(pick()) },
			"outage":  func(*rapid.T) { sim.outage = !sim.outage },
			"foreign write": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "rare") == 0 {
					sim.store = append(sim.store, parse(sim.latestGeneration()+1, []byte(invalidText)))
				}
			},
			"": func(*rapid.T) { sim.checkOutcomes() },
		})
		sim.checkConvergence()
	})
}

// deliverAll delivers all messages and fails if there is no end to them.
func (sim *simulation) deliverAll() {
	for range 10000 {
		if len(sim.queue) == 0 {
			return
		}
		sim.deliver(0)
	}
	sim.t.Fatalf("10000 messages were delivered and more are queued")
}

// checkConvergence ends all faults and checks that every instance reaches the newest version
// and that every submitter that still waits gets a correct outcome.
func (sim *simulation) checkConvergence() {
	sim.faultless, sim.outage = true, false
	for range 40 {
		sim.deliverAll()
		for _, in := range sim.instances {
			sim.announce(in)
		}
		sim.advance(500 * time.Millisecond)
	}
	sim.checkOutcomes()
	highest := uint64(0)
	for _, in := range sim.instances {
		highest = max(highest, in.machine.Current().Generation)
	}
	if n := sim.latestGeneration(); n > 0 && sim.store[n-1].InvalidReason == "" && highest != n {
		sim.t.Fatalf("generation %d is accepted, the highest in force is %d", n, highest)
	}
	for _, in := range sim.instances {
		if got := in.machine.Current().Generation; got != highest {
			sim.t.Fatalf("instance %s stays at generation %d, others are at %d", in.id, got, highest)
		}
		for _, s := range in.saves {
			if len(s.outcomes) == 0 {
				sim.t.Fatalf("save %s was never answered", s.nonce)
			}
		}
	}
}

// machine is a rollout machine with a clock.
type machine struct {
	*rollout.Machine
	now time.Time
}

func newMachine() *machine {
	return &machine{rollout.New(rand.New(rand.NewPCG(1, 1))), time.Unix(0, 0)}
}

func (m *machine) handle(e rollout.Event) []rollout.Action {
	return append([]rollout.Action(nil), m.Handle(e, m.now)...)
}

// activateFirst activates a first version from the store, after the initial hold in which
// a started instance asks its peers.
func (m *machine) activateFirst(generation uint64) []rollout.Action {
	m.handle(rollout.VersionSeen{Version: parse(generation, []byte("a")), Source: rollout.SourceStore})
	m.now = m.now.Add(time.Second)
	return m.handle(rollout.Tick{})
}

// TestFirstVersionComesFromPeersIfStoreIsStale gives an instance that has started a stale
// version from the store: it must ask its peers and activate the version in force there.
func TestFirstVersionComesFromPeersIfStoreIsStale(t *testing.T) {
	m := newMachine()
	m.handle(rollout.Start{})
	actions := m.handle(rollout.VersionSeen{Version: parse(3, []byte("a")), Source: rollout.SourceStore})
	if _, ok := findAction[rollout.Activate](actions); ok {
		t.Error("the store's version was activated before any peer answered")
	}
	if _, ok := findAction[rollout.AskAllPeers](actions); !ok {
		t.Error("the peers were not asked")
	}
	activated, ok := findAction[rollout.Activate](m.handle(rollout.VersionSeen{Version: parse(4, []byte("b")), Source: rollout.SourcePeer, Peer: "p"}))
	if !ok || activated.Version.Generation != 4 {
		t.Errorf("activated %d, want the peer's 4", activated.Version.Generation)
	}
	m.now = m.now.Add(time.Second)
	if again, ok := findAction[rollout.Activate](m.handle(rollout.Tick{})); ok {
		t.Errorf("then activated %d", again.Version.Generation)
	}
}

// TestFirstVersionComesFromStoreWithoutPeers lets the initial hold end without a peer.
func TestFirstVersionComesFromStoreWithoutPeers(t *testing.T) {
	m := newMachine()
	activated, ok := findAction[rollout.Activate](m.activateFirst(3))
	if !ok || activated.Version.Generation != 3 {
		t.Errorf("activated %d, want 3", activated.Version.Generation)
	}
}

// findAction returns the first action of a type.
func findAction[A rollout.Action](actions []rollout.Action) (A, bool) {
	for _, a := range actions {
		if found, ok := a.(A); ok {
			return found, true
		}
	}
	var none A
	return none, false
}

func TestPeersAreAskedWhenStoreIsDown(t *testing.T) {
	m := newMachine()
	if _, ok := findAction[rollout.ReadStore](m.handle(rollout.Start{})); !ok {
		t.Error("the store was not read first")
	}
	if _, ok := findAction[rollout.AskAllPeers](m.handle(rollout.StoreFailed{})); !ok {
		t.Error("the peers were not asked")
	}
	m.handle(rollout.VersionSeen{Version: parse(4, []byte("a")), Source: rollout.SourcePeer})
	if m.Current().Generation != 4 {
		t.Errorf("generation %d is in force, want 4", m.Current().Generation)
	}
	if _, ok := findAction[rollout.AskAllPeers](m.handle(rollout.StoreFailed{})); ok {
		t.Error("an instance with a document asked its peers again")
	}
}

// TestInvalidVersionIsRejected checks that the old document stays in force, that the
// rejection is reported once, and that an operator can replace the invalid version.
func TestInvalidVersionIsRejected(t *testing.T) {
	m := newMachine()
	m.activateFirst(3)
	bad := rollout.VersionSeen{Version: parse(5, []byte(invalidText)), Source: rollout.SourceWatch}
	if _, ok := findAction[rollout.RejectVersion](m.handle(bad)); !ok {
		t.Error("the invalid version was not reported")
	}
	if _, ok := findAction[rollout.RejectVersion](m.handle(bad)); ok {
		t.Error("the invalid version was reported twice")
	}
	if m.Current().Generation != 3 || m.Base() != 5 || m.InvalidVersion().Generation != 5 {
		t.Errorf("in force %d, base %d, invalid %d", m.Current().Generation, m.Base(), m.InvalidVersion().Generation)
	}
	put, ok := findAction[rollout.PutStore](m.handle(rollout.Submit{ID: 1, Nonce: "n", TOML: []byte("b"), Hash: "b", IfVersion: 5}))
	if !ok || put.IfVersion != 5 {
		t.Errorf("the replacement was not written over generation 5: %+v", put)
	}
}

// TestLostReplySettledByLaterHistory settles a save that took effect and that other saves
// have replaced since.
func TestLostReplySettledByLaterHistory(t *testing.T) {
	m := newMachine()
	m.handle(rollout.VersionSeen{Version: parse(1, []byte("a")), Source: rollout.SourceStore})
	put, _ := findAction[rollout.PutStore](m.handle(rollout.Submit{ID: 7, Nonce: "mine", TOML: []byte("b"), Hash: "b", IfVersion: 1}))
	m.handle(rollout.PutUnknown{ID: 7})
	later := rollout.EncodeValue(rollout.SaveRecord{Nonce: "other", Base: 2}, rollout.ParseHistory(put.Value), []byte("c"))
	res, ok := findAction[rollout.ResolveSave](m.handle(rollout.VersionSeen{Version: parse(3, later), Source: rollout.SourceStore}))
	if !ok || res.Outcome.State != rollout.Accepted || res.Outcome.Generation != 2 {
		t.Errorf("outcome %+v, want accepted at generation 2", res.Outcome)
	}
}

// TestLostReplyIsUnknownUntilSettled checks that a submitter gets Unknown if nothing settles
// the save, and the final outcome when a version does so later.
func TestLostReplyIsUnknownUntilSettled(t *testing.T) {
	m := newMachine()
	put, _ := findAction[rollout.PutStore](m.handle(rollout.Submit{ID: 7, Nonce: "mine", TOML: []byte("b"), Hash: "b"}))
	m.handle(rollout.PutUnknown{ID: 7})
	m.handle(rollout.StoreFailed{})
	m.now = m.now.Add(rollout.SubmitTimeout)
	res, ok := findAction[rollout.ResolveSave](m.handle(rollout.Tick{}))
	if !ok || res.Outcome.State != rollout.Unknown {
		t.Fatalf("outcome %+v, want unknown", res.Outcome)
	}
	if _, ok := findAction[rollout.PutStore](m.handle(rollout.StoreEmpty{})); ok {
		t.Error("the save was written again after the submitter was answered")
	}
	res, ok = findAction[rollout.ResolveSave](m.handle(rollout.VersionSeen{Version: parse(1, put.Value), Source: rollout.SourceWatch}))
	if !ok || res.Outcome.State != rollout.Accepted {
		t.Errorf("outcome %+v, want accepted", res.Outcome)
	}
}

func TestSaveOfStaleFormConflictsWithoutWrite(t *testing.T) {
	m := newMachine()
	m.activateFirst(9)
	actions := m.handle(rollout.Submit{ID: 1, Nonce: "n", TOML: []byte("b"), IfVersion: 8})
	res, ok := findAction[rollout.ResolveSave](actions)
	if !ok || res.Outcome.State != rollout.Conflict || res.Outcome.Current.Generation != 9 {
		t.Errorf("outcome %+v, want a conflict with generation 9", res.Outcome)
	}
	if _, ok := findAction[rollout.PutStore](actions); ok {
		t.Error("the save was written nevertheless")
	}
}

func TestPollIntervalGrowsWithFleet(t *testing.T) {
	m := newMachine()
	m.SetInstanceCount(4500)
	m.activateFirst(1)
	wake, _ := findAction[rollout.WakeAt](m.handle(rollout.VersionSeen{Version: parse(1, []byte("a")), Source: rollout.SourceStore}))
	if wait := wake.At.Sub(m.now); wait < 45*time.Second || wait > 135*time.Second {
		t.Errorf("next poll in %v, want about 90s", wait)
	}
}

func TestHistoryIsBounded(t *testing.T) {
	value := []byte("x = 1\n")
	for i := range 100 {
		value = rollout.EncodeValue(rollout.SaveRecord{Nonce: "n", Base: uint64(i)}, rollout.ParseHistory(value), value)
	}
	records := rollout.ParseHistory(value)
	if len(records) != 32 || records[0].Base != 99 {
		t.Errorf("%d records, newest over %d", len(records), records[0].Base)
	}
	if got := string(rollout.DocumentText(value)); got != "x = 1\n" {
		t.Errorf("text %q", got)
	}
}

// TestConflictAfterLostReplyIsNotFinal checks that a conflict is not resolved without proof
// from the history, because the earlier attempt may have caused it.
func TestConflictAfterLostReplyIsNotFinal(t *testing.T) {
	m := newMachine()
	m.handle(rollout.Submit{ID: 1, Nonce: "mine", TOML: []byte("b"), Hash: "b"})
	m.handle(rollout.PutUnknown{ID: 1})
	if _, ok := findAction[rollout.PutStore](m.handle(rollout.StoreEmpty{})); !ok {
		t.Fatal("a save that a read did not find was not written again")
	}
	m.handle(rollout.PutConflict{ID: 1})
	if res, ok := findAction[rollout.ResolveSave](m.handle(rollout.VersionSeen{Version: parse(5, []byte("by hand")), Source: rollout.SourceStore})); ok {
		t.Errorf("outcome %+v without proof", res.Outcome)
	}
}

// TestPollIntervalIsLongerWithWorkingWatch compares the intervals with and without a watch.
func TestPollIntervalIsLongerWithWorkingWatch(t *testing.T) {
	m := newMachine()
	m.activateFirst(1)
	wait := func() time.Duration {
		wake, _ := findAction[rollout.WakeAt](m.handle(rollout.VersionSeen{Version: parse(1, []byte("a")), Source: rollout.SourceStore}))
		return wake.At.Sub(m.now)
	}
	if got := wait(); got > 2*time.Second {
		t.Errorf("next poll in %v without a watch", got)
	}
	m.SetWatchWorking(true, m.now)
	if got := wait(); got < 3*time.Second || got > 9*time.Second {
		t.Errorf("next poll in %v with a watch, want about 6 s", got)
	}
	m.SetWatchWorking(false, m.now)
	wake, _ := findAction[rollout.WakeAt](m.handle(rollout.Tick{}))
	if got := wake.At.Sub(m.now); got > time.Second {
		t.Errorf("next poll in %v after the watch failed", got)
	}
}
