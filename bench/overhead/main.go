// Command overhead measures what the tier adds to a query: the same fan-out is
// sent straight to the leaves, through one entry, and through one entry with a
// canary before the fan-out, in turns, in one run, by separate processes on the
// loopback address.
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
		Services:  []document.Service{service(askPlain, 0), service(askCanary, 1)},
		Callers:   []document.Caller{{Name: caller, TokenSHA256: samples.TokenSHA256(caller), Share: 1, Services: []string{askPlain, askCanary}, Operator: true}},
	})
}

// The services: the same fan-out without and with a canary before it.
const (
	askPlain  = "ask"
	askCanary = "ask-canary"
)

// service is a query service whose unknown queries run a canary above so many
// shards; 0 means never.
func service(name string, canaryAbove int) document.Service {
	return document.Service{
		Name: name, Upstreams: []string{"data"}, Deadline: 2 * time.Second, Idempotent: true,
		HedgeQuantile: 0.95, RetryBudget: 0.1, CanaryAbove: canaryAbove,
	}
}

// measurer sends queries both ways and keeps their times.
type measurer struct {
	leaves *leafclient.Client
	http   *http.Client
	entry  *site.Entry
	shards []document.Shard

	mu     sync.Mutex
	direct *hdrhistogram.Histogram
	via    map[string]*hdrhistogram.Histogram // by service
	failed int
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
	m.direct, m.failed = histogram(), 0
	m.via = map[string]*hdrhistogram.Histogram{askPlain: histogram(), askCanary: histogram()}
}

// both sends n queries each way, in turns, by so many workers.
func (m *measurer) both(n, workers int) {
	var wg sync.WaitGroup
	for w := range workers {
		wg.Go(func() {
			for i := w; i < n; i += workers {
				m.timed(m.direct, m.askLeaves, i)
				for _, name := range []string{askPlain, askCanary} {
					m.timed(m.via[name], func(i int) error { return m.askEntry(name, i) }, i)
				}
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

// askEntry sends the query through the entry. No body is sent twice, so that
// none is known.
func (m *measurer) askEntry(service string, i int) error {
	body := fmt.Sprintf("q-%d-%d", i, time.Now().UnixNano())
	req, err := http.NewRequest(http.MethodPost, m.entry.URL()+"/v1/services/"+service+"/query", strings.NewReader(body))
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
	fmt.Printf("%-12s %8s %8s %8s %8s\n", "us", "p50", "p90", "p99", "p99.9")
	printRow("direct", m.direct.ValueAtQuantile)
	for _, name := range []string{askPlain, askCanary} {
		printRow(name, m.via[name].ValueAtQuantile)
		printRow("  added", func(q float64) int64 { return m.via[name].ValueAtQuantile(q) - m.direct.ValueAtQuantile(q) })
	}
	if m.failed > 0 {
		return fmt.Errorf("%d queries failed", m.failed)
	}
	return nil
}

// printRow prints the value of each quantile.
func printRow(name string, value func(q float64) int64) {
	fmt.Printf("%-12s %8d %8d %8d %8d\n", name, value(50), value(90), value(99), value(99.9))
}
