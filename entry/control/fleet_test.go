package control_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"github.com/fuchsiaroad/fuchsiaroad/api/peerapi"
	"github.com/fuchsiaroad/fuchsiaroad/api/platformapi"
	"github.com/fuchsiaroad/fuchsiaroad/config/codec"
	"github.com/fuchsiaroad/fuchsiaroad/config/samples"
	"github.com/fuchsiaroad/fuchsiaroad/entry/control"
	"github.com/fuchsiaroad/fuchsiaroad/entry/operators"
	"github.com/fuchsiaroad/fuchsiaroad/entry/peer"
	"github.com/fuchsiaroad/fuchsiaroad/entry/platform"
	"github.com/fuchsiaroad/fuchsiaroad/entry/platform/platformtest"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/plugin"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/view"
	"github.com/fuchsiaroad/fuchsiaroad/plugins/direct"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var errDisconnected = errors.New("cut off")

// fleet is a set of entries with one store, in the virtual time of synctest.
type fleet struct {
	t       *testing.T
	store   *platformtest.Store
	entries []*entry
}

// entry is one entry with switches that cut its connections.
type entry struct {
	f       *fleet
	id      string
	control atomic.Pointer[control.Control]
	cancel  context.CancelFunc
	done    chan struct{}

	mu      sync.Mutex
	highest uint64 // generation in force since the last start
	// If set, these calls fail: reads of the configuration, watches, reads of the
	// list of instances, calls to and from peers, all calls to the store.
	noGet, noWatch, noList, noPeers, noStore atomic.Bool
	log                                      control.Logger // nil: nothing is logged
}

// runFleet runs a test over n entries, all live and listed.
func runFleet(t *testing.T, n int, test func(f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{t: t, store: platformtest.New(1)}
		f.store.SetFaults(platformtest.Faults{Latency: 5 * time.Millisecond})
		for i := range n {
			f.entries = append(f.entries, &entry{f: f, id: fmt.Sprintf("entry-%d", i)})
		}
		for i, e := range f.entries {
			e.start(uint64(i))
		}
		test(f)
		for _, e := range f.entries {
			e.stop()
		}
	})
}

// start starts the entry with no state from an earlier run.
func (e *entry) start(seed uint64) {
	e.mu.Lock()
	e.highest = 0
	e.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel, e.done = cancel, make(chan struct{})
	log := e.log
	if log == nil {
		log = discardLogger{}
	}
	c := control.New(control.Config{
		Instance: e.id, Zone: "z", Store: faultyStore{e.f.store, e}, Peers: peerLink{e}, KnownPeers: []string{"entry-0", "entry-1"},
		Placement: direct.New(plugin.PlacementConfig{Headroom: direct.DefaultHeadroom}),
		Publish:   e.published, Log: log, Seed: seed,
	})
	e.control.Store(c)
	done := e.done
	go func() {
		defer close(done)
		if err := c.Run(ctx); err != nil {
			e.f.t.Error(err)
		}
	}()
}

func (e *entry) stop() {
	e.cancel()
	<-e.done
}

// published checks that the generation in force never decreases.
func (e *entry) published(v *view.View) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if v.Generation < e.highest {
		e.f.t.Errorf("%s went from generation %d to %d", e.id, e.highest, v.Generation)
	}
	e.highest = v.Generation
}

// generation returns the generation in force at the entry.
func (e *entry) generation() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.highest
}

