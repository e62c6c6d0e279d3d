package membership

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// peerState is what digests tell of a peer: its own ones, and those of others that relay its
// generation.
type peerState struct {
	generation uint64
	hash       string
	asOf       time.Time // when the generation was current, by the age that came with it
	direct     time.Time // when its last own digest arrived
	draining   bool
}

// leavingObservation is the latest observation that a leaf says it is leaving.
type leavingObservation struct {
	seenAt      time.Time // of the latest observation
	startedAtMS int64     // the leaf's start that it belongs to; 0: not known
}

// ofStartBefore reports whether the observation belongs to an earlier start of the leaf than
// the given one. It is false where the given start is not known.
func (o leavingObservation) ofStartBefore(startedAtMS int64) bool {
	return startedAtMS != 0 && o.startedAtMS < startedAtMS
}

// reportedStart is the start that a leaf reported last.
type reportedStart struct {
	startedAtMS int64
	at          time.Time // of the report
}

// Machine is the membership as one entry sees it. It does no I/O: Handle takes events and
// returns actions. It is not safe for concurrent use.
type Machine struct {
	cfg           Config
	rand          *rand.Rand
	actions       []Action
	list          map[string]Instance
	leavingLeaves map[string]leavingObservation // by leaf
	starts        map[string]reportedStart      // by leaf
	peers         map[string]peerState          // by instance
	draining      bool
	nextRound     time.Time
	pushPending   bool // a change is to be pushed
	lastPush      time.Time
	leaving       map[string]bool // as last reported, by leaf
	entries       []string        // as last reported, in order
}

// New returns a machine that knows no other instance.
func New(cfg Config) *Machine {
	return &Machine{
		cfg: cfg, rand: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		list: make(map[string]Instance), leavingLeaves: make(map[string]leavingObservation), starts: make(map[string]reportedStart),
		peers: make(map[string]peerState), leaving: make(map[string]bool),
	}
}

// Handle processes an event and returns the actions that it causes. The slice is valid until
// the next call.
func (m *Machine) Handle(ev Event, now time.Time) []Action {
	m.actions = m.actions[:0]
	switch ev := ev.(type) {
	case ListRead:
		m.readList(ev.Instances)
	case LeavingObserved:
		m.recordLeaving(ev.Leaf, ev.StartedAtMS, now)
	case StartObserved:
		m.recordStart(ev.Leaf, ev.StartedAtMS, now)
	case DigestReceived:
		m.mergeDigest(ev.Digest, now)
	case PeerFailed:
		delete(m.peers, ev.Peer)
	case PushNow:
		m.requestPush()
	case Drain:
		m.draining = true
		m.requestPush()
	case Tick:
		m.tick(now)
	}
	m.emitChanges(now)
	return m.actions
}

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

// readList replaces the platform's list. The list lags, so observations and peers that it
// does not show are kept.
func (m *Machine) readList(instances []Instance) {
	clear(m.list)
	for _, in := range instances {
		m.list[in.ID] = in
	}
}

// minRelayGain is how much later a relayed observation must be than the known one to replace
// it. It is more than an exchange may take: the age of a relayed observation does not count
// its time in transit, so without this margin each relay would make it younger and it would
// never expire.
const minRelayGain = 2 * time.Second

// recordLeaving stores an observation by this instance. One that belongs to an earlier start
// of the leaf and arrives late is ignored.
func (m *Machine) recordLeaving(leaf string, startedAtMS int64, now time.Time) {
	observation := leavingObservation{seenAt: now, startedAtMS: startedAtMS}
	if observation.ofStartBefore(m.starts[leaf].startedAtMS) {
		return
	}
	_, known := m.leavingLeaves[leaf]
	m.leavingLeaves[leaf] = observation
	if !known {
		m.requestPush()
	}
}

// recordStart stores the start that a leaf reported, and drops an observation that belongs
// to an earlier start: the restarted leaf is not leaving. A start that is earlier than the
// observation's, because the leaf's clock went back, does not drop it; the observation then
// expires after LeavingTTL.
func (m *Machine) recordStart(leaf string, startedAtMS int64, now time.Time) {
	m.starts[leaf] = reportedStart{startedAtMS: startedAtMS, at: now}
	if m.leavingLeaves[leaf].ofStartBefore(startedAtMS) {
		delete(m.leavingLeaves, leaf)
	}
}

// mergeRelayedLeaving stores an observation by another instance, if it belongs to the latest
// known start and is later than the known one. If the leaf was not known to be leaving, a
// fresh observation is pushed on at once.
func (m *Machine) mergeRelayedLeaving(leaf string, relayed leavingObservation, now time.Time) {
	old, known := m.leavingLeaves[leaf]
	seenAt := relayed.seenAt
	if relayed.ofStartBefore(m.starts[leaf].startedAtMS) || (known && relayed.ofStartBefore(old.startedAtMS)) {
		return // belongs to an earlier start
	}
	if now.Sub(seenAt) >= m.cfg.LeavingTTL || (known && !old.ofStartBefore(relayed.startedAtMS) && !seenAt.After(old.seenAt.Add(minRelayGain))) {
		return
	}
	m.leavingLeaves[leaf] = relayed
	if !known && now.Sub(seenAt) < m.cfg.FreshFor {
		m.requestPush()
	}
}

