package executor

import (
	"context"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/entry/telemetry"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/quarantine"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/query"
)

// ProbeStore keeps the quarantine's records for the whole fleet, longer than any instance lives,
// and lets one instance at a time run a suspect alone on a leaf. Its methods are safe for
// concurrent use.
type ProbeStore interface {
	// Claim stores the record of a probe that is about to start. If it returns false, the
	// probe must not start: stored is then the record that the fleet has, or has no
	// fingerprint if none could be read.
	Claim(ctx context.Context, r quarantine.Record) (stored quarantine.Record, claimed bool)
	// Save stores a request as a suspect, unless it is cleared or claimed soon. The request is a
	// suspect or HasLosses: instances that start do not count its losses again. It does not
	// wait.
	Save(fingerprint string)
	// Delete removes the record, if any, of a request that ran to completion. It does not
	// wait.
	Delete(fingerprint string)
}

// Times of a claim.
const (
	// claimTimeout bounds the wait for the store while a leaf's connection is held.
	claimTimeout = 300 * time.Millisecond
	// unclaimedRetryAfter is when a suspect may come back whose probe could not be claimed
	// because the store did not answer.
	unclaimedRetryAfter = time.Second
	// claimingRetryAfter is when a suspect may come back while its probe is being claimed.
	claimingRetryAfter = 250 * time.Millisecond
)

// maySend reports whether an attempt may be sent now that it has a connection to a leaf.
// A request that may crash leaves is only sent alone, after its probe was claimed for the
// whole fleet. It ends the query, unless the attempt repeats one that was sent before the
// request was suspected.
func (r *run) maySend(ctx context.Context, a *attempt) bool {
	e := r.executor
	if e.config.ProbeStore == nil {
		return true
	}
	var retryAfter time.Duration
	switch phase := e.quarantine.phase(r.fingerprint, time.Now()); {
	case phase == quarantine.PhaseClear:
		return true
	case phase == quarantine.PhaseSuspect && a.offer.Solo:
		var claimed bool
		if retryAfter, claimed = r.claimProbe(ctx, a); claimed {
			return true
		}
	case phase == quarantine.PhaseSuspect:
		retryAfter = claimingRetryAfter
	default:
		retryAfter = e.quarantine.retryAfter(r.fingerprint, time.Now())
	}
	if a.offer.Solo || !a.offer.Hedge && !a.offer.Retry {
		r.mail.put(query.Quarantined{RetryAfter: retryAfter})
	}
	return false
}

// claimProbe claims the probe of a suspect. If it can't be claimed, retryAfter is when the
// request may come back.
func (r *run) claimProbe(ctx context.Context, a *attempt) (retryAfter time.Duration, claimed bool) {
	e := r.executor
	record, ok := e.quarantine.beginClaim(r.fingerprint, time.Now())
	if !ok {
		return claimingRetryAfter, false
	}
	defer e.quarantine.endClaim(r.fingerprint)
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	start := time.Now()
	stored, claimed := e.config.ProbeStore.Claim(ctx, record)
	e.logDecision(a, telemetry.Decision{
		Component: prefixQuery, Event: "probe", Leaf: a.leafID, Reason: r.fingerprint, Duration: time.Since(start),
		Extra: []any{"claimed", claimed, "probes", record.Probes, "level", record.Level, "stored_probes", stored.Probes, "stored_level", stored.Level},
	})
	e.config.Metrics.CountQuarantine(probeEvent(claimed), string(fromStore))
	if claimed {
		e.applyQuarantineActions(e.quarantine.handle(quarantine.ProbeStarted{Record: record}, time.Now()), fromLeaf)
		return 0, true
	}
	if stored.Fingerprint == "" {
		return unclaimedRetryAfter, false
	}
	e.LoadQuarantine([]quarantine.Record{stored})
	return e.quarantine.retryAfter(r.fingerprint, time.Now()), false
}

// LoadQuarantine merges records that were read from the ProbeStore.
func (e *Executor) LoadQuarantine(records []quarantine.Record) {
	e.applyQuarantineActions(e.quarantine.handle(quarantine.RecordsLoaded{Records: records}, time.Now()), fromStore)
}

// QuarantineRecord returns the record of a fingerprint, and whether there is one.
func (e *Executor) QuarantineRecord(fingerprint string) (quarantine.Record, bool) {
	return e.quarantine.record(fingerprint, time.Now())
}

// probeEvent returns the name of a claim's result for the metrics.
func probeEvent(claimed bool) string {
	if claimed {
		return "probe claimed"
	}
	return "probe refused"
}

// saveSuspect has the record of a new suspect stored.
func (e *Executor) saveSuspect(fingerprint string) {
	if e.config.ProbeStore != nil {
		e.config.ProbeStore.Save(fingerprint)
	}
}

// lossesToSave is the number of losses from which a request is stored.
const lossesToSave = 2

// saveLosses has a request stored that has lost several leaves, of which this instance saw one.
func (e *Executor) saveLosses(fingerprint string) {
	if e.config.ProbeStore != nil && e.HasLosses(fingerprint) {
		e.config.ProbeStore.Save(fingerprint)
	}
}

// HasLosses reports whether a request that is no suspect has lost enough leaves to be stored.
func (e *Executor) HasLosses(fingerprint string) bool {
	return e.quarantine.hasLosses(fingerprint, time.Now())
}

// clearLosses forgets the losses of a request that ran to completion, and has its record deleted
// if it may have been stored.
func (e *Executor) clearLosses(fingerprint string) {
	stored := e.config.ProbeStore != nil && e.HasLosses(fingerprint)
	e.quarantine.recordSuccess(fingerprint)
	if stored {
		e.config.ProbeStore.Delete(fingerprint)
	}
}

// deleteCleared has the records of requests deleted that have just run to completion.
func (e *Executor) deleteCleared(actions []quarantine.Action) {
	for _, action := range actions {
		if c, ok := action.(quarantine.PhaseChanged); ok && c.Phase == quarantine.PhaseClear && e.config.ProbeStore != nil {
			e.config.ProbeStore.Delete(c.Fingerprint)
		}
	}
}

// phase returns the phase of a fingerprint.
func (s *quarantineState) phase(fingerprint string, now time.Time) quarantine.Phase {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.Phase(fingerprint, now)
}

// record returns the record of a fingerprint, and whether there is one.
func (s *quarantineState) record(fingerprint string, now time.Time) (quarantine.Record, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.Record(fingerprint, now)
}

// retryAfter returns when a request that is not clear may come back.
func (s *quarantineState) retryAfter(fingerprint string, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.machine.Admit(fingerprint, 0, 0, now)
	return max(d.RetryAfter, minRetryAfter)
}

// hasLosses implements Executor.HasLosses.
func (s *quarantineState) hasLosses(fingerprint string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.losses.OwnCount(fingerprint, now) >= lossesToSave && s.machine.Phase(fingerprint, now) == quarantine.PhaseClear
}

// beginClaim returns the record of a suspect's next probe. It returns false if the
// fingerprint is no suspect or its probe is already being claimed; else endClaim must follow.
func (s *quarantineState) beginClaim(fingerprint string, now time.Time) (quarantine.Record, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.claiming[fingerprint] {
		return quarantine.Record{}, false
	}
	r, ok := s.machine.NextProbe(fingerprint, now)
	if ok {
		s.claiming[fingerprint] = true
	}
	return r, ok
}

// endClaim ends what beginClaim began.
func (s *quarantineState) endClaim(fingerprint string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.claiming, fingerprint)
}
