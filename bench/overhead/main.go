// Command overhead measures what the tier adds to a query: the same fan-out is
// sent straight to the leaves and through one entry, in turns, in one run, by
// separate processes on the loopback address.
//
//	go build -o bin/ ./cmd/fuchsiaroad ./cmd/fuchsiactl
//	go run ./bench/overhead --bin bin
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/fuchsiaroad/fuchsiaroad/config/samples"
	"github.com/fuchsiaroad/fuchsiaroad/entry/leafclient"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
	"github.com/fuchsiaroad/fuchsiaroad/standin/leaf"
	"github.com/fuchsiaroad/fuchsiaroad/standin/site"
)

// caller is the name of the measuring caller.
const caller = "bench"

// options are the command's flags.
type options struct {
	bin     string
	queries int
	workers int
	meanUS  int64
	shards  int
}

func main() {
	var o options
	flag.StringVar(&o.bin, "bin", "bin", "folder with the two programs")
	flag.IntVar(&o.queries, "queries", 2000, "queries each way")
	flag.IntVar(&o.workers, "workers", 1, "queries in flight at once, each way")
	flag.Int64Var(&o.meanUS, "service-us", 1000, "fixed service time of a leaf, in microseconds")
	flag.IntVar(&o.shards, "shards", 20, "shards of a query")
	flag.Parse()
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "overhead:", err)
		os.Exit(1)
	}
}

// run starts the site, measures both ways and prints a table.
func run(o options) error {
	dir, err := os.MkdirTemp("", "overhead-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	port, err := site.FreePorts(2 * o.shards)
	if err != nil {
		return err
	}
	doc := newDocument(o, port)
	s, err := site.Start(site.Options{
		Dir: dir, Document: doc, Entries: 1, Zones: []string{"zone-a"},
		Binaries: site.Binaries{Fuchsiaroad: filepath.Join(o.bin, "fuchsiaroad"), Fuchsiactl: filepath.Join(o.bin, "fuchsiactl")},
		Leaf:     leaf.Settings{Queue: 64, Service: leaf.Service{MeanUS: o.meanUS, Distribution: leaf.Fixed}},
	})
	if err != nil {
		return err
	}
	defer func() { _ = s.Close() }()
	m := newMeasurer(doc, s.Entries()[0])
	m.both(o.queries/10+1, o.workers) // warm
	m.reset()
	m.both(o.queries, o.workers)
	return m.print(o)
}

// newDocument makes one service over the shards, without hedges.
func newDocument(o options, port int) *document.Document {
	return samples.Generate(samples.Sizes{
		Site: "overhead", Zones: []string{"zone-a"}, BasePort: port,
		Upstreams: []samples.UpstreamSizes{{Name: "data", Shards: o.shards, Replicas: 2, Slots: 8, ConnectionLimit: 64, DialCost: 0}},
		Services:  []document.Service{{Name: "ask", Upstreams: []string{"data"}, Deadline: 2 * time.Second, Idempotent: true, HedgeQuantile: 0.95, RetryBudget: 0.1}},
		Callers:   []document.Caller{{Name: caller, TokenSHA256: samples.TokenSHA256(caller), Share: 1, Services: []string{"ask"}, Operator: true}},
	})
}

// measurer sends queries both ways and keeps their times.
type measurer struct {
	leaves *leafclient.Client
	http   *http.Client
	entry  *site.Entry
	shards []document.Shard

	mu          sync.Mutex
	direct, via *hdrhistogram.Histogram
	failed      int
}

func newMeasurer(doc *document.Document, e *site.Entry) *measurer {
	m := &measurer{
		leaves: leafclient.New(1 << 20), entry: e, shards: doc.Upstreams[0].Shards,
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
	}
	m.reset()
	return m
}

// histogram holds microseconds up to a minute.
func histogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 60_000_000, 3) }

func (m *measurer) reset() {
	m.direct, m.via, m.failed = histogram(), histogram(), 0
}

// both sends n queries each way, in turns, by so many workers.
func (m *measurer) both(n, workers int) {
	var wg sync.WaitGroup
	for w := range workers {
		wg.Go(func() {
			for i := w; i < n; i += workers {
				m.timed(m.direct, m.askLeaves, i)
				m.timed(m.via, m.askEntry, i)
			}
		})
	}
	wg.Wait()
}

// timed runs one query and records how long it took.
func (m *measurer) timed(h *hdrhistogram.Histogram, ask func(i int) error, i int) {
	start := time.Now()
	err := ask(i)
	took := time.Since(start)
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		m.failed++
		return
	}
	_ = h.RecordValue(took.Microseconds()) // out of range only beyond a minute
}

// askLeaves sends the fan-out straight to one replica of each shard.
func (m *measurer) askLeaves(i int) error {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	errs := make(chan error, len(m.shards))
	for _, s := range m.shards {
		l := s.Leaves[i%len(s.Leaves)]
		go func() {
			target := leafclient.Target{ID: l.ID, Address: l.Address, Connections: 32}
			_, err := m.leaves.Run(ctx, target, &leafclient.Request{ID: "q", Attempt: "a", Range: s.Range}, func() bool { return true })
			errs <- err
		}()
	}
	var first error
	for range m.shards {
		if err := <-errs; err != nil && first == nil {
			first = err
		}
	}
	return first
}

// askEntry sends the query through the entry.
func (m *measurer) askEntry(int) error {
	req, err := http.NewRequest(http.MethodPost, m.entry.URL()+"/v1/services/ask/query", strings.NewReader("q"))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+samples.Token(caller))
	resp, err := m.http.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil
}

// print writes the table.
func (m *measurer) print(o options) error {
	fmt.Printf("shards %d, workers %d, service %d us, queries %d each way, failed %d\n", o.shards, o.workers, o.meanUS, o.queries, m.failed)
	fmt.Printf("%-8s %8s %8s %8s %8s\n", "us", "p50", "p90", "p99", "p99.9")
	for _, row := range []struct {
		name string
		h    *hdrhistogram.Histogram
	}{{"direct", m.direct}, {"entry", m.via}} {
		fmt.Printf("%-8s %8d %8d %8d %8d\n", row.name, row.h.ValueAtQuantile(50), row.h.ValueAtQuantile(90), row.h.ValueAtQuantile(99), row.h.ValueAtQuantile(99.9))
	}
	fmt.Printf("%-8s %8d %8d %8d %8d\n", "added", m.added(50), m.added(90), m.added(99), m.added(99.9))
	if m.failed > 0 {
		return fmt.Errorf("%d queries failed", m.failed)
	}
	return nil
}

// added is the difference of one quantile.
func (m *measurer) added(q float64) int64 {
	return m.via.ValueAtQuantile(q) - m.direct.ValueAtQuantile(q)
}
