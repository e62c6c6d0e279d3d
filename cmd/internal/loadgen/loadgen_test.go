package loadgen

import (
	"context"
	"errors"
	"reflect"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func plan() Plan {
	return Plan{
		Profile:  Profile{Rate: 100, Peak: 1000, Decay: time.Second, Duration: 10 * time.Second},
		Services: []Service{{Name: "read", Weight: 3}, {Name: "write", Weight: 1, Key: true}},
		Callers:  5, Entries: 4, ResendShare: 0.5, ResendAfter: 30 * time.Millisecond, Seed: 7,
	}
}

func TestScheduleFollowsThePlan(t *testing.T) {
	p := plan()
	arrivals := Schedule(p)
	if !reflect.DeepEqual(arrivals, Schedule(p)) {
		t.Error("the same plan gave another schedule")
	}
	p.Seed++
	if reflect.DeepEqual(arrivals, Schedule(p)) {
		t.Error("another seed gave the same schedule")
	}
	var first, last, writes, resends, perEntry int
	firsts := map[int]Arrival{}
	for i, a := range arrivals {
		if i > 0 && a.At < arrivals[i-1].At {
			t.Fatalf("arrival %d is before the one before it", i)
		}
		if a.Resend {
			first := firsts[a.Number]
			if !p.Services[a.Service].Key || a.Service != first.Service || a.Caller != first.Caller || a.Entry == first.Entry || a.At != first.At+p.ResendAfter {
				t.Fatalf("resend %+v of %+v", a, first)
			}
			resends++
			continue
		}
		firsts[a.Number] = a
		if a.At < time.Second {
			first++
		}
		if a.At >= 9*time.Second {
			last++
		}
		if a.Service == 1 {
			writes++
		}
		if a.Entry == 0 {
			perEntry++
		}
	}
	queries := len(arrivals) - resends
	// The integral of the rate over the first second is 100 + 900 (1 - 1/e) = 669.
	for _, c := range []struct {
		what     string
		got      int
		min, max float64
	}{
		{"first second", first, 600, 740},
		{"last second", last, 70, 130},
		{"writes", writes, 0.21 * float64(queries), 0.29 * float64(queries)},
		{"resends", resends, 0.42 * float64(writes), 0.58 * float64(writes)},
		{"entry 0", perEntry, float64(queries/4 - 1), float64(queries/4 + 1)},
	} {
		if float64(c.got) < c.min || float64(c.got) > c.max {
			t.Errorf("%s: %d is not in [%.0f, %.0f]", c.what, c.got, c.min, c.max)
		}
	}
}

func TestPlanNamesTheWrongField(t *testing.T) {
	for field, change := range map[string]func(*Plan){
		"rate":         func(p *Plan) { p.Profile.Rate, p.Profile.Peak = 0, 0 },
		"decay":        func(p *Plan) { p.Profile.Decay = 0 },
		"duration":     func(p *Plan) { p.Profile.Duration = 0 },
		"services":     func(p *Plan) { p.Services = nil },
		"callers":      func(p *Plan) { p.Callers = 0 },
		"entries":      func(p *Plan) { p.Entries = 0 },
		"resend share": func(p *Plan) { p.ResendShare = 2 },
	} {
		p := plan()
		change(&p)
		var err *PlanError
		if !errors.As(p.Validate(), &err) || err.Field != field {
			t.Errorf("%s: got %v", field, err)
		}
	}
	if err := plan().Validate(); err != nil {
		t.Error(err)
	}
}

// fake answers after a time that depends on the arrival.
type fake struct {
	mu    sync.Mutex
	sent  []time.Duration
	start time.Time
	do    func(a Arrival, sending int) (time.Duration, Result)
}

func (f *fake) Send(ctx context.Context, a Arrival) Result {
	f.mu.Lock()
	f.sent = append(f.sent, time.Since(f.start))
	wait, result := f.do(a, len(f.sent))
	f.mu.Unlock()
	sleepUntil(ctx, time.Now().Add(wait))
	return result
}

// runFake runs arrivals in virtual time.
func runFake(t *testing.T, arrivals []Arrival, o Options, do func(Arrival, int) (time.Duration, Result)) (samples []Sample, sent []time.Duration) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fake{start: time.Now(), do: do}
		samples = Run(t.Context(), arrivals, f, o)
		sent = f.sent
	})
	return samples, sent
}

