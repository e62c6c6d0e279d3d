package ledger

import "time"

// recordMargin is the time allowed for the write of a result.
const recordMargin = 250 * time.Millisecond

// fullRetryAfter is how long a caller is asked to wait for a full bucket.
const fullRetryAfter = 30 * time.Second

// expire refuses claims whose time to be confirmed has passed.
func (m *Machine) expire(now time.Time) {
	m.filterWaiting(func(c *claim) bool {
		if now.Before(c.giveUp) {
			return true
		}
		if now.Before(c.Deadline) {
			m.add(Unavailable{ID: c.ID, Reason: ReasonTimeout, RetryAfter: m.retryAfter(now)})
		} else {
			m.add(Unavailable{ID: c.ID, Reason: ReasonDeadline})
		}
		m.drop(c, now)
		return false
	})
}

// reconcile compares the claims with the bucket as last seen. While a write is
// in flight the bucket is not known, and nothing is concluded.
func (m *Machine) reconcile() {
	if m.op == opWrite {
		return
	}
	m.filterWaiting(func(c *claim) bool {
		if !m.doubt {
			c.maybeStored = false
		}
		if !holds(m.records, c) {
			return true
		}
		m.grant(c)
		return false
	})
	kept := m.updates[:0]
	for _, c := range m.updates {
		if !m.doubt {
			c.maybeStored = false
		}
		if m.persisted(c) {
			m.forget(c)
			m.add(Persisted{ID: c.ID})
			continue
		}
		kept = append(kept, c)
	}
	clear(m.updates[len(kept):])
	m.updates = kept
}

// grant hands a confirmed claim to its holder. A claim past its deadline is no
// longer waiting: expire has refused it.
func (m *Machine) grant(c *claim) {
	c.phase = phaseGranted
	m.add(Granted{ID: c.ID})
}

// persisted tells whether the bucket as last seen has what an update asks for.
// A settled record that is gone was dropped after its retention.
func (m *Machine) persisted(c *claim) bool {
	rec, ok := m.records.Get(c.Key)
	present := ok && rec.Nonce == c.Nonce
	if c.phase == phaseReleasing {
		return !present && !c.maybeStored
	}
	return !present || rec.Done
}

// decide answers the waiting claims whose key is held by another.
func (m *Machine) decide(now time.Time) {
	if !m.known {
		return
	}
	room := m.cfg.MaxRecords - len(m.records)
	m.filterWaiting(func(c *claim) bool {
		rec, held := m.holder(c, now)
		if !held {
			room--
			return m.fits(c, room, now)
		}
		if rec.Nonce == c.Nonce || !rec.Done && !c.fresh {
			return true
		}
		m.answerHeld(c.ID, c.Fingerprint, rec, now)
		m.drop(c, now)
		return false
	})
}

// holder gives the record that stands in the way of a claim.
func (m *Machine) holder(c *claim, now time.Time) (Record, bool) {
	rec, ok := m.records.Get(c.Key)
	if !ok || m.expired(rec, now) || m.releases(rec) {
		return Record{}, false
	}
	return rec, true
}

// fits refuses a claim that has no room, unless its record is on its way.
func (m *Machine) fits(c *claim, room int, now time.Time) bool {
	if room >= 0 || m.flying(c) || c.maybeStored || m.expiredCount(now)+room >= 0 {
		return true
	}
	m.add(Unavailable{ID: c.ID, Reason: ReasonFull, RetryAfter: fullRetryAfter})
	m.drop(c, now)
	return false
}

// answerHeld answers a claim by the record that holds its key.
func (m *Machine) answerHeld(id ClaimID, fp Fingerprint, rec Record, now time.Time) {
	left := time.UnixMilli(rec.Deadline).Sub(now)
	switch {
	case rec.Fingerprint != fp:
		m.add(Mismatch{ID: id})
	case rec.Done:
		m.add(Held{ID: id, State: StateRecorded, Result: rec.Result})
	case left > 0:
		m.add(Held{ID: id, State: StateRunning, RetryAfter: m.recordTime()})
	default:
		// What ended at its deadline may still be on its way to the store.
		m.add(Held{ID: id, State: StateUnknown, RetryAfter: max(0, m.recordTime()+left)})
	}
}

// recordTime is how long a result may take from the end of its request until
// the store holds it: the wait for a write to ride along with, and the write.
func (m *Machine) recordTime() time.Duration { return m.cfg.CombineDelay + recordMargin }

// drop ends a claim that will never be dispatched. If its record may be
// stored, it is released in a later write.
func (m *Machine) drop(c *claim, now time.Time) {
	if c.maybeStored || m.flying(c) {
		m.toReleasing(c, now)
		return
	}
	m.forget(c)
}

// toReleasing queues the removal of a claim's record and frees the key for a
// new claim at this entry.
func (m *Machine) toReleasing(c *claim, due time.Time) {
	c.phase = phaseReleasing
	c.due = due
	m.freeKey(c)
	m.updates = append(m.updates, c)
}

// forget ends a claim of which the store has nothing more to learn.
func (m *Machine) forget(c *claim) {
	delete(m.claims, c.ID)
	m.freeKey(c)
}

// freeKey takes the claim off its key.
func (m *Machine) freeKey(c *claim) {
	if m.byKey[c.Key] == c {
		delete(m.byKey, c.Key)
	}
}

// unwait takes one claim out of the waiting list.
func (m *Machine) unwait(gone *claim) {
	m.filterWaiting(func(c *claim) bool { return c != gone })
}

// filterWaiting keeps the waiting claims for which keep says so.
func (m *Machine) filterWaiting(keep func(*claim) bool) {
	kept := m.waiting[:0]
	for _, c := range m.waiting {
		if keep(c) {
			kept = append(kept, c)
		}
	}
	clear(m.waiting[len(kept):])
	m.waiting = kept
}

// flying tells whether the write in flight holds the claim's record.
func (m *Machine) flying(c *claim) bool {
	return m.op == opWrite && holds(m.inFlight.Records, c)
}

// holds tells whether the records hold this very claim.
func holds(rs Records, c *claim) bool {
	rec, ok := rs.Get(c.Key)
	return ok && rec.Nonce == c.Nonce
}

// releases tells whether this entry is about to release the record.
func (m *Machine) releases(rec Record) bool {
	for _, c := range m.updates {
		if c.phase == phaseReleasing && c.Nonce == rec.Nonce {
			return true
		}
	}
	return false
}

// expired tells whether a record may be dropped by any instance's clock. A
// claim that this entry still holds is kept.
func (m *Machine) expired(rec Record, now time.Time) bool {
	if now.UnixMilli() < rec.Expires+m.cfg.MaxClockSkew.Milliseconds() {
		return false
	}
	own := m.byKey[rec.Key]
	return own == nil || own.Nonce != rec.Nonce
}

// expiredCount counts the records that the next write drops.
func (m *Machine) expiredCount(now time.Time) int {
	n := 0
	for _, rec := range m.records {
		if m.expired(rec, now) {
			n++
		}
	}
	return n
}
