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
	"github.com/fuchsiaroad/fuchsiaroad/kernel/quarantine"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/query"
)

// quarantineState keeps what the fleet knows of requests that break leaves. It
// guards the kernel's machine by a lock.
type quarantineState struct {
	key     []byte
	mu      sync.Mutex
	machine *quarantine.Machine
	strikes quarantine.LossCounter
}

// quarantineConfig sets times and bounds of the quarantine.
var quarantineConfig = quarantine.Config{
	QuarantineDuration: defaultQuarantineFor,
	SuspectDuration:    2 * time.Minute,
	MaxRecords:         4096,
	MaxKnownGood:       65536,
	MaxDigestRecords:   32,
}

const (
	// defaultQuarantineFor is how long a request that broke two leaves, one of them
	// alone, is refused.
	defaultQuarantineFor = 10 * time.Minute
	// strikesFor is how long the loss of a leaf counts against the request that it ran.
	strikesFor = time.Minute
	// mostStrikes bounds the requests with losses that are remembered.
	mostStrikes = 4096
)

// newQuarantineState makes it empty. All entries must have the same key, so that they
// name a request alike.
func newQuarantineState(key []byte, lasts time.Duration) *quarantineState {
	config := quarantineConfig
	if lasts > 0 {
		config.QuarantineDuration = lasts
	}
	return &quarantineState{
		key: key, machine: quarantine.New(config), strikes: quarantine.LossCounter{Window: strikesFor, MaxRequests: mostStrikes},
	}
}

// lost notes a leaf that was lost under a request. It reports whether that makes the
// request a suspect, with what is to be reported of it.
func (s *quarantineState) lost(fingerprint string, leaf quarantine.Incarnation, enough int, now time.Time) (suspect bool, actions []quarantine.Action) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.strikes.RecordLoss(fingerprint, leaf, enough, now) {
		return false, nil
	}
	return true, slices.Clone(s.machine.Handle(quarantine.AttemptEnded{Fingerprint: fingerprint, Leaf: leaf.Leaf, Crashed: true}, now))
}

// ran notes that a leaf ran a request to its end.
func (s *quarantineState) ran(fingerprint string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.strikes.Empty() {
		s.strikes.RecordSuccess(fingerprint)
	}
}

// fingerprint names a request by a keyed hash of caller, service and body: it
// can be sent to peers and logged without saying anything of the request.
func (s *quarantineState) fingerprint(r *Request) string {
	mac := hmac.New(sha256.New, s.key)
	mac.Write([]byte(r.Caller.Name))
	mac.Write([]byte{0})
	mac.Write([]byte(r.Service.Config.Name))
	mac.Write([]byte{0})
	mac.Write(r.Body)
	if r.Passed != nil {
		r.Passed.Identify(mac)
	}
	return hex.EncodeToString(mac.Sum(nil)[:fingerprintBytes])
}

// fingerprintBytes is the length of a fingerprint: 128 bits.
const fingerprintBytes = 16

// seed is the fingerprint's hash, which chooses the part that runs alone.
func seed(fingerprint string) uint64 { return xxhash.Sum64String(fingerprint) }

// admit decides how a request may run.
func (s *quarantineState) admit(fingerprint string, r *Request, now time.Time) quarantine.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.Admit(fingerprint, r.Service.Shards, r.Service.Config.CanaryAbove, now)
}

// observe notes how an attempt ended.
func (s *quarantineState) observe(o quarantine.AttemptEnded, now time.Time) []quarantine.Action {
	return s.handle(o, now)
}

// handle gives an event to the machine.
func (s *quarantineState) handle(ev quarantine.Event, now time.Time) []quarantine.Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.machine.Handle(ev, now))
}

// records lists what to tell peers.
func (s *quarantineState) records(now time.Time) []peerapi.QuarantineRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []peerapi.QuarantineRecord
	for _, r := range s.machine.Digest(now) {
		out = append(out, peerapi.QuarantineRecord{Fingerprint: r.Fingerprint, Level: r.Level, RemainingMS: r.ExpiresAt.Sub(now).Milliseconds()})
	}
	return out
}

// maxLeftMS bounds a peer's word on how long a record lasts; the kernel bounds
// it further.
const maxLeftMS = int64(24 * time.Hour / time.Millisecond)

// merge takes in a peer's records.
func (s *quarantineState) merge(list []peerapi.QuarantineRecord, now time.Time) []quarantine.Action {
	records := make([]quarantine.Record, 0, len(list))
	for _, q := range list {
		left := time.Duration(min(q.RemainingMS, maxLeftMS)) * time.Millisecond
		records = append(records, quarantine.Record{Fingerprint: q.Fingerprint, Level: q.Level, ExpiresAt: now.Add(left)})
	}
	return s.handle(quarantine.RecordsReceived{Records: records}, now)
}

// lift lets a fingerprint run again.
func (s *quarantineState) lift(fingerprint string, now time.Time) []quarantine.Action {
	return s.handle(quarantine.Lifted{Fingerprint: fingerprint}, now)
}

// carryOut tells the peers and the running queries what the quarantine learnt.
func (e *Executor) carryOut(actions []quarantine.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case quarantine.Announce:
			e.config.LeafObserver.SpreadNow()
		case quarantine.PhaseChanged:
			e.tellRuns(action)
		}
	}
}

// tellRuns tells the running queries of a fingerprint what has become of it.
func (e *Executor) tellRuns(c quarantine.PhaseChanged) {
	var ev query.Event
	switch c.Phase {
	case quarantine.PhaseClear:
		ev = query.Cleared{}
	case quarantine.PhaseQuarantined:
		ev = query.Quarantined{RetryAfter: c.Remaining}
	default:
		return
	}
	e.runsMu.Lock()
	defer e.runsMu.Unlock()
	for r := range e.runs {
		if r.fingerprint == c.Fingerprint {
			r.mail.put(ev)
		}
	}
}

// Quarantine lists fingerprints under suspicion or in quarantine, to tell peers
// and operators.
func (e *Executor) Quarantine() []peerapi.QuarantineRecord { return e.quarantine.records(time.Now()) }

// MergeQuarantine takes in a peer's list.
func (e *Executor) MergeQuarantine(list []peerapi.QuarantineRecord) {
	e.carryOut(e.quarantine.merge(list, time.Now()))
}

// LiftQuarantine lets a fingerprint run again.
func (e *Executor) LiftQuarantine(fingerprint string) {
	e.carryOut(e.quarantine.lift(fingerprint, time.Now()))
}
