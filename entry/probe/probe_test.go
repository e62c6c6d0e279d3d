package probe

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"github.com/fuchsiaroad/fuchsiaroad/api/leafapi"
	"github.com/fuchsiaroad/fuchsiaroad/entry/leafclient"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/keyrange"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/view"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeLeaves is a fake leaf client and status recorder.
type fakeLeaves struct {
	mu        sync.Mutex
	warmed    map[string]int // connections requested, by leaf ID
	probed    map[string]int // health probes, by leaf ID
	lastReply map[string]time.Time
	versions  map[string][]uint64
	startMS   map[string]int64
	answer    func(id string) (*leafapi.Health, error)
}

func newFakeLeaves() *fakeLeaves {
	return &fakeLeaves{
		warmed: make(map[string]int), probed: make(map[string]int),
		lastReply: make(map[string]time.Time), versions: make(map[string][]uint64), startMS: make(map[string]int64),
		answer: func(id string) (*leafapi.Health, error) {
			return &leafapi.Health{ID: id, Ready: true, Versions: []uint64{7}, StartMillis: 5}, nil
		},
	}
}

func (f *fakeLeaves) Warm(_ context.Context, t leafclient.Target, n int) (*leafapi.Health, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.warmed[t.ID] += n
	return f.answer(t.ID)
}

func (f *fakeLeaves) Health(_ context.Context, t leafclient.Target) (*leafapi.Health, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.probed[t.ID]++
	return f.answer(t.ID)
}

func (f *fakeLeaves) LastReply(id string) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastReply[id]
}

func (f *fakeLeaves) RecordStatus(id string, status leafclient.LeafStatus) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastReply[id] = time.Now()
	f.versions[id] = status.Versions
	f.startMS[id] = status.StartMillis
}

// counts returns the connections and the health probes requested of a leaf so far.
func (f *fakeLeaves) counts(id string) (warmed, probed int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.warmed[id], f.probed[id]
}

// testView returns a view of leaves "a" and "b", each with share connections. The leaf
// draining, if any, is draining.
func testView(share int, draining string) *view.View {
	doc := &document.Document{Upstreams: []document.Upstream{{Name: "up", KeySpace: 10, Shards: []document.Shard{{
		Range: keyrange.Range{From: 0, To: 10}, Leaves: []document.Leaf{{ID: "a"}, {ID: "b"}},
	}}}}}
	return view.Build(1, "h", doc, func(id string) bool { return id == draining }, func(*document.Upstream, string) int { return share })
}

// runProber runs a prober while test sets its view.
func runProber(t *testing.T, f *fakeLeaves, test func(set func(*view.View))) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		var current *view.View
		p := New(Config{LeafClient: f, StatusRecorder: f, View: func() *view.View {
			mu.Lock()
			defer mu.Unlock()
			return current
		}})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- p.Run(ctx) }()
		test(func(v *view.View) {
			mu.Lock()
			defer mu.Unlock()
			current = v
		})
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

// TestOpensConnectionsOncePerShare checks that connections are opened when a share is new
// or has grown, and only once.
func TestOpensConnectionsOncePerShare(t *testing.T) {
	f := newFakeLeaves()
	runProber(t, f, func(set func(*view.View)) {
		time.Sleep(time.Second)
		set(testView(1, ""))
		time.Sleep(3 * time.Second)
		if warmed, _ := f.counts("a"); warmed != 1 {
			t.Errorf("requested %d connections, want 1", warmed)
		}
		set(testView(3, ""))
		time.Sleep(5 * time.Second)
		if warmed, _ := f.counts("a"); warmed != 1+3 {
			t.Errorf("requested %d connections in all, want 4", warmed)
		}
	})
}

// TestProbesOnlyQuietLeaves checks that a leaf that replies to queries is not probed.
func TestProbesOnlyQuietLeaves(t *testing.T) {
	f := newFakeLeaves()
	runProber(t, f, func(set func(*view.View)) {
		set(testView(1, ""))
		for range 20 {
			time.Sleep(500 * time.Millisecond)
			f.RecordStatus("a", leafclient.LeafStatus{Versions: []uint64{7}}) // a reply to a query
		}
		_, busy := f.counts("a")
		_, quiet := f.counts("b")
		if busy != 0 || quiet < 2 {
			t.Errorf("probed the busy leaf %d times and the quiet one %d times", busy, quiet)
		}
	})
}

// TestDrainingLeafIsProbedRarely checks that no connections are opened to a draining leaf and
// that it is probed only at drainingInterval, to notice its restart.
func TestDrainingLeafIsProbedRarely(t *testing.T) {
	f := newFakeLeaves()
	runProber(t, f, func(set func(*view.View)) {
		set(testView(2, "a"))
		time.Sleep(20 * time.Second)
		warmed, probed := f.counts("a")
		if most := int(20*time.Second/drainingInterval) + 1; warmed != 0 || probed < 2 || probed > most {
			t.Errorf("warmed %d and probed %d times, want none and at most %d", warmed, probed, most)
		}
		if f.startMS["a"] != 5 {
			t.Errorf("recorded the start %d, want the one that the leaf reported", f.startMS["a"])
		}
	})
}

// TestIgnoresAnswersOfOtherLeaves checks that nothing is recorded when another leaf answers
// at a leaf's address, or when none answers.
func TestIgnoresAnswersOfOtherLeaves(t *testing.T) {
	f := newFakeLeaves()
	f.answer = func(id string) (*leafapi.Health, error) {
		if id == "a" {
			return &leafapi.Health{ID: "b", Versions: []uint64{9}}, nil
		}
		return nil, errors.New("no answer")
	}
	runProber(t, f, func(set func(*view.View)) {
		set(testView(1, ""))
		time.Sleep(10 * time.Second)
		if len(f.versions) != 0 {
			t.Errorf("recorded %v", f.versions)
		}
	})
}
