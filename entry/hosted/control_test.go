package hosted

import (
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"github.com/fuchsiaroad/fuchsiaroad/api/peerapi"
	"github.com/fuchsiaroad/fuchsiaroad/entry/leafclient"
	"github.com/fuchsiaroad/fuchsiaroad/entry/lifecycle"
	"github.com/fuchsiaroad/fuchsiaroad/entry/telemetry"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/catalog"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/fleet"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeStore is a fake of the platform's store for one instance.
type fakeStore struct {
	mu      sync.Mutex
	version uint64
	silent  bool // calls hang until their context ends
	failing bool // calls fail at once
	reads   int
}

// update changes the store.
func (s *fakeStore) update(change func(s *fakeStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

// read simulates one call.
func (s *fakeStore) read(ctx context.Context) (uint64, error) {
	s.mu.Lock()
	s.reads++
	silent, failing, version := s.silent, s.failing, s.version
	s.mu.Unlock()
	if silent {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	if failing {
		return 0, io.ErrUnexpectedEOF
	}
	return version, nil
}

func (s *fakeStore) Config(ctx context.Context) (*catalog.Config, error) {
	version, err := s.read(ctx)
	if err != nil || version == 0 {
		return nil, err
	}
	return &catalog.Config{Version: version, Routes: []*catalog.Route{{
		Name: "r", Host: "a", Prefix: "/", Timeout: time.Second, Targets: []document.RouteTarget{{Service: "s", Weight: 1}},
	}}}, nil
}

func (s *fakeStore) Leaves(ctx context.Context) (catalog.Listing, error) {
	version, err := s.read(ctx)
	return catalog.Listing{Revision: version}, err
}

func (s *fakeStore) Instances(context.Context, bool) ([]fleet.Instance, []catalog.BadEntry, error) {
	return nil, nil, nil
}
func (s *fakeStore) Probe(ctx context.Context) error {
	_, err := s.read(ctx)
	return err
}
func (s *fakeStore) Announce(context.Context, fleet.Instance, bool) (bool, error) {
	return false, nil
}
func (s *fakeStore) QuarantineRecords(context.Context) ([]QuarantineRecord, error) { return nil, nil }
func (s *fakeStore) WriteQuarantineRecord(context.Context, QuarantineRecord) (uint64, error) {
	return 1, nil
}
func (s *fakeStore) DeleteQuarantineRecord(context.Context, string, uint64) error { return nil }

// noLeaves is a leaf protocol client that reaches no leaf.
type noLeaves struct{}

func (noLeaves) Run(context.Context, leafclient.Target, *leafclient.Request, func() bool) (*leafclient.Reply, error) {
	return nil, &leafclient.DialError{Err: io.EOF}
}
func (noLeaves) Apply([]leafclient.Target) {}
func (noLeaves) Opened() (int64, int)      { return 0, 0 }
func (noLeaves) Sockets() int              { return 0 }
func (noLeaves) Close()                    {}

// testBound is the freshness bound in these tests.
const testBound = 3 * time.Second

// startNode makes an instance that reads a store, and runs its control goroutine. end stops it.
func startNode(t *testing.T, store Source) (n *Node, end func()) {
	t.Helper()
	n, err := New(Config{
		Instance: "i", Zone: "z", Source: store, PeerKey: []byte("k"),
		NewLeaves: func(func(string)) Leaves { return noLeaves{} },
		Tunables:  Tunables{FreshnessBound: testBound, GracePeriod: time.Second, Catalog: catalog.Settings{ConfigFreshFor: testBound, EntryTTL: testBound, ReregisterWithin: time.Second, DroppedSetRetention: time.Second}},
		Log:       telemetry.Options{Level: "info", Format: "json"}, LogSink: io.Discard,
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = n.control.run(ctx)
	}()
	return n, func() {
		cancel()
		<-done
		synctest.Wait()
		n.close()
	}
}

// configVersion returns the version of the configuration in force, 0 for none.
func configVersion(n *Node) uint64 {
	if v := n.View(); v != nil {
		return v.Generation
	}
	return 0
}

// TestStartRetriesSilentStore starts an instance while the store does not answer for 250 ms: the
// configuration is in force 450 ms after the start, not only after a whole second.
func TestStartRetriesSilentStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{version: 5, silent: true}
		n, end := startNode(t, store)
		defer end()
		time.Sleep(250 * time.Millisecond)
		store.update(func(s *fakeStore) { s.silent = false })
		time.Sleep(200 * time.Millisecond)
		synctest.Wait()
		if configVersion(n) != 5 {
			t.Error("no configuration 450 ms after the start")
		}
	})
}

// TestConfigChangeIsInForceWithinBound changes the configuration at many different moments:
// each change is in force within half of the bound.
func TestConfigChangeIsInForceWithinBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{version: 1}
		n, end := startNode(t, store)
		defer end()
		for v := uint64(2); v < 20; v++ {
			time.Sleep(time.Duration(v) * 137 * time.Millisecond)
			store.update(func(s *fakeStore) { s.version = v })
			time.Sleep(testBound / 2)
			synctest.Wait()
			if configVersion(n) != v {
				t.Fatalf("version %d is not in force after half of the bound", v)
			}
		}
	})
}

