// Package decisions measures what one decision costs at growing numbers of leaves.
package decisions

import (
	"fmt"
	"runtime"
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

// Step runs a decision once; i grows by one with each call.
type Step func(i int)

// newMachine builds a machine over the leaves, and returns the number of shards.
func newMachine(leaves int) (*dispatch.Machine, int) {
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
		panic(err) // the configuration above is valid
	}
	return m, shards
}

// end is a good reply to the dispatch.
func end(d dispatch.Dispatch) dispatch.Finished {
	return dispatch.Finished{
		Ticket: d.Ticket, Leaf: d.Leaf, Outcome: dispatch.OutcomeReply,
		Latency: 11 * time.Millisecond, ServiceTime: 10 * time.Millisecond,
	}
}

// idle offers an attempt that is dispatched at once, and ends it.
func idle(leaves int) Step {
	m, shards := newMachine(leaves)
	return func(i int) {
		now := start.Add(time.Duration(i) * time.Microsecond)
		actions := m.Handle(dispatch.Offered{
			Ticket: dispatch.Ticket{Query: uint64(i), Attempt: 1}, Shard: i % shards,
			Caller: "a", Deadline: now.Add(time.Second),
		}, now)
		m.Handle(end(actions[0].(dispatch.Dispatch)), now)
	}
}

// waiting is the number of attempts that each shard starts with in queued.
const waiting = 16

// queued keeps every shard's leaves busy and about ten attempts waiting; it
// offers one, ends one and so dispatches one.
func queued(leaves int) Step {
	m, shards := newMachine(leaves)
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
		for range waiting {
			offer(s, start)
		}
	}
	return func(i int) {
		now := start.Add(time.Duration(i) * time.Microsecond)
		s := i % shards
		offer(s, now)
		d := running[s][0]
		running[s] = append(running[s][:0], running[s][1:]...)
		take(m.Handle(end(d), now))
	}
}

// admit decides on one query over all shards, once in as many steps: a step is
// one shard asked.
func admit(leaves int) Step {
	m, shards := newMachine(leaves)
	a := dispatch.NewAdmission(1)
	upstreams := []dispatch.LoadEstimator{m}
	return func(i int) {
		if i%shards == 0 {
			a.Admit(dispatch.QueryRequest{Caller: "a", Share: 1, TimeLeft: time.Second, LeastCoverage: 1}, upstreams, start)
		}
	}
}

// share computes an entry's connection share of one leaf over eight entries.
func share(int) Step {
	construct, err := plugin.Placements.Get("direct")
	if err != nil {
		panic(err) // linked in above
	}
	p := construct(plugin.PlacementConfig{Headroom: 2})
	var entries []string
	for i := range 8 {
		entries = append(entries, fmt.Sprint("entry-", i))
	}
	return func(i int) { p.Share("leaf", 25, entries[i%8], entries) }
}

// Decision is one measured decision.
type Decision struct {
	Name string
	// Make builds what the decision needs for the number of leaves.
	Make func(leaves int) Step
}

// All are the measured decisions.
var All = []Decision{
	{"offer, dispatch and end, idle", idle},
	{"offer, dispatch and end, ten waiting", queued},
	{"admission, per shard asked", admit},
	{"connection share of a leaf", share},
}

// State is the memory in bytes that one entry's machine holds for the leaves.
func State(leaves int) uint64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	m, _ := newMachine(leaves)
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(m)
	return after.HeapAlloc - before.HeapAlloc
}
