package ledger

import (
	"math/rand/v2"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/backoff"
)

// phase is how far a claim of this entry has come.
type phase int

const (
	phaseWaiting   phase = iota // not confirmed; it may be in a write
	phaseGranted                // confirmed; its holder runs the request
	phaseSettling               // its result is to be written
	phaseReleasing              // its record, if there is one, is to be removed
)

// claim is one claim of this entry.
type claim struct {
	Claim
	phase  phase
	giveUp time.Time // of a waiting claim
	due    time.Time // when a result or release is written at the latest
	result Result
	// asked and fresh tell whether a read or write was begun, and has
	// succeeded, since the claim came.
	asked, fresh bool
	// maybeStored says that a write of unknown effect holds the record.
	maybeStored bool
}

// operation is what the machine waits for.
type operation int

const (
	opNone operation = iota
	opRead
	opWrite
)

// maxUnknowns is how many writes in a row may have an unknown effect, with no
// later version seen, before the bucket backs off.
const maxUnknowns = 3

// Machine is the ledger of one bucket at one entry. It implements
// machine.Machine[Event, Action].
type Machine struct {
	cfg Config
	rng *rand.Rand

	// The bucket as last seen.
	known   bool
	version uint64
	records Records
	seenAt  time.Time
	// floor is the least version that a read must show to be taken in.
	floor uint64

	op       operation
	inFlight Write
	// doubt says that a write on doubtBase may still take effect; it ends when
	// the bucket is seen at a later version. recheck asks for a read first.
	doubt     bool
	doubtBase uint64
	recheck   bool
	unknowns  int // writes of unknown effect since the doubt began

	claims  map[ClaimID]*claim
	byKey   map[Key]*claim // waiting, granted and settling
	waiting []*claim
	updates []*claim // settling and releasing

	down    bool
	retryAt time.Time
	backoff backoff.Backoff
	flush   bool
	wakeAt  time.Time
	actions []Action
}

// New makes the machine of one bucket. The random source spreads retries.
func New(cfg Config, rng *rand.Rand) *Machine {
	return &Machine{
		cfg:     cfg,
		rng:     rng,
		claims:  make(map[ClaimID]*claim),
		byKey:   make(map[Key]*claim),
		backoff: backoff.Backoff{Min: cfg.RetryMin, Max: cfg.RetryMax},
	}
}

// Idle tells whether nothing waits for the store.
func (m *Machine) Idle() bool {
	return m.op == opNone && len(m.waiting) == 0 && len(m.updates) == 0
}

// Unsaved is the number of results and releases that the store does not hold yet.
func (m *Machine) Unsaved() int { return len(m.updates) }

// Handle takes in an event and gives what is to be done.
func (m *Machine) Handle(event Event, now time.Time) []Action {
	m.actions = m.actions[:0]
	m.take(event, now)
	m.expire(now)
	m.reconcile()
	m.decide(now)
	m.start(now)
	m.wake()
	return m.actions
}

// take changes the state by one event.
func (m *Machine) take(event Event, now time.Time) {
	switch e := event.(type) {
	case Claim:
		m.claim(e, now)
	case Abandon:
		m.release(e.ID, now)
	case Release:
		m.release(e.ID, now)
	case Settle:
		m.settle(e, now)
	case ReadDone:
		m.readDone(e, now)
	case ReadFailed:
		m.failed(e.RetryAfter, now)
	case WriteDone:
		m.op = opNone
		m.adopt(e.Version, m.inFlight.Records, now)
	case WriteConflict:
		m.op = opNone
		m.floor = max(m.floor, m.version+1)
		m.backoff.Reset()
	case WriteRefused:
		m.failed(e.RetryAfter, now)
	case WriteUnknown:
		m.writeUnknown(now)
	case StoreDown:
		m.down = true
		m.retryAt = now.Add(e.RetryAfter)
		m.refuseWaiting(now)
	case StoreUp:
		m.storeUp(now)
	case Flush:
		m.flush = true
	case Tick:
		m.wakeAt = time.Time{}
	}
}

// claim takes in a claim, or answers it at once.
func (m *Machine) claim(e Claim, now time.Time) {
	switch own := m.byKey[e.Key]; {
	case own != nil:
		m.answerOwn(e, own, now)
	case !now.Before(e.Deadline):
		m.add(Unavailable{ID: e.ID, Reason: ReasonDeadline})
	case m.down || now.Before(m.retryAt):
		m.add(Unavailable{ID: e.ID, Reason: ReasonStoreDown, RetryAfter: m.retryAfter(now)})
	default:
		c := &claim{Claim: e, giveUp: earlier(e.Deadline, now.Add(m.cfg.ClaimTimeout))}
		m.claims[e.ID] = c
		m.byKey[e.Key] = c
		m.waiting = append(m.waiting, c)
	}
}

