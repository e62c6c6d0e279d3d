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

// epoch is the start of the tests' virtual time.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// oneWayDelay is the time that a digest is in transit between two entries.
const oneWayDelay = 3 * time.Millisecond

// simulation drives the machines of several entries in virtual time. Each SendDigest is an
// exchange: the receiver replies with its own digest.
type simulation struct {
	now         time.Time
	machines    []*Machine
	wake        []time.Time
	inTransit   []message
	partitioned map[int]bool // machines that no exchange reaches
	sent        int
}

// message is a digest in transit.
type message struct {
	at         time.Time
	from, to   int
	digest     *Digest
	wantsReply bool
}

// entryName returns the ID of entry i.
func entryName(i int) string { return fmt.Sprintf("entry-%03d", i) }

// newSimulation returns n entries whose list has all of them and the given leaves.
func newSimulation(n int, leaves ...Instance) *simulation {
	s := &simulation{now: epoch, wake: make([]time.Time, n), partitioned: make(map[int]bool)}
	list := append([]Instance(nil), leaves...)
	for i := range n {
		list = append(list, Instance{ID: entryName(i), Entry: true, PeerAddress: entryName(i)})
	}
	for i := range n {
		s.machines = append(s.machines, New(DefaultConfig(entryName(i), uint64(i+1))))
		s.handle(i, ListRead{Instances: list})
	}
	return s
}

// handle passes an event to machine i and carries out its actions.
func (s *simulation) handle(i int, ev Event) {
	for _, a := range s.machines[i].Handle(ev, s.now) {
		switch a := a.(type) {
		case WakeAt:
			s.wake[i] = a.At
		case SendDigest:
			var to int
			_, _ = fmt.Sscanf(a.Peer.Instance, "entry-%d", &to)
			s.sent++
			s.inTransit = append(s.inTransit, message{s.now.Add(oneWayDelay), i, to, s.machines[i].Digest(s.now), true})
		}
	}
}

// run advances virtual time by d in steps of a millisecond.
func (s *simulation) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(time.Millisecond) {
		s.deliver()
		for i := range s.machines {
			if !s.now.Before(s.wake[i]) {
				s.handle(i, Tick{})
			}
		}
	}
}

// deliver handles the messages that have arrived and sends the replies.
func (s *simulation) deliver() {
	messages := s.inTransit
	s.inTransit = nil
	for _, msg := range messages {
		switch {
		case s.now.Before(msg.at):
			s.inTransit = append(s.inTransit, msg)
		case s.partitioned[msg.from] || s.partitioned[msg.to]:
		default:
			s.handle(msg.to, DigestReceived{Digest: msg.digest})
			if msg.wantsReply {
				s.inTransit = append(s.inTransit, message{s.now.Add(oneWayDelay), msg.to, msg.from, s.machines[msg.to].Digest(s.now), false})
			}
		}
	}
}

// countLeaving counts the machines that take the leaf for leaving.
func (s *simulation) countLeaving(leaf string) int {
	n := 0
	for _, m := range s.machines {
		if m.Leaving(leaf) {
			n++
		}
	}
	return n
}

// TestLeavingIsKnownWithinThreeSeconds lets one entry observe that a leaf is leaving while the
// list still says that it is live, with three numbers of entries.
func TestLeavingIsKnownWithinThreeSeconds(t *testing.T) {
	for _, n := range []int{2, 8, 64} {
		s := newSimulation(n, Instance{ID: "leaf"})
		s.run(2 * time.Second)
		s.handle(0, LeavingObserved{Leaf: "leaf"})
		s.run(3 * time.Second)
		if got := s.countLeaving("leaf"); got != n {
			t.Errorf("%d of %d entries know after 3 s that the leaf is leaving", got, n)
		}
	}
}

// TestLeavingIsKnownWithoutPush checks that the rounds alone spread an observation, though
// more slowly.
func TestLeavingIsKnownWithoutPush(t *testing.T) {
	s := newSimulation(8, Instance{ID: "leaf"})
	for _, m := range s.machines {
		m.cfg.PushFanout = 0
	}
	s.handle(0, LeavingObserved{Leaf: "leaf"})
	s.run(10 * time.Second)
	if got := s.countLeaving("leaf"); got != 8 {
		t.Errorf("%d of 8 entries know after 10 s of rounds that the leaf is leaving", got)
	}
}

// TestObservationOutlivesLagOfList checks that a leaf stays leaving while the list lags and
// nobody observes it again, and that the observation expires in the end.
func TestObservationOutlivesLagOfList(t *testing.T) {
	s := newSimulation(3, Instance{ID: "leaf"})
	s.handle(0, LeavingObserved{Leaf: "leaf"})
	s.run(30 * time.Second)
	if got := s.countLeaving("leaf"); got != 3 {
		t.Errorf("%d of 3 entries still know after 30 s that the leaf is leaving", got)
	}
	s.run(2 * time.Minute)
	if got := s.countLeaving("leaf"); got != 0 {
		t.Errorf("%d entries take the leaf for leaving long after the last observation", got)
	}
}

