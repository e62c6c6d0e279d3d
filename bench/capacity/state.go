package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/config/codec"
	"github.com/fuchsiaroad/fuchsiaroad/config/samples"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/dispatch"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/plugin"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/snapshot"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/view"
	_ "github.com/fuchsiaroad/fuchsiaroad/plugins" // registers the policies
	"github.com/fuchsiaroad/fuchsiaroad/plugins/direct"
)

// Sizes to measure at. A document of more than about 7,000 leaves is refused
// by its reader, so that reading stops short of the other costs.
var (
	leafSizes     = []int{10, 100, 1000, 10_000}
	readSizes     = []int{10, 100, 1000, 5000}
	entrySizes    = []int{8, 64, 256, 1024}
	instanceSizes = []int{100, 1000, 10_000, 100_000}
	serviceSizes  = []int{10, 100, 1000}
)

// benchTime is how long one timing runs at least.
const benchTime = "200ms"

// entriesOfToday is the number of entries of a user.
const entriesOfToday = 8

// measureState measures what an entry keeps and what a change costs it.
func measureState() ([]Series, error) {
	if err := flag.Set("test.benchtime", benchTime); err != nil {
		return nil, fmt.Errorf("set the time of a measurement: %w", err)
	}
	var out []Series
	out = append(out, documentSeries()...)
	out = append(out, viewSeries()...)
	out = append(out, entrySeries()...)
	out = append(out, listSeries()...)
	return out, nil
}

// series measures one cost at each size.
func series(name, unit, per string, sizes []int, measure func(n int) float64) Series {
	s := Series{Name: name, Unit: unit, Per: per}
	for _, n := range sizes {
		s.Points = append(s.Points, Point{float64(n), measure(n)})
	}
	s.Line = fit(s.Points)
	return s
}

// timed is a measurement of the microseconds that a step takes.
func timed(prepare func(n int) func()) func(n int) float64 {
	return func(n int) float64 {
		step := prepare(n)
		r := testing.Benchmark(func(b *testing.B) {
			for range b.N {
				step()
			}
		})
		return float64(r.T.Nanoseconds()) / float64(r.N) / 1000
	}
}

// kept is a measurement of the heap bytes that a value keeps. The median of
// several values evens out what else the runtime keeps.
func kept[T any](build func(n int) T) func(n int) float64 {
	return func(n int) float64 {
		copies := max(1, 10_000/n)
		values := make([]T, copies)
		before := inUse()
		for i := range values {
			values[i] = build(n)
		}
		after := inUse()
		runtime.KeepAlive(values)
		return float64(after-before) / float64(copies)
	}
}

// inUse is the heap bytes in use after a collection.
func inUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// newDocument has one upstream of so many leaves, two a shard, and so many services.
func newDocument(leaves, services int) *document.Document {
	s := samples.Sizes{
		Site: "capacity", Zones: []string{"zone-a", "zone-b", "zone-c"}, BasePort: 10_000,
		Upstreams: []samples.UpstreamSizes{{Name: "data", Shards: leaves / 2, Replicas: 2, Slots: 2, ConnectionLimit: 25, DialCost: 6 * time.Millisecond}},
		Callers:   []document.Caller{{Name: "caller", TokenSHA256: samples.TokenSHA256("caller"), Share: 1, Services: []string{"ask-0"}, Operator: true}},
	}
	for i := range services {
		s.Services = append(s.Services, document.Service{
			Name: fmt.Sprintf("ask-%d", i), Upstreams: []string{"data"}, Deadline: 200 * time.Millisecond, LeastCoverage: 0.9,
			Settle: 20 * time.Millisecond, Idempotent: true, HedgeBudget: 0.05, HedgeQuantile: 0.95, RetryBudget: 0.1,
		})
	}
	doc := samples.Generate(s)
	renumber(doc)
	return doc
}

// renumber gives the leaves addresses that stay valid at any number of them.
func renumber(doc *document.Document) {
	i := 0
	for _, u := range doc.Upstreams {
		for _, s := range u.Shards {
			for l := range s.Leaves {
				s.Leaves[l].Address = fmt.Sprintf("10.%d.%d.%d:9000", i>>16, i>>8&0xff, i&0xff)
				i++
			}
		}
	}
}

