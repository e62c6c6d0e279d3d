package hosted

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/entry/hosted/statesync"
	"github.com/fuchsiaroad/fuchsiaroad/entry/telemetry"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/catalog"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
)

// configWithRoutes makes a configuration of n routes, of which the last one has a time-out that
// depends on the version.
func configWithRoutes(version uint64, n int) *catalog.Config {
	c := &catalog.Config{Version: version, Services: map[string]catalog.Service{"s": {Name: "s", ConnectionLimit: 50}}}
	for i := range n {
		c.Routes = append(c.Routes, &catalog.Route{
			Name: fmt.Sprintf("r-%07x", i*7919), Host: "puje50.example", Prefix: fmt.Sprintf("/%07x/", i*104729), Idempotent: true,
			Timeout: time.Second, Objective: 100 * time.Millisecond, Attempts: 2, Targets: []document.RouteTarget{{Service: "s", Weight: 1}},
		})
	}
	c.Routes[n-1].Timeout = time.Duration(version) * time.Second
	return c
}

// newBenchNode makes an instance without running it.
func newBenchNode(b *testing.B) *Node {
	n, err := New(Config{
		Instance: "i", Zone: "z", Source: &fakeStore{}, PeerKey: []byte("k"),
		NewLeaves: func(func(string)) Leaves { return noLeaves{} }, Tunables: Tunables{FreshnessBound: testBound},
		Log: telemetry.Options{Level: "error", Format: "json"}, LogSink: io.Discard,
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(n.close)
	return n
}

// routeCounts are the numbers of routes of a usual, a large and a very large configuration.
var routeCounts = []int{100, 5600, 20000}

// BenchmarkLeafChangeAmongManyRoutes puts a list in force in which one leaf has a new start time.
func BenchmarkLeafChangeAmongManyRoutes(b *testing.B) {
	for _, routes := range routeCounts {
		b.Run(fmt.Sprint(routes), func(b *testing.B) {
			c := newBenchNode(b).control
			c.handleMessage(configRead{config: configWithRoutes(1, routes), startedAt: time.Now()})
			revision := uint64(0)
			b.ReportAllocs()
			for b.Loop() {
				revision++
				leaf := catalog.Leaf{ID: "x", Service: "s", Address: "10.0.0.1:1", Zone: "z", Slots: 2, StartMillis: int64(revision)}
				c.handleMessage(leavesRead{list: catalog.Listing{Leaves: []catalog.Leaf{leaf}, Revision: revision}, startedAt: time.Now()})
			}
		})
	}
}

// BenchmarkRouteChangeAmongManyRoutes sends a version in which one route differs to a peer that has
// the one before, and puts it in force there.
func BenchmarkRouteChangeAmongManyRoutes(b *testing.B) {
	for _, routes := range routeCounts {
		b.Run(fmt.Sprint(routes), func(b *testing.B) {
			sender, receiver := newBenchNode(b).control, newBenchNode(b).control
			list := leavesRead{list: catalog.Listing{Revision: 1}, startedAt: time.Now()}
			sender.handleMessage(list)
			receiver.handleMessage(list)
			version, sent := uint64(0), 0
			configs := []*catalog.Config{configWithRoutes(0, routes), configWithRoutes(1, routes)}
			var received statesync.Receiver
			b.ReportAllocs()
			for b.Loop() {
				version++
				config := *configs[version%2]
				config.Version = version
				sender.handleMessage(configRead{config: &config, startedAt: time.Now()})
				base := receiver.state.Load().Config()
				request := received.Request(base)
				reply := sender.state.Load().Reply(&request, time.Now())
				sent += len(reply.Config) + len(reply.ConfigChange)
				update, err := received.Apply(reply, base, time.Now(), time.Now())
				if err != nil {
					b.Fatal(err)
				}
				receiver.handleMessage(peerUpdate{update: update})
				if got := receiver.state.Load().Config().Version; got != version {
					b.Fatalf("version %d in force, want %d", got, version)
				}
			}
			b.ReportMetric(float64(sent)/float64(b.N), "bytes/op")
		})
	}
}
