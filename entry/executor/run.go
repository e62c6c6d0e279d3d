package executor

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/entry/telemetry"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/dispatch"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/ledger"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/quarantine"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/query"
	kernelrepetition "github.com/fuchsiaroad/fuchsiaroad/kernel/repetition"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/view"
)

// run is one query in progress, driven by one goroutine.
type run struct {
	executor    *Executor
	request     *Request
	id          string
	tokenSecret string // makes the attempts' tokens unguessable
	stamp       uint64
	fingerprint string
	service     *serviceState
	repetition  *repetition
	versions    *versionSource
	mail        *mailbox
	// completed is set once a leaf ran the request to completion, suspected once the
	// request is suspected of crashing leaves.
	completed, suspected atomic.Bool
	// sentShards counts the shards to which this instance has sent the request.
	sentShards atomic.Int64
	// groups are the groups of parts that other instances may gather.
	groups []Group
	// fullValueUntil is when the answer must be settled to have its full value; zero: there
	// is no objective, only the deadline.
	fullValueUntil time.Time
	// longestWait is the longest time that an attempt waited in a queue here, in nanoseconds.
	longestWait atomic.Int64
	// slowest is the attempt that took longest of those that got a reply; nil if none did.
	slowest atomic.Pointer[slowReply]
	ctx     context.Context // ends when the caller disconnects
	work    context.Context // of the exchanges: ends also with the deadline or the answer

	// mu guards the fields below. The query's goroutine holds it for each event,
	// and an exchange holds it while it asks for permission to send.
	mu       sync.Mutex
	machine  *query.Machine
	attempts map[query.AttemptID]*attempt
	// deliveries holds the limited deliveries to shards, by shard name.
	deliveries map[string]*kernelrepetition.Delivery
	// offeredGroups holds the groups that were offered to other instances.
	offeredGroups map[query.AttemptID]*offeredGroup
	// view is the newest view that the machine knows; pools is keyed by its indexes.
	view   *view.View
	pools  map[int]*pool
	timer  *time.Timer
	answer *query.Answer
}

// newToken returns an unguessable ID: 128 random bits in hex.
func newToken() string {
	var b [16]byte
	_, _ = rand.Read(b[:]) // never fails: crypto/rand ends the program instead
	return hex.EncodeToString(b[:])
}

// attemptToken returns the attempt's ID on the wire. It can't be guessed without
// having seen another attempt of the same query, which only the leaves that serve
// the same request see.
func (r *run) attemptToken(id query.AttemptID) string {
	return r.tokenSecret + "-" + strconv.FormatUint(uint64(id), 16)
}

// driveMachine feeds events to the machine until it has the answer, and returns that.
func (r *run) driveMachine() *query.Answer {
	r.timer = time.NewTimer(time.Hour)
	r.timer.Stop()
	defer r.timer.Stop()
	defer r.mail.close()
	r.handle(query.Begin{})
	done := r.ctx.Done()
	var events []query.Event
	for !r.hasAnswer() {
		select {
		case <-r.mail.wake:
			events = r.mail.take(events)
			for _, ev := range events {
				r.handle(ev)
			}
		case <-r.timer.C:
			r.handle(query.Tick{})
		case <-done:
			done = nil
			r.handle(query.Cancel{})
		}
	}
	return r.answer
}

// hasAnswer reports whether the query has its answer.
func (r *run) hasAnswer() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.answer != nil
}

// handle passes one event to the machine.
func (r *run) handle(ev query.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.handleLocked(ev)
}

// confirmSend tells the machine that the attempt is sent, and reports whether it may be.
// It is called right before the bytes are written: no event can come between the
// machine's decision and the sending, so that an answer "not run" stays true.
func (r *run) confirmSend(a *attempt, leaf int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.answer != nil || a.withdrawn || !ledger.MayDispatch(r.request.Deadline, time.Now()) {
		return false // an instance that was paused finds the deadline passed here
	}
	if reason := r.executor.reasonToWithhold(a); reason != "" {
		r.executor.reportWithheld(a, reason)
		return false
	}
	r.handleLocked(query.Sent{Attempt: a.offer.Attempt, Leaf: leaf})
	if a.withdrawn {
		return false
	}
	a.sentAt = time.Now()
	r.executor.logSend(a)
	if !a.offer.Hedge && !a.offer.Retry {
		r.sentShards.Add(1)
	}
	return true
}

// handleLocked passes one event to the machine and performs its actions. The run's lock
// is held; pools never take it, they only put events into the mailbox.
func (r *run) handleLocked(ev query.Event) {
	if r.answer != nil {
		return
	}
	now := time.Now()
	r.applyEvent(ev, now)
	for _, action := range r.machine.Handle(ev, now) {
		r.performAction(action)
	}
}

