package rollout

import (
	"math/rand/v2"
	"time"
)

// Poll rates and delays of the machine.
const (
	// maxFleetPollsPerSecond bounds the rate of polls of the store by all instances together.
	maxFleetPollsPerSecond = 50
	// minPollInterval is the minimum mean time between the polls of one instance.
	minPollInterval = time.Second
	// watchedPollInterval is the same while the watch works. It is longer, because the watch
	// delivers changes at once and each poll transfers the whole document.
	watchedPollInterval = 6 * time.Second
	// searchInterval is the mean time between polls while there is no document.
	searchInterval = 250 * time.Millisecond
	// initialHold is how long an instance that has started delays the activation of its first
	// version from the store, and holdAskInterval how often it asks its peers meanwhile: the
	// store may return a stale version, whereas peers return the version in force.
	initialHold     = 500 * time.Millisecond
	holdAskInterval = 100 * time.Millisecond
	// peerAskTimeout is the time after which the machine may ask another peer for the same
	// generation.
	peerAskTimeout = 500 * time.Millisecond
)

// Machine is the state machine that rolls out the configuration at one instance.
type Machine struct {
	rnd           *rand.Rand
	instanceCount int
	watchWorking  bool

	current      Version // in force; its generation is 0 if there is none
	invalid      Version // highest generation seen that is not a valid document
	readInFlight bool
	storeEmpty   bool // whether the last answered read found no object

	// heldVersion is the highest version seen during the initial hold; its generation is 0 if
	// none is held. It becomes active at holdEnd.
	heldVersion Version
	heldSource  Source
	holdEnd     time.Time
	nextHoldAsk time.Time

	nextPoll        time.Time
	askedAt         time.Time
	askedGeneration uint64 // highest generation requested from a peer and not answered; 0: none

	saves   map[SaveID]*save
	actions []Action
}

// New returns a machine without a version. The random source spreads polls.
func New(rnd *rand.Rand) *Machine {
	return &Machine{rnd: rnd, instanceCount: 1, saves: make(map[SaveID]*save)}
}

// Current returns the version in force; its generation is 0 if there is none.
func (m *Machine) Current() Version { return m.current }

// InvalidVersion returns the newest version seen that is not a valid document, if it is
// newer than the version in force; otherwise its generation is 0.
func (m *Machine) InvalidVersion() Version {
	if m.invalid.Generation <= m.current.Generation {
		return Version{}
	}
	return m.invalid
}

// Base returns the generation that a form opened at this time must name when it is saved.
// An invalid version counts, so that an operator can replace it.
func (m *Machine) Base() uint64 { return max(m.current.Generation, m.invalid.Generation) }

// StoreEmpty reports whether the last answered read found no object.
func (m *Machine) StoreEmpty() bool { return m.storeEmpty }

// SetInstanceCount sets the number of live instances, among which the polls are divided.
func (m *Machine) SetInstanceCount(n int) { m.instanceCount = max(1, n) }

// SetWatchWorking sets whether the watch of the object works. When it fails, the next poll
// comes as soon as it would without a watch.
func (m *Machine) SetWatchWorking(working bool, now time.Time) {
	if m.watchWorking && !working && !m.nextPoll.IsZero() && m.nextPoll.After(now.Add(minPollInterval)) {
		m.nextPoll = now.Add(time.Duration(m.rnd.Int64N(int64(minPollInterval))))
	}
	m.watchWorking = working
}

// Handle implements machine.Machine.
func (m *Machine) Handle(event Event, now time.Time) []Action {
	m.actions = m.actions[:0]
	switch e := event.(type) {
	case Start:
		m.readStore()
	case VersionSeen:
		m.observeVersion(e, now)
	case StoreEmpty:
		m.finishRead(now)
		m.storeEmpty = true
		m.settle(Version{}, true)
		m.searchPeers()
	case StoreFailed:
		m.finishRead(now)
		m.searchPeers()
	case PeerGeneration:
		m.askNewerPeer(e, now)
	case PeerFailed:
		m.askedGeneration = 0
	case Submit:
		m.submit(e, now)
	case PutDone:
		m.acceptSave(e)
	case PutConflict:
		m.readBack(e.ID, true, now)
	case PutUnknown:
		m.readBack(e.ID, false, now)
	case PutRefused:
		m.refuseSave(e)
	case Tick:
		m.tick(now)
	}
	m.scheduleWake(now)
	return m.actions
}

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

// readStore requests a read of the object, unless one is in flight.
func (m *Machine) readStore() {
	if m.readInFlight {
		return
	}
	m.readInFlight = true
	m.emit(ReadStore{})
}

// finishRead records the end of a read and schedules the next poll.
func (m *Machine) finishRead(now time.Time) {
	m.readInFlight = false
	m.nextPoll = now.Add(m.pollInterval())
}

