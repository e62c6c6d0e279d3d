package executor

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/api/callerapi"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/quarantine"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/query"
)

// Response is an answered request: something ran or may have run.
type Response struct {
	Answer callerapi.Answer
}

// refusedLabel is the metrics' outcome of a refusal.
const refusedLabel = "not_run"

// Execute runs a request to its answer. The error, if any, is a *RefusedError:
// the request provably ran nowhere.
func (e *Executor) Execute(ctx context.Context, req *Request) (*Response, error) {
	var resp *Response
	err := e.counted(req, func() (ending, error) {
		var err error
		if resp, err = e.execute(ctx, req); err != nil {
			return ending{}, err
		}
		return ending{resp.Answer.Outcome, resp.Answer.Reason}, nil
	})
	if err != nil {
		return nil, err
	}
	return resp, nil
}

// Forward runs a request that is handed on to leaves as it came, and returns
// the kernel's answer with what the leaves' protocol carried. It claims no key:
// a request without one has one attempt unless its service is idempotent. The
// error, if any, is a *RefusedError.
func (e *Executor) Forward(ctx context.Context, req *Request) (*query.Answer, error) {
	var answer *query.Answer
	err := e.counted(req, func() (ending, error) {
		var err error
		if _, answer, err = e.fanOut(ctx, req); err != nil {
			return ending{}, err
		}
		return ending{string(answer.Outcome), answer.Reason}, nil
	})
	if err != nil {
		return nil, err
	}
	return answer, nil
}

// ending is how a query ended, for the metrics.
type ending struct{ outcome, reason string }

// endingOf is that of a query that was refused.
func endingOf(err error) ending {
	var refused *RefusedError
	if errors.As(err, &refused) {
		return ending{refusedLabel, string(refused.Reason)}
	}
	return ending{refusedLabel, "internal"}
}

// counted runs a query within the bound of those in progress and meters it.
func (e *Executor) counted(req *Request, run func() (ending, error)) error {
	e.inFlight.Add(1)
	defer e.inFlight.Done()
	running := e.running.Add(1)
	defer e.running.Add(-1)
	meter := e.service(req.Service).metrics
	var end ending
	var err error
	if e.config.MaxQueries > 0 && running > int64(e.config.MaxQueries) {
		err = refuse(RefusedOverloaded, jitter(leastRetryAfter), "too many queries are in progress at this instance")
	} else {
		end, err = run()
	}
	if err != nil {
		end = endingOf(err)
	}
	meter.ObserveQuery(end.outcome, end.reason, time.Since(req.Start))
	return err
}

// jitter spreads callers that come back: between one and two times d.
func jitter(d time.Duration) time.Duration { return d + rand.N(d) }

// execute claims the key of a non-idempotent request before anything else.
func (e *Executor) execute(ctx context.Context, req *Request) (*Response, error) {
	if req.Service.Config.Idempotent {
		return e.answered(ctx, req)
	}
	return e.atMostOnce(ctx, req)
}

// answered runs the query and writes its answer in the callers' terms.
func (e *Executor) answered(ctx context.Context, req *Request) (*Response, error) {
	r, answer, err := e.fanOut(ctx, req)
	if err != nil {
		return nil, err
	}
	return &Response{Answer: r.convert(answer)}, nil
}

// fanOut runs the query, unless its fingerprint is in quarantine.
func (e *Executor) fanOut(ctx context.Context, req *Request) (*run, *query.Answer, error) {
	fingerprint := e.quarantine.fingerprint(req)
	decision := e.quarantine.admit(fingerprint, req, req.Start)
	if decision.Mode == quarantine.ModeRefuse {
		return nil, nil, refuse(RefusedQuarantined, decision.RetryAfter, "earlier runs of this request broke the leaves that ran them")
	}
	r := e.newRun(ctx, req, fingerprint, decision.Mode)
	answer, err := r.finish()
	return r, answer, err
}

