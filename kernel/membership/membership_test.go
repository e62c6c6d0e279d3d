package membership

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if os.Getenv("FUCHSIAROAD_LONG") == "" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

// epoch is where the tests' virtual time starts.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// forwardDelay is the time of an exchange between two entries.
const forwardDelay = 3 * time.Millisecond

// fleet drives machines in virtual time: each SendDigest is an exchange.
type fleet struct {
	now      time.Time
	machines []*Machine
	wake     []time.Time
	mail     []letter
	cut      map[int]bool // machines that no exchange reaches
	sent     int
}

// letter is a digest on its way.
type letter struct {
	at       time.Time
	from, to int
	digest   *Digest
	answer   bool
}

// name is an instance's ID.
func name(i int) string { return fmt.Sprintf("entry-%03d", i) }

// newFleet makes n machines that all know the list.
func newFleet(n int, leaves ...Instance) *fleet {
	f := &fleet{now: epoch, wake: make([]time.Time, n), cut: make(map[int]bool)}
	list := append([]Instance(nil), leaves...)
	for i := range n {
		list = append(list, Instance{ID: name(i), Entry: true, PeerAddress: name(i)})
	}
	for i := range n {
		f.machines = append(f.machines, New(DefaultConfig(name(i), uint64(i+1))))
		f.give(i, ListRead{Instances: list})
	}
	return f
}

// give hands an event to a machine and carries out its actions.
func (f *fleet) give(i int, ev Event) {
	for _, a := range f.machines[i].Handle(ev, f.now) {
		switch a := a.(type) {
		case WakeAt:
			f.wake[i] = a.At
		case SendDigest:
			var to int
			_, _ = fmt.Sscanf(a.Peer.Instance, "entry-%d", &to)
			f.sent++
			f.mail = append(f.mail, letter{f.now.Add(forwardDelay), i, to, f.machines[i].Digest(f.now), true})
		}
	}
}

// run lets virtual time pass in steps of a millisecond.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(time.Millisecond) {
		f.deliver()
		for i := range f.machines {
			if !f.now.Before(f.wake[i]) {
				f.give(i, Tick{})
			}
		}
	}
}

// deliver hands over the letters that have arrived; an exchange has an answer.
func (f *fleet) deliver() {
	mail := f.mail
	f.mail = nil
	for _, l := range mail {
		switch {
		case f.now.Before(l.at):
			f.mail = append(f.mail, l)
		case f.cut[l.from] || f.cut[l.to]:
		default:
			f.give(l.to, DigestReceived{Digest: l.digest})
			if l.answer {
				f.mail = append(f.mail, letter{f.now.Add(forwardDelay), l.to, l.from, f.machines[l.to].Digest(f.now), false})
			}
		}
	}
}

// knowing counts the machines that hold a leaf for leaving.
func (f *fleet) knowing(leaf string) int {
	n := 0
	for _, m := range f.machines {
		if m.Leaving(leaf) {
			n++
		}
	}
	return n
}

// TestLeavingIsKnownWithinThreeSeconds lets one entry see a leaf's mark, while
// the list says that it is live, at three sizes of the fleet.
func TestLeavingIsKnownWithinThreeSeconds(t *testing.T) {
	for _, n := range []int{2, 8, 64} {
		f := newFleet(n, Instance{ID: "leaf"})
		f.run(2 * time.Second)
		f.give(0, LeavingObserved{Leaf: "leaf"})
		f.run(3 * time.Second)
		if got := f.knowing("leaf"); got != n {
			t.Errorf("%d of %d entries know it after 3 s", got, n)
		}
	}
}

// TestLeavingIsKnownWithoutPush shows that the rounds alone carry it, later.
func TestLeavingIsKnownWithoutPush(t *testing.T) {
	f := newFleet(8, Instance{ID: "leaf"})
	for _, m := range f.machines {
		m.cfg.PushFanout = 0
	}
	f.give(0, LeavingObserved{Leaf: "leaf"})
	f.run(10 * time.Second)
	if got := f.knowing("leaf"); got != 8 {
		t.Errorf("%d of 8 entries know it after 10 s of rounds", got)
	}
}

// TestMarkOutlivesTheListsLag keeps a leaf leaving while the list lags and
// nobody sees its mark any more, and takes it back at last.
func TestMarkOutlivesTheListsLag(t *testing.T) {
	f := newFleet(3, Instance{ID: "leaf"})
	f.give(0, LeavingObserved{Leaf: "leaf"})
	f.run(30 * time.Second)
	if got := f.knowing("leaf"); got != 3 {
		t.Errorf("%d of 3 entries still know it after 30 s", got)
	}
	f.run(2 * time.Minute)
	if got := f.knowing("leaf"); got != 0 {
		t.Errorf("%d entries hold it for leaving long after the last observation", got)
	}
}

