package membership

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// Bounds and times of the machine.
const (
	// MaxMarks and MaxSamples bound a digest's lists.
	MaxMarks   = 32
	MaxSamples = 16
	// Interval is the time between rounds of digests.
	Interval = time.Second
	// fanout is the number of peers told each round, pushFanout the number told
	// at once of news.
	fanout     = 3
	pushFanout = 8
	// heardFor is how long an unlisted entry counts as live after its last digest.
	heardFor = 10 * time.Second
	// markFor is how long a drain mark holds without a new sighting. It is
	// longer than the list lags, so that the list has taken over by then.
	markFor = 60 * time.Second
	// probeSpread is the random part before markFor in which an entry probes,
	// so that the first probe refreshes the mark for most entries.
	probeSpread = 20 * time.Second
	// resetAfter is the step back of a sequence, in milliseconds, that no late
	// digest explains: the entry was replaced and its clock is behind.
	resetAfter = 10_000
	// forgetAfter is how long a silent, unlisted entry is remembered.
	forgetAfter = 5 * time.Minute
)

// Machine is the membership machine of one entry.
type Machine struct {
	self     string
	zone     string
	rnd      *rand.Rand
	sequence uint64
	inForce  InForce
	draining bool

	peers       map[string]*peer
	listLeaving map[string]bool
	marks       map[string]*mark

	roundAt time.Time
	actions []Action
}

// peer is what is known of another entry.
type peer struct {
	Entry
	listed     bool
	heardAt    time.Time
	sequence   uint64
	draining   bool
	generation uint64
	genAt      time.Time // when the generation was true
	hash       string
}

// mark is a leaf's drain mark.
type mark struct {
	seenAt  time.Time // latest sighting by anyone
	clearAt time.Time // sightings up to here are void; zero: none are
	held    bool
	probeAt time.Time
}

// New returns the machine of an entry. The random source picks peers.
func New(self, zone string, rnd *rand.Rand) *Machine {
	return &Machine{
		self: self, zone: zone, rnd: rnd,
		peers:       make(map[string]*peer),
		listLeaving: make(map[string]bool),
		marks:       make(map[string]*mark),
	}
}

// Handle implements machine.Machine.
func (m *Machine) Handle(event Event, now time.Time) []Action {
	m.actions = m.actions[:0]
	if m.roundAt.IsZero() {
		m.roundAt = now.Add(time.Duration(m.rnd.Int64N(int64(Interval))))
	}
	switch e := event.(type) {
	case Listed:
		m.listed(e, now)
	case Heard:
		m.heard(e.Digest, now)
	case LeafDraining:
		m.sighted(e.Leaf, now, now)
	case LeafReady:
		m.ready(e.Leaf, now)
	case LeafSilent:
		m.silent(e.Leaf, now)
	case InForce:
		m.inForced(e)
	case Drain:
		m.draining = true
		m.push()
		m.emit(Changed{})
	case Tick:
		m.tick(now)
	}
	m.emit(WakeAt{m.nextWake()})
	return m.actions
}

// emit adds an action.
func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

// listed takes over the platform's list.
func (m *Machine) listed(e Listed, now time.Time) {
	before := m.Live(now)
	for _, p := range m.peers {
		p.listed = false
	}
	for _, entry := range e.Entries {
		if entry.ID == m.self {
			continue
		}
		p := m.peer(entry.ID)
		p.Entry = entry
		p.listed = true
	}
	leaving := make(map[string]bool, len(e.LeavingLeaves))
	for _, leaf := range e.LeavingLeaves {
		leaving[leaf] = true
	}
	changed := !maps.Equal(leaving, m.listLeaving)
	m.listLeaving = leaving
	if changed || !slices.Equal(before, m.Live(now)) {
		m.emit(Changed{})
	}
}

// peer finds or makes the record of an entry.
func (m *Machine) peer(id string) *peer {
	p, ok := m.peers[id]
	if !ok {
		p = &peer{Entry: Entry{ID: id}}
		m.peers[id] = p
	}
	return p
}

