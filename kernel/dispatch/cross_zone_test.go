package dispatch

import (
	"fmt"
	"slices"
	"testing"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/keyrange"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/view"
)

// zonedView returns a view with a shard for each list of zones, which has a leaf in each
// of them. Leaf l3-0 is leaving.
func zonedView(shards ...[]string) *view.View {
	up := document.Upstream{Name: "up", KeySpace: uint64(len(shards))}
	for i, zones := range shards {
		s := document.Shard{Range: keyrange.Range{From: uint64(i), To: uint64(i + 1)}}
		for k, zone := range zones {
			s.Leaves = append(s.Leaves, document.Leaf{ID: fmt.Sprintf("l%d-%d", i, k), Zone: zone})
		}
		up.Shards = append(up.Shards, s)
	}
	leaving := func(id string) bool { return id == "l3-0" }
	return view.Build(1, "", &document.Document{Upstreams: []document.Upstream{up}}, leaving, func(*document.Upstream, string) int { return 1 })
}

// TestCrossZoneShards checks which shards and leaves are listed with a policy that picks
// the first leaf.
func TestCrossZoneShards(t *testing.T) {
	v := zonedView([]string{"own"}, []string{"b", "own"}, nil, []string{"own", "b"}, []string{"own", "c"})
	m, err := New(Config{View: v, Zone: "own", Policies: Policies{Routing: fakePolicy, Order: fakePolicy, Limit: fakePolicy}})
	if err != nil {
		t.Fatal(err)
	}
	got := m.CrossZoneShards(start)
	// The first leaf of shard 1 is in another zone; that of shard 3 is in the own zone
	// but leaving.
	want := []CrossZoneShard{
		{Shard: 1, Leaves: []int{v.Upstreams[0].LeafIndex("l1-0")}},
		{Shard: 3, Leaves: []int{v.Upstreams[0].LeafIndex("l3-1")}},
	}
	same := slices.EqualFunc(got, want, func(a, b CrossZoneShard) bool { return a.Shard == b.Shard && slices.Equal(a.Leaves, b.Leaves) })
	if !same {
		t.Errorf("cross-zone shards %v, want %v", got, want)
	}
	m.Handle(offered(1), start) // takes the one connection to the leaf of shard 0
	if again := m.CrossZoneShards(start); len(again) != len(want) {
		t.Errorf("cross-zone shards %v when a leaf of the own zone is full, want no more than before", again)
	}
}
