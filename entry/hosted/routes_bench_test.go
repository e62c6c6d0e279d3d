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

// manyRoutes is a configuration of n routes, the last one with a time-out of its own.
func manyRoutes(version uint64, n int) *catalog.Config {
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

// benchNode is an instance that is not run.
func benchNode(b *testing.B) *Node {
	n, err := New(Config{
		Instance: "i", Zone: "z", Source: &fakeStore{}, PeerKey: []byte("k"),
		NewLeaves: func(func(string)) Leaves { return noLeaves{} }, Tunables: Tunables{Bound: bound},
		Log: telemetry.Options{Level: "error", Format: "json"}, LogSink: io.Discard,
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(n.close)
	return n
}

// routeCounts are those of a usual, a large and a very large configuration.
var routeCounts = []int{100, 5600, 20000}

// BenchmarkLeafChangeAmongManyRoutes puts a list in force in which one leaf drains.
func BenchmarkLeafChangeAmongManyRoutes(b *testing.B) {
	for _, routes := range routeCounts {
		b.Run(fmt.Sprint(routes), func(b *testing.B) {
			c := benchNode(b).control
			c.handle(configRead{config: manyRoutes(1, routes), began: time.Now()})
			revision := uint64(0)
			b.ReportAllocs()
			for b.Loop() {
				revision++
				leaf := catalog.Leaf{ID: "x", Service: "s", Address: "10.0.0.1:1", Zone: "z", Slots: 2, StartMillis: int64(revision)}
				c.handle(leavesRead{list: catalog.Listing{Leaves: []catalog.Leaf{leaf}, Revision: revision}, began: time.Now()})
			}
		})
	}
}

// BenchmarkRouteChangeAmongManyRoutes sends a version in which one route differs to a peer that has
// the one before, and puts it in force there.
func BenchmarkRouteChangeAmongManyRoutes(b *testing.B) {
	for _, routes := range routeCounts {
		b.Run(fmt.Sprint(routes), func(b *testing.B) {
			sender, receiver := benchNode(b).control, benchNode(b).control
			list := leavesRead{list: catalog.Listing{Revision: 1}, began: time.Now()}
			sender.handle(list)
			receiver.handle(list)
			version, sent := uint64(0), 0
			configs := []*catalog.Config{manyRoutes(0, routes), manyRoutes(1, routes)}
			var received statesync.Receiver
			b.ReportAllocs()
			for b.Loop() {
				version++
				config := *configs[version%2]
				config.Version = version
				sender.handle(configRead{config: &config, began: time.Now()})
				base := receiver.state.Load().Config()
				request := received.Request(base)
				reply := sender.state.Load().Reply(&request, time.Now())
				sent += len(reply.Config) + len(reply.ConfigChange)
				update, err := received.Take(reply, base, time.Now(), time.Now())
				if err != nil {
					b.Fatal(err)
				}
				receiver.handle(peerUpdate{update: update})
				if got := receiver.state.Load().Config().Version; got != version {
					b.Fatalf("version %d in force, want %d", got, version)
				}
			}
			b.ReportMetric(float64(sent)/float64(b.N), "bytes/op")
		})
	}
}
