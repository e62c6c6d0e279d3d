package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Machine is the quarantine state of one instance. It is not safe for concurrent
// use.
type Machine struct {
	cfg     Config
	records map[string]Record
	// changedAt is when each record was last changed by an event.
	changedAt map[string]time.Time
	good      goodSet  // ran to completion
	actions   []Action // of the event in hand
}

// New returns a Machine without records.
func New(cfg Config) *Machine {
	return &Machine{cfg: cfg, records: make(map[string]Record), changedAt: make(map[string]time.Time), good: goodSet{limit: max(cfg.MaxKnownGood, 1)}}
}

// Admit decides how a request that queries the given number of shards may run.
//
// No canary is needed for a fan-out of at most canaryAbove shards, where the
// operator accepts that every one of them may crash, nor for a fingerprint that ran
// to completion before: a request that crashes one leaf crashes every leaf that runs
// it. A canaryAbove of 0 turns canaries off.
func (m *Machine) Admit(fingerprint string, shards, canaryAbove int, now time.Time) Decision {
	r, ok := m.live(fingerprint, now)
	switch {
	case ok && r.Phase() == PhaseQuarantined:
		return Decision{Mode: ModeRefuse, RetryAfter: m.retryAfter(r, now)}
	case ok && r.Phase() == PhaseSuspect:
		return Decision{Mode: ModeSuspect}
	case ok || m.good.has(fingerprint) || canaryAbove <= 0 || shards <= canaryAbove:
		return Decision{Mode: ModeRun}
	default:
		return Decision{Mode: ModeCanary}
	}
}

// Handle processes one event and returns the resulting actions. The slice is valid
// until the next call.
func (m *Machine) Handle(ev Event, now time.Time) []Action {
	m.actions = m.actions[:0]
	switch ev := ev.(type) {
	case AttemptEnded:
		m.recordEnd(ev, now)
	case RecordsReceived:
		for _, r := range ev.Records {
			m.merge(r, now)
		}
	case RecordsLoaded:
		for _, r := range ev.Records {
			m.merge(m.endQuarantine(r, now), now)
		}
	case ProbeStarted:
		m.put(ev.Record, now)
		m.actions = append(m.actions, Announce(ev))
	case Lifted:
		if r, ok := m.live(ev.Fingerprint, now); ok && r.Phase() != PhaseClear {
			m.setPhase(r, PhaseClear, m.clearDuration(), now)
		}
	case Tick:
		for fingerprint := range m.records {
			m.live(fingerprint, now)
		}
	}
	return m.actions
}

// live returns the unexpired record of a fingerprint. An expired quarantine becomes
// a suspect; any other expired record is deleted.
func (m *Machine) live(fingerprint string, now time.Time) (Record, bool) {
	r, ok := m.records[fingerprint]
	if !ok || now.Before(r.ExpiresAt) {
		return r, ok
	}
	if r.Phase() == PhaseQuarantined {
		m.records[fingerprint] = m.endQuarantine(r, now)
		return m.live(fingerprint, now)
	}
	m.remove(fingerprint)
	return Record{}, false
}

// endQuarantine returns a record whose quarantine has passed as that of a suspect, and any
// other one as it is.
func (m *Machine) endQuarantine(r Record, now time.Time) Record {
	if r.Phase() != PhaseQuarantined || now.Before(r.ExpiresAt) {
		return r
	}
	r.Level = r.nextLevel(PhaseSuspect)
	r.ExpiresAt = r.ExpiresAt.Add(m.cfg.SuspectDuration)
	return r
}

// recordEnd updates the record of a fingerprint after the end of an attempt.
func (m *Machine) recordEnd(ev AttemptEnded, now time.Time) {
	r, ok := m.live(ev.Fingerprint, now)
	r.Fingerprint = ev.Fingerprint
	if !ev.Crashed {
		m.good.add(ev.Fingerprint)
		if ok && r.Phase() != PhaseClear {
			m.setPhase(r, PhaseClear, m.clearDuration(), now)
		}
		return
	}
	m.good.remove(ev.Fingerprint)
	switch {
	case r.Phase() == PhaseClear:
		m.setPhase(r, PhaseSuspect, m.cfg.SuspectDuration, now)
	case r.Phase() == PhaseSuspect && ev.Solo:
		r.Probes++
		m.setPhase(r, PhaseQuarantined, m.quarantineDuration(r.Probes), now)
	}
}

// quarantineDuration returns how long a fingerprint is refused after a number of probes.
func (m *Machine) quarantineDuration(probes int) time.Duration {
	later := m.cfg.LaterQuarantines
	if probes <= 1 || len(later) == 0 {
		return m.cfg.QuarantineDuration
	}
	return later[min(probes-2, len(later)-1)]
}

// clearDuration returns how long the clearing of a suspect is remembered.
func (m *Machine) clearDuration() time.Duration {
	return cmp.Or(m.cfg.ClearDuration, m.cfg.SuspectDuration)
}

// Times of a probe.
const (
	// probeTime is the time in which most probes end.
	probeTime = time.Second
	// probeRetryAfter is when a request may come back that is refused during a probe.
	probeRetryAfter = 250 * time.Millisecond
)

// retryAfter returns when a quarantined request may come back. A probe that has just
// started may clear it.
func (m *Machine) retryAfter(r Record, now time.Time) time.Duration {
	left := r.ExpiresAt.Sub(now)
	if r.Probes > 0 && m.quarantineDuration(r.Probes)-left < probeTime {
		return min(left, probeRetryAfter)
	}
	return left
}

// Phase returns the phase of a fingerprint.
func (m *Machine) Phase(fingerprint string, now time.Time) Phase {
	r, _ := m.live(fingerprint, now)
	return r.Phase()
}

