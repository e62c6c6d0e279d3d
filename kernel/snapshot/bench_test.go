package snapshot_test

import (
	"fmt"
	"testing"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/keyrange"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/snapshot"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/view"
)

// BenchmarkTracker rolls out new versions over all leaves, with one Observe per leaf, and
// calls Pin and Serves after each, as a query would.
func BenchmarkTracker(b *testing.B) {
	for _, leaves := range []int{10, 100, 1_000, 10_000} {
		b.Run(fmt.Sprintf("leaves=%d", leaves), func(b *testing.B) {
			up := document.Upstream{Name: "u", KeySpace: uint64(leaves)}
			for s := range leaves / 2 {
				up.Shards = append(up.Shards, document.Shard{
					Range:  keyrange.Range{From: uint64(2 * s), To: uint64(2*s + 2)},
					Leaves: []document.Leaf{{ID: fmt.Sprintf("%d-a", s)}, {ID: fmt.Sprintf("%d-b", s)}},
				})
			}
			doc := &document.Document{Upstreams: []document.Upstream{up}, Services: []document.Service{{Name: "s", Upstreams: []string{"u"}}}}
			tr := snapshot.New(view.Build(1, "", doc, func(string) bool { return false }, func(*document.Upstream, string) int { return 1 }))
			b.ReportAllocs()
			n, version := 0, uint64(1)
			for b.Loop() {
				leaf := n % leaves
				if leaf == 0 {
					version++
				}
				n++
				tr.Observe(leaf, []uint64{version - 1, version})
				if tr.Pin("s") == 0 {
					b.Fatal("no versions are known")
				}
				tr.Serves(leaf, version)
			}
		})
	}
}
