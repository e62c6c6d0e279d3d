package membership_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/membership"
)

const step = 50 * time.Millisecond

// fleet is a set of entries in virtual time whose digests take one step and
// may be lost.
type fleet struct {
	now     time.Time
	entries []*entry
	rnd     *rand.Rand
	loss    float64
	// leaf answers probes.
	leaf func(id string) membership.Event
	sent int
}

type entry struct {
	*membership.Machine
	wakeAt time.Time
	probes int
}

func newFleet(n int) *fleet {
	f := &fleet{now: time.Unix(5000, 0), rnd: rand.New(rand.NewPCG(7, 7))}
	var list membership.Listed
	for i := range n {
		id := fmt.Sprintf("e%03d", i)
		list.Entries = append(list.Entries, membership.Entry{ID: id, Zone: "z", Address: id})
		f.entries = append(f.entries, &entry{Machine: membership.New(id, "z", rand.New(rand.NewPCG(1, uint64(i))))})
	}
	for i := range f.entries {
		f.handle(i, list)
	}
	return f
}

// handle gives an event to an entry and carries out its actions.
func (f *fleet) handle(i int, e membership.Event) {
	in := f.entries[i]
	for _, a := range append([]membership.Action(nil), in.Handle(e, f.now)...) {
		switch a := a.(type) {
		case membership.WakeAt:
			in.wakeAt = a.At
		case membership.Send:
			f.exchange(i, a.Peer)
		case membership.Probe:
			in.probes++
			f.handle(i, f.leaf(a.Leaf))
		}
	}
}

// exchange sends a digest to a peer and brings back the answer.
func (f *fleet) exchange(from int, peer string) {
	f.sent++
	if f.rnd.Float64() < f.loss {
		return
	}
	to := 0
	if _, err := fmt.Sscanf(peer, "e%03d", &to); err != nil {
		panic(err)
	}
	f.handle(to, membership.Heard{Digest: f.entries[from].Digest(f.now)})
	f.handle(from, membership.Heard{Digest: f.entries[to].Digest(f.now)})
}

// run lets time pass.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		for i, e := range f.entries {
			if !f.now.Before(e.wakeAt) {
				f.handle(i, membership.Tick{})
			}
		}
	}
}

// leaving counts the entries that give a leaf no new work.
func (f *fleet) leaving(leaf string) int {
	n := 0
	for _, e := range f.entries {
		if e.Leaving(leaf) {
			n++
		}
	}
	return n
}

// TestLeavingLeafIsKnownWithinThreeSeconds loses four in ten digests, while
// the list still calls the leaf live.
func TestLeavingLeafIsKnownWithinThreeSeconds(t *testing.T) {
	for _, n := range []int{8, 64} {
		f := newFleet(n)
		f.run(2 * time.Second)
		f.loss = 0.4
		f.handle(3, membership.LeafDraining{Leaf: "a"})
		f.run(3 * time.Second)
		if got := f.leaving("a"); got != n {
			t.Errorf("%d of %d entries know that the leaf is leaving", got, n)
		}
	}
}

// TestListAloneSuffices checks the list as a source of its own.
func TestListAloneSuffices(t *testing.T) {
	f := newFleet(1)
	f.handle(0, membership.Listed{LeavingLeaves: []string{"a"}})
	if f.leaving("a") != 1 {
		t.Error("a listed leaving leaf gets work")
	}
	f.handle(0, membership.Listed{})
	if f.leaving("a") != 0 {
		t.Error("a leaf that the list calls live again gets no work")
	}
}

// TestReturnedLeafIsAcceptedAgain checks that marks do not keep each other
// alive by being relayed.
func TestReturnedLeafIsAcceptedAgain(t *testing.T) {
	f := newFleet(8)
	f.leaf = func(id string) membership.Event { return membership.LeafReady{Leaf: id} }
	f.handle(0, membership.LeafDraining{Leaf: "a"})
	f.run(30 * time.Second)
	if got := f.leaving("a"); got != 8 {
		t.Errorf("after 30s only %d entries hold the mark", got)
	}
	f.run(35 * time.Second)
	if got := f.leaving("a"); got != 0 {
		t.Errorf("after 65s %d entries still hold the mark", got)
	}
}

