package ledger

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/ledger"
)

// runtime is the state of the ledger's goroutine; only that goroutine uses it.
type runtime struct {
	ledger        *Ledger
	log           *log.Logger
	rng           *rand.Rand
	buckets       []*bucket // nil until first used
	breaker       *ledger.Breaker
	breakerWakeAt time.Time
	// refusing says that the breaker refuses claims. The state machine of a
	// bucket that is created meanwhile is first given storeDown.
	refusing  bool
	storeDown ledger.StoreDown
	ready     bool // the breaker has accepted claims at least once
	lastID    ledger.ClaimID
	waiters   map[ledger.ClaimID]*waiter
	flushes   map[*flushRequest]bool
	calls     sync.WaitGroup
	callCtx   context.Context
}

// newRuntime returns a runtime that refuses claims until a probe of the store
// succeeds.
func newRuntime(l *Ledger, rng *rand.Rand) *runtime {
	return &runtime{
		ledger:   l,
		log:      l.cfg.Logger.WithPrefix("ledger"),
		rng:      rng,
		buckets:  make([]*bucket, l.cfg.Buckets),
		breaker:  ledger.NewBreaker(breakerFailures, l.cfg.Bucket, rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))),
		refusing: true,
		waiters:  make(map[ledger.ClaimID]*waiter),
		flushes:  make(map[*flushRequest]bool),
	}
}

// run handles messages and due ticks until ctx ends.
func (r *runtime) run(ctx context.Context) error {
	callCtx, cancel := context.WithCancel(ctx)
	r.callCtx = callCtx
	defer r.calls.Wait()
	defer cancel()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	r.handleBreaker(ledger.BreakerTick{})
	for {
		timer.Reset(r.timeToNextTick(time.Now()))
		select {
		case m := <-r.ledger.mailbox:
			r.handleMessage(m)
		case <-timer.C:
			r.tick(time.Now())
		case <-ctx.Done():
			r.stop()
			return nil
		}
		r.completeFlushes()
	}
}

// stop refuses all claims that still wait for an answer.
func (r *runtime) stop() {
	for id, w := range r.waiters {
		w.answer <- ledger.Unavailable{ID: id, Reason: ledger.ReasonStopped}
	}
}

// handleMessage handles one message from the mailbox.
func (r *runtime) handleMessage(m message) {
	switch m := m.(type) {
	case claimMessage:
		r.lastID++
		m.claim.ID = r.lastID
		m.claim.Nonce = ledger.Nonce(r.rng.Uint64())
		r.waiters[r.lastID] = m.waiter
		r.handleBucket(m.bucket, m.claim)
	case abandonMessage:
		delete(r.waiters, m.claim.ID)
		r.handleBucket(m.bucket, ledger.Abandon{ID: m.claim.ID})
	case eventMessage:
		r.handleBucket(m.bucket, m.event)
	case callMessage:
		if m.err != nil {
			r.log.Warn("Store call failed.", "bucket", m.bucket, "err", m.err)
		}
		r.handleBucket(m.bucket, m.event)
		if m.breaker != nil {
			r.handleBreaker(m.breaker)
		}
	case probeMessage:
		if m.err != nil {
			r.log.Warn("Probe of the ledger store failed.", "err", m.err)
		}
		r.handleBreaker(m.breaker)
	case flushMessage:
		r.flushes[m.flushRequest] = true
		r.handleAllBuckets(ledger.Flush{})
	case flushEndMessage:
		m.unsaved <- r.unsaved()
		delete(r.flushes, m.flushRequest)
	}
}

// bucket returns bucket i, which is created at its first use.
func (r *runtime) bucket(i int) *bucket {
	if r.buckets[i] == nil {
		rng := rand.New(rand.NewPCG(r.rng.Uint64(), r.rng.Uint64()))
		r.buckets[i] = &bucket{machine: ledger.New(r.ledger.cfg.Bucket, rng)}
		if r.refusing {
			r.handleBucket(i, r.storeDown)
		}
	}
	return r.buckets[i]
}

