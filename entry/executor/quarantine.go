package executor

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiaroad/fuchsiaroad/api/peerapi"
	"github.com/fuchsiaroad/fuchsiaroad/entry/telemetry"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/quarantine"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/query"
)

// quarantineState holds what the fleet knows of requests that crash leaves. A lock guards
// the kernel's machine, the loss counter and the probes.
type quarantineState struct {
	key     []byte
	mu      sync.Mutex
	machine *quarantine.Machine
	losses  quarantine.LossCounter
	// claiming holds the fingerprints whose probe is being claimed.
	claiming map[string]bool
}

// crashMemory is how long a request that crashed leaves is remembered.
const crashMemory = 24 * time.Hour

// quarantineConfig holds the default times and limits of the quarantine.
var quarantineConfig = quarantine.Config{
	QuarantineDuration: defaultQuarantineDuration,
	LaterQuarantines:   []time.Duration{time.Hour, crashMemory},
	SuspectDuration:    crashMemory,
	ClearDuration:      2 * time.Minute,
	MaxRecords:         4096,
	MaxKnownGood:       65536,
	MaxDigestRecords:   32,
}

const (
	// defaultQuarantineDuration is how long a request is refused that crashed two leaves,
	// one of them while it was the only request there.
	defaultQuarantineDuration = 10 * time.Minute
	// lossShareTime is how long a change is sent to peers: several synchronizations.
	lossShareTime = 10 * time.Second
	// maxRequestsWithLosses is the maximum of requests whose losses are tracked.
	maxRequestsWithLosses = 4096
	// maxSharedRecords and maxSharedLosses bound what one message to a peer says.
	maxSharedRecords = 1024
	maxSharedLosses  = 256
)

// newQuarantineState returns an empty state. All instances must have the same key, so that
// they compute the same fingerprint of a request.
func newQuarantineState(key []byte, duration time.Duration) *quarantineState {
	config := quarantineConfig
	if duration > 0 {
		config.QuarantineDuration = duration
	}
	return &quarantineState{
		key: key, machine: quarantine.New(config), claiming: make(map[string]bool),
		losses: quarantine.LossCounter{Window: crashMemory, MaxRequests: maxRequestsWithLosses, ShareFor: lossShareTime},
	}
}

// recordLoss records a leaf that was lost under a request. It reports whether the request
// is suspected of crashing leaves, as threshold incarnations are lost, with the machine's
// actions.
func (s *quarantineState) recordLoss(fingerprint string, leaf quarantine.Incarnation, threshold int, now time.Time) (suspect bool, actions []quarantine.Action) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.losses.RecordLoss(fingerprint, leaf, threshold, now) {
		return false, nil
	}
	return true, slices.Clone(s.machine.Handle(quarantine.AttemptEnded{Fingerprint: fingerprint, Leaf: leaf.Leaf, Crashed: true}, now))
}

// recordSuccess records that a leaf ran a request to completion.
func (s *quarantineState) recordSuccess(fingerprint string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.losses.Empty() {
		s.losses.RecordSuccess(fingerprint, time.Now())
	}
}

// fingerprint returns a keyed hash of caller, service and body, or of caller and forwarded
// request, whose service may change: it can be sent to peers and logged without revealing
// anything of the request.
func (s *quarantineState) fingerprint(r *Request) string {
	mac := hmac.New(sha256.New, s.key)
	mac.Write([]byte(r.Caller.Name))
	mac.Write([]byte{0})
	if r.Forwarded != nil {
		r.Forwarded.WriteIdentity(mac)
	} else {
		mac.Write([]byte(r.Service.Config.Name))
		mac.Write([]byte{0})
		mac.Write(r.Body)
	}
	return hex.EncodeToString(mac.Sum(nil)[:fingerprintBytes])
}

// fingerprintBytes is the length of a fingerprint: 128 bits.
const fingerprintBytes = 16

// canarySeed returns the fingerprint's hash, which selects the part that runs as the
// canary.
func canarySeed(fingerprint string) uint64 { return xxhash.Sum64String(fingerprint) }

// admit decides how a request may run.
func (s *quarantineState) admit(fingerprint string, r *Request, now time.Time) quarantine.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.Admit(fingerprint, r.Service.Shards, r.Service.Config.CanaryAbove, now)
}

// observe passes the end of an attempt to the machine.
func (s *quarantineState) observe(o quarantine.AttemptEnded, now time.Time) []quarantine.Action {
	return s.handle(o, now)
}

