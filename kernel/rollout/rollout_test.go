package rollout_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/rollout"
)

// TestAnyOrderOfFaults runs saves, stale reads and watches, lost and late
// writes, outages, invalid foreign writes and restarts in any order.
func TestAnyOrderOfFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 3)
		pick := func() *instance { return rapid.SampledFrom(w.insts).Draw(t, "instance") }
		t.Repeat(map[string]func(*rapid.T){
			"deliver": func(t *rapid.T) {
				if len(w.pending) == 0 {
					t.Skip()
				}
				w.deliver(rapid.IntRange(0, len(w.pending)-1).Draw(t, "message"))
			},
			"submit": func(*rapid.T) {
				in := pick()
				w.submit(in, in.m.Base())
			},
			"submit old form": func(t *rapid.T) {
				w.submit(pick(), rapid.Uint64Range(0, w.latest()).Draw(t, "base"))
			},
			"advance": func(t *rapid.T) {
				w.advance(time.Duration(rapid.IntRange(10, 5000).Draw(t, "ms")) * time.Millisecond)
			},
			"watch": func(t *rapid.T) {
				if w.latest() == 0 {
					t.Skip()
				}
				v := w.store[rapid.Uint64Range(0, w.latest()-1).Draw(t, "event")]
				w.handle(pick(), rollout.VersionSeen{Version: v, Source: rollout.SourceWatch})
			},
			"digest":  func(*rapid.T) { w.digest(pick()) },
			"restart": func(*rapid.T) { w.start(pick()) },
			"outage":  func(*rapid.T) { w.outage = !w.outage },
			"foreign write": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "rare") == 0 {
					w.store = append(w.store, parse(w.latest()+1, []byte(invalid)))
				}
			},
			"": func(*rapid.T) { w.truthful() },
		})
		w.settleDown()
	})
}

// drain delivers all messages, of which there must be an end.
func (w *world) drain() {
	for range 10000 {
		if len(w.pending) == 0 {
			return
		}
		w.deliver(0)
	}
	w.t.Fatalf("the messages have no end")
}

// settleDown ends all faults and checks that every instance reaches the newest
// version and that every submitter that still waits learns the truth.
func (w *world) settleDown() {
	w.calm, w.outage = true, false
	for range 40 {
		w.drain()
		for _, in := range w.insts {
			w.digest(in)
		}
		w.advance(500 * time.Millisecond)
	}
	w.truthful()
	highest := uint64(0)
	for _, in := range w.insts {
		highest = max(highest, in.m.Current().Generation)
	}
	if n := w.latest(); n > 0 && w.store[n-1].InvalidReason == "" && highest != n {
		w.t.Fatalf("generation %d is accepted, the highest in force is %d", n, highest)
	}
	for _, in := range w.insts {
		if got := in.m.Current().Generation; got != highest {
			w.t.Fatalf("instance %s stays at generation %d, others are at %d", in.id, got, highest)
		}
		for _, s := range in.saves {
			if len(s.states) == 0 {
				w.t.Fatalf("save %s was never answered", s.nonce)
			}
		}
	}
}

// machine is one machine with a clock.
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

// begin puts a first version of the store in force, which takes the time for
// which a fresh instance listens to its peers.
func (m *machine) begin(generation uint64) []rollout.Action {
	m.handle(rollout.VersionSeen{Version: parse(generation, []byte("a")), Source: rollout.SourceStore})
	m.now = m.now.Add(time.Second)
	return m.handle(rollout.Tick{})
}

// TestFreshInstanceHearsPeersOverAnOldStore gives a fresh instance an old
// version by the store: it asks its peers, and enforces what is in force there.
func TestFreshInstanceHearsPeersOverAnOldStore(t *testing.T) {
	m := newMachine()
	m.handle(rollout.Start{})
	actions := m.handle(rollout.VersionSeen{Version: parse(3, []byte("a")), Source: rollout.SourceStore})
	if _, ok := find[rollout.Activate](actions); ok {
		t.Error("the store's word was enforced before any peer was heard")
	}
	if _, ok := find[rollout.AskAllPeers](actions); !ok {
		t.Error("the peers were not asked")
	}
	enforced, ok := find[rollout.Activate](m.handle(rollout.VersionSeen{Version: parse(4, []byte("b")), Source: rollout.SourcePeer, Peer: "p"}))
	if !ok || enforced.Version.Generation != 4 {
		t.Errorf("enforced %d, want the peer's 4", enforced.Version.Generation)
	}
	m.now = m.now.Add(time.Second)
	if again, ok := find[rollout.Activate](m.handle(rollout.Tick{})); ok {
		t.Errorf("went on to %d", again.Version.Generation)
	}
}

