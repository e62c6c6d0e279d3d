package hosted

import (
	"cmp"
	"context"
	"errors"
	"sync"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/entry/telemetry"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/quarantine"
)

// probeStore keeps the quarantine's records in the platform's store, one object a request. It
// implements executor.ProbeStore. A probe is claimed by a write on the condition that the object
// is still the one that showed the request to be a suspect, so that of all instances one runs
// it. Saving and deleting happen later, in the goroutine of run.
type probeStore struct {
	node *Node
	log  *telemetry.ComponentLog
	// pending has the saves and deletions that are due.
	pending chan pendingWrite

	mu sync.Mutex
	// known holds the stored records as this instance last saw them, by fingerprint.
	known map[string]QuarantineRecord
	// saving holds the fingerprints of the records to save, due or not.
	saving map[string]bool
}

// pendingWrite is a request whose record is to be saved or deleted.
type pendingWrite struct {
	fingerprint string
	deletes     bool
	// retryDelay is the time after a failure to save until the next attempt.
	retryDelay time.Duration
}

const (
	// saveDelay is the time in which most new suspects are claimed or cleared, which makes
	// their saving needless.
	saveDelay = 500 * time.Millisecond
	// lossesLifetime is how long a request is stored whose losses made it no suspect.
	lossesLifetime = 24 * time.Hour
	// maxPendingWrites bounds the saves and deletions to do; those beyond it are dropped.
	maxPendingWrites = 256
	// writeTimeout bounds one save or deletion. minWriteRetryDelay is the first time between
	// two attempts to save a record, doubled up to maxWriteRetryDelay.
	writeTimeout       = time.Second
	minWriteRetryDelay = 2 * time.Second
	maxWriteRetryDelay = time.Minute
	// sweepInterval is the time between two searches for stored records that have expired.
	sweepInterval = 10 * time.Minute
)

// newProbeStore returns a probeStore that knows no record yet.
func newProbeStore(n *Node) *probeStore {
	return &probeStore{node: n, log: n.log.Component("quarantine"), pending: make(chan pendingWrite, maxPendingWrites), known: make(map[string]QuarantineRecord), saving: make(map[string]bool)}
}

// lastSeen returns the stored record of a request as this instance last saw it; its revision is 0
// if there was none.
func (s *probeStore) lastSeen(fingerprint string) QuarantineRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.known[fingerprint]
}

// setLastSeen records what the store has of a request; without a revision: nothing.
func (s *probeStore) setLastSeen(fingerprint string, stored QuarantineRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if stored.Revision == 0 {
		delete(s.known, fingerprint)
		return
	}
	s.known[fingerprint] = stored
}

// Claim implements executor.ProbeStore.
func (s *probeStore) Claim(ctx context.Context, r quarantine.Record) (stored quarantine.Record, claimed bool) {
	if seen := s.lastSeen(r.Fingerprint); !isOlder(seen, r) {
		return decodeStored(seen, time.Now()), false
	}
	err := s.write(ctx, r)
	var conflict *QuarantineConflictError
	if errors.As(err, &conflict) && isOlder(conflict.Stored, r) {
		err = s.write(ctx, r)
	}
	switch {
	case err == nil:
		return r, true
	case errors.As(err, &conflict):
		return decodeStored(conflict.Stored, time.Now()), false
	default:
		s.setLastSeen(r.Fingerprint, QuarantineRecord{})
		s.log.Warn("probe was not claimed", "fingerprint", r.Fingerprint, "err", err)
		return quarantine.Record{}, false
	}
}

// isOlder reports whether a new record may replace a stored one.
func isOlder(stored QuarantineRecord, r quarantine.Record) bool {
	return stored.Fingerprint == "" || cmp.Or(cmp.Compare(stored.Level, r.Level), cmp.Compare(stored.Probes, r.Probes)) < 0
}

// write writes a record over the one that this instance last saw.
func (s *probeStore) write(ctx context.Context, r quarantine.Record) error {
	out := QuarantineRecord{
		Fingerprint: r.Fingerprint, Level: r.Level, Probes: r.Probes, ExpiresMillis: time.Now().Add(time.Until(r.ExpiresAt)).UnixMilli(),
		Revision: s.lastSeen(r.Fingerprint).Revision,
	}
	revision, err := s.node.config.Source.WriteQuarantineRecord(ctx, out)
	var conflict *QuarantineConflictError
	switch {
	case err == nil:
		out.Revision = revision
		s.setLastSeen(r.Fingerprint, out)
	case errors.As(err, &conflict):
		s.setLastSeen(r.Fingerprint, conflict.Stored)
	}
	return err
}

// decodeStored converts a stored record.
func decodeStored(r QuarantineRecord, now time.Time) quarantine.Record {
	return quarantine.Record{
		Fingerprint: r.Fingerprint, Level: r.Level, Probes: r.Probes,
		ExpiresAt: now.Add(time.Duration(r.ExpiresMillis-now.UnixMilli()) * time.Millisecond),
	}
}

