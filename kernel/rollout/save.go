package rollout

import (
	"slices"
	"time"
)

// Timeouts and intervals of a submission.
const (
	// SubmitTimeout is how long a submitter waits before it gets the state Unknown.
	SubmitTimeout = 8 * time.Second
	// settleTimeout is how long the machine tries to settle a submission of unknown effect.
	settleTimeout = 10 * time.Minute
	// settleInterval is the time between reads that try to settle a submission while its
	// submitter waits, and slowSettleInterval the time between reads after that.
	settleInterval     = 200 * time.Millisecond
	slowSettleInterval = 2 * time.Second
)

// save is a submission that is not settled.
type save struct {
	id              SaveID
	record          SaveRecord
	version         Version // the document to save; Generation is 0 until the save is accepted
	putInFlight     bool
	replyLost       bool // the reply to an attempt was lost
	conflicted      bool // the store reported a conflict at the only attempt
	unknownReported bool // the submitter got the state Unknown
	submitDeadline  time.Time
	settleDeadline  time.Time
	nextRead        time.Time
}

// submit starts a save. If the form was opened on a version below the one in force, the
// submission is a conflict already.
func (m *Machine) submit(e Submit, now time.Time) {
	if e.IfVersion < m.current.Generation {
		m.emit(ResolveSave{e.ID, Outcome{State: Conflict, Current: m.newerThanActive(m.current)}})
		return
	}
	s := &save{
		id:             e.ID,
		record:         SaveRecord{Nonce: e.Nonce, Base: e.IfVersion},
		version:        Version{Hash: e.Hash, Document: e.Document},
		submitDeadline: now.Add(SubmitTimeout),
		settleDeadline: now.Add(settleTimeout),
	}
	s.version.Value = EncodeValue(s.record, m.historyAt(e.IfVersion), e.TOML)
	m.saves[e.ID] = s
	m.startPut(s)
}

// historyAt returns the history of the version at a generation if the machine has that
// version, otherwise nil.
func (m *Machine) historyAt(generation uint64) []SaveRecord {
	switch generation {
	case m.current.Generation:
		return ParseHistory(m.current.Value)
	case m.invalid.Generation:
		return ParseHistory(m.invalid.Value)
	}
	return nil
}

// startPut writes the save. A retry is safe, because the update is conditional on the
// version that it replaces, so that at most one attempt takes effect.
func (m *Machine) startPut(s *save) {
	s.putInFlight = true
	m.emit(PutStore{ID: s.id, IfVersion: s.record.Base, Value: s.version.Value})
}

// acceptSave activates and announces a save that took effect, and resolves it.
func (m *Machine) acceptSave(e PutDone) {
	s, ok := m.saves[e.ID]
	if !ok {
		return
	}
	s.version.Generation = e.Generation
	m.consider(s.version, SourceSave, time.Time{})
	m.resolveSave(s, Outcome{State: Accepted, Generation: e.Generation})
}

// refuseSave resolves a save as refused if it certainly had no effect. A refusal proves
// nothing about an earlier attempt whose reply was lost.
func (m *Machine) refuseSave(e PutRefused) {
	s, ok := m.saves[e.ID]
	if !ok {
		return
	}
	s.putInFlight = false
	if !s.replyLost {
		m.resolveSave(s, Outcome{State: Refused, Reason: e.Reason, RetryAfter: e.RetryAfter})
	}
}

// readBack reads the object after an attempt whose effect is not known, to learn what
// became of the save. A conflict at the only attempt proves that the save lost; the read
// then returns the version it lost against.
func (m *Machine) readBack(id SaveID, conflict bool, now time.Time) {
	s, ok := m.saves[id]
	if !ok {
		return
	}
	s.putInFlight = false
	s.conflicted = conflict && !s.replyLost
	s.replyLost = s.replyLost || !conflict
	s.nextRead = now.Add(settleInterval)
	m.readStore()
}