// handleBucket passes an event to the state machine of bucket i and carries
// out the actions that it returns.
func (r *runtime) handleBucket(i int, event ledger.Event) {
	b := r.bucket(i)
	for _, a := range b.machine.Handle(event, time.Now()) {
		switch a := a.(type) {
		case ledger.Read:
			r.startRead(i)
		case ledger.Write:
			r.startWrite(i, a)
		case ledger.WakeAt:
			b.wakeAt = a.At
		case ledger.Granted:
			r.answer(i, a.ID, "granted", a)
		case ledger.Held:
			r.answer(i, a.ID, string(a.State), a)
		case ledger.Mismatch:
			r.answer(i, a.ID, "mismatch", a)
		case ledger.Unavailable:
			r.answer(i, a.ID, string(a.Reason), a)
		case ledger.Persisted:
			// Nothing to do: completeFlushes reads the count of each state machine.
		}
	}
}

// answer sends a claim its only answer. The word names the answer in the log.
func (r *runtime) answer(i int, id ledger.ClaimID, word string, a ledger.Action) {
	r.log.Debug("Claim answered.", "bucket", i, "claim", id, "answer", word)
	w := r.waiters[id]
	if w == nil {
		return // abandoned by its caller; the state machine was notified
	}
	delete(r.waiters, id)
	w.answer <- a
}

// handleAllBuckets passes an event to the state machines of all buckets in use.
func (r *runtime) handleAllBuckets(event ledger.Event) {
	for i, b := range r.buckets {
		if b != nil {
			r.handleBucket(i, event)
		}
	}
}

// handleBreaker passes an event to the circuit breaker and carries out the
// actions that it returns.
func (r *runtime) handleBreaker(event ledger.BreakerEvent) {
	for _, a := range r.breaker.Handle(event, time.Now()) {
		switch a := a.(type) {
		case ledger.RefuseClaims:
			r.log.Warn("Claims are refused.", "retry_after", a.RetryAfter)
			r.refusing = true
			r.storeDown = ledger.StoreDown(a)
			r.handleAllBuckets(r.storeDown)
		case ledger.AcceptClaims:
			r.log.Info("Claims are taken.")
			r.refusing = false
			r.handleAllBuckets(ledger.StoreUp{})
			if !r.ready {
				r.ready = true
				close(r.ledger.ready)
			}
		case ledger.Probe:
			r.startProbe()
		case ledger.BreakerWakeAt:
			r.breakerWakeAt = a.At
		}
	}
}

// maxIdleSleep is the longest time without a tick when none is due.
const maxIdleSleep = time.Hour

// timeToNextTick returns the time until the next due tick of the breaker or of a
// bucket, and maxIdleSleep when none is due.
func (r *runtime) timeToNextTick(now time.Time) time.Duration {
	next := now.Add(maxIdleSleep)
	if !r.breakerWakeAt.IsZero() && r.breakerWakeAt.Before(next) {
		next = r.breakerWakeAt
	}
	for _, b := range r.buckets {
		if b != nil && !b.wakeAt.IsZero() && b.wakeAt.Before(next) {
			next = b.wakeAt
		}
	}
	return max(0, next.Sub(now))
}

// tick passes a tick to the breaker and to the buckets whose wake time has come.
func (r *runtime) tick(now time.Time) {
	if !r.breakerWakeAt.IsZero() && !now.Before(r.breakerWakeAt) {
		r.breakerWakeAt = time.Time{}
		r.handleBreaker(ledger.BreakerTick{})
	}
	for i, b := range r.buckets {
		if b != nil && !b.wakeAt.IsZero() && !now.Before(b.wakeAt) {
			b.wakeAt = time.Time{}
			r.handleBucket(i, ledger.Tick{})
		}
	}
}

// unsaved returns the number of results and releases not yet in the store.
func (r *runtime) unsaved() int {
	n := 0
	for _, b := range r.buckets {
		if b != nil {
			n += b.machine.Unsaved()
		}
	}
	return n
}

// completeFlushes completes all pending flushes once the store holds every
// result and release.
func (r *runtime) completeFlushes() {
	if len(r.flushes) == 0 || r.unsaved() > 0 {
		return
	}
	for f := range r.flushes {
		close(f.done)
	}
	clear(r.flushes)
}
