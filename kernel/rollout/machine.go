package rollout

import (
	"math/rand/v2"
	"time"
)

// Times of the machine.
const (
	// pollReads is the rate of polls that the whole fleet may cost the store, per second.
	pollReads = 50
	// minPoll is the shortest time between polls of one instance.
	minPoll = time.Second
	// watchedPoll is the same while the watch works, which then brings changes
	// at once: a poll moves the whole document.
	watchedPoll = 6 * time.Second
	// searchEvery is the time between searches while there is no document.
	searchEvery = 250 * time.Millisecond
	// firstHold is how long a fresh instance holds its first document back to
	// hear its peers, and holdAskEvery how often it asks them meanwhile: the
	// store may answer from an old state, and its peers have what is in force.
	firstHold    = 500 * time.Millisecond
	holdAskEvery = 100 * time.Millisecond
	// askTimeout is the time after which another peer may be asked.
	askTimeout = 500 * time.Millisecond
)

// Machine is the rollout machine of one instance.
type Machine struct {
	rnd       *rand.Rand
	instances int
	watched   bool

	current Version // generation 0: none yet
	refused Version // highest generation seen that is not a valid document
	reading bool
	empty   bool // the last answered read found no object

	// first is the highest version seen while it is held back; its generation
	// is 0 when none is. It is enforced at holdEnd.
	first       Version
	firstSource Source
	holdEnd     time.Time
	holdAskAt   time.Time

	pollAt  time.Time
	askedAt time.Time
	asked   uint64 // highest generation asked of a peer and not yet answered

	saves   map[SaveID]*save
	actions []Action
}

// New returns a machine; the random source spreads polls.
func New(rnd *rand.Rand) *Machine {
	return &Machine{rnd: rnd, instances: 1, saves: make(map[SaveID]*save)}
}

// Current is the version in force; its generation is 0 when there is none.
func (m *Machine) Current() Version { return m.current }

// InvalidVersion is the newest version seen that is not a valid document and is newer
// than the one in force; its generation is 0 when there is none.
func (m *Machine) InvalidVersion() Version {
	if m.refused.Generation <= m.current.Generation {
		return Version{}
	}
	return m.refused
}

// Base is the generation that a form opened now must name when it is saved. A
// refused version counts, so that an operator can replace it.
func (m *Machine) Base() uint64 { return max(m.current.Generation, m.refused.Generation) }

// StoreEmpty reports whether the last answered read found no object.
func (m *Machine) StoreEmpty() bool { return m.empty }

// SetInstanceCount tells the number of live instances, which share the polls.
func (m *Machine) SetInstanceCount(n int) { m.instances = max(1, n) }

// SetWatchWorking tells whether the watch of the object works. When it stops to, the
// next poll comes as soon as without one.
func (m *Machine) SetWatchWorking(works bool, now time.Time) {
	if m.watched && !works && !m.pollAt.IsZero() && m.pollAt.After(now.Add(minPoll)) {
		m.pollAt = now.Add(time.Duration(m.rnd.Int64N(int64(minPoll))))
	}
	m.watched = works
}

// Handle implements machine.Machine.
func (m *Machine) Handle(event Event, now time.Time) []Action {
	m.actions = m.actions[:0]
	switch e := event.(type) {
	case Start:
		m.read()
	case VersionSeen:
		m.seen(e, now)
	case StoreEmpty:
		m.readEnded(now)
		m.empty = true
		m.settle(Version{}, true)
		m.search()
	case StoreFailed:
		m.readEnded(now)
		m.search()
	case PeerGeneration:
		m.peerAhead(e, now)
	case PeerFailed:
		m.asked = 0
	case Submit:
		m.submit(e, now)
	case PutDone:
		m.putDone(e)
	case PutConflict:
		m.putEnded(e.ID, true, now)
	case PutUnknown:
		m.putEnded(e.ID, false, now)
	case PutRefused:
		m.putRefused(e)
	case Tick:
		m.tick(now)
	}
	m.wake(now)
	return m.actions
}

// emit adds an action.
func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

// read asks for the object, unless a read is under way.
func (m *Machine) read() {
	if m.reading {
		return
	}
	m.reading = true
	m.emit(ReadStore{})
}

// readEnded notes the end of a read and plans the next poll.
func (m *Machine) readEnded(now time.Time) {
	m.reading = false
	m.pollAt = now.Add(m.pollEvery())
}

