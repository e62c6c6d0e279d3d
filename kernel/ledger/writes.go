package ledger

import (
	"bytes"
	"slices"
	"time"
)

// startOperation starts the next read or write, if one is due and allowed.
func (m *Machine) startOperation(now time.Time) {
	if m.op != opNone || m.storeDown || now.Before(m.retryAt) || !m.operationDue(now) {
		return
	}
	if m.needsRead(now) {
		m.op = opRead
		m.emit(Read{})
	} else {
		m.op = opWrite
		m.inFlightWrite = Write{IfVersion: m.version, Records: m.nextRecords(now)}
		m.emit(m.inFlightWrite)
	}
	for _, c := range m.waiting {
		c.opStarted = true
	}
}

// operationDue reports whether a claim is waiting, or a result or release is due
// to be written. It resets flushNow when nothing is left to flush.
func (m *Machine) operationDue(now time.Time) bool {
	if len(m.waiting) > 0 {
		return true
	}
	for _, c := range m.updates {
		if m.flushNow || !now.Before(c.writeBy) {
			return true
		}
	}
	m.flushNow = m.flushNow && len(m.updates) > 0
	return false
}

// needsRead reports whether the bucket must be read before it can be written or
// a claim can be answered.
func (m *Machine) needsRead(now time.Time) bool {
	if !m.known || m.minVersion > m.version || m.rereadNeeded || now.Sub(m.seenAt) > m.cfg.MaxCacheAge {
		return true
	}
	for _, c := range m.waiting {
		if rec, held := m.conflictingRecord(c, now); held && rec.Nonce != c.Nonce && !c.bucketSeen {
			return true
		}
	}
	return false
}

// nextRecords returns the bucket's records with the changes of this instance
// applied: claims added, results set, released and expired records dropped.
func (m *Machine) nextRecords(now time.Time) Records {
	changes := m.pendingChanges(now)
	out := make(Records, 0, len(m.records)+len(changes))
	next := 0
	for _, rec := range m.records {
		for next < len(changes) && bytes.Compare(changes[next].key[:], rec.Key[:]) < 0 {
			out = changes[next].appendTo(out)
			next++
		}
		if next < len(changes) && changes[next].key == rec.Key {
			out = changes[next].appendTo(out)
			next++
			continue
		}
		if !m.isExpired(rec, now) {
			out = append(out, rec)
		}
	}
	for ; next < len(changes); next++ {
		out = changes[next].appendTo(out)
	}
	return out
}

// recordChange sets or removes the record of one key.
type recordChange struct {
	key    Key
	remove bool
	record Record
}

// appendTo appends the key's new record, unless it is removed.
func (c recordChange) appendTo(out Records) Records {
	if c.remove {
		return out
	}
	return append(out, c.record)
}

// pendingChanges returns the changes to write, sorted by key, each key once. A
// claim that follows a release of the same key replaces the release.
func (m *Machine) pendingChanges(now time.Time) []recordChange {
	byKey := make(map[Key]recordChange, len(m.updates)+len(m.waiting))
	for _, c := range m.updates {
		rec, ok := m.records.Get(c.Key)
		if !ok || rec.Nonce != c.Nonce {
			continue
		}
		rec.Done = c.phase == phaseSettling
		rec.Result = c.result
		byKey[c.Key] = recordChange{key: c.Key, remove: c.phase == phaseReleasing, record: rec}
	}
	for _, c := range m.waiting {
		byKey[c.Key] = recordChange{key: c.Key, record: Record{
			Key:         c.Key,
			Fingerprint: c.Fingerprint,
			Nonce:       c.Nonce,
			Deadline:    c.Deadline.UnixMilli(),
			Expires:     now.Add(m.cfg.Retention).UnixMilli(),
		}}
	}
	out := make([]recordChange, 0, len(byKey))
	for _, c := range byKey {
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b recordChange) int { return bytes.Compare(a.key[:], b.key[:]) })
	return out
}

// scheduleWake asks for a Tick at the next due time, unless that was asked for.
func (m *Machine) scheduleWake() {
	var at time.Time
	consider := func(t time.Time) {
		if at.IsZero() || t.Before(at) {
			at = t
		}
	}
	for _, c := range m.waiting {
		consider(c.confirmBy)
	}
	if m.op == opNone && !m.storeDown {
		for _, c := range m.updates {
			writeAt := c.writeBy
			if writeAt.Before(m.retryAt) {
				writeAt = m.retryAt
			}
			consider(writeAt)
		}
	}
	if at.IsZero() || at.Equal(m.wakeAt) {
		return
	}
	m.wakeAt = at
	m.emit(WakeAt{At: at})
}