func every(d time.Duration, n int) []Arrival {
	out := make([]Arrival, n)
	for i := range out {
		out[i] = Arrival{At: time.Duration(i) * d, Number: i}
	}
	return out
}

func TestSlowAnswersDoNotThinOutTheLoad(t *testing.T) {
	samples, sent := runFake(t, every(time.Millisecond, 10), Options{MaxOpen: 100}, func(Arrival, int) (time.Duration, Result) {
		return time.Second, Result{Kind: Complete}
	})
	for i, at := range sent {
		if want := time.Duration(i) * time.Millisecond; at != want {
			t.Errorf("query %d was sent at %s, want %s", i, at, want)
		}
		if samples[i].Latency != time.Second || samples[i].Lag != 0 {
			t.Errorf("sample %+v", samples[i])
		}
	}
}

func TestLatencyCountsFromThePlannedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fake{start: time.Now(), do: func(Arrival, int) (time.Duration, Result) {
			return time.Millisecond, Result{Kind: Complete}
		}}
		start := time.Now()
		time.Sleep(30 * time.Millisecond) // the generator is late
		s := send(t.Context(), start, Arrival{At: 10 * time.Millisecond}, f, 0)
		if s.Latency != 21*time.Millisecond || s.Lag != 20*time.Millisecond {
			t.Errorf("got latency %s, lag %s", s.Latency, s.Lag)
		}
	})
}

func TestQueriesOverTheLimitAreCountedAsUnsent(t *testing.T) {
	samples, sent := runFake(t, every(time.Millisecond, 5), Options{MaxOpen: 2}, func(Arrival, int) (time.Duration, Result) {
		return 3500 * time.Microsecond, Result{Kind: Complete}
	})
	r := Summarize(samples, []Service{{Name: "s"}})[1]
	if len(sent) != 3 || r.Count(Unsent) != 2 || r.Count(Complete) != 3 || r.Queries != 5 {
		t.Errorf("sent %d, report %+v", len(sent), r)
	}
}

func TestCallersComeBackWhenTold(t *testing.T) {
	refuse := func(a Arrival, sending int) (time.Duration, Result) {
		r := Result{Kind: NotRun, RetryAfter: 50 * time.Millisecond, Sent: 2}
		if sending == 3 {
			r = Result{Kind: Complete, Share: 1, Covered: 3, Sent: 3}
		}
		return time.Millisecond, r
	}
	samples, sent := runFake(t, every(0, 1), Options{MaxOpen: 9, Returns: 5}, refuse)
	s := samples[0]
	if s.Returns != 2 || s.Kind != Complete || s.Sent != 7 || s.Latency != 103*time.Millisecond || s.Refusals != 2 || s.RefusalWait != time.Millisecond {
		t.Errorf("got %+v", s)
	}
	if sent[1] != 51*time.Millisecond {
		t.Errorf("came back at %s", sent[1])
	}
	samples, _ = runFake(t, every(0, 1), Options{MaxOpen: 9, Returns: 1}, refuse)
	if s := samples[0]; s.Returns != 1 || s.Kind != NotRun {
		t.Errorf("got %+v", s)
	}
}

func TestCallerWithoutKeyDoesNotRepeatWhatMayHaveRun(t *testing.T) {
	for keyed, returns := range map[bool]int{true: 2, false: 0} {
		samples, _ := runFake(t, every(0, 1), Options{MaxOpen: 9, Returns: 2}, func(Arrival, int) (time.Duration, Result) {
			return 0, Result{Kind: Unknown, RetryAfter: time.Millisecond, Keyed: keyed}
		})
		if got := samples[0].Returns; got != returns {
			t.Errorf("keyed %t: came back %d times, want %d", keyed, got, returns)
		}
	}
}

func TestCheckExecutions(t *testing.T) {
	services := []Service{{Name: "read"}, {Name: "write", Key: true}}
	ran := []int{0, 1, 2, 0, 1, 1, 1, 0}
	sample := func(number, service int, kind Kind, resend bool) Sample {
		return Sample{Arrival: Arrival{Number: number, Service: service, Resend: resend}, Result: Result{Kind: kind}}
	}
	samples := []Sample{
		sample(0, 0, NotRun, false),   // refused, and truly not run
		sample(1, 0, NotRun, false),   // refused, but ran
		sample(2, 1, Complete, false), // ran twice
		sample(2, 1, Complete, true),
		sample(3, 1, Complete, false), // answered, and never ran
		sample(4, 1, NotRun, false),   // ran for its resend only
		sample(4, 1, Complete, true),
		sample(5, 1, Unknown, false),
		sample(6, 1, Complete, false), // ran, and its resend was refused
		sample(6, 1, NotRun, true),
		sample(7, 1, Unknown, false), // not answered, and not run
	}
	got := CheckExecutions(samples, services, func(a Arrival) int { return ran[a.Number] })
	want := Executions{Keys: 6, Resends: 3, MaxPerKey: 2, Refused: 2, RefusedButRan: 1, AnsweredNotRan: 1}
	if got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
	got.Merge(Executions{Keys: 1, MaxPerKey: 1, Refused: 1})
	if got.Keys != 7 || got.MaxPerKey != 2 || got.Refused != 3 {
		t.Errorf("merged %+v", got)
	}
}