// TestRelayedObservationExpires relays an observation among many entries. Its age is sent
// with it, so it expires everywhere at the same time.
func TestRelayedObservationExpires(t *testing.T) {
	s := newSimulation(8)
	s.handle(3, LeavingObserved{Leaf: "leaf"})
	s.run(DefaultConfig("", 0).LeavingTTL + 5*time.Second)
	if got := s.countLeaving("leaf"); got != 0 {
		t.Errorf("%d entries keep an observation that was not repeated within LeavingTTL", got)
	}
}

// TestRestartedLeafIsNotLeaving lets a leaf drain and restart under the same ID. Each entry
// drops the observation when it learns of the later start, and no relayed observation of the
// earlier start brings it back.
func TestRestartedLeafIsNotLeaving(t *testing.T) {
	s := newSimulation(8, Instance{ID: "leaf"})
	s.handle(0, LeavingObserved{Leaf: "leaf", StartedAtMS: 100})
	s.run(5 * time.Second)
	if got := s.countLeaving("leaf"); got != 8 {
		t.Fatalf("%d of 8 entries know that the leaf is leaving", got)
	}
	for i := range 7 { // the last entry has not learned of the new start yet
		s.handle(i, StartObserved{Leaf: "leaf", StartedAtMS: 200})
	}
	s.handle(3, LeavingObserved{Leaf: "leaf", StartedAtMS: 100}) // arrives late, of the earlier start
	s.run(10 * time.Second)
	if got := s.countLeaving("leaf"); got != 1 {
		t.Errorf("%d entries take the leaf for leaving, want only the one that does not know of its new start", got)
	}
	s.handle(2, LeavingObserved{Leaf: "leaf", StartedAtMS: 200})
	s.run(3 * time.Second)
	if got := s.countLeaving("leaf"); got != 8 {
		t.Errorf("%d of 8 entries know that the leaf is leaving again", got)
	}
}

// TestLeafWhoseClockWentBack restarts a leaf with an earlier start time. The observation that
// it is leaving stays, but expires after LeavingTTL, and a new drain is observed.
func TestLeafWhoseClockWentBack(t *testing.T) {
	m := New(DefaultConfig("a", 1))
	at := epoch
	handle := func(ev Event) { m.Handle(ev, at) }
	handle(LeavingObserved{Leaf: "leaf", StartedAtMS: 200})
	handle(StartObserved{Leaf: "leaf", StartedAtMS: 100})
	if !m.Leaving("leaf") {
		t.Error("an earlier start dropped the observation that the leaf is leaving")
	}
	at = at.Add(DefaultConfig("", 0).LeavingTTL + time.Second)
	handle(Tick{})
	if m.Leaving("leaf") {
		t.Error("the leaf gets no work for longer than LeavingTTL")
	}
	handle(LeavingObserved{Leaf: "leaf", StartedAtMS: 100})
	if !m.Leaving("leaf") {
		t.Error("a drain of the present start is ignored")
	}
}

// TestListedStateOfLeaf checks that a leaf which the list calls leaving is leaving, until the
// list calls it live again.
func TestListedStateOfLeaf(t *testing.T) {
	m := New(DefaultConfig("a", 1))
	m.Handle(ListRead{Instances: []Instance{{ID: "leaf", Leaving: true}}}, epoch)
	if !m.Leaving("leaf") {
		t.Error("a leaf that the list calls leaving is not leaving")
	}
	m.Handle(ListRead{Instances: []Instance{{ID: "leaf"}}}, epoch)
	if m.Leaving("leaf") {
		t.Error("a leaf that the list calls live again is still leaving")
	}
}

// TestEntriesThatMayHoldConnections checks that entries which are leaving count, and those
// that are known from digests only count for PeerTTL.
func TestEntriesThatMayHoldConnections(t *testing.T) {
	m := New(DefaultConfig("a", 1))
	m.Handle(ListRead{Instances: []Instance{{ID: "a", Entry: true}, {ID: "b", Entry: true, Leaving: true}, {ID: "leaf"}}}, epoch)
	m.Handle(DigestReceived{Digest: &Digest{Instance: "c"}}, epoch)
	if got := fmt.Sprint(m.Entries()); got != "[a b c]" {
		t.Errorf("entries %s, want [a b c]", got)
	}
	m.Handle(Tick{}, epoch.Add(time.Minute))
	if got := fmt.Sprint(m.Entries()); got != "[a b]" {
		t.Errorf("entries %s after c sent no digest for PeerTTL, want [a b]", got)
	}
}