// ofLeaves is a document with one service.
func ofLeaves(n int) *document.Document { return newDocument(n, 1) }

// ofServices is a document with ten leaves.
func ofServices(n int) *document.Document { return newDocument(10, n) }

// documentSeries measures the document: its text, and what a change of it costs.
func documentSeries() []Series {
	size := func(make func(int) *document.Document) func(int) float64 {
		return func(n int) float64 { return float64(len(codec.Format(make(n)))) }
	}
	read := func(make func(int) *document.Document) func(int) float64 {
		return timed(func(n int) func() {
			text := codec.Format(make(n))
			return func() { mustParse(text) }
		})
	}
	hash := timed(func(n int) func() {
		doc := ofLeaves(n)
		return func() { codec.Hash(doc) }
	})
	diff := timed(func(n int) func() {
		a, b := ofLeaves(n), ofLeaves(n)
		b.Services[0].Deadline += time.Millisecond
		return func() { codec.Diff(a, b) }
	})
	return []Series{
		series("document, text", "B", "leaves", leafSizes, size(ofLeaves)),
		series("document, text", "B", "services", serviceSizes, size(ofServices)),
		series("document, read and validate", "us", "leaves", readSizes, read(ofLeaves)),
		series("document, read and validate", "us", "services", serviceSizes, read(ofServices)),
		series("document, hash", "us", "leaves", leafSizes, hash),
		series("document, difference of one service", "us", "leaves", leafSizes, diff),
		series("document, memory", "B", "leaves", readSizes, kept(func(n int) *document.Document { return mustParse(codec.Format(ofLeaves(n))) })),
	}
}

// mustParse reads a document that this command made.
func mustParse(text []byte) *document.Document {
	doc, err := codec.Parse(text)
	if err != nil {
		panic(err) // the sizes above are within the reader's bounds
	}
	return doc
}

// build makes the view that one of so many entries has of a document.
func build(doc *document.Document, entries int) *view.View {
	placement := direct.New(plugin.PlacementConfig{Headroom: direct.DefaultHeadroom})
	names := entryNames(entries)
	share := func(u *document.Upstream, leaf string) int {
		return placement.Share(leaf, u.ConnectionLimit, names[0], names)
	}
	return view.Build(1, "", doc, func(string) bool { return false }, share)
}

// entryNames are the IDs of so many entries.
func entryNames(n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("entry-%05d", i)
	}
	return names
}

// viewSeries measures the view and what is built over it.
func viewSeries() []Series {
	viewOf := func(n int) *view.View { return build(ofLeaves(n), entriesOfToday) }
	machine := func(v *view.View) *dispatch.Machine {
		m, err := dispatch.New(dispatch.Config{View: v, Policies: dispatch.DefaultPolicies()})
		if err != nil {
			panic(err) // the configuration above is valid
		}
		return m
	}
	publish := func(entries int) func(n int) func() {
		return func(n int) func() {
			doc := ofLeaves(n)
			return func() { build(doc, entries) }
		}
	}
	change := timed(func(n int) func() {
		v := viewOf(n)
		m, now := machine(v), time.Unix(1000, 0)
		return func() { m.Handle(dispatch.ViewChanged{View: v}, now) }
	})
	return []Series{
		series("view, build with 8 entries", "us", "leaves", leafSizes, timed(publish(entriesOfToday))),
		series("view of 1,000 leaves, build", "us", "entries", entrySizes, timed(func(n int) func() { return publish(n)(1000) })),
		series("view with its document, memory", "B", "leaves", leafSizes, kept(viewOf)),
		series("dispatch, change of view", "us", "leaves", leafSizes, change),
		series("view, dispatch and versions, memory", "B", "leaves", leafSizes, kept(func(n int) any {
			v := viewOf(n)
			tracker := snapshot.New(v)
			for i := range v.Leaves {
				tracker.Observe(i, []uint64{1, 2})
			}
			return []any{v, machine(v), tracker}
		})),
	}
}

// bytesOf is the length of a message in JSON.
func bytesOf(message any) float64 {
	data, err := json.Marshal(message)
	if err != nil {
		panic(err) // plain structs always encode
	}
	return float64(len(data))
}
