package loadgen

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The histogram's range, in microseconds, and its precision.
const (
	lowestUS    = 1
	highestUS   = 10 * 60 * 1_000_000
	significant = 3
)

// Latency is a distribution of latencies, in microseconds.
type Latency struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50_us"`
	P90   int64 `json:"p90_us"`
	P99   int64 `json:"p99_us"`
	P999  int64 `json:"p99_9_us"`
	Max   int64 `json:"max_us"`
}

// KindCount is how many queries ended in one way.
type KindCount struct {
	Kind  Kind `json:"kind"`
	Count int  `json:"count"`
}

// FaultCount is how often an answer broke a promise in one way.
type FaultCount struct {
	Fault string `json:"fault"`
	Count int    `json:"count"`
}

// Report sums the samples of one service, or of all.
type Report struct {
	Service string `json:"service"`
	// Queries were due; Kinds adds up to it.
	Queries int         `json:"queries"`
	Kinds   []KindCount `json:"kinds"`
	// Answered is the latency of queries that got data, from the planned time.
	Answered Latency `json:"answered"`
	// Refused is, for queries that met a refusal, the longest that one took to
	// come. The time until the caller comes back is not in it.
	Refused Latency `json:"refused"`
	// Coverage is the mean share over queries that got data; CompleteShare the
	// share of all queries that got a complete answer.
	Coverage      float64 `json:"coverage"`
	CompleteShare float64 `json:"complete_share"`
	// RetryAfter counts refusals that say when to come back; Returns how often
	// callers did.
	RetryAfter int `json:"with_retry_after"`
	Returns    int `json:"returns"`
	Replayed   int `json:"replayed"`
	// Sent counts sub-requests that reached a leaf, Covered the shards' replies
	// in answers. ExtraLoad is (Sent - Covered) / Covered.
	Sent      int     `json:"sent"`
	Covered   int     `json:"covered"`
	Hedges    int     `json:"hedges"`
	Retries   int     `json:"retries"`
	ExtraLoad float64 `json:"extra_load"`
	// Faults are broken promises; empty if there were none.
	Faults []FaultCount `json:"faults"`
	// LagP99 is how late the generator itself was, in microseconds.
	LagP99 int64 `json:"generator_lag_p99_us"`
}

// Names of the reports that are of no one service.
const (
	Total   = "total"
	Resends = "resends"
)

// Summarize makes a report of each service, in the order of the plan, one of
// the resends if there are any, and one of all services, which is the last. A
// resend is in its own report only: how long it takes says how soon after its
// query it was sent.
func Summarize(samples []Sample, services []Service) []Report {
	reports := make([]Report, 0, len(services)+2)
	for i, service := range services {
		own := func(s Sample) bool { return !s.Resend && s.Service == i }
		reports = append(reports, summarize(service.Name, samples, own))
	}
	again := summarize(Resends, samples, func(s Sample) bool { return s.Resend })
	if again.Queries > 0 {
		reports = append(reports, again)
	}
	first := func(s Sample) bool { return !s.Resend }
	return append(reports, summarize(Total, samples, first))
}

// Faults adds up the broken promises of all reports but the total.
func Faults(reports []Report) []FaultCount {
	sum := map[string]int{}
	for _, r := range reports {
		if r.Service == Total {
			continue
		}
		for _, f := range r.Faults {
			sum[f.Fault] += f.Count
		}
	}
	return faultCounts(sum)
}

// faultCounts lists counts, most frequent first.
func faultCounts(counts map[string]int) []FaultCount {
	out := []FaultCount{}
	for f, n := range counts {
		out = append(out, FaultCount{Fault: f, Count: n})
	}
	slices.SortFunc(out, func(x, y FaultCount) int {
		return cmp.Or(cmp.Compare(y.Count, x.Count), cmp.Compare(x.Fault, y.Fault))
	})
	return out
}

// adder collects what a report needs.
type adder struct {
	Report
	answered, refused, lag *hdrhistogram.Histogram
	kinds                  map[Kind]int
	faults                 map[string]int
	shares                 float64
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestUS, highestUS, significant)
}

// summarize reports on the samples that belong to it.
func summarize(name string, samples []Sample, belongs func(Sample) bool) Report {
	a := &adder{
		Report:   Report{Service: name},
		answered: newHistogram(), refused: newHistogram(), lag: newHistogram(),
		kinds: map[Kind]int{}, faults: map[string]int{},
	}
	for _, s := range samples {
		if belongs(s) {
			a.add(s)
		}
	}
	return a.report()
}

// add counts one sample.
func (a *adder) add(s Sample) {
	a.Queries++
	a.kinds[s.Kind]++
	a.Sent += s.Sent
	a.Covered += s.Covered
	a.Hedges += s.Hedges
	a.Retries += s.Retries
	a.Returns += s.Returns
	for _, f := range s.Faults {
		a.faults[f]++
	}
	if s.Replayed {
		a.Replayed++
	}
	if s.RetryAfter > 0 {
		a.RetryAfter++
	}
	if s.Kind != Unsent {
		record(a.lag, s.Lag)
	}
	if s.Kind.Useful() {
		record(a.answered, s.Latency)
		a.shares += s.Share
	}
	if s.Refusals > 0 {
		record(a.refused, s.RefusalWait)
	}
}

// record counts a latency within the histogram's range.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), lowestUS), highestUS))
}

// report works out shares and quantiles.
func (a *adder) report() Report {
	r := a.Report
	r.Kinds = []KindCount{}
	for _, k := range Kinds() {
		r.Kinds = append(r.Kinds, KindCount{Kind: k, Count: a.kinds[k]})
	}
	r.Faults = faultCounts(a.faults)
	r.Answered = latency(a.answered)
	r.Refused = latency(a.refused)
	r.LagP99 = a.lag.ValueAtQuantile(99)
	if r.Answered.Count > 0 {
		r.Coverage = a.shares / float64(r.Answered.Count)
	}
	if r.Queries > 0 {
		r.CompleteShare = float64(a.kinds[Complete]) / float64(r.Queries)
	}
	if r.Covered > 0 {
		r.ExtraLoad = float64(r.Sent-r.Covered) / float64(r.Covered)
	}
	return r
}

// Count returns the queries that ended in one way.
func (r Report) Count(kind Kind) int {
	for _, k := range r.Kinds {
		if k.Kind == kind {
			return k.Count
		}
	}
	return 0
}

// latency reads the quantiles of a histogram.
func latency(h *hdrhistogram.Histogram) Latency {
	return Latency{
		Count: h.TotalCount(),
		P50:   h.ValueAtQuantile(50),
		P90:   h.ValueAtQuantile(90),
		P99:   h.ValueAtQuantile(99),
		P999:  h.ValueAtQuantile(99.9),
		Max:   h.Max(),
	}
}
