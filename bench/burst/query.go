package burst

import (
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/dispatch"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/query"
)

// queryState is one query with its parts.
type queryState struct {
	id       uint64
	entry    *entry
	caller   int
	kind     int
	arrived  int64
	due      int64 // until when the answer has its full value
	deadline int64
	ended    int64
	waited   int64 // the longest wait of a part in a queue of its entry
	parts    []part
	open     int // parts without a final state
	covered  int
	work     int64 // slot time of the covered parts
	finished bool
	late     bool // a part is missing for lack of time
	first    bool // not a caller that came back
}

// part is one shard of a query.
type part struct {
	done     bool
	closed   bool
	attempts int
	live     []*attempt
	hedged   bool
	used     []int
}

// attempt is one sub-request.
type attempt struct {
	entry  *entry
	query  *queryState
	shard  int
	ticket dispatch.Ticket
	hedge  bool
	sent   int64
	leaf   int
	exec   *exec // nil while queued
}

// useful reports whether the answer has the least coverage.
func (q *queryState) useful(p Params) bool {
	return q.covered > 0 && float64(q.covered) >= p.kinds()[q.kind].LeastCoverage*float64(len(q.parts))
}

// inTime reports whether the answer, useful, came while it had its full value.
func (q *queryState) inTime(p Params) bool { return q.useful(p) && q.ended <= q.due }

// newQuery draws a query.
func (r *run) newQuery() *queryState {
	r.queries++
	q := &queryState{
		id: r.queries, entry: r.entries[r.rand.IntN(len(r.entries))], caller: r.caller(), kind: r.kind(), first: true,
	}
	q.arrive(r.p, r.ev.now)
	return q
}

// arrive sets the times of a query that arrives now.
func (q *queryState) arrive(p Params, now int64) {
	q.arrived, q.deadline = now, now+int64(p.Deadline)
	q.due = q.deadline
	if o := p.kinds()[q.kind].Objective; o > 0 {
		q.due = now + int64(o)
	}
}

// arrive admits or refuses a query.
func (r *run) arrive(q *queryState) {
	e := q.entry
	r.stats.offered(r, q)
	if r.p.Admission {
		c := r.p.Callers[q.caller]
		k := r.p.kinds()[q.kind]
		left := time.Duration(q.due - q.arrived)
		if r.p.DeadlineOnly {
			left = r.p.Deadline
		}
		request := dispatch.QueryRequest{Caller: c.Name, Share: c.Share, Priority: k.Priority, TimeLeft: left, LeastCoverage: k.LeastCoverage}
		d := e.admissions[q.kind].Admit(request, []dispatch.LoadEstimator{e.machine}, e.now())
		if !d.Admitted {
			r.stats.refused(r, q)
			r.comeBack(q, d.RetryAfter)
			return
		}
	}
	q.parts = make([]part, r.p.Shards)
	q.open = r.p.Shards
	r.ev.add(q.due, func() { e.settle(q) })
	r.ev.add(q.deadline, func() { e.conclude(q) })
	for s := range q.parts {
		e.repetition.Deposit()
		e.offer(q, s, false, false)
	}
}

// comeBack makes a refused caller ask again when it was asked to.
func (r *run) comeBack(q *queryState, after time.Duration) {
	if !r.p.Return || r.ev.now+int64(after) >= int64(r.p.Duration) {
		return
	}
	again := r.newQuery()
	again.caller, again.kind, again.first = q.caller, q.kind, false
	r.ev.add(r.ev.now+int64(after), func() {
		again.arrive(r.p, r.ev.now)
		r.arrive(again)
	})
}

func (e *entry) now() time.Time { return epoch.Add(time.Duration(e.run.ev.now)) }

// offer gives one more attempt of a part to the machine.
func (e *entry) offer(q *queryState, shard int, hedge, retry bool) {
	p := &q.parts[shard]
	p.attempts++
	t := dispatch.Ticket{Query: q.id, Attempt: query.AttemptID(shard*16 + p.attempts)}
	a := &attempt{entry: e, query: q, shard: shard, ticket: t, hedge: hedge}
	p.live = append(p.live, a)
	e.attempts[t] = a
	due := epoch.Add(time.Duration(q.due))
	if e.run.p.DeadlineOnly {
		due = time.Time{}
	}
	e.handle(dispatch.Offered{
		Ticket: t, Shard: shard, Caller: e.run.callerName(q),
		Priority: e.run.p.kinds()[q.kind].Priority, Due: due,
		Deadline: epoch.Add(time.Duration(q.deadline)), Avoid: p.used, Hedge: hedge, Retry: retry,
	})
}

// callerName is the caller as the queue knows it; the baseline knows none.
func (r *run) callerName(q *queryState) string {
	if r.p.OneQueue {
		return ""
	}
	return r.p.Callers[q.caller].Name
}

// handle runs the machine and its actions.
func (e *entry) handle(ev dispatch.Event) {
	actions := append([]dispatch.Action(nil), e.machine.Handle(ev, e.now())...)
	for _, act := range actions {
		switch act := act.(type) {
		case dispatch.Dispatch:
			a := e.attempts[act.Ticket]
			a.query.waited = max(a.query.waited, int64(act.QueueTime))
			e.send(a, act.Leaf)
		case dispatch.Refuse:
			a := e.attempts[act.Ticket]
			delete(e.attempts, act.Ticket)
			if !a.hedge {
				a.query.late = true
				e.repetition.RecordShed(e.now())
			}
			e.lost(a, false)
		case dispatch.WakeAt:
			e.wakeAt(int64(act.At.Sub(epoch)))
		}
	}
}

