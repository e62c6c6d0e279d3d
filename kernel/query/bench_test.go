package query_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/keyrange"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/query"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/snapshot"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/view"
)

// benchView returns a view of one upstream whose shards have two leaves each.
func benchView(leaves int) *view.View {
	shards := leaves / 2
	up := document.Upstream{Name: "u", KeySpace: uint64(shards) * 16}
	for s := range shards {
		up.Shards = append(up.Shards, documentShard(shardSpec{
			r:      keyrange.Range{From: uint64(s) * 16, To: uint64(s+1) * 16},
			leaves: []string{fmt.Sprintf("%d-a", s), fmt.Sprintf("%d-b", s)},
		}))
	}
	return buildView(1, &document.Document{
		Upstreams: []document.Upstream{up},
		Services:  []document.Service{{Name: serviceName, Upstreams: []string{"u"}, Idempotent: true, LeastCoverage: 1, Settle: time.Second}},
	})
}

// BenchmarkQuery runs whole queries: each sub-request is offered, sent and answered, a
// tenth of them after a decline. It reports the time per sub-request.
func BenchmarkQuery(b *testing.B) {
	for _, leaves := range []int{10, 100, 1_000, 10_000} {
		b.Run(fmt.Sprintf("leaves=%d", leaves), func(b *testing.B) {
			v := benchView(leaves)
			tracker := snapshot.New(v)
			for i := range v.Leaves {
				tracker.Observe(i, []uint64{7})
			}
			b.ReportAllocs()
			sent := 0
			for b.Loop() {
				sent += benchQuery(b, v, tracker)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(sent), "ns/sub-request")
			b.ReportMetric(float64(sent)/float64(b.N), "sub-requests/op")
		})
	}
}

// benchQuery runs one query, whose shards reply in a scattered order, and returns the
// number of attempts sent.
func benchQuery(b *testing.B, v *view.View, tracker *snapshot.Tracker) int {
	m := query.New(query.Config{
		View: v, Service: v.Services[serviceName], Start: epoch, Deadline: epoch.Add(deadline), Versions: tracker,
		Budget: &fixedBudget{retries: unlimited}, HedgeAfter: func(int) time.Duration { return time.Millisecond },
	})
	shards := len(v.Upstreams[0].Shards)
	now := epoch
	offers := append([]query.Action(nil), m.Handle(query.Begin{}, now)...)
	stride := 7919 % shards
	for shards > 1 && gcd(stride, shards) != 1 {
		stride++
	}
	for i := range shards {
		o := offers[i*max(stride, 1)%shards].(query.Offer)
		for leaf := 2 * o.Shard; ; leaf++ {
			m.Handle(query.Sent{Attempt: o.Attempt, Leaf: leaf}, now)
			if i%10 > 0 || leaf != 2*o.Shard {
				r := query.Reply{Attempt: o.Attempt, Leaf: leaf, Version: 7, Ranges: []keyrange.Range{o.Part.Range}}
				if done := finishedAnswer(m.Handle(r, now)); done != nil {
					if done.Outcome != query.Complete {
						b.Fatalf("%s: %s", done.Outcome, done.Reason)
					}
					return done.Sent
				}
				break
			}
			o = m.Handle(query.Declined{Attempt: o.Attempt, Leaf: leaf, Reason: query.ReasonOverloaded}, now)[0].(query.Offer)
		}
	}
	b.Fatal("no answer")
	return 0
}

func finishedAnswer(actions []query.Action) *query.Answer {
	for _, a := range actions {
		if f, ok := a.(query.Finish); ok {
			return &f.Answer
		}
	}
	return nil
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}
