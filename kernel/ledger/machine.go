package ledger

import (
	"math/rand/v2"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/backoff"
)

// phase is the progress of a claim of this instance.
type phase int

const (
	phaseWaiting   phase = iota // not confirmed; the write in flight may hold it
	phaseGranted                // confirmed; its holder runs the request
	phaseSettling               // its result is not known to be stored yet
	phaseReleasing              // its record, if stored, is to be removed
)

// claim is a claim of this instance and its progress.
type claim struct {
	Claim
	phase     phase
	confirmBy time.Time // a claim still waiting then is refused
	writeBy   time.Time // a result or release is due to be written then
	result    Result
	// opStarted and bucketSeen are whether a read or write has started, and has
	// succeeded, since the claim arrived.
	opStarted, bucketSeen bool
	// maybeStored is whether a write of unknown effect contained the record.
	maybeStored bool
}

// operation is the store operation in flight.
type operation int

const (
	opNone operation = iota
	opRead
	opWrite
)

// maxUnknownWrites is the number of consecutive writes of unknown effect, with
// no later version seen, after which the bucket backs off.
const maxUnknownWrites = 3

// Machine is the state machine of one bucket at one instance. It batches the
// claims, results and releases of the instance into conditional writes of the
// bucket. It implements machine.Machine[Event, Action].
type Machine struct {
	cfg Config
	rng *rand.Rand

	// The cached bucket: its version and records as last read or written, and
	// when that was.
	known   bool
	version uint64
	records Records
	seenAt  time.Time
	// minVersion is the lowest version that a read may return; a lower one is
	// stale.
	minVersion uint64

	op            operation
	inFlightWrite Write
	// inDoubt is whether a write on top of inDoubtVersion may still take effect;
	// it ends when a later version of the bucket is seen. rereadNeeded asks for
	// a read before the next write.
	inDoubt        bool
	inDoubtVersion uint64
	rereadNeeded   bool
	unknownWrites  int // writes of unknown effect since inDoubt was set

	claims  map[ClaimID]*claim
	byKey   map[Key]*claim // waiting, granted and settling claims
	waiting []*claim
	updates []*claim // settling and releasing claims

	storeDown bool
	retryAt   time.Time
	backoff   backoff.Backoff
	flushNow  bool
	wakeAt    time.Time
	actions   []Action
}

// New returns the Machine of one bucket. The random source is for jitter.
func New(cfg Config, rng *rand.Rand) *Machine {
	return &Machine{
		cfg:     cfg,
		rng:     rng,
		claims:  make(map[ClaimID]*claim),
		byKey:   make(map[Key]*claim),
		backoff: backoff.Backoff{Min: cfg.RetryMin, Max: cfg.RetryMax},
	}
}

// Idle reports whether nothing waits for the store.
func (m *Machine) Idle() bool {
	return m.op == opNone && len(m.waiting) == 0 && len(m.updates) == 0
}

// Unsaved returns the number of results and releases not known to be stored yet.
func (m *Machine) Unsaved() int { return len(m.updates) }

// Handle applies an event and returns the actions to take. The slice is valid
// until the next call.
func (m *Machine) Handle(event Event, now time.Time) []Action {
	m.actions = m.actions[:0]
	m.applyEvent(event, now)
	m.refuseTimedOut(now)
	m.reconcile()
	m.answerHeldKeys(now)
	m.startOperation(now)
	m.scheduleWake()
	return m.actions
}

// applyEvent updates the state by one event.
func (m *Machine) applyEvent(event Event, now time.Time) {
	switch e := event.(type) {
	case Claim:
		m.addClaim(e, now)
	case Abandon:
		m.releaseClaim(e.ID, now)
	case Release:
		m.releaseClaim(e.ID, now)
	case Settle:
		m.settleClaim(e, now)
	case ReadDone:
		m.handleReadDone(e, now)
	case ReadFailed:
		m.startBackoff(e.RetryAfter, now)
	case WriteDone:
		m.op = opNone
		m.adoptBucket(e.Version, m.inFlightWrite.Records, now)
	case WriteConflict:
		m.op = opNone
		m.minVersion = max(m.minVersion, m.version+1)
		m.backoff.Reset()
	case WriteRefused:
		m.startBackoff(e.RetryAfter, now)
	case WriteUnknown:
		m.handleWriteUnknown(now)
	case StoreDown:
		m.storeDown = true
		m.retryAt = now.Add(e.RetryAfter)
		m.refuseWaiting(now)
	case StoreUp:
		m.handleStoreUp(now)
	case Flush:
		m.flushNow = true
	case Tick:
		m.wakeAt = time.Time{}
	}
}

// addClaim queues a claim, or answers it at once.
func (m *Machine) addClaim(e Claim, now time.Time) {
	switch own := m.byKey[e.Key]; {
	case own != nil:
		m.answerFromOwnClaim(e, own, now)
	case !now.Before(e.Deadline):
		m.emit(Unavailable{ID: e.ID, Reason: ReasonDeadline})
	case m.storeDown || now.Before(m.retryAt):
		m.emit(Unavailable{ID: e.ID, Reason: ReasonStoreDown, RetryAfter: m.retryAfter(now)})
	default:
		c := &claim{Claim: e, confirmBy: earlier(e.Deadline, now.Add(m.cfg.ClaimTimeout))}
		m.claims[e.ID] = c
		m.byKey[e.Key] = c
		m.waiting = append(m.waiting, c)
	}
}

