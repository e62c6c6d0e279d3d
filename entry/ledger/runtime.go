package ledger

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/ledger"
)

// runtime is the state of the ledger's goroutine.
type runtime struct {
	ledger  *Ledger
	log     *log.Logger
	rng     *rand.Rand
	buckets []*bucket // nil until first used
	gate    *ledger.Breaker
	gateAt  time.Time
	// closed is the last word of the gate; new machines start with it.
	closed  bool
	closing ledger.StoreDown
	opened  bool // the gate has been open once
	lastID  ledger.ClaimID
	waiters map[ledger.ClaimID]*waiter
	flushes map[*flush]bool
	calls   sync.WaitGroup
	callCtx context.Context
}

// newRuntime makes the state; nothing is known of the store yet.
func newRuntime(l *Ledger, rng *rand.Rand) *runtime {
	return &runtime{
		ledger:  l,
		log:     l.cfg.Logger.WithPrefix("ledger"),
		rng:     rng,
		buckets: make([]*bucket, l.cfg.Buckets),
		gate:    ledger.NewBreaker(gateFailures, l.cfg.Bucket, rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))),
		closed:  true,
		waiters: make(map[ledger.ClaimID]*waiter),
		flushes: make(map[*flush]bool),
	}
}

// run takes messages and ticks until ctx ends.
func (r *runtime) run(ctx context.Context) error {
	callCtx, cancel := context.WithCancel(ctx)
	r.callCtx = callCtx
	defer r.calls.Wait()
	defer cancel()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	r.toGate(ledger.BreakerTick{})
	for {
		timer.Reset(r.untilWake(time.Now()))
		select {
		case m := <-r.ledger.mailbox:
			r.take(m)
		case <-timer.C:
			r.tick(time.Now())
		case <-ctx.Done():
			r.stop()
			return nil
		}
		r.checkFlushes()
	}
}

// stop refuses all claims that still wait.
func (r *runtime) stop() {
	for id, w := range r.waiters {
		w.answer <- ledger.Unavailable{ID: id, Reason: ledger.ReasonStopped}
	}
}

// take handles one message.
func (r *runtime) take(m message) {
	switch m := m.(type) {
	case claimMessage:
		r.lastID++
		m.claim.ID = r.lastID
		m.claim.Nonce = ledger.Nonce(r.rng.Uint64())
		r.waiters[r.lastID] = m.waiter
		r.handle(m.bucket, m.claim)
	case abandonMessage:
		delete(r.waiters, m.claim.ID)
		r.handle(m.bucket, ledger.Abandon{ID: m.claim.ID})
	case eventMessage:
		r.handle(m.bucket, m.event)
	case callMessage:
		if m.err != nil {
			r.log.Warn("Store call failed.", "bucket", m.bucket, "err", m.err)
		}
		r.handle(m.bucket, m.event)
		if m.gate != nil {
			r.toGate(m.gate)
		}
	case probeMessage:
		if m.err != nil {
			r.log.Warn("Probe failed.", "err", m.err)
		}
		r.toGate(m.gate)
	case flushMessage:
		r.flushes[m.flush] = true
		r.each(ledger.Flush{})
	case flushEndMessage:
		m.unsaved <- r.unsaved()
		delete(r.flushes, m.flush)
	}
}

// bucket gives a bucket, made at its first use.
func (r *runtime) bucket(i int) *bucket {
	if r.buckets[i] == nil {
		rng := rand.New(rand.NewPCG(r.rng.Uint64(), r.rng.Uint64()))
		r.buckets[i] = &bucket{machine: ledger.New(r.ledger.cfg.Bucket, rng)}
		if r.closed {
			r.handle(i, r.closing)
		}
	}
	return r.buckets[i]
}

// handle gives an event to a bucket's machine and does its actions.
func (r *runtime) handle(i int, event ledger.Event) {
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
			// Flush looks at the machines themselves.
		}
	}
}

// answer gives a claim its one answer.
func (r *runtime) answer(i int, id ledger.ClaimID, word string, a ledger.Action) {
	r.log.Debug("Claim answered.", "bucket", i, "claim", id, "answer", word)
	w := r.waiters[id]
	if w == nil {
		return // its caller has gone, which the machine knows
	}
	delete(r.waiters, id)
	w.answer <- a
}

// each gives an event to all machines in use.
func (r *runtime) each(event ledger.Event) {
	for i, b := range r.buckets {
		if b != nil {
			r.handle(i, event)
		}
	}
}

// toGate gives an event to the gate and does its actions.
func (r *runtime) toGate(event ledger.BreakerEvent) {
	for _, a := range r.gate.Handle(event, time.Now()) {
		switch a := a.(type) {
		case ledger.RefuseClaims:
			r.log.Warn("Claims are refused.", "retry_after", a.RetryAfter)
			r.closed = true
			r.closing = ledger.StoreDown(a)
			r.each(r.closing)
		case ledger.AcceptClaims:
			r.log.Info("Claims are taken.")
			r.closed = false
			r.each(ledger.StoreUp{})
			if !r.opened {
				r.opened = true
				close(r.ledger.ready)
			}
		case ledger.Probe:
			r.startProbe()
		case ledger.BreakerWakeAt:
			r.gateAt = a.At
		}
	}
}

// maxSleep is how long the goroutine sleeps when nothing is due.
const maxSleep = time.Hour

// untilWake is the time to the next tick.
func (r *runtime) untilWake(now time.Time) time.Duration {
	next := now.Add(maxSleep)
	if !r.gateAt.IsZero() && r.gateAt.Before(next) {
		next = r.gateAt
	}
	for _, b := range r.buckets {
		if b != nil && !b.wakeAt.IsZero() && b.wakeAt.Before(next) {
			next = b.wakeAt
		}
	}
	return max(0, next.Sub(now))
}

// tick gives a tick to all that are due.
func (r *runtime) tick(now time.Time) {
	if !r.gateAt.IsZero() && !now.Before(r.gateAt) {
		r.gateAt = time.Time{}
		r.toGate(ledger.BreakerTick{})
	}
	for i, b := range r.buckets {
		if b != nil && !b.wakeAt.IsZero() && !now.Before(b.wakeAt) {
			b.wakeAt = time.Time{}
			r.handle(i, ledger.Tick{})
		}
	}
}

// unsaved is how many results and releases the store lacks.
func (r *runtime) unsaved() int {
	n := 0
	for _, b := range r.buckets {
		if b != nil {
			n += b.machine.Unsaved()
		}
	}
	return n
}

// checkFlushes ends the flushes when the store holds all.
func (r *runtime) checkFlushes() {
	if len(r.flushes) == 0 || r.unsaved() > 0 {
		return
	}
	for f := range r.flushes {
		close(f.done)
	}
	clear(r.flushes)
}