// TestDigestIsBounded gives a machine far more observations and peers than a digest holds.
func TestDigestIsBounded(t *testing.T) {
	cfg := DefaultConfig("a", 1)
	m := New(cfg)
	for i := range 10 * cfg.MaxLeaving {
		m.Handle(LeavingObserved{Leaf: fmt.Sprintf("leaf-%d", i)}, epoch.Add(time.Duration(i)*time.Millisecond))
		m.Handle(DigestReceived{Digest: &Digest{Instance: entryName(i)}}, epoch)
	}
	d := m.Digest(epoch.Add(time.Second))
	if len(d.Leaving) != cfg.MaxLeaving || len(d.Generations) != cfg.MaxGenerations {
		t.Errorf("%d leaving and %d generations in a digest", len(d.Leaving), len(d.Generations))
	}
	if want := fmt.Sprintf("leaf-%d", 10*cfg.MaxLeaving-1); d.Leaving[0].Leaf != want {
		t.Errorf("the digest starts with %s, want the latest observation, %s", d.Leaving[0].Leaf, want)
	}
}

// TestGenerationsNeverGoBack gives a machine random relayed generations and checks that the
// generation that it stores for an instance never decreases.
func TestGenerationsNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New(DefaultConfig("a", 1))
		now := epoch
		held := make(map[string]uint64)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond)
			g := RelayedGeneration{
				Instance:   entryName(rapid.IntRange(0, 2).Draw(t, "instance")),
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

// TestPartitionedEntryCatchesUp partitions an entry from all others, and ends the partition.
func TestPartitionedEntryCatchesUp(t *testing.T) {
	s := newSimulation(8, Instance{ID: "leaf"})
	s.partitioned[7] = true
	s.handle(0, LeavingObserved{Leaf: "leaf"})
	s.run(5 * time.Second)
	if s.machines[7].Leaving("leaf") {
		t.Fatal("a partitioned entry received an observation")
	}
	s.partitioned[7] = false
	s.run(5 * time.Second)
	if !s.machines[7].Leaving("leaf") {
		t.Error("the entry did not catch up after the partition")
	}
}

// TestAgedObservationsAreSentInTurn checks that a digest carries few observations that are
// not fresh, and that each of many is sent in the end.
func TestAgedObservationsAreSentInTurn(t *testing.T) {
	s := newSimulation(1)
	for i := range 200 {
		s.handle(0, LeavingObserved{Leaf: fmt.Sprint(i)})
	}
	s.now = s.now.Add(20 * time.Second)
	s.handle(0, LeavingObserved{Leaf: "fresh"})
	sent := make(map[string]bool)
	for range 300 {
		d := s.machines[0].Digest(s.now)
		if len(d.Leaving) != 9 || d.Leaving[0].Leaf != "fresh" {
			t.Fatalf("observations of a digest: %v", d.Leaving)
		}
		for _, l := range d.Leaving {
			sent[l.Leaf] = true
		}
	}
	if len(sent) != 201 {
		t.Errorf("%d of 201 observations were sent", len(sent))
	}
}

// TestSlowRelaysDoNotExtendObservations relays an observation back and forth over a slow
// network, whose delay its age does not include.
func TestSlowRelaysDoNotExtendObservations(t *testing.T) {
	s := newSimulation(2)
	s.handle(0, LeavingObserved{Leaf: "a"})
	begin := s.now
	for s.machines[0].Leaving("a") {
		for i := range s.machines {
			d := s.machines[i].Digest(s.now)
			s.now = s.now.Add(500 * time.Millisecond)
			s.handle(1-i, DigestReceived{Digest: d})
		}
		s.handle(0, Tick{})
		s.handle(1, Tick{})
		if life := s.now.Sub(begin); life > 125*time.Second {
			t.Fatalf("the observation still counts after %v", life)
		}
	}
}

// TestChangesArePushedTogether lets many leaves leave at once: all entries learn of them
// within few exchanges.
func TestChangesArePushedTogether(t *testing.T) {
	s := newSimulation(8)
	s.run(2 * time.Second)
	before := s.sent
	for i := range 64 {
		s.handle(3, LeavingObserved{Leaf: fmt.Sprint(i)})
	}
	s.run(time.Second)
	for i := range 64 {
		if got := s.countLeaving(fmt.Sprint(i)); got != 8 {
			t.Errorf("%d of 8 entries know of leaf %d after 1 s", got, i)
		}
	}
	if sent := s.sent - before; sent > 200 {
		t.Errorf("%d exchanges to spread 64 observations, want at most 200", sent)
	}
}