// wakeAt schedules a Tick; an earlier wish that is superseded does nothing.
func (e *entry) wakeAt(at int64) {
	e.wake = max(at, e.run.ev.now)
	wish := e.wake
	e.run.ev.add(wish, func() {
		if e.wake == wish {
			e.wake = -1
			e.handle(dispatch.Tick{})
		}
	})
}

// send puts an attempt on the way to its leaf.
func (e *entry) send(a *attempt, leaf int) {
	r := e.run
	l := r.leaves[leaf]
	a.sent, a.leaf = r.ev.now, leaf
	a.exec = &exec{at: a, work: l.work(a.query), deadline: a.query.deadline}
	p := &a.query.parts[a.shard]
	p.used = append(p.used, leaf)
	r.stats.sent(r, a)
	r.ev.add(r.ev.now+int64(r.p.Delay), func() { l.arrive(a.exec) })
	if a.hedge || p.hedged {
		return
	}
	if after, ok := e.repetition.HedgeAfter(e.machine); ok {
		r.ev.add(r.ev.now+int64(after), func() { e.hedge(a.query, a.shard, a) })
	}
}

// hedge sends a second copy when the first has not answered.
func (e *entry) hedge(q *queryState, shard int, of *attempt) {
	p := &q.parts[shard]
	if p.done || p.closed || p.hedged || q.finished || len(p.live) != 1 || p.live[0] != of {
		return
	}
	if !e.repetition.TakeHedge(e.now()) {
		return
	}
	p.hedged = true
	e.offer(q, shard, true, false)
}

// replied takes a leaf's answer.
func (e *entry) replied(a *attempt, kind replyKind, service time.Duration) {
	if e.attempts[a.ticket] != a {
		return // withdrawn meanwhile
	}
	delete(e.attempts, a.ticket)
	outcome := dispatch.OutcomeReply
	switch kind {
	case replyShed:
		outcome = dispatch.OutcomeShed
		e.repetition.RecordShed(e.now())
	case replyDeadline:
		outcome = dispatch.OutcomeDeclined
	}
	if kind == replyDone {
		e.cover(a)
	}
	e.handle(dispatch.Finished{
		Ticket: a.ticket, Leaf: a.leaf, Outcome: outcome,
		Latency: time.Duration(e.run.ev.now - a.sent), ServiceTime: service,
	})
	if kind != replyDone {
		e.lost(a, true)
	}
}

// cover takes a part's first reply and cancels the other attempts.
func (e *entry) cover(a *attempt) {
	q := a.query
	p := &q.parts[a.shard]
	if p.done || q.finished {
		return
	}
	p.done = true
	q.covered++
	q.work += a.exec.work
	live := p.live
	p.live = nil
	for _, o := range live {
		if o != a {
			e.cancel(o, dispatch.OutcomeCancelled)
		}
	}
	e.close(q, p)
	e.settle(q)
}

// settle answers a query that is useful, once its answer loses value by waiting on.
func (e *entry) settle(q *queryState) {
	if q.due < q.deadline && e.run.ev.now >= q.due && q.useful(e.run.p) {
		e.conclude(q)
	}
}

// lost notes that an attempt gave nothing, and retries within the budget.
func (e *entry) lost(a *attempt, declined bool) {
	q := a.query
	p := &q.parts[a.shard]
	for i, o := range p.live {
		if o == a {
			p.live = append(p.live[:i], p.live[i+1:]...)
			break
		}
	}
	if p.done || p.closed || q.finished || len(p.live) > 0 {
		return
	}
	if declined && p.attempts < e.run.p.MostAttempts && e.repetition.TakeRetry(e.now()) {
		e.offer(q, a.shard, false, true)
		return
	}
	e.close(q, p)
}

// close settles a part, and the query with its last one.
func (e *entry) close(q *queryState, p *part) {
	if p.closed {
		return
	}
	p.closed = true
	q.open--
	if q.open == 0 {
		e.conclude(q)
	}
}

// cancel withdraws an attempt, queued or running.
func (e *entry) cancel(a *attempt, outcome dispatch.Outcome) {
	if e.attempts[a.ticket] != a {
		return
	}
	delete(e.attempts, a.ticket)
	if a.exec == nil {
		e.handle(dispatch.Withdrawn{Ticket: a.ticket})
		return
	}
	l, x := e.run.leaves[a.leaf], a.exec
	e.run.ev.add(e.run.ev.now+int64(e.run.p.Delay), func() { l.cancel(x) })
	e.handle(dispatch.Finished{
		Ticket: a.ticket, Leaf: a.leaf, Outcome: outcome, Latency: time.Duration(e.run.ev.now - a.sent),
	})
}

// waitedShare is the executor's: a wait of this share of the time to the objective
// shows that an answer was late for the load.
const waitedShare = 0.05

// conclude gives the answer: at the deadline, or when every part is settled.
func (e *entry) conclude(q *queryState) {
	if q.finished {
		return
	}
	q.finished, q.ended = true, e.run.ev.now
	for s := range q.parts {
		live := q.parts[s].live
		q.parts[s].live = nil
		for _, a := range live {
			q.late = true
			e.cancel(a, dispatch.OutcomeTimeout)
		}
	}
	if e.run.p.Admission {
		useful := q.inTime(e.run.p)
		if e.run.p.DeadlineOnly {
			useful = q.useful(e.run.p)
		}
		waited := !e.run.p.DeadlineOnly && float64(q.waited) > waitedShare*float64(q.due-q.arrived)
		e.admissions[q.kind].RecordAnswer(useful, !useful && (q.late || waited), e.now())
	}
	e.run.stats.answered(e.run, q)
}