// handle passes an event to the machine and returns its actions.
func (s *quarantineState) handle(ev quarantine.Event, now time.Time) []quarantine.Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.machine.Handle(ev, now))
}

// records returns the records to send to peers.
func (s *quarantineState) records(now time.Time) []peerapi.QuarantineRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []peerapi.QuarantineRecord
	for _, r := range s.machine.Digest(now) {
		out = append(out, encodeRecord(r, now))
	}
	return out
}

// encodeRecord converts a record for peers.
func encodeRecord(r quarantine.Record, now time.Time) peerapi.QuarantineRecord {
	return peerapi.QuarantineRecord{Fingerprint: r.Fingerprint, Level: r.Level, Probes: r.Probes, RemainingMS: r.ExpiresAt.Sub(now).Milliseconds()}
}

// maxRemainingMS limits how long a record from a peer may still last, in milliseconds;
// the kernel limits it further.
const maxRemainingMS = int64(24 * time.Hour / time.Millisecond)

// merge merges a peer's records.
func (s *quarantineState) merge(list []peerapi.QuarantineRecord, now time.Time) []quarantine.Action {
	records := make([]quarantine.Record, 0, len(list))
	for _, q := range list {
		left := time.Duration(min(q.RemainingMS, maxRemainingMS)) * time.Millisecond
		records = append(records, quarantine.Record{Fingerprint: q.Fingerprint, Level: q.Level, Probes: q.Probes, ExpiresAt: now.Add(left)})
	}
	return s.handle(quarantine.RecordsReceived{Records: records}, now)
}

// lift ends the quarantine of a fingerprint.
func (s *quarantineState) lift(fingerprint string, now time.Time) []quarantine.Action {
	return s.handle(quarantine.Lifted{Fingerprint: fingerprint}, now)
}

// changeSource is what a change of the quarantine was learned from.
type changeSource string

// The sources of changes.
const (
	fromLeaf     changeSource = "leaf" // this instance's own attempt
	fromPeer     changeSource = "peer"
	fromStore    changeSource = "store"
	fromOperator changeSource = "operator"
)

// applyQuarantineActions logs and counts changes, and notifies the peers and the running queries.
func (e *Executor) applyQuarantineActions(actions []quarantine.Action, source changeSource) {
	for _, action := range actions {
		switch action := action.(type) {
		case quarantine.Announce:
			e.config.LeafObserver.GossipNow()
		case quarantine.PhaseChanged:
			e.reportChange(action, source)
			if action.Phase == quarantine.PhaseClear {
				e.quarantine.recordSuccess(action.Fingerprint)
			}
			e.notifyRuns(action)
		}
	}
}

// prefixQuarantine is the prefix of log lines about requests that crash leaves.
const prefixQuarantine = "quarantine"

// reportChange logs and counts a change of a fingerprint's phase.
func (e *Executor) reportChange(c quarantine.PhaseChanged, source changeSource) {
	e.config.Metrics.CountQuarantine(c.Phase.String(), string(source))
	e.config.Log.LogDecision(telemetry.Decision{
		Component: prefixQuarantine, Event: c.Phase.String(), Reason: c.Fingerprint, Extra: []any{"from", source, "for", c.Remaining},
	})
}

// reportSuspect logs and counts what becomes of a request that is not clear.
func (e *Executor) reportSuspect(req *Request, fingerprint, event string, retryAfter time.Duration) {
	e.config.Metrics.CountQuarantine(event, string(fromLeaf))
	e.config.Log.LogDecision(telemetry.Decision{
		Component: prefixQuarantine, Event: event, Request: req.callerRequestID(), Reason: fingerprint, Extra: []any{"retry_after", retryAfter},
	})
}

// notifyRuns notifies the running queries of a fingerprint of its new phase.
func (e *Executor) notifyRuns(c quarantine.PhaseChanged) {
	var ev query.Event
	switch {
	case c.Phase == quarantine.PhaseClear:
		ev = query.Cleared{}
	case c.Phase == quarantine.PhaseQuarantined && e.config.ProbeStore == nil:
		ev = query.Quarantined{RetryAfter: c.Remaining}
	default:
		return // with a ProbeStore, maySend holds back what was not sent yet
	}
	e.runsMu.Lock()
	defer e.runsMu.Unlock()
	for r := range e.runs {
		if r.fingerprint == c.Fingerprint {
			r.mail.put(ev)
		}
	}
}