// answerFromOwnClaim answers a claim for a key that this instance itself holds.
func (m *Machine) answerFromOwnClaim(e Claim, own *claim, now time.Time) {
	m.answerFromRecord(e.ID, e.Fingerprint, Record{
		Fingerprint: own.Fingerprint,
		Deadline:    own.Deadline.UnixMilli(),
		Done:        own.phase == phaseSettling,
		Result:      own.result,
	}, now)
}

// releaseClaim ends a claim whose request provably has not run and never will.
func (m *Machine) releaseClaim(id ClaimID, now time.Time) {
	c := m.claims[id]
	if c == nil {
		return
	}
	switch c.phase {
	case phaseWaiting:
		m.removeWaiting(c)
		m.dropClaim(c, now)
	case phaseGranted:
		m.queueRelease(c, now.Add(m.cfg.ReleaseDelay))
	case phaseSettling, phaseReleasing:
		// The first Settle or Release of a claim wins.
	}
}

// settleClaim queues the result of a granted claim for a later write.
func (m *Machine) settleClaim(e Settle, now time.Time) {
	c := m.claims[e.ID]
	if c == nil || c.phase != phaseGranted {
		return
	}
	c.phase = phaseSettling
	c.result = e.Result
	c.writeBy = now.Add(m.cfg.CombineDelay)
	m.updates = append(m.updates, c)
}

// handleReadDone caches the bucket that was read, unless an earlier operation saw
// a later version. A bucket that was deleted is never treated as empty: its
// version 0 is too low.
func (m *Machine) handleReadDone(e ReadDone, now time.Time) {
	if e.Version < max(m.minVersion, m.version) {
		m.startBackoff(0, now)
		return
	}
	m.op = opNone
	m.rereadNeeded = false
	m.adoptBucket(e.Version, e.Records, now)
}

// adoptBucket caches a confirmed state of the bucket.
func (m *Machine) adoptBucket(version uint64, records Records, now time.Time) {
	m.known = true
	m.version = version
	m.records = records
	m.seenAt = now
	if m.inDoubt && version > m.inDoubtVersion {
		m.inDoubt = false
		m.rereadNeeded = false
	}
	if !m.inDoubt {
		m.unknownWrites = 0
		m.backoff.Reset()
	}
	for _, c := range m.waiting {
		c.bucketSeen = c.opStarted
	}
}

// handleWriteUnknown marks the records that may have been, or may yet be, stored.
// Writing again on the same version is safe: writes are conditional on it, so at
// most one of them takes effect.
func (m *Machine) handleWriteUnknown(now time.Time) {
	m.op = opNone
	m.inDoubt = true
	m.inDoubtVersion = m.inFlightWrite.IfVersion
	m.rereadNeeded = true
	for _, claims := range [][]*claim{m.waiting, m.updates} {
		for _, c := range claims {
			if containsClaim(m.inFlightWrite.Records, c) {
				c.maybeStored = true
			}
		}
	}
	m.unknownWrites++
	if m.unknownWrites >= maxUnknownWrites {
		m.startBackoff(0, now)
	}
}

// startBackoff ends a failed operation: it refuses the waiting claims, and new
// claims and operations until the backoff delay has passed. The delay is at least
// minDelay, up to RetryMax.
func (m *Machine) startBackoff(minDelay time.Duration, now time.Time) {
	m.op = opNone
	m.retryAt = now.Add(max(m.backoff.Next(m.rng), min(minDelay, m.cfg.RetryMax)))
	m.refuseWaiting(now)
}

// refuseWaiting refuses the waiting claims, except those that the write in
// flight can still confirm.
func (m *Machine) refuseWaiting(now time.Time) {
	m.filterWaiting(func(c *claim) bool {
		if m.isInFlight(c) {
			return true
		}
		m.emit(Unavailable{ID: c.ID, Reason: ReasonStoreDown, RetryAfter: m.retryAfter(now)})
		m.dropClaim(c, now)
		return false
	})
}

// handleStoreUp accepts claims again, at once. Pending results and releases get
// random delays, so that the instances do not all write at the same moment.
func (m *Machine) handleStoreUp(now time.Time) {
	m.storeDown = false
	m.retryAt = time.Time{}
	m.backoff.Reset()
	for _, c := range m.updates {
		c.writeBy = now.Add(randomDelay(m.cfg.RecoveryJitter, m.rng))
	}
}

// retryAfter returns the delay, with jitter, that a refused caller is asked to
// wait before it retries.
func (m *Machine) retryAfter(now time.Time) time.Duration {
	wait := max(m.retryAt.Sub(now), m.cfg.RetryMin)
	return wait + randomDelay(wait/2, m.rng)
}

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

// randomDelay returns a random delay in [0, maxDelay), or 0 if there is none.
func randomDelay(maxDelay time.Duration, rng *rand.Rand) time.Duration {
	if maxDelay <= 0 {
		return 0
	}
	return time.Duration(rng.Int64N(int64(maxDelay)))
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
