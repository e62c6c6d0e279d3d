package ledger

import "time"

// resultWriteMargin is the time allowed for writing a result.
const resultWriteMargin = 250 * time.Millisecond

// fullRetryAfter is the delay that callers are asked to wait while a bucket is full.
const fullRetryAfter = 30 * time.Second

// refuseTimedOut refuses the waiting claims whose time to be confirmed has passed.
func (m *Machine) refuseTimedOut(now time.Time) {
	m.filterWaiting(func(c *claim) bool {
		if now.Before(c.confirmBy) {
			return true
		}
		if now.Before(c.Deadline) {
			m.emit(Unavailable{ID: c.ID, Reason: ReasonTimeout, RetryAfter: m.retryAfter(now)})
		} else {
			m.emit(Unavailable{ID: c.ID, Reason: ReasonDeadline})
		}
		m.dropClaim(c, now)
		return false
	})
}

// reconcile grants waiting claims and completes updates that the cached bucket
// shows to be stored. It does nothing while a write is in flight, as the stored
// bucket is then unknown.
func (m *Machine) reconcile() {
	if m.op == opWrite {
		return
	}
	m.filterWaiting(func(c *claim) bool {
		if !m.inDoubt {
			c.maybeStored = false
		}
		if !containsClaim(m.records, c) {
			return true
		}
		m.grantClaim(c)
		return false
	})
	kept := m.updates[:0]
	for _, c := range m.updates {
		if !m.inDoubt {
			c.maybeStored = false
		}
		if m.isPersisted(c) {
			m.forgetClaim(c)
			m.emit(Persisted{ID: c.ID})
			continue
		}
		kept = append(kept, c)
	}
	clear(m.updates[len(kept):])
	m.updates = kept
}

// grantClaim grants a confirmed claim. One past its deadline never gets here:
// refuseTimedOut has refused it.
func (m *Machine) grantClaim(c *claim) {
	c.phase = phaseGranted
	m.emit(Granted{ID: c.ID})
}

// isPersisted reports whether the cached bucket reflects an update. A settled
// record that is missing was dropped after its retention.
func (m *Machine) isPersisted(c *claim) bool {
	rec, ok := m.records.Get(c.Key)
	present := ok && rec.Nonce == c.Nonce
	if c.phase == phaseReleasing {
		return !present && !c.maybeStored
	}
	return !present || rec.Done
}

// answerHeldKeys answers the waiting claims whose key another claim holds, and
// refuses those for which the bucket has no room.
func (m *Machine) answerHeldKeys(now time.Time) {
	if !m.known {
		return
	}
	room := m.cfg.MaxRecords - len(m.records)
	m.filterWaiting(func(c *claim) bool {
		rec, held := m.conflictingRecord(c, now)
		if !held {
			room--
			return m.keepIfRoom(c, room, now)
		}
		if rec.Nonce == c.Nonce || !rec.Done && !c.bucketSeen {
			return true
		}
		m.answerFromRecord(c.ID, c.Fingerprint, rec, now)
		m.dropClaim(c, now)
		return false
	})
}

// conflictingRecord returns the record that holds a claim's key, which may be the
// claim's own. Records about to be dropped or released don't count.
func (m *Machine) conflictingRecord(c *claim, now time.Time) (Record, bool) {
	rec, ok := m.records.Get(c.Key)
	if !ok || m.isExpired(rec, now) || m.isReleasing(rec) {
		return Record{}, false
	}
	return rec, true
}

// keepIfRoom reports whether a claim stays in the waiting list. It refuses a claim
// for which the bucket has no room, unless its record may already be stored. room
// is the number of free records after this claim; it is negative when the bucket
// is too full.
func (m *Machine) keepIfRoom(c *claim, room int, now time.Time) bool {
	if room >= 0 || m.isInFlight(c) || c.maybeStored || m.countExpired(now)+room >= 0 {
		return true
	}
	m.emit(Unavailable{ID: c.ID, Reason: ReasonFull, RetryAfter: fullRetryAfter})
	m.dropClaim(c, now)
	return false
}

// answerFromRecord answers a claim from the record that holds its key.
func (m *Machine) answerFromRecord(id ClaimID, fp Fingerprint, rec Record, now time.Time) {
	left := time.UnixMilli(rec.Deadline).Sub(now)
	switch {
	case rec.Fingerprint != fp:
		m.emit(Mismatch{ID: id})
	case rec.Done:
		m.emit(Held{ID: id, State: StateRecorded, Result: rec.Result})
	case left > 0:
		m.emit(Held{ID: id, State: StateRunning, RetryAfter: m.maxRecordDelay()})
	default:
		// The result of a request that ended at its deadline may not be stored yet.
		m.emit(Held{ID: id, State: StateUnknown, RetryAfter: max(0, m.maxRecordDelay()+left)})
	}
}

// maxRecordDelay is how long it may take from the end of a request until its
// result is stored: the wait to be combined with other writes, and the write.
func (m *Machine) maxRecordDelay() time.Duration { return m.cfg.CombineDelay + resultWriteMargin }

// dropClaim ends a claim that will never be dispatched. If its record may be
// stored, a later write removes it.
func (m *Machine) dropClaim(c *claim, now time.Time) {
	if c.maybeStored || m.isInFlight(c) {
		m.queueRelease(c, now)
		return
	}
	m.forgetClaim(c)
}

// queueRelease queues the removal of a claim's record and frees the key for a
// new claim at this instance.
func (m *Machine) queueRelease(c *claim, writeBy time.Time) {
	c.phase = phaseReleasing
	c.writeBy = writeBy
	m.freeKey(c)
	m.updates = append(m.updates, c)
}

// forgetClaim deletes a claim that needs no further write.
func (m *Machine) forgetClaim(c *claim) {
	delete(m.claims, c.ID)
	m.freeKey(c)
}

// freeKey frees the claim's key, unless a later claim has it.
func (m *Machine) freeKey(c *claim) {
	if m.byKey[c.Key] == c {
		delete(m.byKey, c.Key)
	}
}

// removeWaiting removes one claim from the waiting list.
func (m *Machine) removeWaiting(removed *claim) {
	m.filterWaiting(func(c *claim) bool { return c != removed })
}

// filterWaiting removes the waiting claims for which keep returns false.
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

// isInFlight reports whether the write in flight contains the claim's record.
func (m *Machine) isInFlight(c *claim) bool {
	return m.op == opWrite && containsClaim(m.inFlightWrite.Records, c)
}

// containsClaim reports whether the records hold this claim, by key and nonce.
func containsClaim(rs Records, c *claim) bool {
	rec, ok := rs.Get(c.Key)
	return ok && rec.Nonce == c.Nonce
}

// isReleasing reports whether a release of the record is pending here.
func (m *Machine) isReleasing(rec Record) bool {
	for _, c := range m.updates {
		if c.phase == phaseReleasing && c.Nonce == rec.Nonce {
			return true
		}
	}
	return false
}

// isExpired reports whether a record may be dropped: its retention has ended by
// every instance's clock, and this instance no longer holds its claim.
func (m *Machine) isExpired(rec Record, now time.Time) bool {
	if now.UnixMilli() < rec.Expires+m.cfg.MaxClockSkew.Milliseconds() {
		return false
	}
	own := m.byKey[rec.Key]
	return own == nil || own.Nonce != rec.Nonce
}

// countExpired returns the number of records that the next write drops.
func (m *Machine) countExpired(now time.Time) int {
	n := 0
	for _, rec := range m.records {
		if m.isExpired(rec, now) {
			n++
		}
	}
	return n
}