// heard takes another entry's digest. What is relayed in it counts whatever
// its order; what the sender says of itself counts only when it is newer.
func (m *Machine) heard(d Digest, now time.Time) {
	if d.Instance == m.self {
		return
	}
	before := m.Live(now)
	p := m.peer(d.Instance)
	restarted := d.Sequence+resetAfter < p.sequence
	if d.Sequence > p.sequence || restarted {
		p.sequence = d.Sequence
		p.draining = d.Draining
		p.Zone = d.Zone
		p.generation, p.hash, p.genAt = d.Generation, d.Hash, now
	}
	p.heardAt = now
	for _, mk := range d.Marks {
		m.sighted(mk.Leaf, now.Add(-max(0, mk.Age)), now)
	}
	for _, s := range d.Samples {
		m.sampled(s, now)
	}
	if !slices.Equal(before, m.Live(now)) {
		m.emit(Changed{})
	}
}

// sampled takes a relayed generation, if it is newer than what is known.
func (m *Machine) sampled(s Sample, now time.Time) {
	p, ok := m.peers[s.Instance]
	if !ok {
		return
	}
	if at := now.Add(-max(0, s.Age)); at.After(p.genAt) {
		p.generation, p.genAt = s.Generation, at
	}
}

// sighted takes a sighting of a leaf's drain mark. The first one is told to
// the peers at once.
func (m *Machine) sighted(leaf string, at, now time.Time) {
	mk, ok := m.marks[leaf]
	if !ok {
		mk = &mark{}
		m.marks[leaf] = mk
	}
	if !at.After(mk.seenAt) || !at.After(mk.clearAt) || now.Sub(at) >= markFor {
		return
	}
	mk.seenAt = at
	mk.probeAt = at.Add(markFor - time.Duration(m.rnd.Int64N(int64(probeSpread))))
	if mk.held {
		return
	}
	mk.held = true
	m.emit(Changed{})
	m.push()
}

// ready clears a mark: sightings up to now are void, also relayed ones.
func (m *Machine) ready(leaf string, now time.Time) {
	mk, ok := m.marks[leaf]
	if !ok || !mk.held {
		return
	}
	mk.held = false
	mk.clearAt = now
	m.emit(Changed{})
}

// silent keeps the mark of a leaf that does not answer, and probes again.
func (m *Machine) silent(leaf string, now time.Time) {
	if mk, ok := m.marks[leaf]; ok && mk.held {
		mk.seenAt = now.Add(-probeSpread)
		mk.probeAt = now.Add(probeSpread)
	}
}

// inForced notes this entry's generation and tells peers of a new one at once.
func (m *Machine) inForced(e InForce) {
	if e.Generation <= m.inForce.Generation {
		return
	}
	m.inForce = e
	m.push()
}

// tick runs a round of digests, probes and forgetting.
func (m *Machine) tick(now time.Time) {
	if !now.Before(m.roundAt) {
		m.roundAt = now.Add(Interval)
		m.send(fanout)
		m.forget(now)
	}
	for _, leaf := range slices.Sorted(maps.Keys(m.marks)) {
		mk := m.marks[leaf]
		if mk.held && !now.Before(mk.probeAt) {
			mk.probeAt = now.Add(probeSpread)
			m.emit(Probe{leaf})
		}
	}
}

// forget drops marks and entries of which nothing was heard for long.
func (m *Machine) forget(now time.Time) {
	before := len(m.peers)
	maps.DeleteFunc(m.peers, func(_ string, p *peer) bool {
		return !p.listed && now.Sub(p.heardAt) > forgetAfter
	})
	maps.DeleteFunc(m.marks, func(_ string, mk *mark) bool {
		return !mk.held && now.Sub(mk.seenAt) > 2*markFor && now.Sub(mk.clearAt) > 2*markFor
	})
	if len(m.peers) != before {
		m.emit(Changed{})
	}
}

// push tells peers of news at once.
func (m *Machine) push() { m.send(pushFanout) }

// send exchanges digests with up to n random peers.
func (m *Machine) send(n int) {
	var to []*peer
	for _, id := range slices.Sorted(maps.Keys(m.peers)) {
		if p := m.peers[id]; p.listed && p.Address != "" {
			to = append(to, p)
		}
	}
	m.rnd.Shuffle(len(to), func(i, j int) { to[i], to[j] = to[j], to[i] })
	for _, p := range to[:min(n, len(to))] {
		m.emit(Send{Peer: p.ID, Address: p.Address})
	}
}

// nextWake is the time of the next round or probe.
func (m *Machine) nextWake() time.Time {
	at := m.roundAt
	for _, mk := range m.marks {
		if mk.held && mk.probeAt.Before(at) {
			at = mk.probeAt
		}
	}
	return at
}