// TestFreshInstanceWithoutPeersTakesTheStoresWord ends the wait.
func TestFreshInstanceWithoutPeersTakesTheStoresWord(t *testing.T) {
	m := newMachine()
	enforced, ok := find[rollout.Activate](m.begin(3))
	if !ok || enforced.Version.Generation != 3 {
		t.Errorf("enforced %d, want 3", enforced.Version.Generation)
	}
}

// find returns the first action of a type.
func find[A rollout.Action](actions []rollout.Action) (A, bool) {
	for _, a := range actions {
		if found, ok := a.(A); ok {
			return found, true
		}
	}
	var none A
	return none, false
}

func TestFreshInstanceAsksPeersWhenTheStoreIsDown(t *testing.T) {
	m := newMachine()
	if _, ok := find[rollout.ReadStore](m.handle(rollout.Start{})); !ok {
		t.Error("the store was not asked first")
	}
	if _, ok := find[rollout.AskAllPeers](m.handle(rollout.StoreFailed{})); !ok {
		t.Error("the peers were not asked")
	}
	m.handle(rollout.VersionSeen{Version: parse(4, []byte("a")), Source: rollout.SourcePeer})
	if m.Current().Generation != 4 {
		t.Errorf("generation %d is in force, want 4", m.Current().Generation)
	}
	if _, ok := find[rollout.AskAllPeers](m.handle(rollout.StoreFailed{})); ok {
		t.Error("an instance with a document searched again")
	}
}

// TestInvalidVersionIsRefused checks that the old document stays, that the
// report comes once, and that an operator can replace the invalid version.
func TestInvalidVersionIsRefused(t *testing.T) {
	m := newMachine()
	m.begin(3)
	bad := rollout.VersionSeen{Version: parse(5, []byte(invalid)), Source: rollout.SourceWatch}
	if _, ok := find[rollout.RejectVersion](m.handle(bad)); !ok {
		t.Error("the invalid version was not reported")
	}
	if _, ok := find[rollout.RejectVersion](m.handle(bad)); ok {
		t.Error("the invalid version was reported twice")
	}
	if m.Current().Generation != 3 || m.Base() != 5 || m.InvalidVersion().Generation != 5 {
		t.Errorf("in force %d, base %d, refused %d", m.Current().Generation, m.Base(), m.InvalidVersion().Generation)
	}
	put, ok := find[rollout.PutStore](m.handle(rollout.Submit{ID: 1, Nonce: "n", TOML: []byte("b"), Hash: "b", IfVersion: 5}))
	if !ok || put.IfVersion != 5 {
		t.Errorf("the replacement was not written over generation 5: %+v", put)
	}
}

// TestLostReplyFoundUnderLaterSaves settles a save that took effect and that
// other saves have replaced since.
func TestLostReplyFoundUnderLaterSaves(t *testing.T) {
	m := newMachine()
	m.handle(rollout.VersionSeen{Version: parse(1, []byte("a")), Source: rollout.SourceStore})
	put, _ := find[rollout.PutStore](m.handle(rollout.Submit{ID: 7, Nonce: "mine", TOML: []byte("b"), Hash: "b", IfVersion: 1}))
	m.handle(rollout.PutUnknown{ID: 7})
	later := rollout.EncodeValue(rollout.SaveRecord{Nonce: "other", Base: 2}, rollout.ParseHistory(put.Value), []byte("c"))
	res, ok := find[rollout.ResolveSave](m.handle(rollout.VersionSeen{Version: parse(3, later), Source: rollout.SourceStore}))
	if !ok || res.Outcome.State != rollout.Accepted || res.Outcome.Generation != 2 {
		t.Errorf("outcome %+v, want accepted at generation 2", res.Outcome)
	}
}

