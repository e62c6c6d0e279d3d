package executor

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/entry/leafclient"
	"github.com/fuchsiaroad/fuchsiaroad/entry/telemetry"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/dispatch"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/keyrange"
)

// instantLeaves is a leaf client that answers every attempt at once.
type instantLeaves struct{}

func (instantLeaves) Run(_ context.Context, _ leafclient.Target, r *leafclient.Request, sent func() bool) (*leafclient.Reply, error) {
	sent()
	return &leafclient.Reply{Version: 1, Ranges: []keyrange.Range{r.Range}, LeafStatus: leafclient.LeafStatus{Versions: []uint64{1}}}, nil
}

// BenchmarkExecute measures the executor's own time for a query over leaves that
// answer at once, with and without decision log lines.
func BenchmarkExecute(b *testing.B) {
	for _, decisions := range []bool{false, true} {
		for _, shards := range []int{1, 20, 100, 600} {
			b.Run(fmt.Sprintf("decisions=%v/shards=%d", decisions, shards), func(b *testing.B) {
				log, err := telemetry.NewLog(io.Discard, telemetry.Options{Level: "info", LogDecisions: decisions})
				if err != nil {
					b.Fatal(err)
				}
				defer log.Close()
				metrics := telemetry.NewMetrics()
				defer func() { _ = metrics.Close() }()
				fixture := &testExecutor{log: log, metrics: metrics}
				fixture.executor = New(Config{
					LeafClient: instantLeaves{}, LeafObserver: noObserver{}, Log: log, Metrics: metrics, Ledger: noLedger{},
					Policies: Policies{Dispatch: dispatch.DefaultPolicies(), Repetition: "budgeted"},
				})
				fixture.setView(1, shards)
				b.ReportAllocs()
				for b.Loop() {
					now := time.Now()
					_, err := fixture.executor.Execute(b.Context(), &Request{
						View: fixture.view, Service: fixture.view.Services["ask"], Caller: &fixture.view.Document.Callers[0],
						Body: []byte("body"), Start: now, Deadline: now.Add(time.Second),
					})
					if err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(shards), "ns/subrequest")
			})
		}
	}
}