// TestOutageKeepsConfigInForce fails all calls to the store for a minute: the configuration stays
// in force, but does not count as the newest, and the number of calls stays limited.
func TestOutageKeepsConfigInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{version: 4}
		n, end := startNode(t, store)
		defer end()
		time.Sleep(time.Second)
		store.update(func(s *fakeStore) { s.failing, s.reads = true, 0 })
		time.Sleep(time.Minute)
		synctest.Wait()
		if configVersion(n) != 4 {
			t.Errorf("the configuration was lost in an outage: version %d, ready %v", configVersion(n), n.control.catalog.Ready())
		}
		if n.Current() {
			t.Error("the configuration counts as the newest after a minute without the store")
		}
		store.update(func(s *fakeStore) {
			if s.reads > 250 {
				t.Errorf("%d reads in a minute of outage", s.reads)
			}
			s.failing, s.version = false, 9
		})
		time.Sleep(2 * time.Second)
		synctest.Wait()
		if configVersion(n) != 9 {
			t.Error("the newer configuration is not in force two seconds after the outage")
		}
	})
}

// TestSyncReply checks the state that an instance sends to a peer, and that one without state, or
// one that is leaving, answers that it has none.
func TestSyncReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{silent: true} // the first read must not end before the first reply
		n, end := startNode(t, store)
		defer end()
		if reply := n.Sync("other", peerapi.SyncRequest{}); reply.ConfigAgeMS != -1 {
			t.Errorf("reply before the first read: %+v", reply)
		}
		store.update(func(s *fakeStore) { s.silent = false })
		time.Sleep(2 * time.Second)
		synctest.Wait()
		if reply := n.Sync("other", peerapi.SyncRequest{}); reply.ConfigAgeMS < 0 || reply.Version != 0 || reply.Config != nil {
			t.Errorf("reply while there is no configuration: %+v; want its age and no configuration", reply)
		}
		store.update(func(s *fakeStore) { s.version = 3 })
		time.Sleep(2 * time.Second)
		synctest.Wait()
		reply := n.Sync("other", peerapi.SyncRequest{})
		if reply.Version != 3 || reply.Config == nil || reply.Leaves == nil {
			t.Errorf("reply for one that knows nothing: %+v", reply)
		}
		same := n.Sync("other", peerapi.SyncRequest{Version: 3, LeavesHash: reply.LeavesHash})
		if same.Config != nil || same.Leaves != nil {
			t.Errorf("reply for one that knows all: %+v", same)
		}
		n.lifecycle.Set(lifecycle.Leaving)
		if reply := n.Sync("other", peerapi.SyncRequest{}); reply.ConfigAgeMS != -1 {
			t.Errorf("reply of an instance that leaves: %+v", reply)
		}
	})
}
