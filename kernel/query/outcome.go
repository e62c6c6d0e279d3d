package query

import (
	"slices"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/keyrange"
)

// Without a queue's hint a caller is asked to come back after backoffBase and
// up to backoffSpread more, by the request's seed.
const (
	backoffBase   = 250 * time.Millisecond
	backoffSpread = 500 * time.Millisecond
)

// derive is the one place that decides an outcome. A request is "not run" only
// if every attempt of it is proved not run: it was never sent, or the leaf
// declined it.
func derive(attempts []attempt, share float64, idempotent bool) Outcome {
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

// NewRefusedAnswer is the answer to a request for which no machine was ever started.
func NewRefusedAnswer(reason DeclineReason, retryAfter time.Duration) Answer {
	return Answer{
		Outcome:    derive(nil, 0, false),
		Reason:     string(reason),
		RetryAfter: retryAfter,
	}
}

// finish withdraws what is live and gives the answer. The cause is the reason
// of the parts that are still open.
func (m *Machine) finish(cause string) {
	m.withdrawAll()
	m.finished = true
	m.act(Finish{Answer: m.answer(cause)})
}

// answer is drawn from the one version with the most coverage.
func (m *Machine) answer(cause string) Answer {
	version := m.version
	if t := m.tallies[m.best]; t != nil && !t.covered.Empty() {
		version = m.best
	}
	a := Answer{
		Version:      version,
		Reason:       cause,
		Sent:         m.count.sent,
		Hedges:       m.count.hedges,
		Retries:      m.count.retries,
		Ignored:      m.count.ignored,
		Groups:       m.count.groups,
		VersionMoves: m.moves,
		Failure:      m.failure,
	}
	if cause == MissingSettled {
		a.SettledAt = m.settle
	}
	if m.spaces != nil {
		m.fill(&a, m.tally(version), cause)
	}
	a.Outcome = derive(m.attempts, a.Share, m.idempotent())
	if a.Outcome != Complete {
		a.RetryAfter = m.backoff(a.Outcome)
	}
	return a
}

// fill writes coverage and results of one version into the answer.
func (m *Machine) fill(a *Answer, t *tally, cause string) {
	a.Share = t.covered.Share()
	for i := range m.spaces {
		upstream := m.spaces[i].first
		for _, r := range t.covered.Ranges(i) {
			a.Covered = append(a.Covered, Part{Upstream: upstream, Range: r})
		}
		a.Missing = append(a.Missing, m.missing(i, t, cause)...)
	}
	for _, r := range t.results {
		a.Results = append(a.Results, Result{
			Part:       Part{Upstream: m.spaces[r.space].first, Range: r.ranges[0]},
			MoreRanges: r.ranges[1:],
			Leaf:       r.leaf,
			Body:       r.body,
			Attachment: r.carried,
		})
	}
}

// missing lists what a version does not cover of a space, with the reasons.
func (m *Machine) missing(space int, t *tally, cause string) []Missing {
	gaps := t.covered.Missing(space, t.grids[space].Universe())
	if len(gaps) == 0 {
		return nil
	}
	l := missingList{upstream: m.spaces[space].first}
	if t != m.current() {
		for _, g := range gaps {
			l.add(g, MissingVersionMoved)
		}
		return l.out
	}
	asked := m.unsettled(space)
	for _, g := range gaps {
		for len(asked) > 0 && m.parts[asked[0]].need.From < g.To {
			p := &m.parts[asked[0]]
			if x := p.need.Intersect(g); !x.Empty() {
				l.add(keyrange.Range{From: g.From, To: x.From}, MissingNoShard)
				l.add(x, p.why(cause))
				g.From = x.To
			}
			if p.need.To > g.To {
				break
			}
			asked = asked[1:]
		}
		l.add(g, MissingNoShard)
	}
	return l.out
}

// unsettled lists the parts of a space that are not covered, in key order.
func (m *Machine) unsettled(space int) []int {
	var out []int
	for i := range m.parts {
		p := &m.parts[i]
		if p.space == space && p.state != partCovered && p.state != partReplaced {
			out = append(out, i)
		}
	}
	slices.SortFunc(out, func(a, b int) int { return compareFrom(m.parts[a].need, m.parts[b].need) })
	return out
}

// why is the reason for which a part is missing.
func (p *part) why(cause string) string {
	if p.state == partGivenUp {
		return p.reason
	}
	return cause
}

// missingList joins touching ranges of one reason.
type missingList struct {
	upstream int
	out      []Missing
}

// add appends a range with its reason.
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

// backoff says when the caller may come back. A non-idempotent request that
// may have run gets no such hint.
func (m *Machine) backoff(outcome Outcome) time.Duration {
	if outcome == Unknown {
		return 0
	}
	if m.retryAfter > 0 {
		return m.retryAfter
	}
	mix := m.cfg.Seed ^ uint64(m.cfg.Start.UnixNano())
	return backoffBase + time.Duration(mix%uint64(backoffSpread))
}
