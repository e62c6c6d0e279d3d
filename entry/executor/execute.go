package executor

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/api/callerapi"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/quarantine"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/query"
	kernelrepetition "github.com/fuchsiaroad/fuchsiaroad/kernel/repetition"
)

// Response is the answer to a request that ran or may have run.
type Response struct {
	Answer callerapi.Answer
}

// refusedOutcome is the outcome of a refusal in the metrics.
const refusedOutcome = "not_run"

// Execute runs a request and returns its answer. The error, if any, is a
// *RefusedError: the request provably ran nowhere.
func (e *Executor) Execute(ctx context.Context, req *Request) (*Response, error) {
	var resp *Response
	err := e.runMeasured(req, func() (outcomeLabels, error) {
		var err error
		if resp, err = e.execute(ctx, req); err != nil {
			return outcomeLabels{}, err
		}
		return outcomeLabels{resp.Answer.Outcome, resp.Answer.Reason}, nil
	})
	if err != nil {
		return nil, err
	}
	return resp, nil
}

// Forward runs a request that is sent to leaves unchanged, and returns the
// kernel's answer with the leaf protocol's attachments. It claims no key:
// a request without one has one attempt unless its service is idempotent. The
// error, if any, is a *RefusedError.
func (e *Executor) Forward(ctx context.Context, req *Request) (*query.Answer, error) {
	var answer *query.Answer
	err := e.runMeasured(req, func() (outcomeLabels, error) {
		var err error
		if _, answer, err = e.fanOut(ctx, req); err != nil {
			return outcomeLabels{}, err
		}
		return outcomeLabels{string(answer.Outcome), answer.Reason}, nil
	})
	if err != nil {
		return nil, err
	}
	return answer, nil
}

// outcomeLabels are the metrics' labels of how a query ended.
type outcomeLabels struct{ outcome, reason string }

// refusalLabels returns the labels of a query that was refused.
func refusalLabels(err error) outcomeLabels {
	var refused *RefusedError
	if errors.As(err, &refused) {
		return outcomeLabels{refusedOutcome, string(refused.Reason)}
	}
	return outcomeLabels{refusedOutcome, "internal"}
}

// runMeasured runs a query unless MaxQueries are in progress already, and records its
// outcome and duration in the metrics.
func (e *Executor) runMeasured(req *Request, run func() (outcomeLabels, error)) error {
	running := e.inFlight.begin()
	defer e.inFlight.end()
	meter := e.service(req.Service).metrics
	var end outcomeLabels
	var err error
	if e.config.MaxQueries > 0 && running > int64(e.config.MaxQueries) {
		err = refuse(RefusedOverloaded, jitter(minRetryAfter), "too many queries are in progress at this instance")
	} else {
		end, err = run()
	}
	if err != nil {
		end = refusalLabels(err)
	}
	meter.ObserveQuery(end.outcome, end.reason, time.Since(req.Start))
	return err
}

// jitter returns a random time between d and 2d, to spread the callers' retries.
func jitter(d time.Duration) time.Duration { return d + rand.N(d) }

// execute claims the key of a non-idempotent request before anything else.
func (e *Executor) execute(ctx context.Context, req *Request) (*Response, error) {
	if req.Service.Config.Idempotent {
		return e.fanOutAndConvert(ctx, req)
	}
	return e.executeAtMostOnce(ctx, req)
}

// fanOutAndConvert runs the query and converts its answer to the callers' API.
func (e *Executor) fanOutAndConvert(ctx context.Context, req *Request) (*Response, error) {
	r, answer, err := e.fanOut(ctx, req)
	if err != nil {
		return nil, err
	}
	return &Response{Answer: r.callerAnswer(answer)}, nil
}

// fanOut runs the query, unless its fingerprint is in quarantine.
func (e *Executor) fanOut(ctx context.Context, req *Request) (*run, *query.Answer, error) {
	fingerprint := e.quarantine.fingerprint(req)
	decision := e.quarantine.admit(fingerprint, req, req.Start)
	switch decision.Mode {
	case quarantine.ModeRefuse:
		e.reportSuspect(req, fingerprint, "refuse", decision.RetryAfter)
		return nil, nil, refuse(RefusedQuarantined, decision.RetryAfter, "earlier runs of this request broke the leaves that ran them")
	case quarantine.ModeSuspect:
		e.reportSuspect(req, fingerprint, "run alone", 0)
	}
	r := e.newRun(ctx, req, fingerprint, decision.Mode)
	answer, err := r.runToAnswer()
	return r, answer, err
}

