package executor

import (
	"strings"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/entry/telemetry"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/query"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/view"
)

// mostMissing bounds the parts that a line names.
const mostMissing = 12

// name is the caller's own name of the request, "" if it gave none.
func (r *Request) name() string {
	if r.Passed == nil {
		return ""
	}
	return r.Passed.ID
}

// shardName names an attempt's shard for the log: by its own name where it has
// one, else by upstream and range.
func (a *attempt) shardName() string { return partName(a.view, a.offer.Part) }

// partName names a part for the log.
func partName(v *view.View, p query.Part) string {
	up := &v.Upstreams[p.Upstream]
	for i := range up.Shards {
		if s := &up.Shards[i]; s.Name != "" && s.Range == p.Range {
			return s.Name
		}
	}
	return up.Name + " " + p.Range.String()
}

// slowReply is an attempt that brought a reply.
type slowReply struct {
	attempt *attempt
	took    time.Duration
}

// sawReply notes how long an attempt took that brought a reply.
func (r *run) sawReply(a *attempt, took time.Duration) {
	if !r.executor.config.Log.DecisionsEnabled() {
		return
	}
	for {
		slowest := r.slowest.Load()
		if slowest != nil && took <= slowest.took || r.slowest.CompareAndSwap(slowest, &slowReply{a, took}) {
			return
		}
	}
}

// logAnswer writes the line that ends a query's story: what came of it, what it
// cost, what is missing and why, and how old the beliefs were that it acted on.
func (r *run) logAnswer(a *query.Answer) {
	log := r.executor.config.Log
	if !log.DecisionsEnabled() {
		return
	}
	took := time.Since(r.request.Start)
	config := r.request.Service.Config
	class := telemetry.Failure
	if a.Outcome == query.Complete && (config.Objective == 0 || took <= config.Objective) {
		class = telemetry.Outcome
	}
	more := []any{
		"service", config.Name, "share", a.Share, "sent", a.Sent, "hedges", a.Hedges, "retries", a.Retries, "groups", a.Groups,
		"left", time.Until(r.request.Deadline), "objective", config.Objective, "way", r.request.way(), "config", r.request.View.Generation,
	}
	if r.executor.config.Ages != nil {
		configAge, leavesAge := r.executor.config.Ages()
		more = append(more, "config_age", configAge, "leaves_age", leavesAge)
	}
	if r.request.Only != nil {
		more = append(more, "group", true) // of a query that another instance answers
	}
	if queued := time.Duration(r.waited.Load()); queued > 0 {
		more = append(more, "queued", queued)
	}
	if s := r.slowest.Load(); s != nil {
		more = append(more, "slowest", s.took, "slowest_shard", s.attempt.shardName(), "slowest_leaf", s.attempt.leafID)
	}
	if a.Reason != "" {
		more = append(more, "reason", a.Reason)
	}
	if len(a.Missing) > 0 {
		more = append(more, "missing", r.missingParts(a))
	}
	log.LogDecision(telemetry.Decision{
		Component: partQuery, Event: "answer", Query: r.stamp, Request: r.request.name(), Reason: string(a.Outcome),
		Duration: took, Extra: more, Class: class,
	})
}

// missingParts lists parts with the reason of each, as "name:reason; name:reason".
func (r *run) missingParts(a *query.Answer) string {
	var b strings.Builder
	for i, m := range a.Missing {
		if i == mostMissing {
			b.WriteString("; ...")
			break
		}
		if i > 0 {
			b.WriteString("; ")
		}
		b.WriteString(partName(r.request.View, m.Part) + ":" + missing(m))
	}
	return b.String()
}
