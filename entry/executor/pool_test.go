package executor

import (
	"testing"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/dispatch"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/keyrange"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/view"
)

// viewOf returns a view of one upstream of one shard with the given leaves.
func viewOf(generation uint64, leaves ...string) *view.View {
	shard := document.Shard{Range: keyrange.Range{To: 1}}
	for _, id := range leaves {
		shard.Leaves = append(shard.Leaves, document.Leaf{ID: id})
	}
	doc := &document.Document{Upstreams: []document.Upstream{{Name: "u", KeySpace: 1, Shards: []document.Shard{shard}}}}
	return view.Build(generation, "", doc, func(string) bool { return false }, func(*document.Upstream, string) int { return 1 })
}

// TestTranslateLeavesSkipsLeafMissingInQueryView guards against a panic under the pool's lock,
// which would hang the instance: a retry avoids a leaf that only the pool's newer view has, and
// which the query's view has as NoLeaf.
func TestTranslateLeavesSkipsLeafMissingInQueryView(t *testing.T) {
	p := &pool{view: viewOf(2, "b", "a")}
	queryView := viewOf(1, "a")
	if got := p.translateLeaves(queryView, []int{view.NoLeaf, 0}); len(got) != 1 || got[0] != p.view.Upstreams[0].LeafIndex("a") {
		t.Errorf("avoided leaves are %v", got)
	}
}

// TestPanicReleasesPoolLock recovers a panic, as the HTTP server does, and checks that the
// lock is free.
func TestPanicReleasesPoolLock(t *testing.T) {
	p := &pool{}
	func() {
		defer func() { _ = recover() }()
		p.handle(func() dispatch.Event { panic("played") })
	}()
	if !p.mu.TryLock() {
		t.Error("the lock is still held")
	}
}
