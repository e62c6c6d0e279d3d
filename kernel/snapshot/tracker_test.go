package snapshot_test

import (
	"flag"
	"fmt"
	"math"
	"os"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/keyrange"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/query"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/snapshot"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/view"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if os.Getenv("FUCHSIAROAD_LONG") == "" {
		for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "500"} {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}

var _ query.VersionSource = (*snapshot.Tracker)(nil)

// model is the reference implementation. It holds the versions that each leaf reported, by
// ID, and computes all else from them without caching.
type model struct {
	view *view.View
	seen map[string][]uint64
}

// share is the share of the service whose shards have a leaf that serves the version and
// does not drain.
func (m *model) share(service string, version uint64) float64 {
	total := 0.0
	s := m.view.Services[service]
	for _, u := range s.Upstreams {
		up := m.view.Upstreams[u]
		for _, shard := range up.Shards {
			serves := slices.ContainsFunc(shard.Leaves, func(l int) bool {
				leaf := m.view.Leaves[l]
				return !leaf.Draining && slices.Contains(m.seen[leaf.ID], version)
			})
			if serves {
				total += float64(shard.Range.Size()) / float64(up.KeySpace) / float64(len(s.Upstreams))
			}
		}
	}
	return total
}

// bestExcept is the version with the largest share, the newest of equals, other than except.
func (m *model) bestExcept(service string, except uint64) uint64 {
	var best uint64
	for v := uint64(1); v <= 5; v++ {
		if v == except || m.share(service, v) == 0 {
			continue
		}
		if best == 0 || m.share(service, v) >= m.share(service, best)-1e-9 {
			best = v
		}
	}
	return best
}

// drawView draws two upstreams and two services. Leaf IDs come from a small pool, so that
// leaves move between shards from view to view.
func drawView(t *rapid.T) *view.View {
	doc := &document.Document{}
	draining := make(map[string]bool)
	for u := range 2 {
		shards := rapid.SampledFrom([]int{1, 2, 4}).Draw(t, "shards")
		up := document.Upstream{Name: fmt.Sprint(u), KeySpace: 16}
		for s := range shards {
			size := uint64(16 / shards)
			shard := document.Shard{Range: keyrange.Range{From: uint64(s) * size, To: uint64(s+1) * size}}
			for _, l := range rapid.SliceOfNDistinct(rapid.IntRange(0, 4), 1, 3, rapid.ID[int]).Draw(t, "leaves") {
				id := fmt.Sprintf("%d-%d", u, l)
				shard.Leaves = append(shard.Leaves, document.Leaf{ID: id})
				draining[id] = rapid.IntRange(0, 4).Draw(t, "draining") == 0
			}
			up.Shards = append(up.Shards, shard)
		}
		doc.Upstreams = append(doc.Upstreams, up)
	}
	doc.Services = []document.Service{{Name: "one", Upstreams: []string{"0"}}, {Name: "both", Upstreams: []string{"0", "1"}}}
	return view.Build(1, "", doc, func(id string) bool { return draining[id] }, func(*document.Upstream, string) int { return 1 })
}

func TestTrackerAgreesWithModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{view: drawView(t), seen: make(map[string][]uint64)}
		tr := snapshot.New(m.view)
		for range rapid.IntRange(1, 15).Draw(t, "steps") {
			if rapid.IntRange(0, 5).Draw(t, "what") == 0 {
				m.setView(drawView(t))
				tr.SetView(m.view)
			} else {
				leaf := rapid.IntRange(0, len(m.view.Leaves)-1).Draw(t, "leaf")
				versions := rapid.SliceOfN(rapid.Uint64Range(1, 5), 0, 3).Draw(t, "versions")
				m.seen[m.view.Leaves[leaf].ID] = versions
				tr.Observe(leaf, versions)
			}
			m.check(t, tr)
		}
	})
}

// setView replaces the view and forgets the leaves that it lacks.
func (m *model) setView(v *view.View) {
	m.view = v
	for id := range m.seen {
		if !slices.ContainsFunc(v.Leaves, func(l view.Leaf) bool { return l.ID == id }) {
			delete(m.seen, id)
		}
	}
}

func (m *model) check(t *rapid.T, tr *snapshot.Tracker) {
	for _, s := range []string{"one", "both"} {
		if got, want := tr.Pin(s), m.bestExcept(s, 0); got != want {
			t.Fatalf("%s: pin %d, want %d", s, got, want)
		}
		for v := uint64(1); v <= 5; v++ {
			if got, want := tr.Share(s, v), m.share(s, v); math.Abs(got-want) > 1e-9 {
				t.Fatalf("%s: share of %d is %v, want %v", s, v, got, want)
			}
			if got, want := tr.Next(s, v), m.bestExcept(s, v); got != want {
				t.Fatalf("%s: next after %d is %d, want %d", s, v, got, want)
			}
		}
	}
	for i, leaf := range m.view.Leaves {
		seen, known := m.seen[leaf.ID]
		for v := uint64(1); v <= 5; v++ {
			gotKnown, gotServes := tr.Serves(i, v)
			if gotKnown != known || gotServes != slices.Contains(seen, v) {
				t.Fatalf("leaf %s at %d: known %v, serves %v; seen %v", leaf.ID, v, gotKnown, gotServes, seen)
			}
			if got, want := tr.Passed(i, v), len(seen) > 0 && slices.Min(seen) > v; got != want {
				t.Fatalf("leaf %s passed %d: %v; seen %v", leaf.ID, v, got, seen)
			}
		}
	}
}

// TestUnknownLeavesAndServices queries leaves and services that the view lacks.
func TestUnknownLeavesAndServices(t *testing.T) {
	tr := snapshot.New(&view.View{})
	tr.Observe(3, []uint64{1})
	known, serves := tr.Serves(3, 1)
	if known || serves || tr.Passed(-1, 1) || tr.Pin("x") != 0 || tr.Next("x", 1) != 0 || tr.Share("x", 1) != 0 {
		t.Fatal("a leaf or service that the view lacks is known")
	}
}
