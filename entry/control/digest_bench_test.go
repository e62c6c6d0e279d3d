package control_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/api/platformapi"
	"github.com/fuchsiaroad/fuchsiaroad/entry/control"
	"github.com/fuchsiaroad/fuchsiaroad/entry/peer"
	"github.com/fuchsiaroad/fuchsiaroad/entry/platform/platformtest"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/plugin"
	"github.com/fuchsiaroad/fuchsiaroad/plugins/direct"
)

// benchKey is the shared key of the benchmark's peers.
var benchKey = []byte("0123456789abcdef")

// BenchmarkDigests runs a fleet over loopback TCP in real time; one iteration
// is one second. It reports the cost of digests per node: bytes sent and received,
// and CPU time, which includes that of the fake store and the polls of the list.
func BenchmarkDigests(b *testing.B) {
	for _, n := range []int{8, 64, 256} {
		for _, marks := range []int{0, 64} {
			b.Run(fmt.Sprintf("nodes=%d/marks=%d", n, marks), func(b *testing.B) { benchFleet(b, n, marks) })
		}
	}
}

// benchFleet runs n nodes, with marks leaves that are leaving.
func benchFleet(b *testing.B, n, marks int) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	var bytes atomic.Int64
	store := benchStore{Store: platformtest.New(1)}
	if _, err := store.Put(ctx, platformapi.KindConfig, platformapi.NameConfig, 0, documentText(2)); err != nil {
		b.Fatal(err)
	}
	listeners := make([]net.Listener, n)
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		listeners[i] = countingListener{l, &bytes}
		store.list = append(store.list, platformapi.Instance{
			ID: fmt.Sprint(i), Role: platformapi.RoleEntry, PeerAddress: l.Addr().String(), State: platformapi.StateLive,
		})
	}
	var first *control.Control
	for i := range n {
		client := peer.NewClient(peer.ClientConfig{Instance: fmt.Sprint(i), Key: benchKey})
		defer client.Close()
		c := control.New(control.Config{
			Instance: fmt.Sprint(i), Store: store, Peers: client, Log: discardLogger{}, Seed: uint64(i),
			Placement: direct.New(plugin.PlacementConfig{}),
		})
		if first == nil {
			first = c
		}
		server := peer.NewServer(peer.ServerConfig{Instance: fmt.Sprint(i), Key: benchKey, Gossip: c})
		wg.Go(func() { _ = server.Serve(ctx, listeners[i]) })
		wg.Go(func() { _ = c.Run(ctx) })
	}
	time.Sleep(5 * time.Second)
	for i := range marks {
		first.ObserveDraining(fmt.Sprintf("upstream-name-%d-0", i), 0)
	}
	time.Sleep(12 * time.Second) // until the marks are no longer sent as fresh
	bytes.Store(0)
	cpu := cpuTime(b)
	b.ResetTimer()
	for range b.N {
		time.Sleep(time.Second)
	}
	seconds := b.Elapsed().Seconds() * float64(n)
	// Each byte that a server sees is sent by one node and received by another.
	b.ReportMetric(2*float64(bytes.Load())/seconds, "B/s/node")
	b.ReportMetric(100*(cpuTime(b)-cpu).Seconds()/seconds, "%core/node")
	b.ReportMetric(0, "ns/op")
}

// benchStore is a fake store with a fixed list of instances.
type benchStore struct {
	*platformtest.Store
	list []platformapi.Instance
}

func (s benchStore) Instances(context.Context) ([]platformapi.Instance, error) { return s.list, nil }

// cpuTime returns the CPU time that this process has used.
func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// countingListener counts the bytes read and written on accepted connections.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (c countingListener) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{conn, c.bytes}, nil
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}