// TestLongDrainIsNotForgotten checks that a leaf that drains for long, with
// the list down, gets no work, and that few probes are spent on it.
func TestLongDrainIsNotForgotten(t *testing.T) {
	f := newFleet(8)
	f.leaf = func(id string) membership.Event { return membership.LeafDraining{Leaf: id} }
	f.handle(0, membership.LeafDraining{Leaf: "a"})
	f.run(2 * time.Second)
	probes := 0
	for range 300 {
		f.run(time.Second)
		if got := f.leaving("a"); got != 8 {
			t.Fatalf("%d entries hold the mark", got)
		}
	}
	for _, e := range f.entries {
		probes += e.probes
	}
	if probes == 0 || probes > 24 {
		t.Errorf("%d probes in 300s by 8 entries", probes)
	}
}

// TestDeadLeafStaysOut checks that silence is not readiness.
func TestDeadLeafStaysOut(t *testing.T) {
	f := newFleet(2)
	f.leaf = func(id string) membership.Event { return membership.LeafSilent{Leaf: id} }
	f.handle(0, membership.LeafDraining{Leaf: "a"})
	f.run(200 * time.Second)
	if got := f.leaving("a"); got != 2 {
		t.Errorf("%d entries hold the mark", got)
	}
}

// TestLateDigestChangesNothing checks that an older digest does not undo what
// a newer one said, and that a replaced entry with a clock behind is believed.
func TestLateDigestChangesNothing(t *testing.T) {
	f := newFleet(2)
	f.entries[1].Handle(membership.InForce{Generation: 1}, f.now)
	old := f.entries[1].Digest(f.now)
	f.entries[1].Handle(membership.InForce{Generation: 2}, f.now)
	f.handle(0, membership.Heard{Digest: f.entries[1].Digest(f.now)})
	f.handle(0, membership.Heard{Digest: old})
	if got := f.entries[0].Generations(f.now)[1].Generation; got != 2 {
		t.Errorf("generation %d after a late digest, want 2", got)
	}
	old.Sequence -= 3_600_000
	f.handle(0, membership.Heard{Digest: old})
	if got := f.entries[0].Generations(f.now)[1].Generation; got != 1 {
		t.Errorf("generation %d of a replaced entry, want 1", got)
	}
}

// TestUnlistedEntryCountsWhileHeard checks that shares of connection limits
// leave room for an entry that the list does not show yet.
func TestUnlistedEntryCountsWhileHeard(t *testing.T) {
	f := newFleet(2)
	fresh := membership.New("new", "z", rand.New(rand.NewPCG(1, 9)))
	f.handle(0, membership.Heard{Digest: fresh.Digest(f.now)})
	if got := len(f.entries[0].Live(f.now)); got != 3 {
		t.Errorf("%d live entries, want 3", got)
	}
	f.now = f.now.Add(11 * time.Second)
	if got := len(f.entries[0].Live(f.now)); got != 2 {
		t.Errorf("%d live entries after silence, want 2", got)
	}
}

// TestDigestIsBounded checks that a digest does not grow with the fleet, and
// that every mark is told in the end.
func TestDigestIsBounded(t *testing.T) {
	f := newFleet(100)
	for i := range f.entries {
		f.handle(0, membership.Heard{Digest: f.entries[i].Digest(f.now)})
	}
	for i := range 200 {
		f.entries[0].Handle(membership.LeafDraining{Leaf: fmt.Sprint(i)}, f.now.Add(time.Duration(i)))
	}
	told := make(map[string]bool)
	for range 200 {
		d := f.entries[0].Digest(f.now.Add(time.Second))
		if len(d.Marks) > membership.MaxMarks || len(d.Samples) > membership.MaxSamples {
			t.Fatalf("%d marks, %d samples", len(d.Marks), len(d.Samples))
		}
		for _, mk := range d.Marks {
			told[mk.Leaf] = true
		}
	}
	if len(told) != 200 {
		t.Errorf("%d of 200 marks were told", len(told))
	}
}

// TestSightingBeforeTheReturnIsVoid relays a sighting that was made before a
// probe found the leaf ready.
func TestSightingBeforeTheReturnIsVoid(t *testing.T) {
	f := newFleet(1)
	f.handle(0, membership.LeafDraining{Leaf: "a"})
	f.now = f.now.Add(6 * time.Second)
	f.handle(0, membership.LeafReady{Leaf: "a"})
	relayed := membership.Digest{Instance: "x", Sequence: 1, Marks: []membership.Mark{{Leaf: "a", Age: time.Second}}}
	f.handle(0, membership.Heard{Digest: relayed})
	if f.leaving("a") != 0 {
		t.Error("an old sighting took the leaf out again")
	}
}