// pollInterval returns the time to the next poll. It is jittered, and grows with the number
// of instances so that they stay below maxFleetPollsPerSecond together.
func (m *Machine) pollInterval() time.Duration {
	shortest := minPollInterval
	if m.watchWorking {
		shortest = watchedPollInterval
	}
	interval := max(shortest, time.Duration(m.instanceCount)*time.Second/maxFleetPollsPerSecond)
	if m.current.Generation == 0 {
		interval = searchInterval
	}
	return interval/2 + time.Duration(m.rnd.Int64N(int64(interval)))
}

// searchPeers asks all peers for a document if there is none in force.
func (m *Machine) searchPeers() {
	if m.current.Generation == 0 {
		m.emit(AskAllPeers{})
	}
}

// observeVersion handles a version from any source.
func (m *Machine) observeVersion(e VersionSeen, now time.Time) {
	m.consider(e.Version, e.Source, now)
	switch e.Source {
	case SourceStore:
		m.finishRead(now)
		m.storeEmpty = false
	case SourcePeer:
		m.askedGeneration = 0
	}
	m.settle(e.Version, e.Source == SourceStore)
}

// consider activates a version if it is newer than the one in force, or holds it back if it
// is the first one and comes from the store. Every version that becomes active passes through
// here.
func (m *Machine) consider(v Version, source Source, now time.Time) {
	if v.Generation == m.current.Generation && v.InvalidReason == "" && v.Hash != m.current.Hash {
		m.emit(RejectVersion{v.Generation, source, "another document at the generation in force"})
		return
	}
	if v.Generation <= m.current.Generation {
		return
	}
	if v.InvalidReason != "" {
		m.rejectInvalid(v, source)
		return
	}
	if m.current.Generation == 0 && (source == SourceStore || source == SourceWatch) {
		m.holdVersion(v, source, now)
		return
	}
	m.activate(v, source)
}

// activate puts a version in force.
func (m *Machine) activate(v Version, source Source) {
	m.heldVersion = Version{}
	m.current = v
	m.emit(Activate{v, source})
	m.emit(AnnounceGeneration{All: source == SourceSave})
}

// holdVersion holds back the highest version that the store returned to an instance that has
// started. A version from a peer is in force there and is activated at once.
func (m *Machine) holdVersion(v Version, source Source, now time.Time) {
	if m.heldVersion.Generation == 0 {
		m.holdEnd = now.Add(initialHold)
		m.nextHoldAsk = now
	}
	if v.Generation > m.heldVersion.Generation {
		m.heldVersion, m.heldSource = v, source
	}
	m.advanceHold(now)
}

// advanceHold asks the peers while a first version is held back, and activates the version
// at the end of the hold.
func (m *Machine) advanceHold(now time.Time) {
	switch {
	case m.heldVersion.Generation == 0:
	case !now.Before(m.holdEnd):
		m.activate(m.heldVersion, m.heldSource)
	case !now.Before(m.nextHoldAsk):
		m.nextHoldAsk = now.Add(holdAskInterval)
		m.emit(AskAllPeers{})
	}
}

// nextHoldTime returns when advanceHold must run next; zero if no version is held.
func (m *Machine) nextHoldTime() time.Time {
	if m.heldVersion.Generation == 0 {
		return time.Time{}
	}
	if m.holdEnd.Before(m.nextHoldAsk) {
		return m.holdEnd
	}
	return m.nextHoldAsk
}

// rejectInvalid reports a version that is not a valid document, once per generation. A
// version from a peer is only reported and not kept, because it does not prove what the
// store holds.
func (m *Machine) rejectInvalid(v Version, source Source) {
	if v.Generation <= m.invalid.Generation {
		return
	}
	if source != SourcePeer {
		m.invalid = v
	}
	m.emit(RejectVersion{v.Generation, source, v.InvalidReason})
}

// askNewerPeer asks a peer that has a newer generation for its document, one peer at a time.
func (m *Machine) askNewerPeer(e PeerGeneration, now time.Time) {
	if e.Generation <= m.current.Generation {
		return
	}
	if e.Generation <= m.askedGeneration && now.Sub(m.askedAt) < peerAskTimeout {
		return
	}
	m.askedGeneration = e.Generation
	m.askedAt = now
	m.emit(AskPeer{Peer: e.Peer, Above: m.current.Generation})
}

// tick polls the store if due, and advances the hold and the unsettled saves.
func (m *Machine) tick(now time.Time) {
	if !m.nextPoll.IsZero() && !now.Before(m.nextPoll) {
		m.readStore()
	}
	m.advanceHold(now)
	m.advanceSaves(now)
}

// scheduleWake requests the next tick, if any is needed.
func (m *Machine) scheduleWake(now time.Time) {
	at := m.nextSaveTime()
	if !m.readInFlight && !m.nextPoll.IsZero() && (at.IsZero() || m.nextPoll.Before(at)) {
		at = m.nextPoll
	}
	if hold := m.nextHoldTime(); !hold.IsZero() && (at.IsZero() || hold.Before(at)) {
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
