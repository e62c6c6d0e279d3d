package loadgen

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// Kind is how a query ended for its caller.
type Kind string

// The kinds of ends. The first five are outcomes that an entry states.
const (
	Complete Kind = "complete"
	Partial  Kind = "partial"
	NotRun   Kind = "not_run" // refused: it ran nowhere
	Unknown  Kind = "unknown"
	Failed   Kind = "failed"
	// Unreached had no connection; Broken had one and no whole answer.
	Unreached Kind = "unreached"
	Broken    Kind = "broken"
	// Unsent was due while too many queries were open: the generator's own limit.
	Unsent Kind = "unsent"
)

// Kinds lists all kinds, in the order of reports.
func Kinds() []Kind {
	return []Kind{Complete, Partial, NotRun, Unknown, Failed, Unreached, Broken, Unsent}
}

// Useful reports whether the caller got data.
func (k Kind) Useful() bool { return k == Complete || k == Partial }

// Result is what became of one sending.
type Result struct {
	Kind Kind
	// Share is the covered share of the answer, in [0, 1].
	Share float64
	// Covered counts the shards' replies in the answer; Sent the sub-requests
	// that reached a leaf, of them Hedges and Retries.
	Covered, Sent, Hedges, Retries int
	// RetryAfter is when the entry asked to come back; 0 if it did not.
	RetryAfter time.Duration
	Replayed   bool
	// Keyed says that the query had an Idempotency-Key.
	Keyed bool
	// Faults are violations of what an answer promises, such as two versions.
	Faults []string
}

// Sender sends one query and waits for its end.
type Sender interface {
	Send(ctx context.Context, a Arrival) Result
}

// Sample is one query's end.
type Sample struct {
	Arrival
	Result
	// Latency is from the planned time to the end, over all returns.
	Latency time.Duration
	// Lag is how late the generator itself sent it.
	Lag time.Duration
	// Returns counts how often the caller came back when asked to.
	Returns int
	// Refusals counts sendings that were not run, and RefusalWait is the longest
	// that one of them took to say so.
	Refusals    int
	RefusalWait time.Duration
}

// Options are the limits of a run.
type Options struct {
	// MaxOpen is the most queries open at once; ones due above it are Unsent.
	MaxOpen int
	// Returns is how often a caller comes back when it is given a time.
	Returns int
	// Progress, if not nil, is called each second with the queries due and ended.
	Progress func(due, ended int)
}

// Run sends the arrivals at their planned times and returns a sample of each,
// in the order of arrivals. When the context ends it stops sending, waits for
// the open queries and returns the samples so far.
func Run(ctx context.Context, arrivals []Arrival, sender Sender, o Options) []Sample {
	samples := make([]Sample, len(arrivals))
	start := time.Now()
	var open, ended atomic.Int64
	var group sync.WaitGroup
	stopProgress := progress(len(arrivals), &ended, o.Progress)
	defer stopProgress()
	due := 0
	for i, a := range arrivals {
		if !sleepUntil(ctx, start.Add(a.At)) {
			break
		}
		due++
		if open.Add(1) > int64(o.MaxOpen) {
			open.Add(-1)
			ended.Add(1)
			samples[i] = Sample{Arrival: a, Result: Result{Kind: Unsent}}
			continue
		}
		group.Go(func() {
			samples[i] = send(ctx, start, a, sender, o.Returns)
			open.Add(-1)
			ended.Add(1)
		})
	}
	group.Wait()
	return samples[:due]
}

// comesBack reports whether a caller asks again after a result. It does when it
// is given a time, and nothing ran; or when it can't know, and its key makes
// sure that asking again runs nothing twice.
func comesBack(r Result) bool {
	return r.RetryAfter > 0 && (r.Kind == NotRun || (r.Kind == Unknown && r.Keyed))
}

// send sends one query, and again if it is given a time come back.
func send(ctx context.Context, start time.Time, a Arrival, sender Sender, returns int) Sample {
	planned := start.Add(a.At)
	s := Sample{Arrival: a, Lag: time.Since(planned)}
	for {
		sent := time.Now()
		result := sender.Send(ctx, a)
		if result.Kind == NotRun {
			s.Refusals++
			s.RefusalWait = max(s.RefusalWait, time.Since(sent))
		}
		result.Sent += s.Sent
		result.Hedges += s.Hedges
		result.Retries += s.Retries
		result.Faults = append(s.Faults, result.Faults...)
		s.Result = result
		if !comesBack(result) || s.Returns >= returns {
			break
		}
		if !sleepUntil(ctx, time.Now().Add(result.RetryAfter)) {
			break
		}
		s.Returns++
	}
	s.Latency = time.Since(planned)
	return s
}

// sleepUntil reports whether the time came before the context ended.
func sleepUntil(ctx context.Context, at time.Time) bool {
	wait := time.Until(at)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// progress calls report each second until the returned function is called.
func progress(due int, ended *atomic.Int64, report func(due, ended int)) func() {
	if report == nil {
		return func() {}
	}
	stop := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		ticker := time.NewTicker(time.Second)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
				report(due, int(ended.Load()))
			}
		}
	})
	return func() {
		close(stop)
		group.Wait()
	}
}