// pollEvery is the time to the next poll: polls of the whole fleet stay below
// pollReads a second, and are spread by a random part.
func (m *Machine) pollEvery() time.Duration {
	least := minPoll
	if m.watched {
		least = watchedPoll
	}
	every := max(least, time.Duration(m.instances)*time.Second/pollReads)
	if m.current.Generation == 0 {
		every = searchEvery
	}
	return every/2 + time.Duration(m.rnd.Int64N(int64(every)))
}

// search asks all peers while there is no document.
func (m *Machine) search() {
	if m.current.Generation == 0 {
		m.emit(AskAllPeers{})
	}
}

// seen takes a version from any source.
func (m *Machine) seen(e VersionSeen, now time.Time) {
	m.consider(e.Version, e.Source, now)
	switch e.Source {
	case SourceStore:
		m.readEnded(now)
		m.empty = false
	case SourcePeer:
		m.asked = 0
	}
	m.settle(e.Version, e.Source == SourceStore)
}

// consider puts a version in force if it is newer than the one in force. This
// is the only place that changes the version in force.
func (m *Machine) consider(v Version, source Source, now time.Time) {
	if v.Generation == m.current.Generation && v.InvalidReason == "" && v.Hash != m.current.Hash {
		m.emit(RejectVersion{v.Generation, source, "another document at the generation in force"})
		return
	}
	if v.Generation <= m.current.Generation {
		return
	}
	if v.InvalidReason != "" {
		m.refuse(v, source)
		return
	}
	if m.current.Generation == 0 && (source == SourceStore || source == SourceWatch) {
		m.hold(v, source, now)
		return
	}
	m.enforce(v, source)
}

// enforce puts a version in force.
func (m *Machine) enforce(v Version, source Source) {
	m.first = Version{}
	m.current = v
	m.emit(Activate{v, source})
	m.emit(AnnounceGeneration{All: source == SourceSave})
}

// hold keeps the highest version that the store gave a fresh instance for a
// while. What a peer gives is in force there, and is enforced at once.
func (m *Machine) hold(v Version, source Source, now time.Time) {
	if m.first.Generation == 0 {
		m.holdEnd = now.Add(firstHold)
		m.holdAskAt = now
	}
	if v.Generation > m.first.Generation {
		m.first, m.firstSource = v, source
	}
	m.tickHold(now)
}

// tickHold asks the peers while a first version is held back, and enforces it
// at the end.
func (m *Machine) tickHold(now time.Time) {
	switch {
	case m.first.Generation == 0:
	case !now.Before(m.holdEnd):
		m.enforce(m.first, m.firstSource)
	case !now.Before(m.holdAskAt):
		m.holdAskAt = now.Add(holdAskEvery)
		m.emit(AskAllPeers{})
	}
}

// nextHold is when tickHold has something to do; zero when nothing is held.
func (m *Machine) nextHold() time.Time {
	if m.first.Generation == 0 {
		return time.Time{}
	}
	if m.holdEnd.Before(m.holdAskAt) {
		return m.holdEnd
	}
	return m.holdAskAt
}

// refuse notes a version that is not a valid document, once per generation. A
// peer's word is not proof of what the store holds, so it is reported only.
func (m *Machine) refuse(v Version, source Source) {
	if v.Generation <= m.refused.Generation {
		return
	}
	if source != SourcePeer {
		m.refused = v
	}
	m.emit(RejectVersion{v.Generation, source, v.InvalidReason})
}

// peerAhead asks a peer that has a newer generation, one peer at a time.
func (m *Machine) peerAhead(e PeerGeneration, now time.Time) {
	if e.Generation <= m.current.Generation {
		return
	}
	if e.Generation <= m.asked && now.Sub(m.askedAt) < askTimeout {
		return
	}
	m.asked = e.Generation
	m.askedAt = now
	m.emit(AskPeer{Peer: e.Peer, Above: m.current.Generation})
}

// tick polls and moves unsettled saves along.
func (m *Machine) tick(now time.Time) {
	if !m.pollAt.IsZero() && !now.Before(m.pollAt) {
		m.read()
	}
	m.tickHold(now)
	m.tickSaves(now)
}

// wake asks for the next tick.
func (m *Machine) wake(now time.Time) {
	at := m.nextSave()
	if !m.reading && !m.pollAt.IsZero() && (at.IsZero() || m.pollAt.Before(at)) {
		at = m.pollAt
	}
	if hold := m.nextHold(); !hold.IsZero() && (at.IsZero() || hold.Before(at)) {
		at = hold
	}
	if at.IsZero() {
		return
	}
	if at.Before(now) {
		at = now
	}
	m.emit(WakeAt{at})
}