// answerOwn answers a claim for a key that this entry itself holds.
func (m *Machine) answerOwn(e Claim, own *claim, now time.Time) {
	m.answerHeld(e.ID, e.Fingerprint, Record{
		Fingerprint: own.Fingerprint,
		Deadline:    own.Deadline.UnixMilli(),
		Done:        own.phase == phaseSettling,
		Result:      own.result,
	}, now)
}

// release ends a claim whose request provably did not run and never will.
func (m *Machine) release(id ClaimID, now time.Time) {
	c := m.claims[id]
	if c == nil {
		return
	}
	switch c.phase {
	case phaseWaiting:
		m.unwait(c)
		m.drop(c, now)
	case phaseGranted:
		m.toReleasing(c, now.Add(m.cfg.ReleaseDelay))
	case phaseSettling, phaseReleasing:
		// The first word about a claim stands.
	}
}

// settle keeps the result of a granted claim for the next write.
func (m *Machine) settle(e Settle, now time.Time) {
	c := m.claims[e.ID]
	if c == nil || c.phase != phaseGranted {
		return
	}
	c.phase = phaseSettling
	c.result = e.Result
	c.due = now.Add(m.cfg.CombineDelay)
	m.updates = append(m.updates, c)
}

// readDone takes in the bucket, unless the read is older than what was seen. A
// bucket that was deleted is never taken for empty: it reads as too old.
func (m *Machine) readDone(e ReadDone, now time.Time) {
	if e.Version < max(m.floor, m.version) {
		m.failed(0, now)
		return
	}
	m.op = opNone
	m.recheck = false
	m.adopt(e.Version, e.Records, now)
}

// adopt makes a confirmed state of the bucket the known one.
func (m *Machine) adopt(version uint64, records Records, now time.Time) {
	m.known = true
	m.version = version
	m.records = records
	m.seenAt = now
	if m.doubt && version > m.doubtBase {
		m.doubt = false
		m.recheck = false
	}
	if !m.doubt {
		m.unknowns = 0
		m.backoff.Reset()
	}
	for _, c := range m.waiting {
		c.fresh = c.asked
	}
}

// writeUnknown notes which records may have been, or may yet be, stored. The
// write is conditional on a version, so a repetition of it on the same version
// is safe: at most one of them takes effect.
func (m *Machine) writeUnknown(now time.Time) {
	m.op = opNone
	m.doubt = true
	m.doubtBase = m.inFlight.IfVersion
	m.recheck = true
	for _, list := range [][]*claim{m.waiting, m.updates} {
		for _, c := range list {
			if holds(m.inFlight.Records, c) {
				c.maybeStored = true
			}
		}
	}
	m.unknowns++
	if m.unknowns >= maxUnknowns {
		m.failed(0, now)
	}
}

// failed ends a read or a write that was refused: what waits is refused, and
// the bucket stays closed for a while.
func (m *Machine) failed(hint time.Duration, now time.Time) {
	m.op = opNone
	m.retryAt = now.Add(max(m.backoff.Next(m.rng), min(hint, m.cfg.RetryMax)))
	m.refuseWaiting(now)
}

// refuseWaiting refuses the claims that no write in flight can still confirm.
func (m *Machine) refuseWaiting(now time.Time) {
	m.filterWaiting(func(c *claim) bool {
		if m.flying(c) {
			return true
		}
		m.add(Unavailable{ID: c.ID, Reason: ReasonStoreDown, RetryAfter: m.retryAfter(now)})
		m.drop(c, now)
		return false
	})
}

// storeUp opens the bucket again. Claims may go at once; what waits in the
// background is spread, so that the instances do not come back together.
func (m *Machine) storeUp(now time.Time) {
	m.down = false
	m.retryAt = time.Time{}
	m.backoff.Reset()
	for _, c := range m.updates {
		c.due = now.Add(spread(m.cfg.RecoveryJitter, m.rng))
	}
}

// retryAfter is when a refused caller should come back, with jitter.
func (m *Machine) retryAfter(now time.Time) time.Duration {
	wait := max(m.retryAt.Sub(now), m.cfg.RetryMin)
	return wait + spread(wait/2, m.rng)
}

// add gives out an action.
func (m *Machine) add(a Action) { m.actions = append(m.actions, a) }

// spread draws a delay in [0, d).
func spread(d time.Duration, rng *rand.Rand) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(rng.Int64N(int64(d)))
}

// earlier is the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