// Save implements executor.ProbeStore.
func (s *probeStore) Save(fingerprint string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.saving[fingerprint] || s.known[fingerprint].Revision != 0 || len(s.saving) >= maxPendingWrites {
		return
	}
	s.saving[fingerprint] = true
	time.AfterFunc(saveDelay, func() { s.enqueue(pendingWrite{fingerprint: fingerprint, retryDelay: minWriteRetryDelay}) })
}

// endSaving ends what Save began.
func (s *probeStore) endSaving(fingerprint string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.saving, fingerprint)
}

// Delete implements executor.ProbeStore.
func (s *probeStore) Delete(fingerprint string) {
	s.enqueue(pendingWrite{fingerprint: fingerprint, deletes: true})
}

// enqueue adds a save or a deletion that is due; one beyond the bound is dropped.
func (s *probeStore) enqueue(w pendingWrite) {
	select {
	case s.pending <- w:
	default:
		if !w.deletes {
			s.endSaving(w.fingerprint)
		}
		s.log.Warn("write was dropped", "fingerprint", w.fingerprint)
	}
}

// run saves and deletes records until the context ends.
func (s *probeStore) run(ctx context.Context) error {
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-sweep.C:
			s.sweep()
		case w := <-s.pending:
			s.perform(ctx, w)
		}
	}
}

// perform saves or deletes a record.
func (s *probeStore) perform(ctx context.Context, w pendingWrite) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if w.deletes {
		s.remove(ctx, w.fingerprint)
		return
	}
	s.save(ctx, w)
}

// save saves a record, and tries again later if the store does not answer.
func (s *probeStore) save(ctx context.Context, w pendingWrite) {
	record, ok := s.recordToSave(w.fingerprint)
	if !ok {
		s.endSaving(w.fingerprint)
		return
	}
	err := s.write(ctx, record)
	var conflict *QuarantineConflictError
	switch {
	case err == nil:
		s.endSaving(w.fingerprint)
	case errors.As(err, &conflict):
		s.endSaving(w.fingerprint)
		s.node.executor.LoadQuarantine([]quarantine.Record{decodeStored(conflict.Stored, time.Now())})
	default:
		delay := w.retryDelay
		w.retryDelay = min(2*w.retryDelay, maxWriteRetryDelay)
		time.AfterFunc(delay, func() { s.enqueue(w) })
	}
}

// recordToSave returns the record of a request that is a suspect or has losses; false if it was
// cleared, claimed or stored meanwhile.
func (s *probeStore) recordToSave(fingerprint string) (quarantine.Record, bool) {
	if s.lastSeen(fingerprint).Revision != 0 {
		return quarantine.Record{}, false
	}
	if r, ok := s.node.executor.QuarantineRecord(fingerprint); ok && r.Phase() == quarantine.PhaseSuspect {
		return r, true
	}
	suspect := quarantine.Record{Fingerprint: fingerprint, Level: int(quarantine.PhaseSuspect), ExpiresAt: time.Now().Add(lossesLifetime)}
	return suspect, s.node.executor.HasLosses(fingerprint)
}

// remove deletes the record of a request, if this instance knows its revision. Another
// instance's newer record stays: its probe shows anew that the request crashes no leaf.
func (s *probeStore) remove(ctx context.Context, fingerprint string) {
	seen := s.lastSeen(fingerprint)
	if seen.Revision == 0 {
		return
	}
	s.setLastSeen(fingerprint, QuarantineRecord{})
	if err := s.node.config.Source.DeleteQuarantineRecord(ctx, fingerprint, seen.Revision); err != nil {
		s.log.Warn("record was not deleted", "fingerprint", fingerprint, "err", err)
	}
}

// sweep deletes the stored records whose requests are no longer remembered.
func (s *probeStore) sweep() {
	s.mu.Lock()
	var expired []string
	for fingerprint := range s.known {
		if _, ok := s.node.executor.QuarantineRecord(fingerprint); !ok && !s.node.executor.HasLosses(fingerprint) {
			expired = append(expired, fingerprint)
		}
	}
	s.mu.Unlock()
	for _, fingerprint := range expired {
		s.Delete(fingerprint)
	}
}

// load reads all stored records and merges them.
func (s *probeStore) load(ctx context.Context) error {
	stored, err := s.node.config.Source.QuarantineRecords(ctx)
	if err != nil {
		return err
	}
	now := time.Now()
	records := make([]quarantine.Record, 0, len(stored))
	for _, r := range stored {
		s.setLastSeen(r.Fingerprint, r)
		records = append(records, decodeStored(r, now))
	}
	s.node.executor.LoadQuarantine(records)
	s.log.Info("records read", "records", len(records))
	return nil
}
