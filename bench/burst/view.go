package burst

import (
	"fmt"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/keyrange"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/plugin"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/view"
)

// zones is the number of availability zones.
const zones = 3

func zone(i int) string { return fmt.Sprintf("zone-%d", i%zones) }

// view builds the configuration of a run: one upstream with all shards. Leaf i
// of shard s has the view index s*Replicas+i.
func (p Params) view() *view.View {
	u := document.Upstream{
		Name: "upstream", KeySpace: uint64(p.Shards), ConnectionLimit: p.Connections, Slots: p.Slots,
	}
	for s := range p.Shards {
		shard := document.Shard{Range: keyrange.Range{From: uint64(s), To: uint64(s + 1)}}
		for i := range p.Replicas {
			shard.Leaves = append(shard.Leaves, document.Leaf{ID: fmt.Sprintf("leaf-%d-%d", s, i), Zone: zone(s + i)})
		}
		u.Shards = append(u.Shards, shard)
	}
	doc := &document.Document{Upstreams: []document.Upstream{u}}
	for _, c := range p.Callers {
		doc.Callers = append(doc.Callers, document.Caller{Name: c.Name, TokenSHA256: c.Name, Share: c.Share})
	}
	return view.Build(1, "", doc, func(string) bool { return false }, p.connections())
}

// connections gives each entry the same share, the least that placement gives.
func (p Params) connections() func(*document.Upstream, string) int {
	construct, err := plugin.Placements.Get("direct")
	if err != nil {
		panic(err) // linked in by this package
	}
	placement := construct(plugin.PlacementConfig{Headroom: 2})
	var entries []string
	for i := range p.Entries {
		entries = append(entries, fmt.Sprintf("entry-%d", i))
	}
	return func(u *document.Upstream, leaf string) int {
		least := u.ConnectionLimit
		for _, e := range entries {
			least = min(least, placement.Share(leaf, u.ConnectionLimit, e, entries))
		}
		return least
	}
}