// mergeDigest merges a peer's digest.
func (m *Machine) mergeDigest(d *Digest, now time.Time) {
	if d.Instance == m.cfg.Instance {
		return
	}
	m.peers[d.Instance] = peerState{generation: d.Generation, hash: d.Hash, asOf: now, direct: now, draining: d.Draining}
	for _, l := range d.Leaving {
		if l.Age >= 0 {
			m.mergeRelayedLeaving(l.Leaf, leavingObservation{seenAt: now.Add(-l.Age), startedAtMS: l.StartedAtMS}, now)
		}
	}
	for _, g := range d.Generations {
		m.mergeRelayedGeneration(g, now)
	}
	m.emit(GenerationReported{Peer: m.peer(d.Instance), Generation: d.Generation})
}

// mergeRelayedGeneration merges what a peer knows of another instance. It neither replaces
// newer knowledge nor makes a generation go back.
func (m *Machine) mergeRelayedGeneration(g RelayedGeneration, now time.Time) {
	if g.Instance == m.cfg.Instance || g.Age < 0 {
		return
	}
	asOf := now.Add(-g.Age)
	p := m.peers[g.Instance]
	if !asOf.After(p.asOf) || g.Generation < p.generation || now.Sub(asOf) > m.cfg.LeavingTTL {
		return
	}
	p.generation, p.asOf = g.Generation, asOf
	m.peers[g.Instance] = p
}

// tick drops what has expired and starts a round of digests when it is due.
func (m *Machine) tick(now time.Time) {
	maps.DeleteFunc(m.leavingLeaves, func(_ string, o leavingObservation) bool { return now.Sub(o.seenAt) >= m.cfg.LeavingTTL })
	maps.DeleteFunc(m.starts, func(_ string, s reportedStart) bool { return now.Sub(s.at) >= m.cfg.LeavingTTL })
	maps.DeleteFunc(m.peers, func(_ string, p peerState) bool { return now.Sub(p.asOf) >= m.cfg.LeavingTTL })
	if now.Before(m.nextRound) {
		return
	}
	// The random interval keeps instances that started together from sending in step.
	m.nextRound = now.Add(m.cfg.Interval/2 + time.Duration(m.rand.Int64N(int64(m.cfg.Interval))))
	m.sendDigests(m.cfg.Fanout)
}

// requestPush has a digest sent to some peers without waiting for the next round. Each peer
// that learns something new does the same, so a change reaches all entries in a number of
// steps that grows with the logarithm of their number. Changes within minPushInterval go
// out together.
func (m *Machine) requestPush() { m.pushPending = true }

// minPushInterval is the least time between two pushes.
const minPushInterval = 100 * time.Millisecond

// flushPush sends the pending push once minPushInterval has passed since the last one.
func (m *Machine) flushPush(now time.Time) {
	if !m.pushPending || now.Sub(m.lastPush) < minPushInterval {
		return
	}
	m.pushPending = false
	m.lastPush = now
	m.sendDigests(m.cfg.PushFanout)
}

// nextWake is when the next round or the pending push is due, whichever comes first.
func (m *Machine) nextWake() time.Time {
	if at := m.lastPush.Add(minPushInterval); m.pushPending && at.Before(m.nextRound) {
		return at
	}
	return m.nextRound
}

// sendDigests sends a digest to n peers, chosen at random from the list.
func (m *Machine) sendDigests(n int) {
	peers := m.Peers()
	m.rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, p := range peers[:min(n, len(peers))] {
		m.emit(SendDigest{Peer: p})
	}
}

// emitChanges ends each Handle: it reports a changed membership, sends a push that is due and
// asks for the next Tick.
func (m *Machine) emitChanges(now time.Time) {
	leaving, entries := m.computeLeaving(now), m.computeEntries(now)
	if !maps.Equal(leaving, m.leaving) || !slices.Equal(entries, m.entries) {
		m.leaving, m.entries = leaving, entries
		m.emit(MembersChanged{})
	}
	if m.nextRound.IsZero() {
		m.nextRound = now
	}
	m.flushPush(now)
	m.emit(WakeAt{At: m.nextWake()})
}

// computeLeaving returns the leaves that are leaving by the list or by an observation.
func (m *Machine) computeLeaving(now time.Time) map[string]bool {
	out := make(map[string]bool)
	for id, in := range m.list {
		if !in.Entry && in.Leaving {
			out[id] = true
		}
	}
	for leaf, o := range m.leavingLeaves {
		if now.Sub(o.seenAt) < m.cfg.LeavingTTL {
			out[leaf] = true
		}
	}
	return out
}

// computeEntries lists the entries that may hold connections to leaves, in order: this one,
// those of the list, leaving ones included, and those seen within PeerTTL.
func (m *Machine) computeEntries(now time.Time) []string {
	set := map[string]bool{m.cfg.Instance: true}
	for id, in := range m.list {
		if in.Entry {
			set[id] = true
		}
	}
	for id, p := range m.peers {
		if now.Sub(p.asOf) < m.cfg.PeerTTL {
			set[id] = true
		}
	}
	return slices.Sorted(maps.Keys(set))
}

// Leaving reports whether a leaf is leaving and gets no new work.
func (m *Machine) Leaving(leaf string) bool { return m.leaving[leaf] }

// Entries lists the entries that may hold connections to leaves, in order.
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

// peer returns a peer with its address; the address is empty if the list lacks the instance.
func (m *Machine) peer(instance string) Peer {
	return Peer{Instance: instance, Address: m.list[instance].PeerAddress}
}

// Instances returns the platform's list, in order of ID.
func (m *Machine) Instances() []Instance {
	out := slices.Collect(maps.Values(m.list))
	slices.SortFunc(out, func(a, b Instance) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
