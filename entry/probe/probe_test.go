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

// fake stands in for the leaf client and for the learner.
type fake struct {
	mu      sync.Mutex
	warmed  map[string]int // connections asked for, by leaf
	asked   map[string]int // health questions, by leaf
	heard   map[string]time.Time
	learned map[string][]uint64
	born    map[string]int64
	answer  func(id string) (*leafapi.Health, error)
}

func newFake() *fake {
	return &fake{
		warmed: make(map[string]int), asked: make(map[string]int),
		heard: make(map[string]time.Time), learned: make(map[string][]uint64), born: make(map[string]int64),
		answer: func(id string) (*leafapi.Health, error) {
			return &leafapi.Health{ID: id, Ready: true, Versions: []uint64{7}, StartMillis: 5}, nil
		},
	}
}

func (f *fake) Warm(_ context.Context, t leafclient.Target, n int) (*leafapi.Health, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.warmed[t.ID] += n
	return f.answer(t.ID)
}

func (f *fake) Health(_ context.Context, t leafclient.Target) (*leafapi.Health, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asked[t.ID]++
	return f.answer(t.ID)
}

func (f *fake) LastReply(id string) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.heard[id]
}

func (f *fake) Learn(id string, said leafclient.Said) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.heard[id] = time.Now()
	f.learned[id] = said.Versions
	f.born[id] = said.Born
}

// counts returns what was asked of a leaf so far.
func (f *fake) counts(id string) (warmed, asked int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.warmed[id], f.asked[id]
}

// testView has leaves "a" and "b", each with a share of connections.
func testView(share int, leaving string) *view.View {
	doc := &document.Document{Upstreams: []document.Upstream{{Name: "up", KeySpace: 10, Shards: []document.Shard{{
		Range: keyrange.Range{From: 0, To: 10}, Leaves: []document.Leaf{{ID: "a"}, {ID: "b"}},
	}}}}}
	return view.Build(1, "h", doc, func(id string) bool { return id == leaving }, func(*document.Upstream, string) int { return share })
}

// runProber runs a prober over views that the test sets.
func runProber(t *testing.T, f *fake, test func(set func(*view.View))) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		var current *view.View
		p := New(Config{Leaves: f, Learner: f, View: func() *view.View {
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

// TestWarmsOncePerShare opens connections when a share is new or has grown.
func TestWarmsOncePerShare(t *testing.T) {
	f := newFake()
	runProber(t, f, func(set func(*view.View)) {
		time.Sleep(time.Second)
		set(testView(1, ""))
		time.Sleep(3 * time.Second)
		if warmed, _ := f.counts("a"); warmed != 1 {
			t.Errorf("asked for %d connections, want 1", warmed)
		}
		set(testView(3, ""))
		time.Sleep(5 * time.Second)
		if warmed, _ := f.counts("a"); warmed != 1+3 {
			t.Errorf("asked for %d connections in all, want 4", warmed)
		}
	})
}

// TestAsksOnlyQuietLeaves leaves alone a leaf that answers queries.
func TestAsksOnlyQuietLeaves(t *testing.T) {
	f := newFake()
	runProber(t, f, func(set func(*view.View)) {
		set(testView(1, ""))
		for range 20 {
			time.Sleep(500 * time.Millisecond)
			f.Learn("a", leafclient.Said{Versions: []uint64{7}}) // by queries
		}
		_, busy := f.counts("a")
		_, quiet := f.counts("b")
		if busy != 0 || quiet < 2 {
			t.Errorf("asked the busy leaf %d times and the quiet one %d times", busy, quiet)
		}
	})
}

// TestLeavingLeavesAreLeftAlone warms no leaf that leaves, and asks it now and then only,
// to learn that it has started again.
func TestLeavingLeavesAreLeftAlone(t *testing.T) {
	f := newFake()
	runProber(t, f, func(set func(*view.View)) {
		set(testView(2, "a"))
		time.Sleep(20 * time.Second)
		warmed, asked := f.counts("a")
		if most := int(20*time.Second/leavingEvery) + 1; warmed != 0 || asked < 2 || asked > most {
			t.Errorf("warmed %d and asked %d times, want none and at most %d", warmed, asked, most)
		}
		if f.born["a"] != 5 {
			t.Errorf("learnt the birth %d, want the one that the leaf told", f.born["a"])
		}
	})
}

// TestOthersAnswersTeachNothing has a leaf's address answer as another leaf, and
// fail.
func TestOthersAnswersTeachNothing(t *testing.T) {
	f := newFake()
	f.answer = func(id string) (*leafapi.Health, error) {
		if id == "a" {
			return &leafapi.Health{ID: "b", Versions: []uint64{9}}, nil
		}
		return nil, errors.New("no answer")
	}
	runProber(t, f, func(set func(*view.View)) {
		set(testView(1, ""))
		time.Sleep(10 * time.Second)
		if len(f.learned) != 0 {
			t.Errorf("learnt %v", f.learned)
		}
	})
}
