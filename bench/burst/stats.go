package burst

import (
	"math"
	"slices"
	"time"
)

// CallerResult is one caller's part of a result.
type CallerResult struct {
	Name    string  `json:"name"`
	Offered int     `json:"offered"`
	InTime  float64 `json:"in_time"`
	P99MS   float64 `json:"p99_ms"`
}

// Result is what one run measured, inside its window.
type Result struct {
	Name string `json:"name"`
	// Oracle says that Work, PartWork, Busy, Extra, Starts and Hedges are not measured.
	Oracle   bool    `json:"oracle,omitempty"`
	Shards   int     `json:"shards"`
	Load     float64 `json:"load"`
	Offered  int     `json:"offered"`  // queries
	Refused  float64 `json:"refused"`  // share answered "not run" at once
	Complete float64 `json:"complete"` // share of offered that was complete in time
	Useful   float64 `json:"useful"`   // share of offered with the least coverage in time
	Coverage float64 `json:"coverage"` // mean coverage of the queries taken in
	// Work is the slot time of the parts of useful answers, over capacity.
	Work float64 `json:"work"`
	// PartWork is the slot time of all covered parts, over capacity.
	PartWork float64 `json:"part_work"`
	// Rate is the number of parts of useful answers times mean work, over
	// capacity. It exceeds 1 when short work is favoured.
	Rate float64 `json:"rate"`
	// Busy is the share of slot time in use.
	Busy float64 `json:"busy"`
	// P50MS, P99MS and P999MS are of the queries taken in; one that was not
	// complete counts as the deadline.
	P50MS  float64 `json:"p50_ms"`
	P99MS  float64 `json:"p99_ms"`
	P999MS float64 `json:"p999_ms"`
	// Extra is sub-requests that reached a leaf beyond one for each covered
	// part, as a share; Starts is those sent for each part taken in.
	Extra  float64 `json:"extra"`
	Starts float64 `json:"starts"`
	Hedges float64 `json:"hedges"`
	// Asks is how often a caller asked on average, and Served the share of
	// callers with a useful answer in the end; they differ from 1 and Useful
	// when refused callers come back.
	Asks    float64        `json:"asks"`
	Served  float64        `json:"served"`
	Callers []CallerResult `json:"callers,omitempty"`
	Kinds   []KindResult   `json:"kinds,omitempty"`
}

// KindResult is one kind's part of a result; the shares are of those offered.
type KindResult struct {
	Name    string  `json:"name"`
	Offered int     `json:"offered"`
	InTime  float64 `json:"in_time"` // useful while the answer had its full value
	Late    float64 `json:"late"`    // useful after that
	Refused float64 `json:"refused"`
	// Goodput is the answers in time a second.
	Goodput float64 `json:"goodput"`
}

// kindStats counts one kind's queries.
type kindStats struct{ offered, inTime, late, refused int }

// callerStats counts one caller's queries.
type callerStats struct {
	offered, useful int
	latencies       []float64
}

// stats counts queries that arrive in the measured window.
type stats struct {
	firstN, offeredN, refusedN, completeN, usefulN, takenN int
	parts, goodParts, sentN, hedgesN                       int
	partWork, goodWork                                     int64 // nanoseconds of slot time
	latencies                                              []float64
	callers                                                []callerStats
	kinds                                                  []kindStats
}

func (r *run) counts(q *queryState) bool { return q.arrived >= int64(r.p.Warm) }

func (s *stats) offered(r *run, q *queryState) {
	if s.callers == nil {
		s.callers = make([]callerStats, len(r.p.Callers))
		s.kinds = make([]kindStats, len(r.p.kinds()))
	}
	if r.counts(q) {
		s.offeredN++
		s.kinds[q.kind].offered++
		if q.first {
			s.firstN++
		}
		s.callers[q.caller].offered++
	}
}

func (s *stats) refused(r *run, q *queryState) {
	if r.counts(q) {
		s.refusedN++
		s.kinds[q.kind].refused++
	}
}

func (s *stats) sent(r *run, a *attempt) {
	if !r.counts(a.query) {
		return
	}
	s.sentN++
	if a.hedge {
		s.hedgesN++
	}
}

func (s *stats) answered(r *run, q *queryState) {
	if !r.counts(q) {
		return
	}
	s.takenN++
	s.parts += q.covered
	s.partWork += q.work
	latency := float64(r.p.Deadline) / float64(time.Millisecond)
	if q.covered == len(q.parts) {
		s.completeN++
		latency = float64(r.ev.now-q.arrived) / float64(time.Millisecond)
	}
	s.latencies = append(s.latencies, latency)
	c := &s.callers[q.caller]
	c.latencies = append(c.latencies, latency)
	if q.useful(r.p) {
		s.usefulN++
		s.goodParts += q.covered
		s.goodWork += q.work
		c.useful++
		if q.inTime(r.p) {
			s.kinds[q.kind].inTime++
		} else {
			s.kinds[q.kind].late++
		}
	}
}

// result computes the shares.
func (r *run) result() Result {
	s, p := &r.stats, r.p
	window := (p.Duration - p.Warm).Seconds()
	capacity := float64(p.Shards*p.Replicas*p.Slots) * window
	var busy int64
	for _, l := range r.leaves {
		busy += l.busy
	}
	res := Result{
		Name: p.Name, Shards: p.Shards, Load: p.Load, Offered: s.offeredN,
		Refused: ratio(s.refusedN, s.offeredN), Complete: ratio(s.completeN, s.offeredN),
		Useful: ratio(s.usefulN, s.offeredN), Coverage: ratio(s.parts, s.takenN*p.Shards),
		Work:     round(time.Duration(s.goodWork).Seconds() / capacity),
		PartWork: round(time.Duration(s.partWork).Seconds() / capacity),
		Rate:     round(float64(s.goodParts) * p.meanWork().Seconds() / capacity),
		Busy:     round(time.Duration(busy).Seconds() / capacity),
		P50MS:    quantile(s.latencies, 0.5), P99MS: quantile(s.latencies, 0.99), P999MS: quantile(s.latencies, 0.999),
		Extra: ratio(s.sentN-s.parts, s.parts), Starts: ratio(s.sentN, s.takenN*p.Shards), Hedges: ratio(s.hedgesN, s.takenN*p.Shards),
		Asks: ratio(s.offeredN, s.firstN), Served: ratio(s.usefulN, s.firstN),
	}
	for i, c := range p.Callers {
		cs := s.callers[i]
		res.Callers = append(res.Callers, CallerResult{
			Name: c.Name, Offered: cs.offered, InTime: ratio(cs.useful, cs.offered), P99MS: quantile(cs.latencies, 0.99),
		})
	}
	for i, k := range p.kinds() {
		ks := s.kinds[i]
		res.Kinds = append(res.Kinds, KindResult{
			Name: k.Name, Offered: ks.offered, InTime: ratio(ks.inTime, ks.offered), Late: ratio(ks.late, ks.offered),
			Refused: ratio(ks.refused, ks.offered), Goodput: round(float64(ks.inTime) / window),
		})
	}
	return res
}

func ratio(a, b int) float64 {
	if b == 0 {
		return 0
	}
	return round(float64(a) / float64(b))
}

// round keeps four decimals.
func round(x float64) float64 { return math.Round(x*1e4) / 1e4 }

// quantile sorts xs and returns its nearest-rank quantile.
func quantile(xs []float64, q float64) float64 {
	if len(xs) == 0 {
		return 0
	}
	slices.Sort(xs)
	i := int(math.Ceil(q*float64(len(xs)))) - 1
	return round(xs[max(0, i)])
}