// Quarantine returns the fingerprints that are suspected or in quarantine, for peers
// and operators.
func (e *Executor) Quarantine() []peerapi.QuarantineRecord { return e.quarantine.records(time.Now()) }

// MergeQuarantine merges a peer's list.
func (e *Executor) MergeQuarantine(list []peerapi.QuarantineRecord) {
	e.applyQuarantineActions(e.quarantine.merge(list, time.Now()), fromPeer)
}

// LiftQuarantine ends the quarantine of a fingerprint.
func (e *Executor) LiftQuarantine(fingerprint string) {
	e.applyQuarantineActions(e.quarantine.lift(fingerprint, time.Now()), fromOperator)
}

// QuarantineChanges returns the records and losses to send to a peer: those that changed of
// late, or all.
func (e *Executor) QuarantineChanges(all bool) ([]peerapi.QuarantineRecord, []peerapi.RequestLosses) {
	return e.quarantine.changes(all, time.Now())
}

// MergeQuarantineChanges merges the records and losses of a peer. A request that is suspected
// by the losses of all instances together is stored.
func (e *Executor) MergeQuarantineChanges(records []peerapi.QuarantineRecord, losses []peerapi.RequestLosses) {
	e.MergeQuarantine(records)
	suspects, actions := e.quarantine.mergeLosses(losses, time.Now())
	e.applyQuarantineActions(actions, fromPeer)
	for _, fingerprint := range suspects {
		e.saveSuspect(fingerprint)
	}
	for i := range losses {
		e.saveLosses(losses[i].Fingerprint)
	}
}

// changes returns the records and losses that changed of late, or all.
func (s *quarantineState) changes(all bool, now time.Time) (records []peerapi.QuarantineRecord, losses []peerapi.RequestLosses) {
	s.mu.Lock()
	defer s.mu.Unlock()
	after := now.Add(-lossShareTime)
	if all {
		after = time.Time{}
	}
	for _, r := range s.machine.Changes(after, maxSharedRecords, now) {
		records = append(records, encodeRecord(r, now))
	}
	for _, l := range s.losses.Changes(all, maxSharedLosses, now) {
		losses = append(losses, encodeLosses(l, now))
	}
	return records, losses
}

// encodeLosses converts the losses of a request for peers.
func encodeLosses(l quarantine.Losses, now time.Time) peerapi.RequestLosses {
	out := peerapi.RequestLosses{Fingerprint: l.Fingerprint, Threshold: l.Threshold, ClearedAgeMS: -1}
	if !l.ClearedAt.IsZero() {
		out.ClearedAgeMS = now.Sub(l.ClearedAt).Milliseconds()
	}
	for _, lost := range l.Lost {
		out.Lost = append(out.Lost, peerapi.LostLeaf{Leaf: lost.Leaf, Number: lost.Number, AgeMS: now.Sub(lost.At).Milliseconds()})
	}
	return out
}

// decodeLosses converts the losses that a peer has sent.
func decodeLosses(l *peerapi.RequestLosses, now time.Time) quarantine.Losses {
	ago := func(ms int64) time.Time {
		return now.Add(-time.Duration(min(max(ms, 0), maxRemainingMS)) * time.Millisecond)
	}
	out := quarantine.Losses{Fingerprint: l.Fingerprint, Threshold: l.Threshold}
	if l.ClearedAgeMS >= 0 {
		out.ClearedAt = ago(l.ClearedAgeMS)
	}
	for _, lost := range l.Lost {
		out.Lost = append(out.Lost, quarantine.Loss{Incarnation: quarantine.Incarnation{Leaf: lost.Leaf, Number: lost.Number}, At: ago(lost.AgeMS)})
	}
	return out
}

// mergeLosses merges a peer's losses and returns the requests that are new suspects.
func (s *quarantineState) mergeLosses(list []peerapi.RequestLosses, now time.Time) (suspects []string, actions []quarantine.Action) {
	s.mu.Lock()
	defer s.mu.Unlock()
	decoded := make([]quarantine.Losses, 0, len(list))
	for i := range list {
		decoded = append(decoded, decodeLosses(&list[i], now))
	}
	for _, fingerprint := range s.losses.Merge(decoded, now) {
		if s.machine.Phase(fingerprint, now) != quarantine.PhaseClear {
			continue
		}
		suspects = append(suspects, fingerprint)
		actions = append(actions, s.machine.Handle(quarantine.AttemptEnded{Fingerprint: fingerprint, Crashed: true}, now)...)
	}
	return suspects, actions
}
