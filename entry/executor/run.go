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
	"github.com/fuchsiaroad/fuchsiaroad/kernel/view"
)

// run is one query in progress, driven by one goroutine.
type run struct {
	executor    *Executor
	request     *Request
	id          string
	secret      string // makes the attempts' ids unguessable
	stamp       uint64
	fingerprint string
	service     *serviceState
	repetition  *repetition
	versions    *versions
	mail        *mailbox
	// ran says that a leaf ran the request to its end, suspect that it is suspected of
	// breaking leaves.
	ran, suspect atomic.Bool
	// direct counts the shards that this query asks itself.
	direct atomic.Int64
	// groups are those that other instances may gather.
	groups []Group
	// due is when the answer has its full value; zero: until the deadline.
	due time.Time
	// waited is the longest time that an attempt waited in a queue here, in nanoseconds.
	waited atomic.Int64
	// slowest is the attempt that took longest of those that brought a reply; nil: none did.
	slowest atomic.Pointer[slowReply]
	ctx     context.Context // ends with the caller
	work    context.Context // of the exchanges: ends with the deadline or the answer, too

	// mu guards what follows. The query's goroutine holds it for each event,
	// and an exchange while it asks for leave to send.
	mu       sync.Mutex
	machine  *query.Machine
	attempts map[query.AttemptID]*attempt
	// gathering holds the groups that were offered.
	gathering map[query.AttemptID]*gathering
	// view is the newest view that the machine knows; pools is by its indexes.
	view   *view.View
	pools  map[int]*pool
	timer  *time.Timer
	answer *query.Answer
}

// newToken makes an unguessable id: 128 random bits in hex.
func newToken() string {
	var b [16]byte
	_, _ = rand.Read(b[:]) // never fails: crypto/rand ends the program instead
	return hex.EncodeToString(b[:])
}

// attemptToken is the attempt's id on the wire. It can't be guessed without
// having seen another attempt of the same query, which goes to other leaves of
// the same caller's request.
func (r *run) attemptToken(id query.AttemptID) string {
	return r.secret + "-" + strconv.FormatUint(uint64(id), 16)
}

// drive runs the query to its answer.
func (r *run) drive() *query.Answer {
	r.timer = time.NewTimer(time.Hour)
	r.timer.Stop()
	defer r.timer.Stop()
	defer r.mail.close()
	r.handle(query.Begin{})
	done := r.ctx.Done()
	var events []query.Event
	for !r.answered() {
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

// answered reports whether the query has its answer.
func (r *run) answered() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.answer != nil
}

// handle gives one event to the machine.
func (r *run) handle(ev query.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.step(ev)
}

// maySend tells the machine that the attempt's bytes go out now, and reports
// whether they may. It is asked right before they do: no event can come between
// the machine's word and the sending, so that an answer "not run" stays true.
func (r *run) maySend(a *attempt, leaf int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.answer != nil || a.withdrawn || !ledger.MayDispatch(r.request.Deadline, time.Now()) {
		return false // a paused instance finds its deadline passed here
	}
	r.step(query.Sent{Attempt: a.offer.Attempt, Leaf: leaf})
	return !a.withdrawn
}

// step gives one event to the machine and carries out its actions. The lock is
// held; pools never take it, they only put events into the mailbox.
func (r *run) step(ev query.Event) {
	if r.answer != nil {
		return
	}
	now := time.Now()
	r.heed(ev, now)
	for _, action := range r.machine.Handle(ev, now) {
		r.act(action)
	}
}

// heed does what an event means outside of the machine.
func (r *run) heed(ev query.Event, now time.Time) {
	switch ev := ev.(type) {
	case query.ViewChanged:
		r.follow(ev.View)
	case query.Declined:
		if ev.Reason == query.ReasonOverloaded {
			r.repetition.shed(now)
		}
	case query.NotSent:
		if ev.Reason == query.ReasonOverloaded {
			r.repetition.shed(now)
		}
	}
}

// follow moves the query to a newer view, by whose indexes it speaks from here on.
func (r *run) follow(v *view.View) {
	r.view = v
	r.versions.view = v
	clear(r.pools)
}

// act carries out one action.
func (r *run) act(action query.Action) {
	switch action := action.(type) {
	case query.Offer:
		r.offer(action)
	case query.OfferGroup:
		r.offerGroup(action)
	case query.Withdraw:
		r.withdraw(action.Attempt)
	case query.WakeAt:
		r.timer.Reset(max(time.Until(action.At), 0))
	case query.Verdict:
		r.verdict(action)
	case query.Interim:
		r.request.Interim(&action.Answer)
	case query.Finish:
		answer := action.Answer
		r.answer = &answer
	}
}

// offer puts an attempt into its upstream's pool.
func (r *run) offer(o query.Offer) {
	a := &attempt{
		ticket: dispatch.Ticket{Query: r.stamp, Attempt: o.Attempt},
		run:    r, view: r.view, offer: o, token: r.attemptToken(o.Attempt),
	}
	r.attempts[o.Attempt] = a
	if o.Hedge {
		r.executor.decide(a, telemetry.Decision{Component: partQuery, Event: "hedge", Class: telemetry.Routine})
	}
	if o.Retry {
		r.executor.decide(a, telemetry.Decision{Component: partQuery, Event: "retry", Class: telemetry.Outcome})
	}
	if !o.Hedge && !o.Retry {
		r.direct.Add(1)
		r.executor.arrivals.arrived(&r.view.Upstreams[o.Part.Upstream], o.Shard, time.Now())
	}
	a.pool = r.pool(o.Part.Upstream)
	a.pool.offer(a)
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

// withdraw takes an attempt back.
func (r *run) withdraw(id query.AttemptID) {
	if a, ok := r.attempts[id]; ok && !a.withdrawn {
		a.withdrawn = true
		a.pool.withdraw(a.ticket)
	}
	if g, ok := r.gathering[id]; ok {
		g.withdrawn = true
		g.cancel()
	}
}

// verdict tells the quarantine how an attempt ended on its leaf.
func (r *run) verdict(v query.Verdict) {
	a, ok := r.attempts[v.Attempt]
	if !ok {
		return
	}
	e := r.executor
	actions := e.quarantine.observe(quarantine.AttemptEnded{Fingerprint: r.fingerprint, Leaf: a.leafName(v.Leaf), Crashed: v.Crashed, Solo: a.offer.Solo}, time.Now())
	if v.Crashed {
		e.decide(a, telemetry.Decision{Component: partQuery, Event: "suspect", Leaf: a.leafName(v.Leaf), Reason: r.fingerprint})
	}
	e.carryOut(actions)
}

// leafName is the ID of a leaf by its index in the attempt's view.
func (a *attempt) leafName(leaf int) string {
	if leaf < 0 || leaf >= len(a.view.Leaves) {
		return ""
	}
	return a.view.Leaves[leaf].ID
}

// leafIndex is the index of a leaf in the attempt's view.
func (a *attempt) leafIndex(id string) int {
	return a.view.Upstreams[a.offer.Part.Upstream].LeafIndex(id)
}