// waitInForce waits until all entries have at least the generation in force, and
// returns how long that took. It fails the test after d.
func (f *fleet) waitInForce(d time.Duration, generation uint64) time.Duration {
	f.t.Helper()
	begin := time.Now()
	for {
		behind := ""
		for _, e := range f.entries {
			if e.generation() < generation {
				behind += fmt.Sprintf(" %s:%d", e.id, e.generation())
			}
		}
		took := time.Since(begin)
		if behind == "" {
			return took
		}
		if took >= d {
			f.t.Fatalf("generation %d is not in force after %v at%s", generation, d, behind)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// checkStaysInForce checks for d that no entry falls below the generation.
func (f *fleet) checkStaysInForce(d time.Duration, generation uint64) {
	f.t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, e := range f.entries {
			if v, _ := e.control.Load().Current(); v.Generation < generation {
				f.t.Fatalf("%s went back from generation %d to %d", e.id, generation, v.Generation)
			}
		}
	}
}

// save saves a document at the entry, to replace the version that it shows to
// operators.
func (e *entry) save(slots int) operators.SaveResult {
	current, _ := e.control.Load().Current()
	return e.saveOver(slots, current.Base)
}

func (e *entry) saveOver(slots int, base uint64) operators.SaveResult {
	return operators.Save(context.Background(), e.control.Load(), documentText(slots), base)
}

// mustSave saves a document at e and fails the test unless it is accepted. It
// returns the new generation.
func (f *fleet) mustSave(e *entry, slots int) uint64 {
	f.t.Helper()
	r := e.save(slots)
	if r.State != operators.Accepted {
		f.t.Fatalf("save: %+v", r.Outcome)
	}
	return r.Generation
}

// documentText returns a document with the given slots of its first upstream.
func documentText(slots int) []byte {
	doc := samples.CapBon(samples.CapBonBasePort)
	doc.Upstreams = append([]document.Upstream(nil), doc.Upstreams...)
	doc.Upstreams[0].Slots = slots
	return codec.Format(doc)
}

// faultyStore is the store as one entry reaches it; its calls fail as the entry's
// switches say.
type faultyStore struct {
	*platformtest.Store
	e *entry
}

func (s faultyStore) fail(off *atomic.Bool, c platform.Call) error {
	if off.Load() || s.e.noStore.Load() {
		return &platform.UnavailableError{Call: c, Err: errDisconnected}
	}
	return nil
}

func (s faultyStore) Get(ctx context.Context, kind, name string) (platformapi.Object, error) {
	if err := s.fail(&s.e.noGet, platform.CallGet); err != nil {
		return platformapi.Object{}, err
	}
	return s.Store.Get(ctx, kind, name)
}

func (s faultyStore) List(ctx context.Context, kind string) (platformapi.List, error) {
	if err := s.fail(&s.e.noWatch, platform.CallList); err != nil {
		return platformapi.List{}, err
	}
	return s.Store.List(ctx, kind)
}

func (s faultyStore) Watch(ctx context.Context, kind string, since uint64, wait time.Duration) (platformapi.Events, error) {
	if err := s.fail(&s.e.noWatch, platform.CallWatch); err != nil {
		return platformapi.Events{}, err
	}
	events, err := s.Store.Watch(ctx, kind, since, wait)
	if cut := s.fail(&s.e.noWatch, platform.CallWatch); cut != nil {
		return platformapi.Events{}, cut
	}
	return events, err
}

func (s faultyStore) Put(ctx context.Context, kind, name string, ifVersion uint64, value []byte) (uint64, error) {
	if err := s.fail(&s.e.noStore, platform.CallPut); err != nil {
		return 0, err
	}
	return s.Store.Put(ctx, kind, name, ifVersion, value)
}

func (s faultyStore) Instances(context.Context) ([]platformapi.Instance, error) {
	if err := s.fail(&s.e.noList, platform.CallInstances); err != nil {
		return nil, err
	}
	var out []platformapi.Instance
	for _, e := range s.e.f.entries {
		out = append(out, platformapi.Instance{ID: e.id, Role: platformapi.RoleEntry, PeerAddress: e.id, State: platformapi.StateLive})
	}
	return out, nil
}

// peerLink calls the peers of an entry directly; an entry's address is its ID.
type peerLink struct{ e *entry }

const forwardDelay = 2 * time.Millisecond

// reach returns the peer with the target's address, after forwardDelay.
func (l peerLink) reach(t peer.Target) (*control.Control, error) {
	time.Sleep(forwardDelay)
	for _, p := range l.e.f.entries {
		if p.id == t.Address && p != l.e && !p.noPeers.Load() && !l.e.noPeers.Load() {
			return p.control.Load(), nil
		}
	}
	return nil, errDisconnected
}

func (l peerLink) Digest(_ context.Context, t peer.Target, d *peerapi.Digest) (*peerapi.Digest, error) {
	c, err := l.reach(t)
	if err != nil {
		return nil, err
	}
	return c.Digest(l.e.id, d), nil
}

func (l peerLink) Document(_ context.Context, t peer.Target, above uint64) (*peerapi.Document, error) {
	c, err := l.reach(t)
	if err != nil {
		return nil, err
	}
	return c.Document(above), nil
}

func (peerLink) CloseExcept([]peer.Target) {}

// discardLogger is a Logger that discards all lines.
type discardLogger struct{}

func (discardLogger) Info(string, ...any)  {}
func (discardLogger) Warn(string, ...any)  {}
func (discardLogger) Error(string, ...any) {}