// TestMarksDoNotKeepEachOtherAlive relays a mark among many entries: its age
// goes with it, so that it ends for all at the same time.
func TestMarksDoNotKeepEachOtherAlive(t *testing.T) {
	f := newFleet(8)
	f.give(3, LeavingObserved{Leaf: "leaf"})
	f.run(DefaultConfig("", 0).LeavingTTL + 5*time.Second)
	if got := f.knowing("leaf"); got != 0 {
		t.Errorf("%d entries keep a mark that nobody has seen for its whole life", got)
	}
}

// TestLeafThatStartsAgainIsNotLeaving lets a leaf drain and start again under its ID: the
// mark ends at each entry with the later birth, and no relayed mark brings it back.
func TestLeafThatStartsAgainIsNotLeaving(t *testing.T) {
	f := newFleet(8, Instance{ID: "leaf"})
	f.give(0, LeavingObserved{Leaf: "leaf", StartedAtMS: 100})
	f.run(5 * time.Second)
	if got := f.knowing("leaf"); got != 8 {
		t.Fatalf("%d of 8 entries know that it leaves", got)
	}
	for i := range 7 { // the last one has not asked it yet
		f.give(i, StartObserved{Leaf: "leaf", StartedAtMS: 200})
	}
	f.give(3, LeavingObserved{Leaf: "leaf", StartedAtMS: 100}) // a late word of the earlier start
	f.run(10 * time.Second)
	if got := f.knowing("leaf"); got != 1 {
		t.Errorf("%d entries hold it for leaving, want only the one that has not asked it", got)
	}
	f.give(2, LeavingObserved{Leaf: "leaf", StartedAtMS: 200})
	f.run(3 * time.Second)
	if got := f.knowing("leaf"); got != 8 {
		t.Errorf("%d of 8 entries know that it leaves again", got)
	}
}

// TestClockOfALeafWentBack starts a leaf again with an earlier birth: its drain is not
// taken back, it is not lost for good, and when it drains that is known.
func TestClockOfALeafWentBack(t *testing.T) {
	m := New(DefaultConfig("a", 1))
	at := epoch
	give := func(ev Event) { m.Handle(ev, at) }
	give(LeavingObserved{Leaf: "leaf", StartedAtMS: 200})
	give(StartObserved{Leaf: "leaf", StartedAtMS: 100})
	if !m.Leaving("leaf") {
		t.Error("an earlier birth took a drain back")
	}
	at = at.Add(DefaultConfig("", 0).LeavingTTL + time.Second)
	give(Tick{})
	if m.Leaving("leaf") {
		t.Error("the leaf is lost for longer than a mark lives")
	}
	give(LeavingObserved{Leaf: "leaf", StartedAtMS: 100})
	if !m.Leaving("leaf") {
		t.Error("a drain of the present start counts for nothing")
	}
}

// TestListSaysLeaving takes the platform's own word.
func TestListSaysLeaving(t *testing.T) {
	m := New(DefaultConfig("a", 1))
	m.Handle(ListRead{Instances: []Instance{{ID: "leaf", Leaving: true}}}, epoch)
	if !m.Leaving("leaf") {
		t.Error("the list's word is not taken")
	}
	m.Handle(ListRead{Instances: []Instance{{ID: "leaf"}}}, epoch)
	if m.Leaving("leaf") {
		t.Error("a leaf that the list calls live again is still held for leaving")
	}
}

// TestEntriesThatMayHoldConnections counts leaving and merely heard entries.
func TestEntriesThatMayHoldConnections(t *testing.T) {
	m := New(DefaultConfig("a", 1))
	m.Handle(ListRead{Instances: []Instance{{ID: "a", Entry: true}, {ID: "b", Entry: true, Leaving: true}, {ID: "leaf"}}}, epoch)
	m.Handle(DigestReceived{Digest: &Digest{Instance: "c"}}, epoch)
	if got := fmt.Sprint(m.Entries()); got != "[a b c]" {
		t.Errorf("entries %s, want [a b c]", got)
	}
	m.Handle(Tick{}, epoch.Add(time.Minute))
	if got := fmt.Sprint(m.Entries()); got != "[a b]" {
		t.Errorf("entries %s after c fell silent, want [a b]", got)
	}
}

