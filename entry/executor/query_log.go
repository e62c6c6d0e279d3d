package executor

import (
	"strings"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/entry/telemetry"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/query"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/view"
)

// maxLoggedMissing is the maximum of missing parts that a log line names.
const maxLoggedMissing = 12

// callerRequestID returns the caller's own ID of the request, "" if it gave none.
func (r *Request) callerRequestID() string {
	if r.Forwarded == nil {
		return ""
	}
	return r.Forwarded.ID
}

// shardName returns the name of an attempt's shard for the log; see partName.
func (a *attempt) shardName() string { return partName(a.view, a.offer.Part) }

// partName names a part for the log: by its shard's name if that has one, else by
// upstream and range.
func partName(v *view.View, p query.Part) string {
	up := &v.Upstreams[p.Upstream]
	for i := range up.Shards {
		if s := &up.Shards[i]; s.Name != "" && s.Range == p.Range {
			return s.Name
		}
	}
	return up.Name + " " + p.Range.String()
}

// slowReply is an attempt that got a reply, and how long it took.
type slowReply struct {
	attempt *attempt
	took    time.Duration
}

// recordReplyTime keeps an attempt that got a reply if it is the slowest so far.
func (r *run) recordReplyTime(a *attempt, took time.Duration) {
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

// logAnswer logs the last line of a query: its outcome, its cost, what is missing and why,
// and the ages of the configuration and the list of leaves that it used.
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
		"left", time.Until(r.request.Deadline), "objective", config.Objective, "way", r.request.networkDelay(), "config", r.request.View.Generation,
	}
	if r.executor.config.StateInfo != nil {
		info := r.executor.config.StateInfo()
		more = append(more, "config_age", info.ConfigAge, "leaves_age", info.LeavesAge)
	}
	if r.request.OnlyShards != nil {
		more = append(more, "group", true) // a part of a query that another instance answers
	}
	if queued := time.Duration(r.longestWait.Load()); queued > 0 {
		more = append(more, "queued", queued)
	}
	if s := r.slowest.Load(); s != nil {
		more = append(more, "slowest", s.took, "slowest_shard", s.attempt.shardName(), "slowest_leaf", s.attempt.leafID)
	}
	if a.Reason != "" {
		more = append(more, "reason", a.Reason)
	}
	if len(a.Missing) > 0 {
		more = append(more, "missing", r.describeMissing(a))
	}
	log.LogDecision(telemetry.Decision{
		Component: prefixQuery, Event: "answer", Query: r.stamp, Request: r.request.callerRequestID(), Reason: string(a.Outcome),
		Duration: took, Extra: more, Class: class,
	})
}

// describeMissing lists the missing parts with the reason of each, as "name:reason; name:reason".
func (r *run) describeMissing(a *query.Answer) string {
	var b strings.Builder
	for i, m := range a.Missing {
		if i == maxLoggedMissing {
			b.WriteString("; ...")
			break
		}
		if i > 0 {
			b.WriteString("; ")
		}
		b.WriteString(partName(r.request.View, m.Part) + ":" + missingReason(m))
	}
	return b.String()
}
