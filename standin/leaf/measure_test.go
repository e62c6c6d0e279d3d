package leaf

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/api/leafapi"
)

// BenchmarkLeaf shows what one leaf adds to the service time, over loopback
// from the same process, and how many requests it takes.
func BenchmarkLeaf(b *testing.B) {
	b.Run("0ms", func(b *testing.B) { benchmarkLeaf(b, 0) })
	b.Run("5ms", func(b *testing.B) { benchmarkLeaf(b, 5000) })
}

func benchmarkLeaf(b *testing.B, meanUS int64) {
	s := base()
	s.Slots, s.Queue, s.Service.MeanUS = 64, 1000, meanUS
	server, err := New(s)
	if err != nil {
		b.Fatal(err)
	}
	inner := listen(b)
	ctx, cancel := context.WithCancel(b.Context())
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(ctx, inner) }()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			req, _ := http.NewRequest(http.MethodPost, "http://"+inner.Addr().String()+leafapi.PathRun, strings.NewReader("question"))
			req.Header.Set(leafapi.HeaderAttempt, "a")
			req.Header.Set(leafapi.HeaderRange, "0-100")
			resp, err := client.Do(req)
			if err != nil {
				b.Error(err)
				return
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
	})
	b.StopTimer()
	stats := server.Stats()
	b.ReportMetric(float64(stats.Completed)/b.Elapsed().Seconds(), "requests/s")
	held := time.Duration(stats.BusyUS/max(1, int64(stats.Completed))) * time.Microsecond
	b.ReportMetric(float64(held.Microseconds()-meanUS), "us-over-mean")
	client.CloseIdleConnections()
	cancel()
	if err := <-ended; err != nil {
		b.Error(err)
	}
}
