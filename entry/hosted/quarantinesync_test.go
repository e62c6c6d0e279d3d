package hosted

import (
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/api/peerapi"
	"github.com/fuchsiaroad/fuchsiaroad/entry/hosted/statesync"
	"github.com/fuchsiaroad/fuchsiaroad/entry/peer"
	"github.com/fuchsiaroad/fuchsiaroad/entry/telemetry"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/catalog"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/fleet"
)

// newIdleNode makes an instance without running it.
func newIdleNode(t *testing.T) *Node {
	t.Helper()
	n, err := New(Config{
		Instance: "idle", Zone: "z", CPUs: 0.2, PeerKey: []byte("k"), Source: &fakeStore{},
		NewLeaves: func(func(string)) Leaves { return noLeaves{} }, Tunables: Tunables{FreshnessBound: testBound},
		Log: telemetry.Options{Level: "info"}, LogSink: io.Discard,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.close)
	return n
}

// newSyncableNode makes an instance that others can synchronize from, and returns its address too.
func newSyncableNode(t *testing.T) (*Node, string) {
	t.Helper()
	n := newIdleNode(t)
	now := time.Now()
	n.control.state.Store(&statesync.State{LastReads: catalog.LastReads{ConfigAt: now, LeavesAt: now}})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		done <- peer.NewServer(peer.ServerConfig{Instance: "reader", Key: []byte("k"), Sync: n}).Serve(ctx, l)
	}()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return n, l.Addr().String()
}

// TestQuarantineSpreadsBySync has one instance report a request that breaks leaves to the
// reader with its sync, and a third instance learn of the request by its own.
func TestQuarantineSpreadsBySync(t *testing.T) {
	const fingerprint, quarantined = "f00d", 2
	knows := func(n *Node) bool {
		for _, q := range n.executor.Quarantine() {
			if q.Fingerprint == fingerprint && q.Level == quarantined && q.RemainingMS > 0 {
				return true
			}
		}
		return false
	}
	reader, address := newSyncableNode(t)
	first, third := newIdleNode(t), newIdleNode(t)
	first.executor.MergeQuarantine([]peerapi.QuarantineRecord{{Fingerprint: fingerprint, Level: quarantined, RemainingMS: 10_000}})
	if !knows(first) || knows(reader) || knows(third) {
		t.Fatal("only the first instance is to know of the request")
	}
	from := fleet.Instance{Name: "reader", PeerAddress: address}
	for _, n := range []*Node{first, third} {
		if err := n.control.syncFrom(t.Context(), from); err != nil {
			t.Fatal(err)
		}
	}
	if !knows(reader) {
		t.Error("the instance that was asked does not know of the request")
	}
	if !knows(third) {
		t.Error("an instance that asked later does not know of the request")
	}
}

// TestAllSuspectsReachInstanceThatStarts has the reader know many suspects: an instance gets all
// of them with its first synchronization, and afterwards only those that change.
func TestAllSuspectsReachInstanceThatStarts(t *testing.T) {
	const suspects = 100
	reader, address := newSyncableNode(t)
	var records []peerapi.QuarantineRecord
	for i := range suspects {
		records = append(records, peerapi.QuarantineRecord{Fingerprint: fmt.Sprintf("%04d", i), Level: 1, RemainingMS: 100_000 + int64(i)})
	}
	reader.executor.MergeQuarantine(records)
	n := newIdleNode(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if err := n.control.syncFrom(ctx, fleet.Instance{PeerAddress: address}); err != nil {
		t.Fatal(err)
	}
	for _, r := range records {
		if _, ok := n.executor.QuarantineRecord(r.Fingerprint); !ok {
			t.Fatalf("suspect %s is not known", r.Fingerprint)
		}
	}
	for after, want := range map[time.Duration]bool{2 * time.Second: false, time.Minute: true} {
		var request peerapi.SyncRequest
		if n.control.addQuarantine(&request, time.Now().Add(after)); request.WholeQuarantine != want {
			t.Errorf("asks for all suspects %v after a synchronization: %v, want %v", after, request.WholeQuarantine, want)
		}
	}
}
