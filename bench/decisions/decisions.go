// Package decisions measures what one decision costs at growing numbers of leaves.
package decisions

import (
	"fmt"
	"testing"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/dispatch"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/keyrange"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/plugin"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/query"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/view"

	_ "github.com/fuchsiaroad/fuchsiaroad/plugins" // registers the policies
)

// Sizes are the numbers of leaves to measure at.
var Sizes = []int{10, 100, 1000, 10_000}

// Replicas is the number of leaves of a shard.
const Replicas = 2

var start = time.Unix(1000, 0)

// newMachine builds a machine over the leaves.
func newMachine(b *testing.B, leaves int) (*dispatch.Machine, int) {
	shards := leaves / Replicas
	u := document.Upstream{Name: "u", KeySpace: uint64(shards)}
	for s := range shards {
		shard := document.Shard{Range: keyrange.Range{From: uint64(s), To: uint64(s + 1)}}
		for i := range Replicas {
			shard.Leaves = append(shard.Leaves, document.Leaf{ID: fmt.Sprintf("leaf-%d-%d", s, i)})
		}
		u.Shards = append(u.Shards, shard)
	}
	doc := &document.Document{Upstreams: []document.Upstream{u}}
	v := view.Build(1, "", doc, func(string) bool { return false }, func(*document.Upstream, string) int { return 3 })
	m, err := dispatch.New(dispatch.Config{View: v, Policies: dispatch.DefaultPolicies()})
	if err != nil {
		b.Fatal(err)
	}
	return m, shards
}

// end is a good reply to the dispatch.
func end(d dispatch.Dispatch) dispatch.Finished {
	return dispatch.Finished{
		Ticket: d.Ticket, Leaf: d.Leaf, Outcome: dispatch.OutcomeReply,
		Latency: 11 * time.Millisecond, Service: 10 * time.Millisecond,
	}
}

// Idle offers an attempt that is dispatched at once, and ends it.
func Idle(leaves int) func(*testing.B) {
	return func(b *testing.B) {
		m, shards := newMachine(b, leaves)
		now := start
		b.ReportAllocs()
		b.ResetTimer()
		for i := range b.N {
			now = now.Add(time.Microsecond)
			actions := m.Handle(dispatch.Offered{
				Ticket: dispatch.Ticket{Query: uint64(i), Attempt: 1}, Shard: i % shards,
				Caller: "a", Deadline: now.Add(time.Second),
			}, now)
			m.Handle(end(actions[0].(dispatch.Dispatch)), now)
		}
	}
}

// Queued keeps every shard's leaves busy and ten attempts waiting; it offers
// one, ends one and so dispatches one.
func Queued(leaves int) func(*testing.B) {
	return func(b *testing.B) {
		m, shards := newMachine(b, leaves)
		running := make([][]dispatch.Dispatch, shards)
		id := 0
		take := func(actions []dispatch.Action) {
			for _, a := range actions {
				if d, ok := a.(dispatch.Dispatch); ok {
					running[d.Shard] = append(running[d.Shard], d)
				}
			}
		}
		offer := func(shard int, now time.Time) {
			id++
			take(m.Handle(dispatch.Offered{
				Ticket: dispatch.Ticket{Query: uint64(id), Attempt: query.AttemptID(id)}, Shard: shard,
				Caller: "a", Deadline: now.Add(time.Hour),
			}, now))
		}
		for s := range shards {
			for range 16 {
				offer(s, start)
			}
		}
		now := start
		b.ReportAllocs()
		b.ResetTimer()
		for i := range b.N {
			now = now.Add(time.Microsecond)
			s := i % shards
			offer(s, now)
			d := running[s][0]
			running[s] = append(running[s][:0], running[s][1:]...)
			take(m.Handle(end(d), now))
		}
	}
}

// Admit decides on one query over all shards; the result is for one shard.
func Admit(leaves int) func(*testing.B) {
	return func(b *testing.B) {
		m, shards := newMachine(b, leaves)
		a := dispatch.NewAdmission(1)
		upstreams := []dispatch.Fitter{m}
		b.ReportAllocs()
		b.ResetTimer()
		for i := 0; i < b.N; i += shards {
			a.Admit(dispatch.QueryRequest{Caller: "a", Share: 1, Left: time.Second, LeastCoverage: 1}, upstreams, start)
		}
	}
}

// Share computes an entry's connection share of one leaf over eight entries.
func Share(int) func(*testing.B) {
	return func(b *testing.B) {
		construct, err := plugin.Placements.Get("direct")
		if err != nil {
			b.Fatal(err)
		}
		p := construct(plugin.PlacementConfig{Headroom: 2})
		var entries []string
		for i := range 8 {
			entries = append(entries, fmt.Sprint("entry-", i))
		}
		b.ReportAllocs()
		for i := range b.N {
			p.Share("leaf", 25, entries[i%8], entries)
		}
	}
}

// All names the measured decisions.
var All = []struct {
	Name string
	Make func(leaves int) func(*testing.B)
}{
	{"offer, dispatch and end, idle", Idle},
	{"offer, dispatch and end, ten waiting", Queued},
	{"admission, per shard asked", Admit},
	{"connection share of a leaf", Share},
}
