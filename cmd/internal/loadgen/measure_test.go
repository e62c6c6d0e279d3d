package loadgen

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"
)

// stall answers in 1 ms, but for queries that arrive in a stall: they are
// answered at its end.
type stall struct {
	start    time.Time
	from, to time.Duration
}

func (s stall) wait() time.Duration {
	if at := time.Since(s.start); at >= s.from && at < s.to {
		return s.to - at
	}
	return time.Millisecond
}

// A server that stands still for one second of ten is bad for one query in ten.
// A client that sends its next query only after an answer asks it once in that
// second, and so reports that all is well.
func TestOpenLoopShowsAStallThatAClosedLoopHides(t *testing.T) {
	const length = 10 * time.Second
	synctest.Test(t, func(t *testing.T) {
		server := stall{start: time.Now(), from: 2 * time.Second, to: 3 * time.Second}
		f := &fake{start: server.start, do: func(Arrival, int) (time.Duration, Result) {
			return server.wait(), Result{Kind: Complete}
		}}
		open := Summarize(Run(t.Context(), every(10*time.Millisecond, 1000), f, Options{MaxOpen: 1000}), nil)[0]

		server.start = time.Now()
		closed := newHistogram()
		for time.Since(server.start) < length {
			began := time.Now()
			time.Sleep(server.wait())
			record(closed, time.Since(began))
			time.Sleep(9 * time.Millisecond)
		}
		t.Logf("p99 of the open loop %d us, of the closed loop %d us", open.Answered.P99, closed.ValueAtQuantile(99))
		if open.Answered.P99 < 890_000 || closed.ValueAtQuantile(99) > 2000 {
			t.Errorf("open loop p99 %d us, closed loop p99 %d us", open.Answered.P99, closed.ValueAtQuantile(99))
		}
	})
}

// BenchmarkRun shows how late the generator is at a rate, against a server in
// the same process that answers at once.
func BenchmarkRun(b *testing.B) {
	answer := `{"outcome":"complete","share":1,"work":{"sent":1},"results":[{}]}`
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, answer)
	}))
	defer server.Close()
	for _, rate := range []float64{1000, 5000, 10_000} {
		b.Run(time.Duration(float64(time.Second)/rate).String(), func(b *testing.B) {
			p := Plan{
				Profile:  Profile{Rate: rate, Duration: 2 * time.Second},
				Services: []Service{{Name: "s", Weight: 1}}, Callers: 1, Entries: 1, Seed: 1,
			}
			transport := NewTransport()
			defer transport.CloseIdleConnections()
			sender := NewEntrySender(SenderConfig{
				Plan: p, Entries: []string{server.URL}, Patience: time.Minute, Transport: transport,
			})
			var r Report
			for b.Loop() {
				r = Summarize(Run(b.Context(), Schedule(p), sender, Options{MaxOpen: 10_000}), p.Services)[1]
			}
			b.ReportMetric(float64(r.Count(Complete))/2, "answers/s")
			b.ReportMetric(float64(r.LagP99), "lag-p99-us")
			b.ReportMetric(float64(r.Answered.P99), "latency-p99-us")
		})
	}
}
