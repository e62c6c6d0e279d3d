package ledger

import (
	"bytes"
	"slices"
	"time"
)

// start begins the next read or write, if one is due and may be made.
func (m *Machine) start(now time.Time) {
	if m.op != opNone || m.down || now.Before(m.retryAt) || !m.due(now) {
		return
	}
	if m.needsRead(now) {
		m.op = opRead
		m.add(Read{})
	} else {
		m.op = opWrite
		m.inFlight = Write{IfVersion: m.version, Records: m.content(now)}
		m.add(m.inFlight)
	}
	for _, c := range m.waiting {
		c.asked = true
	}
}

// due tells whether a claim waits, or a result or release has waited enough.
func (m *Machine) due(now time.Time) bool {
	if len(m.waiting) > 0 {
		return true
	}
	for _, c := range m.updates {
		if m.flush || !now.Before(c.due) {
			return true
		}
	}
	m.flush = m.flush && len(m.updates) > 0
	return false
}

// needsRead tells whether the bucket must be read before it can be written, or
// before a claim can be answered.
func (m *Machine) needsRead(now time.Time) bool {
	if !m.known || m.floor > m.version || m.recheck || now.Sub(m.seenAt) > m.cfg.MaxCacheAge {
		return true
	}
	for _, c := range m.waiting {
		if rec, held := m.holder(c, now); held && rec.Nonce != c.Nonce && !c.fresh {
			return true
		}
	}
	return false
}

// content is the bucket with all changes of this entry: claims added, results
// set, released and expired records dropped.
func (m *Machine) content(now time.Time) Records {
	changes := m.changes(now)
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
		if !m.expired(rec, now) {
			out = append(out, rec)
		}
	}
	for ; next < len(changes); next++ {
		out = changes[next].appendTo(out)
	}
	return out
}

// change is what becomes of one key.
type change struct {
	key    Key
	remove bool
	record Record
}

// appendTo adds the key's new record, if it has one.
func (c change) appendTo(out Records) Records {
	if c.remove {
		return out
	}
	return append(out, c.record)
}

// changes lists what this entry changes, sorted by key, each key once. A claim
// after a release of the same key replaces it.
func (m *Machine) changes(now time.Time) []change {
	byKey := make(map[Key]change, len(m.updates)+len(m.waiting))
	for _, c := range m.updates {
		rec, ok := m.records.Get(c.Key)
		if !ok || rec.Nonce != c.Nonce {
			continue
		}
		rec.Done = c.phase == phaseSettling
		rec.Result = c.result
		byKey[c.Key] = change{key: c.Key, remove: c.phase == phaseReleasing, record: rec}
	}
	for _, c := range m.waiting {
		byKey[c.Key] = change{key: c.Key, record: Record{
			Key:         c.Key,
			Fingerprint: c.Fingerprint,
			Nonce:       c.Nonce,
			Deadline:    c.Deadline.UnixMilli(),
			Expires:     now.Add(m.cfg.Retention).UnixMilli(),
		}}
	}
	out := make([]change, 0, len(byKey))
	for _, c := range byKey {
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b change) int { return bytes.Compare(a.key[:], b.key[:]) })
	return out
}

// wake asks for the next Tick, if it is not yet asked for.
func (m *Machine) wake() {
	var at time.Time
	consider := func(t time.Time) {
		if at.IsZero() || t.Before(at) {
			at = t
		}
	}
	for _, c := range m.waiting {
		consider(c.giveUp)
	}
	if m.op == opNone && !m.down {
		for _, c := range m.updates {
			due := c.due
			if due.Before(m.retryAt) {
				due = m.retryAt
			}
			consider(due)
		}
	}
	if at.IsZero() || at.Equal(m.wakeAt) {
		return
	}
	m.wakeAt = at
	m.add(WakeAt{At: at})
}
