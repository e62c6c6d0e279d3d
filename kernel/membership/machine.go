package membership

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// peerState is what is known of a peer by its digests.
type peerState struct {
	generation uint64
	hash       string
	seen       time.Time // when its state was current, by the age relayed
	direct     time.Time // when it last spoke to this instance
	draining   bool
}

// mark says that a leaf is leaving.
type mark struct {
	seen time.Time // the freshest observation
	born int64     // the leaf's start, 0: not known
}

// before reports whether the mark is of a start before the given one.
func (k mark) before(born int64) bool { return born != 0 && k.born < born }

// birth is a leaf's start and when it was reported.
type birth struct {
	born int64
	at   time.Time
}

// Machine holds the membership as one entry sees it.
type Machine struct {
	cfg      Config
	rand     *rand.Rand
	actions  []Action
	list     map[string]Instance
	marks    map[string]mark  // by leaf
	births   map[string]birth // the start that a leaf reported last, by leaf
	peers    map[string]peerState
	draining bool
	next     time.Time // of the next round
	pending  bool      // something waits to be pushed
	pushed   time.Time // when something was last pushed
	leaving  map[string]bool
	entries  []string
}

// New returns a machine that knows only itself.
func New(cfg Config) *Machine {
	return &Machine{
		cfg: cfg, rand: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		list: make(map[string]Instance), marks: make(map[string]mark), births: make(map[string]birth),
		peers: make(map[string]peerState), leaving: make(map[string]bool),
	}
}

// Handle takes an event and returns the actions it causes.
func (m *Machine) Handle(ev Event, now time.Time) []Action {
	m.actions = m.actions[:0]
	switch ev := ev.(type) {
	case ListRead:
		m.readList(ev.Instances)
	case LeavingObserved:
		m.observed(ev.Leaf, ev.StartedAtMS, now)
	case StartObserved:
		m.started(ev.Leaf, ev.StartedAtMS, now)
	case DigestReceived:
		m.receive(ev.Digest, now)
	case PeerFailed:
		delete(m.peers, ev.Peer)
	case PushNow:
		m.push()
	case Drain:
		m.draining = true
		m.push()
	case Tick:
		m.tick(now)
	}
	m.settle(now)
	return m.actions
}

func (m *Machine) act(a Action) { m.actions = append(m.actions, a) }

// readList replaces what the platform says. The list lags, so that nothing else
// is forgotten for it.
func (m *Machine) readList(instances []Instance) {
	clear(m.list)
	for _, in := range instances {
		m.list[in.ID] = in
	}
}

// relaySlack is how much fresher a relayed observation must be to replace a known
// one. It is more than an exchange may take: the age of a relayed observation lacks
// the time on the way, and without the slack relays would make marks younger.
const relaySlack = 2 * time.Second

// observed notes a observation by this instance. A late word of an earlier start of the leaf
// counts for nothing.
func (m *Machine) observed(leaf string, born int64, now time.Time) {
	seen := mark{seen: now, born: born}
	if seen.before(m.births[leaf].born) {
		return
	}
	_, known := m.marks[leaf]
	m.marks[leaf] = seen
	if !known {
		m.push()
	}
}

// started notes a start of a leaf, as the leaf itself reported it last: it knows nothing of a
// drain before. A birth earlier than the mark's, from a clock that went back, takes no
// drain back; the mark ends with its life.
func (m *Machine) started(leaf string, born int64, now time.Time) {
	m.births[leaf] = birth{born: born, at: now}
	if m.marks[leaf].before(born) {
		delete(m.marks, leaf)
	}
}

// relayedMark notes a observation by another instance. One that is new here is
// passed on at once, while it is fresh.
func (m *Machine) relayedMark(leaf string, relayed mark, now time.Time) {
	old, known := m.marks[leaf]
	seen := relayed.seen
	if relayed.before(m.births[leaf].born) || (known && relayed.before(old.born)) {
		return // of an earlier start
	}
	if now.Sub(seen) >= m.cfg.LeavingTTL || (known && !old.before(relayed.born) && !seen.After(old.seen.Add(relaySlack))) {
		return
	}
	m.marks[leaf] = relayed
	if !known && now.Sub(seen) < m.cfg.FreshFor {
		m.push()
	}
}

// receive takes in a peer's digest.
func (m *Machine) receive(d *Digest, now time.Time) {
	if d.Instance == m.cfg.Instance {
		return
	}
	m.peers[d.Instance] = peerState{generation: d.Generation, hash: d.Hash, seen: now, direct: now, draining: d.Draining}
	for _, l := range d.Leaving {
		if l.Age >= 0 {
			m.relayedMark(l.Leaf, mark{seen: now.Add(-l.Age), born: l.StartedAtMS}, now)
		}
	}
	for _, g := range d.Generations {
		m.relayed(g, now)
	}
	m.act(GenerationReported{Peer: m.peer(d.Instance), Generation: d.Generation})
}

