package hosted

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/api/peerapi"
	"github.com/fuchsiaroad/fuchsiaroad/entry/lifecycle"
	"github.com/fuchsiaroad/fuchsiaroad/entry/peer"
	"github.com/fuchsiaroad/fuchsiaroad/entry/telemetry"
)

// TestStopEndsWithinGracePeriod stops an instance whose peers never answer, also while the store
// does not answer or requests keep coming. It ends within the grace period, and accepts requests
// long enough for the balancer to notice the stop.
func TestStopEndsWithinGracePeriod(t *testing.T) {
	const grace = 6 * time.Second
	for _, tc := range []struct {
		name     string
		silent   bool // the store
		arriving bool // requests, all the while
	}{{"calm", false, false}, {"silent store", true, false}, {"requests keep coming", false, true}, {"both", true, true}} {
		synctest.Test(t, func(t *testing.T) {
			store := &fakeStore{version: 1}
			n, err := New(Config{
				Instance: "i", Zone: "z", Source: store, PeerKey: []byte("k"), PeerAddress: "10.0.0.1:1", Seeds: []string{"10.0.0.2:1"},
				NewLeaves: func(func(string)) Leaves { return noLeaves{} }, Tunables: Tunables{FreshnessBound: testBound, GracePeriod: grace},
				Log: telemetry.Options{Level: "info"}, LogSink: io.Discard,
			})
			if err != nil {
				t.Fatal(err)
			}
			n.control.peers = silentPeers{}
			ctx, cancel := context.WithCancel(context.Background())
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				_ = n.control.run(ctx)
			}()
			time.Sleep(2 * time.Second)
			store.update(func(s *fakeStore) { s.silent = tc.silent })
			stopArrivals := make(chan struct{})
			if tc.arriving {
				go sendArrivals(n, stopArrivals)
			}
			began := time.Now()
			n.drain(ctx)
			cancel()
			<-ended
			close(stopArrivals)
			if took := time.Since(began); took >= grace || took < minAcceptTime {
				t.Errorf("%s: ended after %v, want %v to %v", tc.name, took, minAcceptTime, grace)
			}
			if n.lifecycle.Get() != lifecycle.Refusing {
				t.Errorf("%s: requests are still taken at the end", tc.name)
			}
			synctest.Wait()
			n.close()
		})
	}
}

// sendArrivals records the arrival of a request each 100 ms.
func sendArrivals(n *Node, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
			n.lifecycle.Arrived()
		}
	}
}

// silentPeers are peers that don't answer in time.
type silentPeers struct{}

// Sync implements syncPeers.
func (silentPeers) Sync(ctx context.Context, _ peer.Target, _ peerapi.SyncRequest) (*peerapi.SyncReply, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}