// settle compares a seen version with every unsettled save. The read parameter is true
// if the version comes from a read of the store.
func (m *Machine) settle(v Version, read bool) {
	for _, s := range m.sortedSaves() {
		switch stateInHistory(v.Value, s.record) {
		case Accepted:
			m.resolveSave(s, Outcome{State: Accepted, Generation: m.savedGeneration(v, s)})
		case Conflict:
			m.resolveSave(s, Outcome{State: Conflict, Current: m.newerThanActive(v)})
		case Unknown:
			m.handleUnsettled(s, v, read)
		}
	}
}

// newerThanActive returns the newer one of a seen version and the version in force, for
// the submitter of a conflicting save to compare with its own document.
func (m *Machine) newerThanActive(v Version) *Version {
	if v.Generation <= m.current.Generation {
		v = m.current
	}
	return &v
}

// savedGeneration returns the generation of a save whose record is in the version's
// history: the version that the next save replaced, or the version itself if the record
// is the newest.
func (m *Machine) savedGeneration(v Version, s *save) uint64 {
	generation := v.Generation
	for _, r := range ParseHistory(v.Value) {
		if r == s.record {
			break
		}
		generation = r.Base
	}
	return generation
}

// handleUnsettled handles a save whose record is not in the version's history. If the
// save is known to conflict, a newer version is what it lost against. If its reply was
// lost and a read did not find it, it is written again while the submitter waits; after
// that the machine only reads.
func (m *Machine) handleUnsettled(s *save, v Version, read bool) {
	behind := v.Generation <= s.record.Base
	switch {
	case s.conflicted && !behind:
		m.resolveSave(s, Outcome{State: Conflict, Current: m.newerThanActive(v)})
	case read && behind && s.replyLost && !s.putInFlight && !s.unknownReported:
		m.startPut(s)
	}
}

// resolveSave delivers the final outcome of a save and forgets it.
func (m *Machine) resolveSave(s *save, o Outcome) {
	delete(m.saves, s.id)
	m.emit(ResolveSave{s.id, o})
}

// advanceSaves reads again for unsettled saves, answers submitters whose wait has timed
// out, and drops the saves that could not be settled in time.
func (m *Machine) advanceSaves(now time.Time) {
	for _, s := range m.sortedSaves() {
		if !now.Before(s.settleDeadline) {
			delete(m.saves, s.id)
			continue
		}
		if !s.unknownReported && !now.Before(s.submitDeadline) {
			m.reportTimeout(s)
		}
		if !s.putInFlight && !s.nextRead.IsZero() && !now.Before(s.nextRead) {
			s.nextRead = now.Add(s.readInterval())
			m.readStore()
		}
	}
}

// readInterval returns the time between reads for the save.
func (s *save) readInterval() time.Duration {
	if s.unknownReported {
		return slowSettleInterval
	}
	return settleInterval
}

// reportTimeout answers a submitter whose wait has timed out.
func (m *Machine) reportTimeout(s *save) {
	if s.conflicted {
		m.resolveSave(s, Outcome{State: Conflict, Reason: "the newer version can't be read yet"})
		return
	}
	s.unknownReported = true
	m.emit(ResolveSave{s.id, Outcome{State: Unknown, Reason: "the store's reply was lost and it can't be read back yet"}})
}

// nextSaveTime returns when a save needs a tick next; zero if none does.
func (m *Machine) nextSaveTime() time.Time {
	var next time.Time
	consider := func(t time.Time) {
		if !t.IsZero() && (next.IsZero() || t.Before(next)) {
			next = t
		}
	}
	for _, s := range m.saves {
		consider(s.settleDeadline)
		if !s.unknownReported {
			consider(s.submitDeadline)
		}
		if !s.putInFlight {
			consider(s.nextRead)
		}
	}
	return next
}

// sortedSaves returns the saves ordered by ID, so that runs are deterministic.
func (m *Machine) sortedSaves() []*save {
	out := make([]*save, 0, len(m.saves))
	for _, s := range m.saves {
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b *save) int { return int(a.id) - int(b.id) })
	return out
}