// relayed takes in what a peer knows of another instance. It never replaces
// what is newer, and never makes a generation go back.
func (m *Machine) relayed(g RelayedGeneration, now time.Time) {
	if g.Instance == m.cfg.Instance || g.Age < 0 {
		return
	}
	seen := now.Add(-g.Age)
	p := m.peers[g.Instance]
	if !seen.After(p.seen) || g.Generation < p.generation || now.Sub(seen) > m.cfg.LeavingTTL {
		return
	}
	p.generation, p.seen = g.Generation, seen
	m.peers[g.Instance] = p
}

// tick starts a round when it is time, and forgets what is old.
func (m *Machine) tick(now time.Time) {
	maps.DeleteFunc(m.marks, func(_ string, k mark) bool { return now.Sub(k.seen) >= m.cfg.LeavingTTL })
	maps.DeleteFunc(m.births, func(_ string, b birth) bool { return now.Sub(b.at) >= m.cfg.LeavingTTL })
	maps.DeleteFunc(m.peers, func(_ string, p peerState) bool { return now.Sub(p.seen) >= m.cfg.LeavingTTL })
	if now.Before(m.next) {
		return
	}
	// Rounds are spread, so that instances that started together don't stay in step.
	m.next = now.Add(m.cfg.Interval/2 + time.Duration(m.rand.Int64N(int64(m.cfg.Interval))))
	m.send(m.cfg.Fanout)
}

// push tells some peers at once. Each that learns something new does the same,
// so that it reaches everyone in a number of steps that grows with the
// logarithm of the fleet.
// What comes close together is sent together, at most every pushGap.
func (m *Machine) push() { m.pending = true }

// pushGap is the least time between two pushes.
const pushGap = 100 * time.Millisecond

// pushPending pushes when something waits and the last push is long enough ago.
func (m *Machine) pushPending(now time.Time) {
	if !m.pending || now.Sub(m.pushed) < pushGap {
		return
	}
	m.pending = false
	m.pushed = now
	m.send(m.cfg.PushFanout)
}

// nextWake is the time of the next round or of a push that waits.
func (m *Machine) nextWake() time.Time {
	if at := m.pushed.Add(pushGap); m.pending && at.Before(m.next) {
		return at
	}
	return m.next
}

// send tells n peers, chosen at random from the list.
func (m *Machine) send(n int) {
	peers := m.Peers()
	m.rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, p := range peers[:min(n, len(peers))] {
		m.act(SendDigest{Peer: p})
	}
}

// settle reports a changed membership and asks for the next Tick.
func (m *Machine) settle(now time.Time) {
	leaving, entries := m.computeLeaving(now), m.computeEntries(now)
	if !maps.Equal(leaving, m.leaving) || !slices.Equal(entries, m.entries) {
		m.leaving, m.entries = leaving, entries
		m.act(MembershipChanged{})
	}
	if m.next.IsZero() {
		m.next = now
	}
	m.pushPending(now)
	m.act(WakeAt{At: m.nextWake()})
}

// computeLeaving is the OR of the list and the observations.
func (m *Machine) computeLeaving(now time.Time) map[string]bool {
	out := make(map[string]bool)
	for id, in := range m.list {
		if !in.Entry && in.Leaving {
			out[id] = true
		}
	}
	for leaf, k := range m.marks {
		if now.Sub(k.seen) < m.cfg.LeavingTTL {
			out[leaf] = true
		}
	}
	return out
}

// computeEntries lists the entries that may hold connections: those of the
// list, leaving ones too, those that answered lately, and this one.
func (m *Machine) computeEntries(now time.Time) []string {
	set := map[string]bool{m.cfg.Instance: true}
	for id, in := range m.list {
		if in.Entry {
			set[id] = true
		}
	}
	for id, p := range m.peers {
		if now.Sub(p.seen) < m.cfg.PeerTTL {
			set[id] = true
		}
	}
	return slices.Sorted(maps.Keys(set))
}

// Leaving reports whether a leaf gets no new work.
func (m *Machine) Leaving(leaf string) bool { return m.leaving[leaf] }

// Entries lists the entries that may hold connections, in order.
func (m *Machine) Entries() []string { return m.entries }

// Peers lists the other entries of the platform's list, in order.
func (m *Machine) Peers() []Peer {
	var out []Peer
	for id, in := range m.list {
		if in.Entry && id != m.cfg.Instance && in.PeerAddress != "" {
			out = append(out, Peer{Instance: id, Address: in.PeerAddress})
		}
	}
	slices.SortFunc(out, func(a, b Peer) int { return cmp.Compare(a.Instance, b.Instance) })
	return out
}

// peer returns a peer with its address, if the list has it.
func (m *Machine) peer(instance string) Peer {
	return Peer{Instance: instance, Address: m.list[instance].PeerAddress}
}

// Instances returns the platform's list, in order of ID.
func (m *Machine) Instances() []Instance {
	out := slices.Collect(maps.Values(m.list))
	slices.SortFunc(out, func(a, b Instance) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