// TestDigestIsBounded gives a machine far more than a digest holds.
func TestDigestIsBounded(t *testing.T) {
	cfg := DefaultConfig("a", 1)
	m := New(cfg)
	for i := range 10 * cfg.MaxLeaving {
		m.Handle(LeavingObserved{Leaf: fmt.Sprintf("leaf-%d", i)}, epoch.Add(time.Duration(i)*time.Millisecond))
		m.Handle(DigestReceived{Digest: &Digest{Instance: name(i)}}, epoch)
	}
	d := m.Digest(epoch.Add(time.Second))
	if len(d.Leaving) != cfg.MaxLeaving || len(d.Generations) != cfg.MaxGenerations {
		t.Errorf("%d leaving and %d generations in a digest", len(d.Leaving), len(d.Generations))
	}
	if want := fmt.Sprintf("leaf-%d", 10*cfg.MaxLeaving-1); d.Leaving[0].Leaf != want {
		t.Errorf("the digest starts with %s, want the freshest, %s", d.Leaving[0].Leaf, want)
	}
}

// TestGenerationsNeverGoBack gives a machine random relayed generations and
// checks that what it holds of an instance never falls.
func TestGenerationsNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New(DefaultConfig("a", 1))
		now := epoch
		held := make(map[string]uint64)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond)
			g := RelayedGeneration{
				Instance:   name(rapid.IntRange(0, 2).Draw(t, "instance")),
				Generation: rapid.Uint64Range(0, 5).Draw(t, "generation"),
				Age:        time.Duration(rapid.IntRange(-10, 5000).Draw(t, "age")) * time.Millisecond,
			}
			m.Handle(DigestReceived{Digest: &Digest{Instance: "b", Generations: []RelayedGeneration{g}}}, now)
			for _, have := range m.PeerStatuses(now) {
				if have.Instance != "b" && have.Generation < held[have.Instance] {
					t.Fatalf("%s went back from %d to %d", have.Instance, held[have.Instance], have.Generation)
				}
				held[have.Instance] = have.Generation
			}
		}
	})
}

// TestCutEntryHearsAgain cuts an entry off for a while.
func TestCutEntryHearsAgain(t *testing.T) {
	f := newFleet(8, Instance{ID: "leaf"})
	f.cut[7] = true
	f.give(0, LeavingObserved{Leaf: "leaf"})
	f.run(5 * time.Second)
	if f.machines[7].Leaving("leaf") {
		t.Fatal("a cut entry heard")
	}
	f.cut[7] = false
	f.run(5 * time.Second)
	if !f.machines[7].Leaving("leaf") {
		t.Error("the entry did not hear after the cut")
	}
}

// TestOldMarksAreToldNowAndThen checks that a digest in steady state carries
// few marks, and that each of many is told in the end.
func TestOldMarksAreToldNowAndThen(t *testing.T) {
	f := newFleet(1)
	for i := range 200 {
		f.give(0, LeavingObserved{Leaf: fmt.Sprint(i)})
	}
	f.now = f.now.Add(20 * time.Second)
	f.give(0, LeavingObserved{Leaf: "fresh"})
	told := make(map[string]bool)
	for range 300 {
		d := f.machines[0].Digest(f.now)
		if len(d.Leaving) != 9 || d.Leaving[0].Leaf != "fresh" {
			t.Fatalf("marks of a digest: %v", d.Leaving)
		}
		for _, l := range d.Leaving {
			told[l.Leaf] = true
		}
	}
	if len(told) != 201 {
		t.Errorf("%d of 201 marks were told", len(told))
	}
}

// TestSlowRelaysDoNotKeepMarksAlive passes a mark back and forth over a slow
// network, of whose delay the ages know nothing.
func TestSlowRelaysDoNotKeepMarksAlive(t *testing.T) {
	f := newFleet(2)
	f.give(0, LeavingObserved{Leaf: "a"})
	begin := f.now
	for f.machines[0].Leaving("a") {
		for i := range f.machines {
			d := f.machines[i].Digest(f.now)
			f.now = f.now.Add(500 * time.Millisecond)
			f.give(1-i, DigestReceived{Digest: d})
		}
		f.give(0, Tick{})
		f.give(1, Tick{})
		if life := f.now.Sub(begin); life > 125*time.Second {
			t.Fatalf("the mark is alive after %v", life)
		}
	}
}

// TestChangesArePushedTogether lets many leaves leave at once.
func TestChangesArePushedTogether(t *testing.T) {
	f := newFleet(8)
	f.run(2 * time.Second)
	before := f.sent
	for i := range 64 {
		f.give(3, LeavingObserved{Leaf: fmt.Sprint(i)})
	}
	f.run(time.Second)
	for i := range 64 {
		if got := f.knowing(fmt.Sprint(i)); got != 8 {
			t.Errorf("%d of 8 entries know of leaf %d after 1 s", got, i)
		}
	}
	if sent := f.sent - before; sent > 200 {
		t.Errorf("%d exchanges to tell 64 marks", sent)
	}
}
