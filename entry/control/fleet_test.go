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

var errCut = errors.New("cut off")

// fleet is a set of entries over one store, in virtual time.
type fleet struct {
	t       *testing.T
	store   *platformtest.Store
	entries []*entry
}

// entry is one entry with switches for what it can reach.
type entry struct {
	f       *fleet
	id      string
	control atomic.Pointer[control.Control]
	cancel  context.CancelFunc
	done    chan struct{}

	mu      sync.Mutex
	highest uint64 // generation in force in this life
	// switches: what fails
	noGet, noWatch, noList, noPeers, noStore atomic.Bool
	log                                      control.Log // nil: nothing is logged
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

// start begins a new life of the entry; it remembers nothing.
func (e *entry) start(seed uint64) {
	e.mu.Lock()
	e.highest = 0
	e.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel, e.done = cancel, make(chan struct{})
	log := e.log
	if log == nil {
		log = quiet{}
	}
	c := control.New(control.Config{
		Instance: e.id, Zone: "z", Store: gate{e.f.store, e}, Peers: wire{e}, Known: []string{"entry-0", "entry-1"},
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

// published checks that no view takes the configuration back.
func (e *entry) published(v *view.View) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if v.Generation < e.highest {
		e.f.t.Errorf("%s went from generation %d to %d", e.id, e.highest, v.Generation)
	}
	e.highest = v.Generation
}

// generation is what the entry has in force.
func (e *entry) generation() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.highest
}

// within checks that all entries have at least the generation in force at the
// end of a span, and returns how long it took.
func (f *fleet) within(d time.Duration, generation uint64) time.Duration {
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

// holds checks that no entry goes back below a generation for a while.
func (f *fleet) holds(d time.Duration, generation uint64) {
	f.t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, e := range f.entries {
			if v, _ := e.control.Load().Current(); v.Generation < generation {
				f.t.Fatalf("%s went back from generation %d to %d", e.id, generation, v.Generation)
			}
		}
	}
}

// save saves a changed document at an entry over the version it would show.
func (e *entry) save(slots int) operators.SaveResult {
	current, _ := e.control.Load().Current()
	return e.saveOver(slots, current.Base)
}

func (e *entry) saveOver(slots int, base uint64) operators.SaveResult {
	return operators.Save(context.Background(), e.control.Load(), text(slots), base)
}

// accept saves and requires acceptance.
func (f *fleet) accept(e *entry, slots int) uint64 {
	f.t.Helper()
	r := e.save(slots)
	if r.State != operators.Accepted {
		f.t.Fatalf("save: %+v", r.Outcome)
	}
	return r.Generation
}

// text is a document that differs in the slots of an upstream.
func text(slots int) []byte {
	doc := samples.CapBon(samples.CapBonBasePort)
	doc.Upstreams = append([]document.Upstream(nil), doc.Upstreams...)
	doc.Upstreams[0].Slots = slots
	return codec.Format(doc)
}

// gate is an entry's way to the store.
type gate struct {
	*platformtest.Store
	e *entry
}

func (g gate) fail(off *atomic.Bool, c platform.Call) error {
	if off.Load() || g.e.noStore.Load() {
		return &platform.UnavailableError{Call: c, Err: errCut}
	}
	return nil
}

func (g gate) Get(ctx context.Context, kind, name string) (platformapi.Object, error) {
	if err := g.fail(&g.e.noGet, platform.CallGet); err != nil {
		return platformapi.Object{}, err
	}
	return g.Store.Get(ctx, kind, name)
}

func (g gate) List(ctx context.Context, kind string) (platformapi.List, error) {
	if err := g.fail(&g.e.noWatch, platform.CallList); err != nil {
		return platformapi.List{}, err
	}
	return g.Store.List(ctx, kind)
}

func (g gate) Watch(ctx context.Context, kind string, since uint64, wait time.Duration) (platformapi.Events, error) {
	if err := g.fail(&g.e.noWatch, platform.CallWatch); err != nil {
		return platformapi.Events{}, err
	}
	events, err := g.Store.Watch(ctx, kind, since, wait)
	if cut := g.fail(&g.e.noWatch, platform.CallWatch); cut != nil {
		return platformapi.Events{}, cut
	}
	return events, err
}

func (g gate) Put(ctx context.Context, kind, name string, ifVersion uint64, value []byte) (uint64, error) {
	if err := g.fail(&g.e.noStore, platform.CallPut); err != nil {
		return 0, err
	}
	return g.Store.Put(ctx, kind, name, ifVersion, value)
}

func (g gate) Instances(context.Context) ([]platformapi.Instance, error) {
	if err := g.fail(&g.e.noList, platform.CallInstances); err != nil {
		return nil, err
	}
	var out []platformapi.Instance
	for _, e := range g.e.f.entries {
		out = append(out, platformapi.Instance{ID: e.id, Role: platformapi.RoleEntry, PeerAddress: e.id, State: platformapi.StateLive})
	}
	return out, nil
}

// wire is an entry's way to its peers; an entry's address is its ID.
type wire struct{ e *entry }

const forwardDelay = 2 * time.Millisecond

// reach finds a peer after one forwardDelay.
func (w wire) reach(t peer.Target) (*control.Control, error) {
	time.Sleep(forwardDelay)
	for _, p := range w.e.f.entries {
		if p.id == t.Address && p != w.e && !p.noPeers.Load() && !w.e.noPeers.Load() {
			return p.control.Load(), nil
		}
	}
	return nil, errCut
}

func (w wire) Digest(_ context.Context, t peer.Target, d *peerapi.Digest) (*peerapi.Digest, error) {
	c, err := w.reach(t)
	if err != nil {
		return nil, err
	}
	return c.Digest(w.e.id, d), nil
}

func (w wire) Document(_ context.Context, t peer.Target, above uint64) (*peerapi.Document, error) {
	c, err := w.reach(t)
	if err != nil {
		return nil, err
	}
	return c.Document(above), nil
}

func (wire) CloseExcept([]peer.Target) {}

// quiet drops log lines.
type quiet struct{}

func (quiet) Info(string, ...any)  {}
func (quiet) Warn(string, ...any)  {}
func (quiet) Error(string, ...any) {}
