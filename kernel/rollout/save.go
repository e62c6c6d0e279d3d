package rollout

import (
	"slices"
	"time"
)

// Times of a submission.
const (
	// SubmitTimeout is how long a submitter waits before it gets "unknown".
	SubmitTimeout = 8 * time.Second
	// settleFor is how long an unknown submission is watched for.
	settleFor = 10 * time.Minute
	// settleEvery is the time between reads that try to settle a submission
	// while its submitter waits, and settleSlowly the time afterwards.
	settleEvery  = 200 * time.Millisecond
	settleSlowly = 2 * time.Second
)

// save is one submission in progress.
type save struct {
	id       SaveID
	link     SaveRecord
	version  Version // Generation is set when it is known
	putting  bool
	lost     bool // the reply of a try was lost
	beaten   bool // the store named a conflict at the only try
	answered bool // the submitter was answered "unknown"
	waitEnd  time.Time
	dropAt   time.Time
	tryAt    time.Time
}

// submit starts a save. A form opened on a version below the one in force has
// lost already.
func (m *Machine) submit(e Submit, now time.Time) {
	if e.IfVersion < m.current.Generation {
		m.emit(ResolveSave{e.ID, Outcome{State: Conflict, Current: m.newest(m.current)}})
		return
	}
	s := &save{
		id:      e.ID,
		link:    SaveRecord{Nonce: e.Nonce, Base: e.IfVersion},
		version: Version{Hash: e.Hash, Document: e.Document},
		waitEnd: now.Add(SubmitTimeout),
		dropAt:  now.Add(settleFor),
	}
	s.version.Value = EncodeValue(s.link, m.historyAt(e.IfVersion), e.TOML)
	m.saves[e.ID] = s
	m.put(s)
}

// historyAt is the history of the version at a generation, when it is at hand.
func (m *Machine) historyAt(generation uint64) []SaveRecord {
	switch generation {
	case m.current.Generation:
		return ParseHistory(m.current.Value)
	case m.refused.Generation:
		return ParseHistory(m.refused.Value)
	}
	return nil
}

// put writes the save. It is safe to repeat: the update is conditional on the
// version it replaces, so that one try at most can take effect.
func (m *Machine) put(s *save) {
	s.putting = true
	m.emit(PutStore{ID: s.id, IfVersion: s.link.Base, Value: s.version.Value})
}

// putDone puts an accepted save in force and pushes it.
func (m *Machine) putDone(e PutDone) {
	s, ok := m.saves[e.ID]
	if !ok {
		return
	}
	s.version.Generation = e.Generation
	m.consider(s.version, SourceSave, time.Time{})
	m.finish(s, Outcome{State: Accepted, Generation: e.Generation})
}

// putRefused ends a save that provably had no effect. After a try whose reply
// was lost it proves nothing of that earlier try.
func (m *Machine) putRefused(e PutRefused) {
	s, ok := m.saves[e.ID]
	if !ok {
		return
	}
	s.putting = false
	if !s.lost {
		m.finish(s, Outcome{State: Refused, Reason: e.Reason, RetryAfter: e.RetryAfter})
	}
}

// putEnded reads the object back to learn what became of a save whose try
// ended without a plain yes. A conflict at the only try is proof that the save
// lost; the read then shows against what.
func (m *Machine) putEnded(id SaveID, conflict bool, now time.Time) {
	s, ok := m.saves[id]
	if !ok {
		return
	}
	s.putting = false
	s.beaten = conflict && !s.lost
	s.lost = s.lost || !conflict
	s.tryAt = now.Add(settleEvery)
	m.read()
}

// settle compares a seen version with every unsettled save.
func (m *Machine) settle(v Version, read bool) {
	for _, s := range m.ordered() {
		switch fate(v.Value, s.link) {
		case Accepted:
			m.finish(s, Outcome{State: Accepted, Generation: m.generationOf(v, s)})
		case Conflict:
			m.finish(s, Outcome{State: Conflict, Current: m.newest(v)})
		case Unknown:
			m.unsettled(s, v, read)
		}
	}
}

// newest is the newer of a seen version and the one in force: what the loser of
// a race compares its own document with.
func (m *Machine) newest(v Version) *Version {
	if v.Generation <= m.current.Generation {
		v = m.current
	}
	return &v
}

// generationOf is the generation of a save found in the version's history: the
// version that the next save replaced, or the version itself if it is newest.
func (m *Machine) generationOf(v Version, s *save) uint64 {
	generation := v.Generation
	for _, l := range ParseHistory(v.Value) {
		if l == s.link {
			break
		}
		generation = l.Base
	}
	return generation
}

// unsettled handles a save of which the version tells nothing. One that is
// known to be beaten has met what it lost against. One whose reply was lost
// and that a read did not find is tried again while the submitter waits;
// afterwards it is only watched for.
func (m *Machine) unsettled(s *save, v Version, read bool) {
	behind := v.Generation <= s.link.Base
	switch {
	case s.beaten && !behind:
		m.finish(s, Outcome{State: Conflict, Current: m.newest(v)})
	case read && behind && s.lost && !s.putting && !s.answered:
		m.put(s)
	}
}

// finish gives the final outcome.
func (m *Machine) finish(s *save, o Outcome) {
	delete(m.saves, s.id)
	m.emit(ResolveSave{s.id, o})
}

// tickSaves reads again for unsettled saves, tells submitters who waited long
// enough, and drops what can't be settled any more.
func (m *Machine) tickSaves(now time.Time) {
	for _, s := range m.ordered() {
		if !now.Before(s.dropAt) {
			delete(m.saves, s.id)
			continue
		}
		if !s.answered && !now.Before(s.waitEnd) {
			m.waited(s)
		}
		if !s.putting && !s.tryAt.IsZero() && !now.Before(s.tryAt) {
			s.tryAt = now.Add(s.readEvery())
			m.read()
		}
	}
}

// readEvery is the time between reads for a save.
func (s *save) readEvery() time.Duration {
	if s.answered {
		return settleSlowly
	}
	return settleEvery
}

// waited tells a submitter who waited long enough what is known.
func (m *Machine) waited(s *save) {
	if s.beaten {
		m.finish(s, Outcome{State: Conflict, Reason: "the newer version can't be read yet"})
		return
	}
	s.answered = true
	m.emit(ResolveSave{s.id, Outcome{State: Unknown, Reason: "the store's reply was lost and it can't be read back yet"}})
}

// nextSave is the time at which a save needs a tick; zero when none does.
func (m *Machine) nextSave() time.Time {
	var next time.Time
	earliest := func(t time.Time) {
		if !t.IsZero() && (next.IsZero() || t.Before(next)) {
			next = t
		}
	}
	for _, s := range m.saves {
		earliest(s.dropAt)
		if !s.answered {
			earliest(s.waitEnd)
		}
		if !s.putting {
			earliest(s.tryAt)
		}
	}
	return next
}

// ordered returns the saves by ID, so that runs repeat.
func (m *Machine) ordered() []*save {
	out := make([]*save, 0, len(m.saves))
	for _, s := range m.saves {
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b *save) int { return int(a.id) - int(b.id) })
	return out
}