// Record returns the record of a fingerprint, and whether there is one.
func (m *Machine) Record(fingerprint string, now time.Time) (Record, bool) {
	return m.live(fingerprint, now)
}

// NextProbe returns the record of a suspect whose next probe starts now; false if the
// fingerprint is no suspect.
func (m *Machine) NextProbe(fingerprint string, now time.Time) (Record, bool) {
	r, ok := m.live(fingerprint, now)
	if !ok || r.Phase() != PhaseSuspect {
		return Record{}, false
	}
	r.Level = r.nextLevel(PhaseQuarantined)
	r.Probes++
	r.ExpiresAt = now.Add(m.quarantineDuration(r.Probes))
	return r, true
}

// setPhase moves a record to another phase and announces it.
func (m *Machine) setPhase(r Record, p Phase, lifetime time.Duration, now time.Time) {
	r.Level = r.nextLevel(p)
	r.ExpiresAt = now.Add(lifetime)
	if p == PhaseClear {
		r.Probes = 0
	}
	m.put(r, now)
	m.actions = append(m.actions, Announce{Record: r}, PhaseChanged{Fingerprint: r.Fingerprint, Phase: p, Remaining: lifetime})
}

// merge adds a record from a peer. It ignores records that are expired, that it
// already has, or whose level is out of range.
func (m *Machine) merge(r Record, now time.Time) {
	if r.Level <= 0 || r.Level > maxLevel || !now.Before(r.ExpiresAt) {
		return
	}
	// A peer can't make a record outlive one of this instance's own.
	r.ExpiresAt = earlierOf(r.ExpiresAt, now.Add(m.maxLifetime()))
	r.Probes = min(max(r.Probes, 0), maxProbes)
	old, _ := m.live(r.Fingerprint, now)
	if compareRecords(r, old) <= 0 {
		return
	}
	m.put(r, now)
	if r.Level > old.Level {
		// Each instance forwards a record at once, and once per level, so that the
		// record reaches all instances in a number of hops that is logarithmic in the
		// size of the fleet.
		m.actions = append(m.actions, Announce{Record: r}, PhaseChanged{Fingerprint: r.Fingerprint, Phase: r.Phase(), Remaining: r.ExpiresAt.Sub(now)})
	}
}

// maxLevel is the greatest level accepted from a peer. A level grows by at most two
// with each event, so that a correct peer never comes near it.
const maxLevel = 1 << 20

// maxProbes bounds the probes accepted from a peer.
const maxProbes = 1 << 10

// maxLifetime returns the longest time that a record may last.
func (m *Machine) maxLifetime() time.Duration {
	longest := max(m.cfg.QuarantineDuration, m.cfg.SuspectDuration)
	for _, d := range m.cfg.LaterQuarantines {
		longest = max(longest, d)
	}
	return longest
}

// compareRecords orders two records of a fingerprint; a merge keeps the greater one.
func compareRecords(a, b Record) int {
	return cmp.Or(
		cmp.Compare(a.Level, b.Level),
		cmp.Compare(a.Probes, b.Probes),
		a.ExpiresAt.Compare(b.ExpiresAt),
	)
}

func earlierOf(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// put stores a record and, above MaxRecords, deletes the least important one.
func (m *Machine) put(r Record, now time.Time) {
	m.records[r.Fingerprint] = r
	m.changedAt[r.Fingerprint] = now
	if len(m.records) <= m.cfg.MaxRecords {
		return
	}
	least := r
	for _, other := range m.records {
		if byImportance(other, least) > 0 {
			least = other
		}
	}
	m.remove(least.Fingerprint)
}

// remove deletes a record.
func (m *Machine) remove(fingerprint string) {
	delete(m.records, fingerprint)
	delete(m.changedAt, fingerprint)
}

// byImportance orders records by phase, quarantined first and clear last, and within
// a phase by expiry, the latest first.
func byImportance(a, b Record) int {
	return cmp.Or(
		cmp.Compare(b.Phase(), a.Phase()),
		b.ExpiresAt.Compare(a.ExpiresAt),
		cmp.Compare(a.Fingerprint, b.Fingerprint),
	)
}

// Digest returns the most important records, to be sent to a peer.
func (m *Machine) Digest(now time.Time) []Record {
	out := m.Records(now)
	return out[:min(len(out), m.cfg.MaxDigestRecords)]
}

// Changes returns the records that changed after a time, at most limit; the most important
// first.
func (m *Machine) Changes(after time.Time, limit int, now time.Time) []Record {
	out := slices.DeleteFunc(m.Records(now), func(r Record) bool { return !m.changedAt[r.Fingerprint].After(after) })
	return out[:min(len(out), limit)]
}

// Records returns all unexpired records, the most important first.
func (m *Machine) Records(now time.Time) []Record {
	var out []Record
	for fingerprint := range m.records {
		if r, ok := m.live(fingerprint, now); ok {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, byImportance)
	return out
}

// goodSet is a bounded set of fingerprints that ran to completion, in two
// generations: when the younger one holds half of the limit, the older one is
// dropped and a new one begins.
type goodSet struct {
	limit      int
	young, old map[string]struct{}
}

func (s *goodSet) has(fingerprint string) bool {
	if _, ok := s.young[fingerprint]; ok {
		return true
	}
	_, ok := s.old[fingerprint]
	return ok
}

func (s *goodSet) add(fingerprint string) {
	if _, ok := s.young[fingerprint]; ok {
		return
	}
	if s.young == nil || len(s.young) >= (s.limit+1)/2 {
		s.old = s.young
		s.young = make(map[string]struct{})
	}
	s.young[fingerprint] = struct{}{}
}

func (s *goodSet) remove(fingerprint string) {
	delete(s.young, fingerprint)
	delete(s.old, fingerprint)
}