// newRun returns the run of a query, with its machine and its place in the order of work.
func (e *Executor) newRun(ctx context.Context, req *Request, fingerprint string, mode quarantine.Mode) *run {
	r := &run{
		executor: e, request: req, id: newToken(), tokenSecret: newToken(), stamp: e.nextStamp(req.Start),
		fingerprint: fingerprint, mail: newMailbox(), ctx: ctx,
		attempts: make(map[query.AttemptID]*attempt), deliveries: make(map[string]*kernelrepetition.Delivery), offeredGroups: make(map[query.AttemptID]*offeredGroup),
		view: req.View, pools: make(map[int]*pool),
		versions: &versionSource{state: e.leafState, view: req.View},
	}
	r.suspected.Store(mode == quarantine.ModeSuspect)
	settleMargin := e.ownDelay.settleMargin(req.Service.Config.Objective, req.networkDelay())
	r.fullValueUntil = fullValueUntil(req, settleMargin)
	r.service = e.service(req.Service)
	r.repetition = r.service.repetition.Load()
	r.groups = e.planGroups(req, mode)
	r.machine = query.New(query.Config{
		Groups: queryGroups(r.groups), OnlyShards: req.OnlyShards,
		View: req.View, Service: req.Service, Start: req.Start, Deadline: req.Deadline,
		Versions:     r.versions,
		Budget:       r.repetition,
		ShardBudget:  r,
		SettleMargin: settleMargin,
		HedgeAfter:   r.repetition.hedgeDelay(r),
		Canary:       mode == quarantine.ModeCanary,
		Suspect:      mode == quarantine.ModeSuspect,
		Seed:         canarySeed(fingerprint),
	})
	return r
}

// fullValueUntil returns when an answer must be settled to have its full value; zero means
// that there is no objective, only the deadline. See ownDelay.settleMargin.
func fullValueUntil(req *Request, settleMargin time.Duration) time.Time {
	if req.Service.Config.Objective <= 0 {
		return time.Time{}
	}
	return req.Start.Add(req.Service.Config.Objective - settleMargin)
}

// runToAnswer runs the query and returns its answer; an answer "not run" is returned as
// an error.
func (r *run) runToAnswer() (*query.Answer, error) {
	work, cancel := context.WithDeadline(r.ctx, r.request.Deadline)
	defer cancel() // ends the exchanges that the answer no longer needs
	r.work = work
	if refused := r.executor.admit(r); refused != nil {
		return nil, refused
	}
	r.repetition.deposit(r.request.Service.Shards)
	r.executor.register(r)
	answer := r.driveMachine()
	r.executor.unregister(r)
	r.recordWork(answer)
	r.reportToAdmission(answer)
	if answer.Outcome == query.NotRun {
		return nil, refusalFromAnswer(answer)
	}
	return answer, nil
}

// recordWork adds what the query cost to the metrics and logs its answer.
func (r *run) recordWork(a *query.Answer) {
	m := r.service.metrics
	m.SubrequestsSent.Inc(int64(a.Sent))
	m.ShardsCovered.Inc(int64(len(a.Results)))
	m.Hedges.Inc(int64(a.Hedges))
	m.Retries.Inc(int64(a.Retries))
	m.RepliesIgnored.Inc(int64(a.Ignored))
	m.VersionMoves.Inc(int64(a.VersionMoves))
	r.logAnswer(a)
}

// callerAnswer converts the machine's answer to the callers' API.
func (r *run) callerAnswer(a *query.Answer) callerapi.Answer {
	out := callerapi.Answer{
		Request: r.id, Outcome: string(a.Outcome), Version: a.Version, Share: a.Share, Reason: a.Reason,
		Covered: make([]callerapi.Part, 0, len(a.Covered)),
		Missing: make([]callerapi.MissingPart, 0, len(a.Missing)),
		Results: make([]callerapi.Result, 0, len(a.Results)),
		Work:    callerapi.Work{Sent: a.Sent, Hedges: a.Hedges, Retries: a.Retries},
	}
	for _, p := range a.Covered {
		out.Covered = append(out.Covered, r.callerPart(p))
	}
	for _, m := range a.Missing {
		out.Missing = append(out.Missing, callerapi.MissingPart{Part: r.callerPart(m.Part), Reason: missingReason(m)})
	}
	for _, res := range a.Results {
		out.Results = append(out.Results, callerapi.Result{Part: r.callerPart(res.Part), MoreRanges: res.MoreRanges, Body: res.Body})
	}
	return out
}

// callerPart converts a part to the callers' API, which names its upstream.
func (r *run) callerPart(p query.Part) callerapi.Part {
	return callerapi.Part{Upstream: r.request.View.Upstreams[p.Upstream].Name, Range: p.Range}
}