// TestLostReplyStaysUnknown checks that a submitter hears "unknown" when
// nothing settles the save, and the truth when something does later.
func TestLostReplyStaysUnknown(t *testing.T) {
	m := newMachine()
	put, _ := find[rollout.PutStore](m.handle(rollout.Submit{ID: 7, Nonce: "mine", TOML: []byte("b"), Hash: "b"}))
	m.handle(rollout.PutUnknown{ID: 7})
	m.handle(rollout.StoreFailed{})
	m.now = m.now.Add(rollout.SubmitTimeout)
	res, ok := find[rollout.ResolveSave](m.handle(rollout.Tick{}))
	if !ok || res.Outcome.State != rollout.Unknown {
		t.Fatalf("outcome %+v, want unknown", res.Outcome)
	}
	if _, ok := find[rollout.PutStore](m.handle(rollout.StoreEmpty{})); ok {
		t.Error("it was written again after the submitter was told")
	}
	res, ok = find[rollout.ResolveSave](m.handle(rollout.VersionSeen{Version: parse(1, put.Value), Source: rollout.SourceWatch}))
	if !ok || res.Outcome.State != rollout.Accepted {
		t.Errorf("outcome %+v, want accepted", res.Outcome)
	}
}

func TestSaveOfAnOldFormConflictsAtOnce(t *testing.T) {
	m := newMachine()
	m.begin(9)
	actions := m.handle(rollout.Submit{ID: 1, Nonce: "n", TOML: []byte("b"), IfVersion: 8})
	res, ok := find[rollout.ResolveSave](actions)
	if !ok || res.Outcome.State != rollout.Conflict || res.Outcome.Current.Generation != 9 {
		t.Errorf("outcome %+v, want a conflict with generation 9", res.Outcome)
	}
	if _, ok := find[rollout.PutStore](actions); ok {
		t.Error("the store was asked all the same")
	}
}

func TestPollsOfALargeFleetAreSpread(t *testing.T) {
	m := newMachine()
	m.SetInstanceCount(4500)
	m.begin(1)
	wake, _ := find[rollout.WakeAt](m.handle(rollout.VersionSeen{Version: parse(1, []byte("a")), Source: rollout.SourceStore}))
	if wait := wake.At.Sub(m.now); wait < 45*time.Second || wait > 135*time.Second {
		t.Errorf("next poll in %v, want about 90s", wait)
	}
}

func TestHistoryIsBounded(t *testing.T) {
	value := []byte("x = 1\n")
	for i := range 100 {
		value = rollout.EncodeValue(rollout.SaveRecord{Nonce: "n", Base: uint64(i)}, rollout.ParseHistory(value), value)
	}
	links := rollout.ParseHistory(value)
	if len(links) != 32 || links[0].Base != 99 {
		t.Errorf("%d links, newest over %d", len(links), links[0].Base)
	}
	if got := string(rollout.DocumentText(value)); got != "x = 1\n" {
		t.Errorf("text %q", got)
	}
}

// TestConflictAfterALostReplyProvesNothing checks that a conflict may be the
// work of the earlier try when the history does not tell.
func TestConflictAfterALostReplyProvesNothing(t *testing.T) {
	m := newMachine()
	m.handle(rollout.Submit{ID: 1, Nonce: "mine", TOML: []byte("b"), Hash: "b"})
	m.handle(rollout.PutUnknown{ID: 1})
	if _, ok := find[rollout.PutStore](m.handle(rollout.StoreEmpty{})); !ok {
		t.Fatal("a save that a read did not find was not tried again")
	}
	m.handle(rollout.PutConflict{ID: 1})
	if res, ok := find[rollout.ResolveSave](m.handle(rollout.VersionSeen{Version: parse(5, []byte("by hand")), Source: rollout.SourceStore})); ok {
		t.Errorf("outcome %+v without proof", res.Outcome)
	}
}

// TestPollsAreRareWhileTheWatchWorks compares the waits with and without a watch.
func TestPollsAreRareWhileTheWatchWorks(t *testing.T) {
	m := newMachine()
	m.begin(1)
	wait := func() time.Duration {
		wake, _ := find[rollout.WakeAt](m.handle(rollout.VersionSeen{Version: parse(1, []byte("a")), Source: rollout.SourceStore}))
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
	wake, _ := find[rollout.WakeAt](m.handle(rollout.Tick{}))
	if got := wake.At.Sub(m.now); got > time.Second {
		t.Errorf("next poll in %v after the watch failed", got)
	}
}