func TestStopWaitsForOpenQueries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 25*time.Millisecond)
		defer cancel()
		f := &fake{start: time.Now(), do: func(Arrival, int) (time.Duration, Result) {
			return time.Millisecond, Result{Kind: Complete}
		}}
		samples := Run(ctx, every(10*time.Millisecond, 10), f, Options{MaxOpen: 9})
		if len(samples) != 3 || samples[2].Kind != Complete {
			t.Errorf("got %+v", samples)
		}
	})
}

func TestProgressTellsWhatEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var seen []int
		f := &fake{start: time.Now(), do: func(Arrival, int) (time.Duration, Result) {
			return time.Millisecond, Result{Kind: Complete}
		}}
		Run(t.Context(), every(400*time.Millisecond, 6), f, Options{MaxOpen: 9, Progress: func(due, ended int) {
			seen = append(seen, due, ended)
		}})
		if want := []int{6, 3}; !reflect.DeepEqual(seen[:2], want) {
			t.Errorf("progress %v, want it to begin with %v", seen, want)
		}
	})
}

func TestReport(t *testing.T) {
	var samples []Sample
	for i := 1; i <= 1000; i++ {
		samples = append(samples, Sample{
			Result:  Result{Kind: Complete, Share: 1, Covered: 10, Sent: 11, Hedges: 1},
			Latency: time.Duration(i) * time.Millisecond,
		})
	}
	samples = append(samples,
		Sample{Arrival: Arrival{Service: 1}, Result: Result{Kind: NotRun, RetryAfter: time.Second}, Latency: time.Hour, Refusals: 3, RefusalWait: 5 * time.Millisecond},
		Sample{Arrival: Arrival{Service: 1}, Result: Result{Kind: Partial, Share: 0.5, Faults: []string{FaultMixed}}, Latency: time.Millisecond},
		Sample{Arrival: Arrival{Service: 1}, Result: Result{Kind: Broken}, Latency: time.Hour},
		Sample{Arrival: Arrival{Service: 1, Resend: true}, Result: Result{Kind: Complete, Faults: []string{FaultMixed, FaultTwice}}, Latency: time.Hour},
	)
	reports := Summarize(samples, []Service{{Name: "a"}, {Name: "b"}})
	if len(reports) != 4 || reports[2].Service != Resends || reports[3].Service != Total || reports[3].Queries != 1003 {
		t.Fatalf("got %+v", reports)
	}
	if all := Faults(reports); !reflect.DeepEqual(all, []FaultCount{{FaultMixed, 2}, {FaultTwice, 1}}) {
		t.Errorf("faults %+v", all)
	}
	a, b := reports[0], reports[1]
	near := func(what string, got int64, ms int64) {
		t.Helper()
		if want := ms * 1000; got < want || got > want+want/500 {
			t.Errorf("%s: %d us, want %d us or up to 0.2%% above", what, got, want)
		}
	}
	near("p50", a.Answered.P50, 500)
	near("p90", a.Answered.P90, 900)
	near("p99", a.Answered.P99, 990)
	near("p99.9", a.Answered.P999, 999)
	near("max", a.Answered.Max, 1000)
	near("refused", b.Refused.P99, 5)
	if a.ExtraLoad != 0.1 || a.CompleteShare != 1 || a.Hedges != 1000 {
		t.Errorf("got %+v", a)
	}
	if b.Answered.Count != 1 || b.Refused.Count != 1 || b.Coverage != 0.5 || b.RetryAfter != 1 || b.Count(Broken) != 1 {
		t.Errorf("got %+v", b)
	}
	if len(b.Faults) != 1 || b.Faults[0] != (FaultCount{FaultMixed, 1}) {
		t.Errorf("faults %+v", b.Faults)
	}
}
