package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Machine keeps the records of one entry.
type Machine struct {
	cfg     Config
	records map[string]Record
	good    goodSet
	out     []Action
}

// New returns a machine that knows no fingerprint.
func New(cfg Config) *Machine {
	return &Machine{cfg: cfg, records: make(map[string]Record), good: goodSet{limit: max(cfg.MaxKnownGood, 1)}}
}

// Admit decides how a request may run that asks the given number of shards.
//
// A canary is skipped for a fan-out of at most canaryAbove shards, whose worst
// case the operator has accepted, and for a fingerprint that ran to its end
// before: what breaks a leaf breaks each that runs it.
func (m *Machine) Admit(fingerprint string, shards, canaryAbove int, now time.Time) Decision {
	r, ok := m.live(fingerprint, now)
	switch {
	case ok && r.Phase() == PhaseQuarantined:
		return Decision{Mode: ModeRefuse, RetryAfter: r.ExpiresAt.Sub(now)}
	case ok && r.Phase() == PhaseSuspect:
		return Decision{Mode: ModeSuspect}
	case ok || m.good.has(fingerprint) || canaryAbove <= 0 || shards <= canaryAbove:
		return Decision{Mode: ModeRun}
	default:
		return Decision{Mode: ModeCanary}
	}
}

// Handle takes an event and returns the actions it causes. The slice is valid
// until the next call.
func (m *Machine) Handle(ev Event, now time.Time) []Action {
	m.out = m.out[:0]
	switch ev := ev.(type) {
	case AttemptEnded:
		m.observed(ev, now)
	case RecordsReceived:
		for _, r := range ev.Records {
			m.merge(r, now)
		}
	case Lifted:
		if r, ok := m.live(ev.Fingerprint, now); ok && r.Phase() != PhaseClear {
			m.change(r, PhaseClear, m.cfg.SuspectDuration, now)
		}
	case Tick:
		for fingerprint := range m.records {
			m.live(fingerprint, now)
		}
	}
	return m.out
}

// live returns the record in force now. A quarantine that has passed leaves a
// suspect behind; any other record that has passed is forgotten.
func (m *Machine) live(fingerprint string, now time.Time) (Record, bool) {
	r, ok := m.records[fingerprint]
	if !ok || now.Before(r.ExpiresAt) {
		return r, ok
	}
	if r.Phase() == PhaseQuarantined {
		r.Level = r.next(PhaseSuspect)
		r.ExpiresAt = r.ExpiresAt.Add(m.cfg.SuspectDuration)
		m.records[fingerprint] = r
		return m.live(fingerprint, now)
	}
	delete(m.records, fingerprint)
	return Record{}, false
}

// observed learns from the end of an attempt.
func (m *Machine) observed(ev AttemptEnded, now time.Time) {
	r, ok := m.live(ev.Fingerprint, now)
	r.Fingerprint = ev.Fingerprint
	if !ev.Crashed {
		m.good.add(ev.Fingerprint)
		if ok && r.Phase() != PhaseClear {
			m.change(r, PhaseClear, m.cfg.SuspectDuration, now)
		}
		return
	}
	m.good.remove(ev.Fingerprint)
	switch {
	case r.Phase() == PhaseClear:
		m.change(r, PhaseSuspect, m.cfg.SuspectDuration, now)
	case r.Phase() == PhaseSuspect && ev.Solo:
		m.change(r, PhaseQuarantined, m.cfg.QuarantineDuration, now)
	}
}

// change moves a record on to a phase and tells of it.
func (m *Machine) change(r Record, p Phase, lasts time.Duration, now time.Time) {
	r.Level = r.next(p)
	r.ExpiresAt = now.Add(lasts)
	m.put(r)
	m.out = append(m.out, Announce{Record: r}, PhaseChanged{Fingerprint: r.Fingerprint, Phase: p, Remaining: lasts})
}

// merge takes in a peer's record.
func (m *Machine) merge(r Record, now time.Time) {
	if r.Level <= 0 || r.Level > maxLevel || !now.Before(r.ExpiresAt) {
		return
	}
	r.ExpiresAt = earliest(r.ExpiresAt, now.Add(max(m.cfg.QuarantineDuration, m.cfg.SuspectDuration)))
	old, _ := m.live(r.Fingerprint, now)
	if r.Level < old.Level || (r.Level == old.Level && !r.ExpiresAt.After(old.ExpiresAt)) {
		return
	}
	m.put(r)
	if r.Level > old.Level {
		// A record is passed on at once, and each entry does so once per level, so
		// that it reaches all in a number of steps that grows with the logarithm
		// of the fleet.
		m.out = append(m.out, Announce{Record: r}, PhaseChanged{Fingerprint: r.Fingerprint, Phase: r.Phase(), Remaining: r.ExpiresAt.Sub(now)})
	}
}

// maxLevel bounds what is taken from a peer. A level grows by at most two with
// each event, so that no honest one comes near it.
const maxLevel = 1 << 20

// earliest is the earlier of two times: a peer can't make a record last longer
// than one of this instance's own.
func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// put keeps a record; above the bound the least important one goes.
func (m *Machine) put(r Record) {
	m.records[r.Fingerprint] = r
	if len(m.records) <= m.cfg.MaxRecords {
		return
	}
	least := r
	for _, x := range m.records {
		if byImportance(x, least) > 0 {
			least = x
		}
	}
	delete(m.records, least.Fingerprint)
}

// byImportance orders the quarantined before suspects before the cleared, then
// those that last longer first.
func byImportance(a, b Record) int {
	return cmp.Or(
		cmp.Compare(b.Phase(), a.Phase()),
		b.ExpiresAt.Compare(a.ExpiresAt),
		cmp.Compare(a.Fingerprint, b.Fingerprint),
	)
}

// Digest returns the most important records to tell a peer.
func (m *Machine) Digest(now time.Time) []Record {
	out := m.Records(now)
	return out[:min(len(out), m.cfg.MaxDigestRecords)]
}

// Records lists all records in force, the most important first.
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

// goodSet remembers fingerprints that ran to their end, the older half of them
// forgotten when the newer half is full.
type goodSet struct {
	limit      int
	young, old map[string]struct{}
}

// has reports whether a fingerprint is remembered.
func (s *goodSet) has(fingerprint string) bool {
	if _, ok := s.young[fingerprint]; ok {
		return true
	}
	_, ok := s.old[fingerprint]
	return ok
}

// add remembers a fingerprint.
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

// remove forgets a fingerprint.
func (s *goodSet) remove(fingerprint string) {
	delete(s.young, fingerprint)
	delete(s.old, fingerprint)
}