// applyEvent updates the state that is kept outside of the machine.
func (r *run) applyEvent(ev query.Event, now time.Time) {
	switch ev := ev.(type) {
	case query.ViewChanged:
		r.setView(ev.View)
	case query.Declined:
		if ev.Reason == query.ReasonOverloaded {
			r.repetition.recordShed(now)
		}
	case query.NotSent:
		if ev.Reason == query.ReasonOverloaded {
			r.repetition.recordShed(now)
		}
	}
}

// setView moves the query to a newer view, whose indexes it uses from then on.
func (r *run) setView(v *view.View) {
	r.view = v
	r.versions.view = v
	clear(r.pools)
}

// performAction performs one action of the machine.
func (r *run) performAction(action query.Action) {
	switch action := action.(type) {
	case query.Offer:
		r.offerAttempt(action)
	case query.OfferGroup:
		r.offerGroup(action)
	case query.Withdraw:
		r.withdrawAttempt(action.Attempt)
	case query.WakeAt:
		r.timer.Reset(max(time.Until(action.At), 0))
	case query.Verdict:
		r.reportVerdict(action)
	case query.Interim:
		r.request.OnInterim(&action.Answer)
	case query.Finish:
		answer := action.Answer
		r.answer = &answer
	}
}

// offerAttempt queues an attempt in its upstream's pool.
func (r *run) offerAttempt(o query.Offer) {
	a := &attempt{
		ticket: dispatch.Ticket{Query: r.stamp, Attempt: o.Attempt},
		run:    r, view: r.view, offer: o, token: r.attemptToken(o.Attempt),
		delivery: r.delivery(&r.view.Upstreams[o.Part.Upstream], o.Shard),
	}
	r.executor.repeatLimiters.beginAttempt(a.delivery)
	r.attempts[o.Attempt] = a
	if o.Hedge {
		r.executor.logDecision(a, telemetry.Decision{Component: prefixQuery, Event: "hedge", Class: telemetry.Routine})
	}
	if o.Retry {
		r.executor.logDecision(a, telemetry.Decision{Component: prefixQuery, Event: "retry", Class: telemetry.Outcome})
	}
	if !o.Hedge && !o.Retry {
		r.executor.repeatLimiters.countRequest(&r.view.Upstreams[o.Part.Upstream], o.Shard, time.Now())
	}
	a.pool = r.pool(o.Part.Upstream)
	a.pool.enqueue(a)
}

// pool returns the pool of an upstream, looked up once per query.
func (r *run) pool(upstream int) *pool {
	p, ok := r.pools[upstream]
	if !ok {
		p = r.executor.pool(r.view, upstream)
		r.pools[upstream] = p
	}
	return p
}

// withdrawAttempt withdraws an attempt or an offered group.
func (r *run) withdrawAttempt(id query.AttemptID) {
	if a, ok := r.attempts[id]; ok && !a.withdrawn {
		a.withdrawn = true
		a.pool.withdraw(a.ticket)
	}
	if g, ok := r.offeredGroups[id]; ok {
		g.withdrawn = true
		g.cancel()
	}
}

// reportVerdict tells the quarantine how an attempt ended on its leaf.
func (r *run) reportVerdict(v query.Verdict) {
	a, ok := r.attempts[v.Attempt]
	if !ok {
		return
	}
	e := r.executor
	actions := e.quarantine.observe(quarantine.AttemptEnded{Fingerprint: r.fingerprint, Leaf: a.leafIDAt(v.Leaf), Crashed: v.Crashed, Solo: a.offer.Solo}, time.Now())
	if v.Crashed {
		e.logDecision(a, telemetry.Decision{Component: prefixQuery, Event: "suspect", Leaf: a.leafIDAt(v.Leaf), Reason: r.fingerprint})
	}
	e.applyQuarantineActions(actions, fromLeaf)
	if !v.Crashed {
		e.deleteCleared(actions)
	}
}

// leafIDAt returns the ID of a leaf by its index in the attempt's view, "" if there is
// no such leaf.
func (a *attempt) leafIDAt(leaf int) string {
	if leaf < 0 || leaf >= len(a.view.Leaves) {
		return ""
	}
	return a.view.Leaves[leaf].ID
}

// leafIndex returns the index of a leaf in the attempt's view.
func (a *attempt) leafIndex(id string) int {
	return a.view.Upstreams[a.offer.Part.Upstream].LeafIndex(id)
}