// newRun makes the query's machine and its place in the order of work.
func (e *Executor) newRun(ctx context.Context, req *Request, fingerprint string, mode quarantine.Mode) *run {
	r := &run{
		executor: e, request: req, id: newToken(), secret: newToken(), stamp: e.nextStamp(req.Start),
		fingerprint: fingerprint, mail: newMailbox(), ctx: ctx,
		attempts: make(map[query.AttemptID]*attempt), gathering: make(map[query.AttemptID]*gathering),
		view: req.View, pools: make(map[int]*pool),
		versions: &versions{state: e.leafState, view: req.View},
	}
	r.suspect.Store(mode == quarantine.ModeSuspect)
	before := e.margins.before(req.Service.Config.Objective, req.way())
	r.due = due(req, before)
	r.service = e.service(req.Service)
	r.repetition = r.service.repetition.Load()
	r.groups = e.plan(req, mode)
	r.machine = query.New(query.Config{
		Groups: parts(r.groups), OnlyShards: req.Only,
		View: req.View, Service: req.Service, Start: req.Start, Deadline: req.Deadline,
		Versions:     r.versions,
		Budget:       r.repetition,
		ShardBudget:  r,
		SettleMargin: before,
		HedgeAfter:   r.repetition.hedgeAfter(r),
		Canary:       mode == quarantine.ModeCanary,
		Suspect:      mode == quarantine.ModeSuspect,
		Seed:         seed(fingerprint),
	})
	return r
}

// due is when an answer must be settled to have its full value; zero: there is no
// objective, and it has until the deadline.
func due(req *Request, before time.Duration) time.Time {
	if req.Service.Config.Objective <= 0 {
		return time.Time{}
	}
	return req.Start.Add(req.Service.Config.Objective - before)
}

// finish drives the query to its answer; one that says "not run" is an error.
func (r *run) finish() (*query.Answer, error) {
	work, cancel := context.WithDeadline(r.ctx, r.request.Deadline)
	defer cancel() // ends the exchanges that the answer no longer needs
	r.work = work
	if refused := r.executor.admit(r); refused != nil {
		return nil, refused
	}
	r.repetition.deposit(r.request.Service.Shards)
	r.executor.register(r)
	answer := r.drive()
	r.executor.unregister(r)
	r.account(answer)
	r.tellAdmission(answer)
	if answer.Outcome == query.NotRun {
		return nil, refusal(answer)
	}
	return answer, nil
}

// account counts what the query cost.
func (r *run) account(a *query.Answer) {
	m := r.service.metrics
	m.SubrequestsSent.Inc(int64(a.Sent))
	m.ShardsCovered.Inc(int64(len(a.Results)))
	m.Hedges.Inc(int64(a.Hedges))
	m.Retries.Inc(int64(a.Retries))
	m.RepliesIgnored.Inc(int64(a.Ignored))
	m.VersionMoves.Inc(int64(a.VersionMoves))
	r.logAnswer(a)
}

// convert writes the machine's answer in the callers' terms.
func (r *run) convert(a *query.Answer) callerapi.Answer {
	out := callerapi.Answer{
		Request: r.id, Outcome: string(a.Outcome), Version: a.Version, Share: a.Share, Reason: a.Reason,
		Covered: make([]callerapi.Part, 0, len(a.Covered)),
		Missing: make([]callerapi.Missing, 0, len(a.Missing)),
		Results: make([]callerapi.Result, 0, len(a.Results)),
		Work:    callerapi.Work{Sent: a.Sent, Hedges: a.Hedges, Retries: a.Retries},
	}
	for _, p := range a.Covered {
		out.Covered = append(out.Covered, r.part(p))
	}
	for _, m := range a.Missing {
		out.Missing = append(out.Missing, callerapi.Missing{Part: r.part(m.Part), Reason: missing(m)})
	}
	for _, res := range a.Results {
		out.Results = append(out.Results, callerapi.Result{Part: r.part(res.Part), More: res.MoreRanges, Body: res.Body})
	}
	return out
}

// part names a part by its upstream.
func (r *run) part(p query.Part) callerapi.Part {
	return callerapi.Part{Upstream: r.request.View.Upstreams[p.Upstream].Name, Range: p.Range}
}
