package query_test

import (
	"math"
	"slices"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/keyrange"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/query"
)

// universe returns the key range of an upstream that the query should cover: for a
// non-idempotent request only that of the first shard.
func (w *world) universe(upstream int) keyrange.Range {
	if w.idempotent {
		return keyrange.Range{To: keySpace}
	}
	return w.startView.Upstreams[upstream].Shards[0].Range
}

// upstreams lists the upstreams that the query should cover: for a non-idempotent
// request only the first.
func (w *world) upstreams() []int {
	all := w.startView.Services[serviceName].Upstreams
	if w.idempotent {
		return all
	}
	return all[:1]
}

// checkAnswer compares the answer with the reference model.
func (w *world) checkAnswer() {
	w.t.Helper()
	a := w.answer
	for i, at := range w.attempts {
		if at.live() {
			w.t.Fatalf("attempt %d is live after the answer", i+1)
		}
	}
	share := 0.0
	for _, u := range w.upstreams() {
		share += w.checkUpstream(u) / float64(len(w.upstreams()))
	}
	if math.Abs(share-a.Share) > 1e-9 {
		w.t.Fatalf("the answer states share %v, its results cover %v", a.Share, share)
	}
	if got := w.expectedOutcome(share); got != a.Outcome {
		w.t.Fatalf("outcome %s, want %s; reason %s", a.Outcome, got, a.Reason)
	}
	if a.Outcome == query.NotRun && a.RetryAfter <= 0 {
		w.t.Fatalf("outcome not run without RetryAfter")
	}
	w.checkCounts()
}

// checkUpstream checks the results, the covered and the missing ranges of an upstream
// key by key, and returns the upstream's share.
func (w *world) checkUpstream(u int) float64 {
	w.t.Helper()
	var got, covered, missing [keySpace]bool
	for _, r := range w.answer.Results {
		if r.Part.Upstream != u {
			continue
		}
		w.checkResult(r)
		for _, x := range append([]keyrange.Range{r.Part.Range}, r.MoreRanges...) {
			markKeys(w.t, &got, x, "results")
		}
	}
	for _, p := range w.answer.Covered {
		if p.Upstream == u {
			markKeys(w.t, &covered, p.Range, "covered")
		}
	}
	for _, m := range w.answer.Missing {
		if m.Part.Upstream == u {
			markKeys(w.t, &missing, m.Part.Range, "missing")
			if m.Reason == "" {
				w.t.Fatalf("%v is missing without a reason", m.Part)
			}
		}
	}
	all, n := w.universe(u), 0
	for k := range uint64(keySpace) {
		in := k >= all.From && k < all.To
		if got[k] != covered[k] || missing[k] != (in && !covered[k]) {
			w.t.Fatalf("key %d: result %v, covered %v, missing %v", k, got[k], covered[k], missing[k])
		}
		if covered[k] {
			n++
		}
	}
	return float64(n) / float64(all.Size())
}

// markKeys sets the bits of a range's keys and fails if one is set already.
func markKeys(t failer, bits *[keySpace]bool, r keyrange.Range, what string) {
	t.Helper()
	for k := r.From; k < r.To; k++ {
		if bits[k] {
			t.Fatalf("key %d is twice in %s", k, what)
		}
		bits[k] = true
	}
}

// checkResult checks that a result is an acceptable reply, with the version of the
// answer and the ranges of the reply.
func (w *world) checkResult(r query.Result) {
	w.t.Helper()
	reply, ok := w.acceptable[string(r.Body)]
	if key, group := r.Attachment.(string); group {
		reply, ok = w.acceptable[key]
	}
	if !ok {
		w.t.Fatalf("result %s %v is not of an acceptable reply", r.Body, r.Attachment)
	}
	if reply.Version != w.answer.Version {
		w.t.Fatalf("a result of version %d is in an answer of version %d", reply.Version, w.answer.Version)
	}
	want := keyrange.NewSet(reply.Ranges...)
	if !slices.Equal(want.Ranges(), append([]keyrange.Range{r.Part.Range}, r.MoreRanges...)) {
		w.t.Fatalf("result of %v %v, the reply had %v", r.Part.Range, r.MoreRanges, reply.Ranges)
	}
}

// expectedOutcome derives the outcome from the reference model.
func (w *world) expectedOutcome(share float64) query.Outcome {
	notRun := true
	for _, a := range w.attempts {
		notRun = notRun && a.provedNotRun
	}
	switch {
	case share == 1:
		return query.Complete
	case share > 0:
		return query.Partial
	case notRun:
		return query.NotRun
	case !w.idempotent:
		return query.Unknown
	default:
		return query.Failed
	}
}

// checkCounts compares the counters of the answer with the reference model.
func (w *world) checkCounts() {
	w.t.Helper()
	sent, hedges, retries := 0, 0, 0
	for _, a := range w.attempts {
		sent += a.reported.Sent
		hedges += a.reported.Hedges
		retries += a.reported.Retries
		if !a.sent || a.group != nil {
			continue
		}
		sent++
		if a.offer.Hedge {
			hedges++
		}
		if a.offer.Retry {
			retries++
		}
	}
	a := w.answer
	if a.Sent != sent || a.Hedges != hedges || a.Retries != retries {
		w.t.Fatalf("counts %d %d %d, want %d %d %d", a.Sent, a.Hedges, a.Retries, sent, hedges, retries)
	}
}

// deadlineAt returns the deadline of the query.
func (w *world) deadlineAt() time.Time { return epoch.Add(deadline) }
