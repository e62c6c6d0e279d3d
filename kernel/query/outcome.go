package query

import (
	"slices"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/keyrange"
)

// Without a hint of the queue a caller is asked to retry after backoffBase plus a
// pseudo-random part of backoffSpread, derived from the request's seed and start time.
const (
	backoffBase   = 250 * time.Millisecond
	backoffSpread = 500 * time.Millisecond
)

// deriveOutcome is the only function that decides an outcome. A request is "not run"
// only if each of its attempts was never sent or was declined by the leaf.
func deriveOutcome(attempts []attempt, share float64, idempotent bool) Outcome {
	if share >= 1 {
		return Complete
	}
	if share > 0 {
		return Partial
	}
	for i := range attempts {
		if attempts[i].state.provedNotRun() {
			continue
		}
		if !idempotent {
			return Unknown
		}
		return Failed
	}
	return NotRun
}

// NewRefusedAnswer returns the answer to a request for which no machine was started.
func NewRefusedAnswer(reason DeclineReason, retryAfter time.Duration) Answer {
	return Answer{
		Outcome:    deriveOutcome(nil, 0, false),
		Reason:     string(reason),
		RetryAfter: retryAfter,
	}
}

// finish withdraws all live attempts and gives the answer. cause is the reason of the
// answer, and of the missing parts that were not given up.
func (m *Machine) finish(cause string) {
	m.withdrawAll()
	m.finished = true
	m.emit(Finish{Answer: m.buildAnswer(cause)})
}

// buildAnswer builds the answer from the replies of the one version with the most
// coverage.
func (m *Machine) buildAnswer(cause string) Answer {
	version := m.version
	if res := m.resultsByVersion[m.bestVersion]; res != nil && !res.covered.Empty() {
		version = m.bestVersion
	}
	a := Answer{
		Version:      version,
		Reason:       cause,
		Sent:         m.count.sent,
		Hedges:       m.count.hedges,
		Retries:      m.count.retries,
		Ignored:      m.count.ignored,
		Groups:       m.count.groups,
		VersionMoves: m.versionMoves,
		Failure:      m.leafFailure,
	}
	if cause == MissingSettled {
		a.SettledAt = m.settleAt
	}
	if m.spaces != nil {
		m.fillAnswer(&a, m.resultsAt(version), cause)
	}
	a.Outcome = deriveOutcome(m.attempts, a.Share, m.idempotent())
	if a.Outcome != Complete {
		a.RetryAfter = m.retryDelay(a.Outcome)
	}
	return a
}

// fillAnswer sets the coverage and the results of the answer from one version.
func (m *Machine) fillAnswer(a *Answer, res *versionResults, cause string) {
	a.Share = res.covered.Share()
	for i := range m.spaces {
		upstream := m.spaces[i].startUpstream
		for _, r := range res.covered.Ranges(i) {
			a.Covered = append(a.Covered, Part{Upstream: upstream, Range: r})
		}
		a.Missing = append(a.Missing, m.missingRanges(i, res, cause)...)
	}
	for _, r := range res.replies {
		a.Results = append(a.Results, Result{
			Part:       Part{Upstream: m.spaces[r.space].startUpstream, Range: r.ranges[0]},
			MoreRanges: r.ranges[1:],
			Leaf:       r.leaf,
			Body:       r.body,
			Attachment: r.attachment,
		})
	}
}

// missingRanges lists the ranges of a space that a version does not cover, with the
// reasons.
func (m *Machine) missingRanges(space int, res *versionResults, cause string) []Missing {
	gaps := res.covered.Missing(space, res.grids[space].Universe())
	if len(gaps) == 0 {
		return nil
	}
	l := missingList{upstream: m.spaces[space].startUpstream}
	if res != m.currentResults() {
		for _, g := range gaps {
			l.add(g, MissingVersionMoved)
		}
		return l.out
	}
	uncovered := m.uncoveredParts(space)
	for _, g := range gaps {
		for len(uncovered) > 0 && m.parts[uncovered[0]].keys.From < g.To {
			p := &m.parts[uncovered[0]]
			if x := p.keys.Intersect(g); !x.Empty() {
				l.add(keyrange.Range{From: g.From, To: x.From}, MissingNoShard)
				l.add(x, p.missingReason(cause))
				g.From = x.To
			}
			if p.keys.To > g.To {
				break
			}
			uncovered = uncovered[1:]
		}
		l.add(g, MissingNoShard)
	}
	return l.out
}

// uncoveredParts lists the parts of a space that are neither covered nor replaced, by
// first key.
func (m *Machine) uncoveredParts(space int) []int {
	var out []int
	for i := range m.parts {
		p := &m.parts[i]
		if p.space == space && p.state != partCovered && p.state != partReplaced {
			out = append(out, i)
		}
	}
	slices.SortFunc(out, func(a, b int) int { return compareStart(m.parts[a].keys, m.parts[b].keys) })
	return out
}

// missingReason returns the reason for which a part is missing.
func (p *part) missingReason(cause string) string {
	if p.state == partGivenUp {
		return p.reason
	}
	return cause
}

// missingList is a list of missing ranges of one upstream. It joins adjacent ranges
// with the same reason.
type missingList struct {
	upstream int
	out      []Missing
}

// add appends a range with its reason; an empty range is left out.
func (l *missingList) add(r keyrange.Range, reason string) {
	if r.Empty() {
		return
	}
	if n := len(l.out); n > 0 && l.out[n-1].Reason == reason && l.out[n-1].Part.Range.To == r.From {
		l.out[n-1].Part.Range.To = r.To
		return
	}
	l.out = append(l.out, Missing{Part: Part{Upstream: l.upstream, Range: r}, Reason: reason})
}

// retryDelay returns the time after which the caller may retry. It is 0 for a
// non-idempotent request that may have run, which must not be retried.
func (m *Machine) retryDelay(outcome Outcome) time.Duration {
	if outcome == Unknown {
		return 0
	}
	if m.retryAfter > 0 {
		return m.retryAfter
	}
	jitter := m.cfg.Seed ^ uint64(m.cfg.Start.UnixNano())
	return backoffBase + time.Duration(jitter%uint64(backoffSpread))
}
