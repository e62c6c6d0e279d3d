package executor

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/entry/telemetry"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/dispatch"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/quarantine"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/query"
)

// run is one query in progress, driven by one goroutine.
type run struct {
	executor    *Executor
	request     *Request
	id          string
	stamp       uint64
	fingerprint string
	repetition  *repetition
	machine     *query.Machine
	mail        *mailbox
	ctx         context.Context // ends with the caller or with the answer
	attempts    map[query.AttemptID]*attempt
	pools       map[int]*pool // by upstream index in the request's view
	timer       *time.Timer
	answer      *query.Answer
}

// newToken makes an unguessable id: 128 random bits in hex.
func newToken() string {
	var b [16]byte
	_, _ = rand.Read(b[:]) // never fails: crypto/rand ends the program instead
	return hex.EncodeToString(b[:])
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
	for r.answer == nil {
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

// handle gives one event to the machine and carries out its actions.
func (r *run) handle(ev query.Event) {
	if r.answer != nil {
		return
	}
	for _, action := range r.machine.Handle(ev, time.Now()) {
		r.act(action)
	}
}

// act carries out one action.
func (r *run) act(action query.Action) {
	switch action := action.(type) {
	case query.Offer:
		r.offer(action)
	case query.Withdraw:
		r.withdraw(action.Attempt)
	case query.WakeAt:
		r.timer.Reset(max(time.Until(action.At), 0))
	case query.Verdict:
		r.verdict(action)
	case query.Finish:
		answer := action.Answer
		r.answer = &answer
	}
}

// offer puts an attempt into its upstream's pool.
func (r *run) offer(o query.Offer) {
	a := &attempt{
		ticket: dispatch.Ticket{Query: r.stamp, Attempt: o.Attempt},
		run:    r, offer: o, token: newToken(),
	}
	r.attempts[o.Attempt] = a
	if o.Hedge {
		r.executor.decide(a, telemetry.Decision{Part: partQuery, What: "hedge"})
	}
	if o.Retry {
		r.executor.decide(a, telemetry.Decision{Part: partQuery, What: "retry"})
	}
	r.pool(o.Part.Upstream).offer(a)
}

// pool returns the pool of an upstream, looked up once per query.
func (r *run) pool(upstream int) *pool {
	p, ok := r.pools[upstream]
	if !ok {
		p = r.executor.pool(r.request.View, upstream)
		r.pools[upstream] = p
	}
	return p
}

// withdraw takes an attempt back.
func (r *run) withdraw(id query.AttemptID) {
	if a, ok := r.attempts[id]; ok {
		r.pool(a.offer.Part.Upstream).withdraw(a.ticket)
	}
}

// verdict tells the quarantine how an attempt ended on its leaf.
func (r *run) verdict(v query.Verdict) {
	a, ok := r.attempts[v.Attempt]
	if !ok {
		return
	}
	e := r.executor
	news := e.guard.observe(quarantine.Observed{Fingerprint: r.fingerprint, Leaf: a.leafName(r, v.Leaf), Crashed: v.Crashed, Solo: a.offer.Solo}, time.Now())
	if v.Crashed {
		e.decide(a, telemetry.Decision{Part: partQuery, What: "suspect", Leaf: a.leafName(r, v.Leaf), Why: r.fingerprint})
	}
	if news {
		e.config.Sightings.SpreadNow()
	}
}

// leafName is the ID of the leaf that the query's view calls by index.
func (a *attempt) leafName(r *run, leaf int) string {
	if leaf < 0 || leaf >= len(r.request.View.Leaves) {
		return ""
	}
	return r.request.View.Leaves[leaf].ID
}

// leafIndex is the index of a leaf in the query's own view.
func (r *run) leafIndex(a *attempt, id string) int {
	return r.request.View.Upstreams[a.offer.Part.Upstream].Leaf(id)
}
